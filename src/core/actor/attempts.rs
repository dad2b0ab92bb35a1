//! Attempts and probes on their way out: handed to a target's actor, and checked once more before their first
//! byte.

use super::Core;
use crate::core::attempt::{Attempt, AttemptPermits, AttemptReporter, Probe, ProbeReporter, TargetMessage};
use crate::core::message::Message;
use crate::core::open_requests::{AttemptTrace, InFlightAttempt, OpenRequest};
use crate::interface::{AttemptNumber, Event, LoadReport, Micros, Outcome, RequestId, TargetId};
use std::rc::Rc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;

/// How long a probe may take.
const PROBE_TIMEOUT: Micros = 1_000_000;

impl Core {
    /// Asks a target whether it answers. False: it was not asked.
    pub(super) fn start_probe(&mut self, now: Micros, target: TargetId) -> bool {
        let until = self.clock.instant(now + PROBE_TIMEOUT);
        let permit = reserve(&self.mailbox_sender);
        let (Some(mailbox), Some(permit)) = (self.endpoints.mailbox(target), permit) else { return false };
        let probe = Probe { until, report: ProbeReporter::new(target, now, self.clock, permit) };
        // A probe that finds no place reports that by its drop.
        let _ = mailbox.try_send(TargetMessage::Probe(probe));
        true
    }

    /// A probe's end.
    pub(super) fn probe_ended(
        &mut self,
        target: TargetId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    ) {
        let now = self.clock.now();
        if let Some((sites, name)) = self.endpoints.site_of(target) {
            sites.attempt_ended(now, name, outcome, false, None);
        }
        self.apply_event(Event::ProbeEnded { target, outcome, elapsed, load });
    }

    /// Hands an attempt to its target's actor, which asks once more before its first byte.
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
        // Without places for its start and its end, or a target that takes it, the attempt never was.
        let sent = !open.is_finished()
            && mailbox.zip(reserve_attempt_permits(open, &self.mailbox_sender)).is_some_and(
                |(mailbox, permits)| {
                    let request = Rc::clone(&open.request);
                    let report = AttemptReporter::new(id, number, permits);
                    send_attempt(&mailbox, Attempt { request, until, cancel: cancelled, report })
                },
            );
        if !sent {
            open.take_attempt(number);
            let request_over = open.is_finished();
            self.queued_events.push_back(attempt_not_sent(id, number, target, request_over));
        }
    }

    /// The last check before an attempt's first byte: its connection is up, which may have taken long. What
    /// was true when it was sent must still be: its target is wanted and where it was, its client waits,
    /// there is time, and it may run beside what ran before. The units that it took are held for as long as
    /// it is in flight.
    pub(super) fn may_start(&mut self, id: RequestId, number: AttemptNumber) -> bool {
        let now = self.clock.now();
        let wanted = self.scheduler.may_start(now, id, number);
        let Some(open) = self.open_requests.get_mut(id).filter(|open| !open.is_finished()) else {
            return false;
        };
        let streamed = open.is_streamed();
        let Some(attempt) = open.attempt_mut(number) else { return false };
        let target = attempt.target;
        let same_addr = self.endpoints.get(target).is_some_and(|listed| listed.reported.addr == attempt.addr);
        let started = wanted && same_addr && !attempt.is_cancelled();
        attempt.started = started;
        // A streamed body's last byte comes much later: the end of its attempt settles that.
        if started && !streamed {
            self.scheduler.commit_reserved(now, id);
        }
        open.trace(number, |trace| trace.started = started.then_some(now));
        let (id, target) = (&open.request.id, self.names.target_name(target));
        tracing::debug!(id, attempt = number.0, target, started, "attempt connection established");
        started
    }
}

fn reserve(mailbox: &mpsc::WeakSender<Message>) -> Option<OwnedPermit<Message>> {
    mailbox.upgrade()?.try_reserve_owned().ok()
}

/// Places in the core's mailbox for all that an attempt must report. `None`: there are too few.
fn reserve_attempt_permits(
    open: &OpenRequest,
    mailbox: &mpsc::WeakSender<Message>,
) -> Option<AttemptPermits> {
    let start = reserve(mailbox)?;
    let end = reserve(mailbox)?;
    let body_started = if open.is_streamed() { reserve(mailbox) } else { None };
    Some(AttemptPermits { start, end, body_started, response_started: reserve(mailbox) })
}

/// False: the target's actor does not take it.
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
