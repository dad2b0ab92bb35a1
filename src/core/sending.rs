//! Attempts and probes on their way out: handed to a target's actor, asked for once more before their first
//! byte, and called off.

use crate::core::actor::Core;
use crate::core::attempt::{Attempt, Probe, ProbeReport, Report, TargetMessage};
use crate::core::diagnostics::AttemptTrace;
use crate::core::requests::Out;
use crate::interface::{AttemptNumber, Event, LoadReport, Micros, Outcome, RequestId, TargetId, TargetState};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

impl Core {
    /// Asks a target whether it answers. False: it was not asked.
    pub(super) fn probe(&mut self, now: Micros, node: TargetId) -> bool {
        let until = self.clock.instant(now + 1_000_000);
        let place = self.tx.upgrade().and_then(|tx| tx.try_reserve_owned().ok());
        let (Some(mailbox), Some(place)) = (self.mailbox(node), place) else { return false };
        let probe = Probe { until, report: ProbeReport::new(node, now, self.clock, place) };
        // A probe that finds no place tells so by its drop.
        let _ = mailbox.try_send(TargetMessage::Probe(probe));
        true
    }

    /// Hands an attempt to its target's actor, which asks once more before its first byte.
    pub(super) fn send(&mut self, now: Micros, id: RequestId, node: TargetId, timeout: Option<Micros>) {
        let mailbox = self.mailbox(node);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let number = AttemptNumber(open.attempts.len() as u32);
        let until = open.deadline.min(timeout.map_or(Micros::MAX, |t| now.saturating_add(t)));
        let (cancel, canceled) = oneshot::channel();
        let started = false;
        open.traces.push(AttemptTrace { node, sent: now, started: None, heard: None, ended: None });
        open.attempts.push(self.targets.get(&node).map(|target| {
            let addr = target.told.addr;
            Out { node, addr, sent: now, started, heard: None, cancel: Some(cancel) }
        }));
        // Without places for its start and its end, or a target that takes it, the attempt never was.
        let sent = open.answer.is_some()
            && mailbox.is_some_and(|mailbox| {
                let reserve = || self.tx.upgrade().and_then(|tx| tx.try_reserve_owned().ok());
                reserve().zip(reserve()).is_some_and(|(start, place)| {
                    let begun = open.request.more.as_ref().and_then(|_| reserve());
                    let attempt = Attempt {
                        request: Rc::clone(&open.request),
                        until: self.clock.instant(until),
                        cancel: canceled,
                        report: Report::new(id, number, start, place, begun, reserve()),
                    };
                    match mailbox.try_send(TargetMessage::Attempt(Box::new(attempt))) {
                        Ok(()) => true,
                        Err(mpsc::error::TrySendError::Full(m) | mpsc::error::TrySendError::Closed(m)) => {
                            if let TargetMessage::Attempt(attempt) = m {
                                attempt.report.forget();
                            }
                            false
                        }
                    }
                })
            });
        if !sent {
            if let Some(out) = open.attempts.last_mut() {
                *out = None;
            }
            self.next.push_back(Event::AttemptEnded {
                id,
                attempt: number,
                target: node,
                outcome: Outcome::NotSent,
                elapsed: 0,
                request_over: open.answer.is_none(),
                used_fraction: None,
                units_elsewhere: 0.0,
                load: LoadReport::default(),
            });
        }
    }

    /// The last check before an attempt's first byte: its connection is up, which may have taken long. What
    /// was true when it was sent must still be: its target is wanted and where it was, its client waits,
    /// there is time, and it may run beside what ran before. The units that it took are held for as long as
    /// it is out.
    pub(super) fn may_start(&mut self, id: RequestId, number: AttemptNumber) -> bool {
        let wanted = self.scheduler.may_start(self.clock.now(), id, number);
        let Some(open) = self.requests.get_mut(&id).filter(|open| open.answer.is_some()) else {
            return false;
        };
        let Some(Some(out)) = open.attempts.get_mut(number.0 as usize) else { return false };
        let there = self.targets.get(&out.node).is_some_and(|target| target.told.addr == out.addr);
        out.started = wanted && there && out.cancel.is_some();
        let (started, node) = (out.started, out.node);
        // A long body's last byte comes much later: the end of its attempt tells.
        let now = self.clock.now();
        if started && open.request.more.is_none() {
            self.scheduler.commit_reserved(now, id);
        }
        open.trace(number, |trace| trace.started = started.then_some(now));
        let (id, target) = (&open.request.id, self.names.target_name(node));
        tracing::debug!(id, attempt = number.0, target, started, "a connection is up");
        started
    }

    /// Calls off what has not started at a target that takes nothing new, so that it need not wait for a
    /// connection that it may not use.
    pub(super) fn call_off_unstarted(&mut self) {
        let targets = &self.targets;
        let wanted = |out: &Out| {
            let target = targets.get(&out.node);
            target.is_some_and(|t| t.line.state == TargetState::Active && t.told.addr == out.addr)
        };
        let out = self.requests.values_mut().flat_map(|open| open.attempts.iter_mut().flatten());
        out.filter(|out| !out.started && !wanted(out)).for_each(|out| out.cancel = None);
    }
}
