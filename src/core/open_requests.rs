//! The requests that are not settled. Each has exactly one response for its client, and is removed once the
//! response is sent and none of its attempts is in flight. A watchdog watches their deadlines.

use crate::core::request::{Request, Response};
use crate::core::request_ids::RequestIds;
use crate::interface::{AttemptNumber, Micros, Outcome, RequestId, TargetId, TargetSetId};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The core fails a request that the scheduler has not answered this long after its deadline, in
/// microseconds. This is later than the scheduler's own last response, and well within the slack that the
/// platform's rules allow.
const WATCHDOG_DELAY: Micros = 10_000;

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) target: TargetId,
    /// The target's address at the time the attempt was sent.
    pub(super) addr: SocketAddr,
    pub(super) sent: Micros,
    /// Whether its first byte may have been sent.
    pub(super) started: bool,
    /// When the head of its response arrived.
    pub(super) response_started: Option<Micros>,
    /// Absent once the attempt is cancelled. Dropping it signals the cancellation; the attempt still reports
    /// its end.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

impl InFlightAttempt {
    pub(super) fn is_cancelled(&self) -> bool {
        self.cancel.is_none()
    }

    pub(super) fn cancel(&mut self) {
        self.cancel = None;
    }
}

/// The history of an attempt, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptTrace {
    pub(super) target: TargetId,
    pub(super) sent: Micros,
    pub(super) started: Option<Micros>,
    pub(super) response_started: Option<Micros>,
    pub(super) ended: Option<(Micros, Outcome)>,
}

/// A request that has no response yet, or has an attempt in flight.
pub(super) struct OpenRequest {
    pub(super) request: Rc<Request>,
    /// When its front had received it entirely. The client's time counts from then.
    pub(super) arrived: Micros,
    /// When the core began to handle it.
    pub(super) submitted: Micros,
    pub(super) deadline: Micros,
    /// Absent once the response is sent or the client has disconnected.
    pub(super) response: Option<oneshot::Sender<Response>>,
    /// Indexed by attempt number; `None` once the attempt has ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
    /// The history of all attempts, by attempt number, for the log.
    pub(super) traces: Vec<AttemptTrace>,
    /// The targets that its route allows; absent if all are allowed.
    pub(super) target_set: Option<TargetSetId>,
}

impl OpenRequest {
    /// Whether its response is sent or its client has disconnected.
    pub(super) fn is_finished(&self) -> bool {
        self.response.is_none()
    }

    /// The attempt with this number; `None` once it has ended.
    pub(super) fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(number.0 as usize)?.as_mut()
    }

    /// Removes an attempt that was in flight and returns it.
    pub(super) fn take_attempt(&mut self, number: AttemptNumber) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number.0 as usize)?.take()
    }

    /// Updates the history of an attempt.
    pub(super) fn trace(&mut self, number: AttemptNumber, note: impl FnOnce(&mut AttemptTrace)) {
        if let Some(trace) = self.traces.get_mut(number.0 as usize) {
            note(trace);
        }
    }

    /// Whether an attempt that has ended may have run.
    pub(super) fn may_have_run(&self) -> bool {
        let mut outcomes = self.traces.iter().filter_map(|trace| trace.ended);
        outcomes.any(|(_, outcome)| !outcome.proves_not_executed())
    }

    /// Whether its body is streamed: then only one attempt can send it, which may last beyond the deadline.
    pub(super) fn is_streamed(&self) -> bool {
        self.request.body_rest.is_some()
    }

    /// Cancels the attempts that are no longer useful to its client. Attempts that have started continue,
    /// since the target may already have done the work, unless their body is streamed from the client.
    fn cancel_attempts(&mut self) {
        let streamed = self.is_streamed();
        let cancellable = self.attempts.iter_mut().flatten().filter(|attempt| streamed || !attempt.started);
        cancellable.for_each(InFlightAttempt::cancel);
    }

    fn is_settled(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(Option::is_none)
    }
}

/// All requests that are not settled.
pub(super) struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    /// The requests whose deadline is watched, ordered by the time at which the watchdog fails them.
    watchdog: BTreeSet<(Micros, RequestId)>,
    /// When the response to each request is due at the latest; absent: no shutdown has begun.
    responses_due: Option<Micros>,
    request_ids: RequestIds,
    /// The number of requests without a response, shared with [`CoreHandle`](crate::core::CoreHandle).
    unanswered: Rc<Cell<usize>>,
}

