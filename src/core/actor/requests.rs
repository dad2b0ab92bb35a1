//! The life cycle of a request: it is submitted, finished with one response, and removed when its last
//! attempt has ended.

use super::Core;
use crate::core::clock::micros;
use crate::core::open_requests::OpenRequest;
use crate::core::request::{Request, Response};
use crate::interface::{Event, KeyId, Micros, RequestId, RequestProfile, ShardId, TargetSetId, VolumeId};
use crate::names::Names;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Upper bound on the time that a client claims to wait.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3_600);

impl Core {
    /// Registers a request. The client's time counts from `arrived`, so it includes the wait for the core.
    pub(super) fn submit(
        &mut self,
        id: RequestId,
        request: Request,
        arrived: Instant,
        response: oneshot::Sender<Response>,
    ) {
        self.diagnostics.record_submission(arrived);
        let (arrived, submitted) = (self.clock.at(arrived), self.clock.now());
        let deadline = arrived + micros(request.time_left.min(MAX_TIME_LEFT));
        let deadline = self.open_requests.deadline_before_shutdown(deadline);
        let target_set = self.routes.acquire(&request);
        self.publish_target_sets();
        let profile = self.build_profile(id, &request, deadline, target_set);
        let shard = profile.shard.map(|shard| shard.0);
        let unavailable = self.endpoints.sites().and_then(|sites| sites.unavailable(submitted, shard));
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
            // No target could serve the request, so the scheduler is not involved.
            self.finish_request(id, Some(Response::SiteUnavailable { site, retry_after }));
            return;
        }
        self.apply_event(Event::RequestArrived(profile));
    }

    /// The request as the scheduler represents it.
    fn build_profile(
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
            volume: VolumeId(request.volume),
            key: Some(KeyId(request.object)),
            units: request.units,
            shard: self.object_locations.find(object, request.shard).map(ShardId),
            initiators: request.initiators,
            deadline,
            target_set,
        }
    }

    /// A request's client has disconnected.
    pub(super) fn handle_client_gone(&mut self, id: RequestId) {
        if self.finish_request(id, None) {
            self.apply_event(Event::ClientGone { id });
        }
    }

    /// Brings the deadlines of all requests forward to the process's last response, also of those that arrive later.
    pub(super) fn begin_shutdown(&mut self, responses_due: Instant) {
        let responses_due = self.clock.at(responses_due);
        self.open_requests.begin_shutdown(responses_due);
        self.apply_event(Event::ShutdownStarted { responses_due });
    }

    /// Fails all requests that are open when the process's last responses are overdue, among them those whose
    /// deadline does not apply while their body is streamed.
    fn fail_all_requests(&mut self) {
        for id in self.open_requests.ids() {
            if self.finish_request(id, Some(Response::Failed)) {
                self.apply_event(Event::ClientGone { id });
            }
        }
    }

    /// Fails the requests that the scheduler has not answered in time. The scheduler's own responses come
    /// earlier; the watchdog guarantees a response whatever delays them.
    pub(super) fn fail_overdue(&mut self, now: Micros) {
        while let Some(id) = self.open_requests.first_overdue(now) {
            self.diagnostics.counters.watchdog_failures += 1;
            self.finish_request(id, Some(Response::Failed));
            self.apply_event(Event::ClientGone { id });
        }
        if self.open_requests.last_responses_overdue(now) {
            self.fail_all_requests();
        }
    }

    /// Finishes a request, with a response unless its client has disconnected. Returns false if it was
    /// already finished.
    pub(super) fn finish_request(&mut self, id: RequestId, response: Option<Response>) -> bool {
        let Some(client) = self.open_requests.take_response(id) else { return false };
        self.count_finished(id, response.as_ref());
        self.open_requests.cancel_attempts(id);
        if let Some(response) = response {
            // The client may have disconnected in this moment.
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
        // The deadline of a streamed request counts from the last byte of its body.
        let is_late = |open: &&OpenRequest| now > open.deadline && !open.is_streamed();
        if let Some(open) = self.open_requests.get(id).filter(is_late) {
            self.diagnostics.counters.late_responses += 1;
            log_late_response(open, response.kind(), now, &self.names);
        }
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub(super) fn remove_if_settled(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.remove_if_settled(id) else { return };
        if let Some(target_set) = open.target_set {
            self.routes.release(target_set);
            // The scheduler receives these events together with the next one.
            self.queued_events.extend(self.routes.take_events());
        }
    }
}

/// Logs a request whose response was late, with the history of each attempt. Times are in microseconds since
/// the request's arrival.
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
        // Writing to a string is infallible.
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
