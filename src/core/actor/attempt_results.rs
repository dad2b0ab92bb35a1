//! Handles what attempts report: the start of a request body, the head of a response, and the outcome.

use super::Core;
use crate::core::body::ResponseBody;
use crate::core::open_requests::{InFlightAttempt, OpenRequest};
use crate::core::request::{AttemptResult, Request, Response};
use crate::interface::{AttemptNumber, Event, Micros, Outcome, RequestId, TargetId};
use std::rc::Rc;
use std::time::Duration;

impl Core {
    /// An attempt has begun to send the streamed part of a request's body. From here on the deadline counts
    /// from the body's last byte and is enforced by the attempt itself.
    pub(super) fn handle_body_started(&mut self, id: RequestId, number: AttemptNumber) {
        if self.open_requests.get(id).is_some() {
            self.open_requests.stop_watching(id);
            self.apply_event(Event::TransferStarted { id, attempt: number, deadline_applies: false });
        }
    }

    /// The head of an attempt's response has arrived.
    pub(super) fn handle_response_started(&mut self, id: RequestId, number: AttemptNumber) {
        let now = self.clock.now();
        let Some(open) = self.open_requests.get_mut(id) else { return };
        open.trace(number, |trace| trace.response_started = Some(now));
        if let Some(attempt) = open.attempt_mut(number) {
            attempt.response_started = Some(now);
            self.apply_event(Event::TransferStarted { id, attempt: number, deadline_applies: true });
        }
    }

    /// An attempt has ended. The first served attempt of a request determines the client's response.
    pub(super) fn handle_attempt_end(&mut self, id: RequestId, number: AttemptNumber, result: AttemptResult) {
        let Some(open) = self.open_requests.get_mut(id) else { return };
        let Some(attempt) = open.take_attempt(number) else { return };
        let result = as_not_sent_if_unstarted(&attempt, result);
        let outcome = outcome_of_incomplete_body(&open.request, result.outcome);
        let now = self.clock.now();
        open.trace(number, |trace| trace.ended = Some((now, outcome)));
        let may_have_run = open.may_have_run();
        let request = Rc::clone(&open.request);
        self.record_location(attempt.target, &request, outcome);
        let consumed = request.body_rest.as_ref().is_some_and(|upload| upload.is_consumed());
        if let Some(response) = final_response_for(outcome, consumed, may_have_run, result.body) {
            self.finish_request(id, Some(response));
        }
        tracing::debug!(request = id.0, attempt = number.0, ?outcome, "attempt ended");
        let request_over = self.open_requests.get(id).is_none_or(OpenRequest::is_finished);
        let elapsed = self.response_time(&attempt, &request, now);
        // An attempt cancelled because its client left is no evidence about the site.
        if !(request_over && outcome == Outcome::Cancelled)
            && let Some((sites, name)) = self.endpoints.site_of(attempt.target)
        {
            sites.handle_attempt_end(now, name, outcome, attempt.response_started.is_some(), Some(elapsed));
        }
        self.apply_event(Event::AttemptEnded {
            id,
            attempt: number,
            target: attempt.target,
            outcome,
            elapsed,
            request_over,
            used_fraction: result.used_fraction,
            units_elsewhere: result.units_elsewhere,
            load: result.load,
        });
        self.remove_if_settled(id);
    }

    /// The time that the target took for an attempt that ends now. For a streamed request it counts from the
    /// body's last byte. The transfer time of the response body is not counted, since it does not depend on
    /// the target.
    fn response_time(&self, attempt: &InFlightAttempt, request: &Request, now: Micros) -> Micros {
        let completed_at = request.body_rest.as_ref().and_then(|upload| upload.completed_at());
        let body_completed_at = completed_at.map_or(0, |at| self.clock.at(at));
        let response_at = attempt.response_started.filter(|at| *at >= body_completed_at).unwrap_or(now);
        response_at.saturating_sub(attempt.sent.max(body_completed_at))
    }

    /// Records what an attempt's outcome shows about the location of its object.
    fn record_location(&mut self, target: TargetId, request: &Request, outcome: Outcome) {
        let Some(shard) = self.endpoints.get(target).map(|target| target.reported.shard) else { return };
        let object = (request.volume, request.object);
        let observation = match outcome {
            Outcome::Served => self.object_locations.record_served(object, request.shard, shard),
            Outcome::DeadlineExceeded => self.object_locations.record_rejected(object, shard),
            _ => None,
        };
        if let Some(observation) = observation {
            self.handover.send_observation(observation);
        }
    }
}

/// Corrects the result of an attempt that was never allowed to start: none of it was sent, whatever the
/// target's actor reports.
fn as_not_sent_if_unstarted(attempt: &InFlightAttempt, result: AttemptResult) -> AttemptResult {
    match attempt.started || result.outcome.proves_not_executed() {
        true => result,
        false => AttemptResult::without_response(Outcome::NotSent),
    }
}

/// Corrects the outcome of an attempt that was cancelled while its client had not sent all of the body: the time until
/// then is the client's, and the target has not run the request.
fn outcome_of_incomplete_body(request: &Request, outcome: Outcome) -> Outcome {
    let is_incomplete = request.body_rest.as_ref().is_some_and(|upload| upload.completed_at().is_none());
    match outcome {
        Outcome::Cancelled if is_incomplete => Outcome::ClientAborted,
        outcome => outcome,
    }
}

/// The response that an attempt's outcome determines for its client. `None`: the scheduler may retry. If part
/// of a streamed body was read (`consumed`), it cannot be sent to another attempt. `may_have_run`: whether this attempt,
/// or an earlier one, may have run.
fn final_response_for(
    outcome: Outcome,
    consumed: bool,
    may_have_run: bool,
    body: ResponseBody,
) -> Option<Response> {
    match outcome {
        Outcome::Served => Some(Response::Served(body)),
        _ if consumed && may_have_run => Some(Response::Failed),
        _ if consumed => Some(Response::Rejected { retry_after: Duration::ZERO }),
        _ => None,
    }
}