impl OpenRequests {
    /// Creates an empty set. The ids and the count are shared with [`CoreHandle`](crate::core::CoreHandle).
    pub(super) fn new(request_ids: RequestIds, unanswered: Rc<Cell<usize>>) -> OpenRequests {
        OpenRequests {
            requests: HashMap::new(),
            watchdog: BTreeSet::new(),
            responses_due: None,
            request_ids,
            unanswered,
        }
    }

    /// The number of requests without a response.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.watchdog.insert((request.deadline + WATCHDOG_DELAY, id));
        self.requests.insert(id, request);
        self.unanswered.set(self.unanswered.get() + 1);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Takes the sender of a request's response, which finishes the request. `None`: it was already finished.
    pub(super) fn take_response(&mut self, id: RequestId) -> Option<oneshot::Sender<Response>> {
        let request = self.requests.get_mut(&id)?;
        let response = request.response.take()?;
        self.watchdog.remove(&(request.deadline + WATCHDOG_DELAY, id));
        self.unanswered.set(self.unanswered.get() - 1);
        Some(response)
    }

    /// Cancels the attempts of a finished request that are no longer useful to its client.
    pub(super) fn cancel_attempts(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.cancel_attempts();
        }
    }

    /// Cancels one attempt.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: AttemptNumber) {
        if let Some(attempt) = self.requests.get_mut(&id).and_then(|request| request.attempt_mut(number)) {
            attempt.cancel();
        }
    }

    /// Cancels the attempts that have not started and for which `usable` returns false.
    pub(super) fn cancel_unstarted(&mut self, usable: impl Fn(&InFlightAttempt) -> bool) {
        let attempts = self.requests.values_mut().flat_map(|request| request.attempts.iter_mut().flatten());
        attempts.filter(|attempt| !attempt.started && !usable(attempt)).for_each(InFlightAttempt::cancel);
    }

    /// Whether an attempt is in flight at the target. Iterates over all requests: for rare operations only.
    pub(super) fn any_attempt_at(&self, target: TargetId) -> bool {
        let attempts = self.requests.values().flat_map(|request| request.attempts.iter().flatten());
        attempts.into_iter().any(|attempt| attempt.target == target)
    }

    /// Removes a request that is finished and has no attempt in flight, whose id is free again if it never ran.
    pub(super) fn remove_if_settled(&mut self, id: RequestId) -> Option<OpenRequest> {
        self.requests.get(&id).filter(|request| request.is_settled())?;
        let request = self.requests.remove(&id)?;
        self.request_ids.settle(&request.request.id, request.may_have_run());
        Some(request)
    }

    /// Stops watching a request's deadline, which does not apply while its body is streamed.
    pub(super) fn stop_watching(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.watchdog.remove(&(request.deadline + WATCHDOG_DELAY, id));
        }
    }

    /// When the deadline watchdog is due next.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        let last_responses = self.responses_due.filter(|_| self.unanswered() > 0);
        let last_responses = last_responses.map(|due| due + WATCHDOG_DELAY);
        [self.watchdog.first().map(|(at, _)| *at), last_responses].into_iter().flatten().min()
    }

    /// Ends the deadlines of all requests by `responses_due`, when the process makes its last responses. The watchdog
    /// then fails what is open, including requests whose own deadline is not watched.
    pub(super) fn begin_shutdown(&mut self, responses_due: Micros) {
        let responses_due = self.deadline_before_shutdown(responses_due);
        self.responses_due = Some(responses_due);
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > responses_due)
        {
            self.watchdog.remove(&(request.deadline + WATCHDOG_DELAY, *id));
            request.deadline = responses_due;
        }
    }

    /// The deadline of a request whose client waits until `deadline`.
    pub(super) fn deadline_before_shutdown(&self, deadline: Micros) -> Micros {
        self.responses_due.map_or(deadline, |responses_due| deadline.min(responses_due))
    }

    /// Whether the process has made its last responses, so that a request without one fails.
    pub(super) fn last_responses_overdue(&self, now: Micros) -> bool {
        self.unanswered() > 0 && self.responses_due.is_some_and(|due| due + WATCHDOG_DELAY <= now)
    }

    /// The request whose watchdog time passed first; `None` if no watchdog time has passed.
    pub(super) fn first_overdue(&self, now: Micros) -> Option<RequestId> {
        self.watchdog.first().filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }
}
