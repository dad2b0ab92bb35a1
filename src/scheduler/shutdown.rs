//! The end of this process. From the start of a shutdown on, no request has its deadline after the last time
//! at which the process still responds, so every rule on deadlines holds for that time too.

use super::Scheduler;
use super::request::RequestState;
use crate::interface::{Micros, RequestId, TargetId};

/// Nothing is sent to a target in this time before the last responses are due, whatever is predicted: on a
/// busy machine a response may need this long to be passed on.
const MIN_ATTEMPT_MICROS: Micros = 50_000;

impl Scheduler {
    /// Handles the start of a shutdown: each response of this process is due by `responses_due`. An earlier
    /// time that is known already stays.
    ///
    /// Guards against requests that are sent to a target and have nobody left to pass their response on.
    pub(super) fn shutdown_started(&mut self, responses_due: Micros) {
        let responses_due = self.deadline_before_shutdown(responses_due);
        self.responses_due = Some(responses_due);
        let is_later = |(_, request): &(&RequestId, &RequestState)| request.deadline > responses_due;
        let later: Vec<RequestId> = self.requests.iter().filter(is_later).map(|(id, _)| *id).collect();
        for id in later {
            self.shorten_deadline(id, responses_due);
        }
    }

    /// The deadline of a request whose client waits until `deadline`.
    pub(super) fn deadline_before_shutdown(&self, deadline: Micros) -> Micros {
        self.responses_due.map_or(deadline, |responses_due| deadline.min(responses_due))
    }

    /// Whether this process ends too early to pass on the response to a request that is sent now.
    pub(super) fn is_too_late_to_respond(&self, now: Micros) -> bool {
        self.responses_due.is_some_and(|responses_due| now + MIN_ATTEMPT_MICROS >= responses_due)
    }

    /// Whether this process ends before it could pass on a response that is predicted for `completes_at`.
    pub(super) fn ends_before(&self, completes_at: Micros) -> bool {
        self.responses_due.is_some_and(|responses_due| completes_at > responses_due)
    }

    /// Whether this process is predicted to end before a target has served a request that is sent now.
    pub(super) fn ends_before_served(&self, now: Micros, request: &RequestState, target: TargetId) -> bool {
        if self.responses_due.is_none() {
            return false;
        }
        let served_at = now + self.predicted_time(now, target, request.class, request.units);
        self.is_too_late_to_respond(now) || self.ends_before(served_at)
    }

    /// Brings a request's deadline forward. Requests are queued by their virtual deadline: all that are later
    /// than the new one become equal, so their order stays.
    fn shorten_deadline(&mut self, id: RequestId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_watched = self.deadlines.remove(&(request.deadline, id));
        request.deadline = deadline;
        request.objective_at = request.objective_at.min(deadline);
        request.virtual_deadline = request.virtual_deadline.min(deadline);
        request.queue_timeout_at = request.queue_timeout_at.min(deadline);
        if is_watched {
            self.deadlines.insert((deadline, id));
        }
    }
}
