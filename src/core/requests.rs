//! The life of a request in the core: taken, answered once, and forgotten when its last attempt has ended.

use crate::core::actor::{BACKSTOP, Core};
use crate::core::clock::micros;
use crate::core::diagnostics::{AttemptTrace, tell_late};
use crate::core::message::{AttemptResult, Request, Response};
use crate::interface::{
    AttemptNumber, Event, KeyId, Micros, Outcome, RequestId, RequestProfile, ShardId, TargetId, TargetSetId,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client that says it waits longer is held to wait this long.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// An attempt without an outcome.
pub(super) struct Out {
    pub(super) node: TargetId,
    /// Where the target was listed when it was sent.
    pub(super) addr: SocketAddr,
    pub(super) sent: Micros,
    /// Its first byte may have gone out.
    pub(super) started: bool,
    /// When the head of its answer came.
    pub(super) heard: Option<Micros>,
    /// Absent once it is called off: its drop is the signal, and the attempt still tells its end.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

/// A request that is not over, or has an attempt without an end.
pub(super) struct Open {
    pub(super) request: Rc<Request>,
    /// When its front had it whole; the client's time runs from then.
    pub(super) arrived: Micros,
    /// When the core took it.
    pub(super) taken: Micros,
    pub(super) deadline: Micros,
    /// Taken when the final answer is given.
    pub(super) answer: Option<oneshot::Sender<Response>>,
    pub(super) attempts: Vec<Option<Out>>,
    /// Of all attempts, for the log.
    pub(super) traces: Vec<AttemptTrace>,
    pub(super) reach: Option<TargetSetId>,
}

impl Open {
    /// Notes something of an attempt, for the log.
    pub(super) fn trace(&mut self, number: AttemptNumber, note: impl FnOnce(&mut AttemptTrace)) {
        if let Some(trace) = self.traces.get_mut(number.0 as usize) {
            note(trace);
        }
    }
}

impl Core {
    pub(super) fn submit(
        &mut self,
        id: RequestId,
        request: Request,
        arrived: Instant,
        answer: oneshot::Sender<Response>,
    ) {
        self.diagnostics.submitted(arrived);
        let (arrived, taken) = (self.clock.at(arrived), self.clock.now());
        // The client's time runs while the request waits for the core's turn.
        let deadline = arrived + micros(request.time_left.min(LONGEST_WAIT));
        let reach = self.routes.take(&request);
        self.tell_reach();
        let profile = RequestProfile {
            id,
            class: self.names.class(&request.class),
            plan: request.plan.as_deref().and_then(|p| self.names.plan(p)),
            volume: self.names.volume(&format!("{:016x}", request.volume)),
            key: Some(KeyId(request.object)),
            units: request.units,
            shard: self.places.find((request.volume, request.object), request.shard).map(ShardId),
            initiators: request.initiators,
            deadline,
            target_set: reach,
        };
        let away = self.sites.as_ref().and_then(|s| s.refused(taken, profile.shard.map(|s| s.0)));
        if let Some(fleet) = &mut self.fleet {
            fleet.seen(request.volume, profile.volume);
        }
        let open = Open {
            request: Rc::new(request),
            arrived,
            taken,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            traces: Vec::new(),
            reach,
        };
        self.requests.insert(id, open);
        self.open.set(self.open.get() + 1);
        self.backstops.insert((deadline + BACKSTOP, id));
        if let Some((site, wait)) = away {
            // Nobody could take it: the module need not find that out.
            self.conclude(id, Some(Response::SiteUnavailable { site, retry_after: wait }));
            return;
        }
        self.feed(Event::RequestArrived(profile));
    }

    /// An attempt's end. The first served one is the client's answer.
    pub(super) fn ended(&mut self, id: RequestId, number: AttemptNumber, reply: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(number.0 as usize).and_then(Option::take) else { return };
        // Whatever its target's actor took it for: before its start nothing of it was sent.
        let reply = match out.started || reply.outcome.proves_not_executed() {
            true => reply,
            false => AttemptResult::without_response(Outcome::NotSent),
        };
        let now = self.clock.now();
        open.trace(number, |trace| trace.ended = Some((now, reply.outcome)));
        let (object, told) = ((open.request.volume, open.request.object), open.request.shard);
        let seen = match (self.targets.get(&out.node).map(|t| t.told.shard), reply.outcome) {
            (Some(shard), Outcome::Served) => self.places.record_served(object, told, shard),
            (Some(shard), Outcome::DeadlineExceeded) => self.places.record_rejected(object, shard),
            _ => None,
        };
        if let Some(news) = seen {
            // Without another process nobody takes it; what finds no room is learned there by asking.
            let _ = self.seen.try_send(news);
        }
        let upload = open.request.more.clone();
        let begun = upload.as_ref().is_some_and(|u| u.begun());
        // A long body counts from its last byte.
        let whole = upload.and_then(|u| u.whole()).map_or(0, |at| self.clock.at(at));
        match reply.outcome {
            Outcome::Served => {
                self.conclude(id, Some(Response::Served(reply.body)));
            }
            // What was taken of a long body is not there for another attempt.
            outcome if begun && outcome.proves_not_executed() => {
                self.conclude(id, Some(Response::Rejected { retry_after: Duration::ZERO }));
            }
            _ if begun => {
                self.conclude(id, Some(Response::Failed));
            }
            _ => {}
        }
        tracing::debug!(request = id.0, attempt = number.0, outcome = ?reply.outcome, "an attempt ended");
        let over = self.requests.get(&id).is_none_or(|o| o.answer.is_none());
        // What the answer takes on its way, once it has begun, says nothing of its target.
        let answered = out.heard.filter(|at| *at >= whole).unwrap_or(now);
        let took = answered.saturating_sub(out.sent.max(whole));
        // One whose client left tells nothing of its target.
        if let (Some(sites), Some(target)) = (&mut self.sites, self.targets.get(&out.node))
            && !(over && reply.outcome == Outcome::Cancelled)
        {
            sites.ended(now, &target.told.name, reply.outcome, out.heard.is_some(), Some(took));
        }
        self.feed(Event::AttemptEnded {
            id,
            attempt: number,
            target: out.node,
            outcome: reply.outcome,
            elapsed: took,
            request_over: over,
            used: reply.used,
            elsewhere: reply.elsewhere,
            load: reply.load,
        });
        self.forget(id);
    }

    /// Ends a request, with an answer unless its client has gone. False: it had ended before.
    pub(super) fn conclude(&mut self, id: RequestId, answer: Option<Response>) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let Some(client) = open.answer.take() else { return false };
        self.backstops.remove(&(open.deadline + BACKSTOP, id));
        self.open.set(self.open.get() - 1);
        let now = self.clock.now();
        match &answer {
            None => self.diagnostics.counters.clients_gone += 1,
            // The time of a long body's answer runs from its last byte.
            Some(answer) if now > open.deadline && open.request.more.is_none() => {
                self.diagnostics.counters.late_answers += 1;
                tell_late(open, answer.kind(), now, &self.names);
            }
            Some(_) => {}
        }
        // What has not begun for it never will. The attempts of a long body may last beyond its deadline.
        let long = open.request.more.is_some();
        let idle = open.attempts.iter_mut().flatten().filter(|out| long || !out.started);
        idle.for_each(|out| out.cancel = None);
        if let Some(answer) = answer {
            // A client that left this moment has nobody to tell.
            let _ = client.send(answer);
        }
        self.forget(id);
        true
    }

    fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|o| o.answer.is_none() && o.attempts.iter().all(Option::is_none))
        {
            let Some(open) = self.requests.remove(&id) else { return };
            self.ids.borrow_mut().remove(&open.request.id);
            if let Some(reach) = open.reach {
                self.routes.release(reach);
                // The module learns of it with the next event.
                self.next.extend(self.routes.news());
            }
        }
    }

    /// Requests that the module has not answered in time fail here.
    pub(super) fn fail_overdue(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.backstops.first()
            && at <= now
        {
            // The module's own answers come before this; whatever keeps one back, the client gets its own.
            self.diagnostics.counters.backstops += 1;
            self.conclude(id, Some(Response::Failed));
            self.feed(Event::ClientGone { id });
        }
    }
}
