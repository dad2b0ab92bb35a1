//! Expiry of requests: at their deadline, or at the queue timeout if they have had no attempt.

use super::request::RequestState;
use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{Action, Micros, RequestId};

impl Scheduler {
    /// Answers all requests whose deadline is reached, also those with an attempt in flight: a client that
    /// has stopped waiting reads no response.
    pub(super) fn answer_at_deadline(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now + RESPONSE_MARGIN_MICROS
        {
            self.reject_or_fail(now, id, actions);
        }
    }

    /// Answers queued requests without an attempt whose queue timeout has passed, or whose volume's limit
    /// does not provide their units before their deadline.
    ///
    /// Guards against clients that wait until their deadline for a response that cannot arrive in time.
    pub(super) fn expire_unsent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_unsent = |request: &RequestState| request.queued && request.attempts.is_empty();
        let is_expired = |request: &RequestState| {
            self.quota_fills_too_late(now, request) || request.queue_timeout_at < now
        };
        let expired = self.requests.iter().filter(|(_, request)| is_unsent(request) && is_expired(request));
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.reject_or_fail(now, id, actions);
        }
    }
}
