//! Starts attempts and probes: each is sent to its target's actor, and an attempt is checked again before its
//! first byte is sent.

use super::Core;
use crate::core::attempt::{Attempt, AttemptPermits, AttemptReporter, Probe, ProbeReporter, TargetMessage};
use crate::core::message::Message;
use crate::core::open_requests::{AttemptTrace, InFlightAttempt, OpenRequest};
use crate::interface::{AttemptNumber, Event, LoadReport, Micros, Outcome, RequestId, TargetId};
use std::rc::Rc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;

/// Timeout of a probe, in microseconds.
const PROBE_TIMEOUT: Micros = 1_000_000;

impl Core {
    /// Sends a health check to a target. Returns false if it could not be sent.
    pub(super) fn start_probe(&mut self, now: Micros, target: TargetId) -> bool {
        let until = self.clock.instant(now + PROBE_TIMEOUT);
        let permit = reserve_permit(&self.mailbox_sender);
        let (Some(mailbox), Some(permit)) = (self.endpoints.mailbox(target), permit) else { return false };
        let probe = Probe { until, report: ProbeReporter::new(target, now, self.clock, permit) };
        // If the mailbox is full, the reporter in the dropped probe reports it as not sent.
        let _ = mailbox.try_send(TargetMessage::Probe(probe));
        true
    }

    /// A probe has ended.
    pub(super) fn handle_probe_end(
        &mut self,
        target: TargetId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    ) {
        let now = self.clock.now();
        if let Some((sites, name)) = self.endpoints.site_of(target) {
            sites.handle_attempt_end(now, name, outcome, false, None);
        }
        self.apply_event(Event::ProbeEnded { target, outcome, elapsed, load });
    }

    /// Sends an attempt to its target's actor, which asks again by [`Message::MayStart`] before the first
    /// byte.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        target: TargetId,
        timeout: Option<Micros>,
    ) {
        let mailbox = self.endpoints.mailbox(target);
        let Some(open) = self.open_requests.get_mut(id) else { return };
        let number = AttemptNumber(open.attempts.len() as u32);
        let timeout_at = timeout.map_or(Micros::MAX, |timeout| now.saturating_add(timeout));
        let until = self.clock.instant(open.deadline.min(timeout_at));
        // A part of a streamed body may be gone, so that no other attempt could send it.
        let gives_up_stalled_response =
            !open.is_streamed() && self.scheduler.gives_up_stalled_response(id, number);
        let (cancel, cancelled) = oneshot::channel();
        open.traces.push(AttemptTrace {
            target,
            sent: now,
            started: None,
            response_started: None,
            ended: None,
        });
        open.attempts.push(self.endpoints.get(target).map(|listed| InFlightAttempt {
            target,
            addr: listed.reported.addr,
            sent: now,
            started: false,
            response_started: None,
            cancel: Some(cancel),
        }));
        // If permits for its reports are lacking or the target's mailbox is full, the attempt counts as not
        // sent.
        let sent = !open.is_finished()
            && mailbox.zip(reserve_attempt_permits(open, &self.mailbox_sender)).is_some_and(
                |(mailbox, permits)| {
                    let request = Rc::clone(&open.request);
                    let report = AttemptReporter::new(id, number, permits);
                    let attempt =
                        Attempt { request, until, gives_up_stalled_response, cancel: cancelled, report };
                    send_attempt(&mailbox, attempt)
                },
            );
        if !sent {
            open.take_attempt(number);
            let request_over = open.is_finished();
            self.queued_events.push_back(attempt_not_sent(id, number, target, request_over));
        }
    }

    /// The last check before an attempt's first byte, after its connection has been established, which may
    /// have taken long. The conditions under which the attempt was sent must still hold: the target is active
    /// at the same address, the client is waiting, time is left, and the scheduler still allows it beside the
    /// earlier attempts. Its reserved units stay reserved while it is in flight.
    pub(super) fn may_start(&mut self, id: RequestId, number: AttemptNumber) -> bool {
        let now = self.clock.now();
        let allowed = self.scheduler.may_start(now, id, number);
        let Some(open) = self.open_requests.get_mut(id).filter(|open| !open.is_finished()) else {
            return false;
        };
        let streamed = open.is_streamed();
        let Some(attempt) = open.attempt_mut(number) else { return false };
        let target = attempt.target;
        let same_addr = self.endpoints.get(target).is_some_and(|listed| listed.reported.addr == attempt.addr);
        let started = allowed && same_addr && !attempt.is_cancelled();
        attempt.started = started;
        // The last byte of a streamed body comes much later: the units are settled when the attempt ends.
        if started && !streamed {
            self.scheduler.commit_reserved(now, id);
        }
        open.trace(number, |trace| trace.started = started.then_some(now));
        if started {
            self.handover.send_used_id(&open.request.id);
        }
        let (id, target) = (&open.request.id, self.names.target_name(target));
        tracing::debug!(id, attempt = number.0, target, started, "attempt connection established");
        started
    }
}

fn reserve_permit(mailbox: &mpsc::WeakSender<Message>) -> Option<OwnedPermit<Message>> {
    mailbox.upgrade()?.try_reserve_owned().ok()
}

/// Reserves mailbox permits for all reports of an attempt. `None`: the mailbox has too few left.
fn reserve_attempt_permits(
    open: &OpenRequest,
    mailbox: &mpsc::WeakSender<Message>,
) -> Option<AttemptPermits> {
    let start = reserve_permit(mailbox)?;
    let end = reserve_permit(mailbox)?;
    let body_started = if open.is_streamed() { reserve_permit(mailbox) } else { None };
    Some(AttemptPermits { start, end, body_started, response_started: reserve_permit(mailbox) })
}

/// Returns false if the target's actor does not accept the attempt.
fn send_attempt(mailbox: &mpsc::Sender<TargetMessage>, attempt: Attempt) -> bool {
    match mailbox.try_send(TargetMessage::Attempt(Box::new(attempt))) {
        Ok(()) => true,
        Err(TrySendError::Full(message) | TrySendError::Closed(message)) => {
            if let TargetMessage::Attempt(attempt) = message {
                attempt.report.disarm();
            }
            false
        }
    }
}

fn attempt_not_sent(id: RequestId, attempt: AttemptNumber, target: TargetId, request_over: bool) -> Event {
    Event::AttemptEnded {
        id,
        attempt,
        target,
        outcome: Outcome::NotSent,
        elapsed: 0,
        request_over,
        used_fraction: None,
        units_elsewhere: 0.0,
        load: LoadReport::default(),
    }
}
