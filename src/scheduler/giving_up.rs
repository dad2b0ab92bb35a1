//! Which requests are given up since their time is over: at their deadline, or waiting without an attempt.

use super::request::RequestState;
use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{Action, Micros, RequestId};

impl Scheduler {
    /// Answers all requests whose deadline comes, whatever is in flight for them: a client that has given up
    /// reads no response.
    pub(super) fn answer_at_deadline(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now + RESPONSE_MARGIN_MICROS
        {
            self.reject_or_fail(now, id, actions);
        }
    }

    /// Gives up queued requests without an attempt whose queue timeout is over, or whose volume's limit has
    /// no units for them before their deadline.
    ///
    /// Guards against clients that wait until their deadline for a response that cannot come in time.
    pub(super) fn give_up_unsent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_unsent = |request: &RequestState| request.queued && request.attempts.is_empty();
        let is_over = |request: &RequestState| {
            self.quota_fills_too_late(now, request) || request.queue_timeout_at < now
        };
        let over = self.requests.iter().filter(|(_, request)| is_unsent(request) && is_over(request));
        let over: Vec<RequestId> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.reject_or_fail(now, id, actions);
        }
    }
}
