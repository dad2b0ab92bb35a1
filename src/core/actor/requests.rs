//! The life of a request: submitted, finished with one response, and removed when its last attempt has ended.

use super::Core;
use crate::core::clock::micros;
use crate::core::open_requests::OpenRequest;
use crate::core::request::{Request, Response};
use crate::interface::{Event, KeyId, Micros, RequestId, RequestProfile, ShardId, TargetSetId};
use crate::names::Names;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client that says it waits longer is held to wait this long.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3_600);

impl Core {
    /// Takes a request up. The client's time runs while it waits for the core's turn.
    pub(super) fn submit(
        &mut self,
        id: RequestId,
        request: Request,
        arrived: Instant,
        response: oneshot::Sender<Response>,
    ) {
        self.diagnostics.request_submitted(arrived);
        let (arrived, submitted) = (self.clock.at(arrived), self.clock.now());
        let deadline = arrived + micros(request.time_left.min(MAX_TIME_LEFT));
        let target_set = self.routes.acquire(&request);
        self.publish_target_sets();
        let profile = self.profile(id, &request, deadline, target_set);
        let shard = profile.shard.map(|shard| shard.0);
        let unavailable = self.endpoints.sites().and_then(|sites| sites.unavailable(submitted, shard));
        if let Some(quota) = &mut self.quota {
            quota.volume_seen(request.volume, profile.volume);
        }
        let open = OpenRequest {
            request: Rc::new(request),
            arrived,
            submitted,
            deadline,
            response: Some(response),
            attempts: Vec::new(),
            traces: Vec::new(),
            target_set,
        };
        self.open_requests.insert(id, open);
        if let Some((site, retry_after)) = unavailable {
            // No target could take it: the scheduler need not find that out.
            self.finish_request(id, Some(Response::SiteUnavailable { site, retry_after }));
            return;
        }
        self.apply_event(Event::RequestArrived(profile));
    }

    /// A request as the scheduler sees it.
    fn profile(
        &mut self,
        id: RequestId,
        request: &Request,
        deadline: Micros,
        target_set: Option<TargetSetId>,
    ) -> RequestProfile {
        let object = (request.volume, request.object);
        RequestProfile {
            id,
            class: self.names.class(&request.class),
            plan: request.plan.as_deref().and_then(|plan| self.names.plan(plan)),
            volume: self.names.volume(&format!("{:016x}", request.volume)),
            key: Some(KeyId(request.object)),
            units: request.units,
            shard: self.object_locations.find(object, request.shard).map(ShardId),
            initiators: request.initiators,
            deadline,
            target_set,
        }
    }

    /// A request's client has gone.
    pub(super) fn client_gone(&mut self, id: RequestId) {
        if self.finish_request(id, None) {
            self.apply_event(Event::ClientGone { id });
        }
    }

    /// The program is about to end.
    pub(super) fn fail_all_requests(&mut self) {
        for id in self.open_requests.ids() {
            if self.finish_request(id, Some(Response::Failed)) {
                self.apply_event(Event::ClientGone { id });
            }
        }
    }

    /// Requests that the scheduler has not answered in time fail here. Its own responses come before this;
    /// whatever keeps one back, the client gets its own.
    pub(super) fn fail_overdue(&mut self, now: Micros) {
        while let Some(id) = self.open_requests.first_overdue(now) {
            self.diagnostics.counters.watchdog_failures += 1;
            self.finish_request(id, Some(Response::Failed));
            self.apply_event(Event::ClientGone { id });
        }
    }

    /// Finishes a request, with a response unless its client has gone. False: it was finished before.
    pub(super) fn finish_request(&mut self, id: RequestId, response: Option<Response>) -> bool {
        let Some(client) = self.open_requests.take_response(id) else { return false };
        self.count_finished(id, response.as_ref());
        self.open_requests.cancel_attempts(id);
        if let Some(response) = response {
            // A client that left this moment has nobody to tell.
            let _ = client.send(response);
        }
        self.remove_if_settled(id);
        true
    }

    fn count_finished(&mut self, id: RequestId, response: Option<&Response>) {
        let Some(response) = response else {
            self.diagnostics.counters.clients_gone += 1;
            return;
        };
        let now = self.clock.now();
        // The time of a streamed request's response runs from its last byte.
        let late = |open: &&OpenRequest| now > open.deadline && !open.is_streamed();
        if let Some(open) = self.open_requests.get(id).filter(late) {
            self.diagnostics.counters.late_responses += 1;
            log_late_response(open, response.kind(), now, &self.names);
        }
    }

    /// Forgets a request that is finished and has no attempt in flight.
    pub(super) fn remove_if_settled(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.remove_if_settled(id) else { return };
        if let Some(target_set) = open.target_set {
            self.routes.release(target_set);
            // The scheduler learns of it with the next event.
            self.queued_events.extend(self.routes.take_events());
        }
    }
}

/// One line on a request whose response came late: when it came, and what became of each attempt. Times are
/// in microseconds from its arrival.
fn log_late_response(open: &OpenRequest, end: &str, now: Micros, names: &Names) {
    let since = |at: Micros| at.saturating_sub(open.arrived);
    tracing::warn!(
        id = open.request.id,
        connection = open.request.origin.connection,
        class = open.request.class,
        end,
        taken_us = since(open.submitted),
        wait_us = open.deadline.saturating_sub(open.arrived),
        ended_us = since(now),
        attempts = describe_attempts(open, names),
        "request finished late"
    );
}

fn describe_attempts(open: &OpenRequest, names: &Names) -> String {
    let since = |at: Micros| at.saturating_sub(open.arrived);
    let mut attempts = String::new();
    for trace in &open.traces {
        let target = names.target_name(trace.target).unwrap_or("?");
        // Writing to a string does not fail.
        let _ = write!(attempts, "[{target} sent {}", since(trace.sent));
        for (event, at) in [("started", trace.started), ("heard", trace.response_started)] {
            let _ = at.map_or(Ok(()), |at| write!(attempts, " {event} {}", since(at)));
        }
        let _ = match trace.ended {
            Some((at, outcome)) => write!(attempts, " {outcome:?} {}]", since(at)),
            None => write!(attempts, " open]"),
        };
    }
    attempts
}
