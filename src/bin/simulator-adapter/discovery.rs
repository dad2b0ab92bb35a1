//! Drives the schedule of one initiator's polls for the endpoint list on the simulator's wire, where a
//! subscription stays open by itself and a failure does not say which poll it belongs to.

use crate::wire::Sent;
use rowanglade::interface::Micros;
use rowanglade::settings::Settings;
use rowanglade_discovery_polling::{Command, Delivery, Outcome, RequestId, Schedule, WatchMode};
use std::collections::VecDeque;

/// The token of the schedule's timers. The scheduler's tokens are times, which stay far below it.
pub const TIMER_TOKEN: u64 = 1 << 52;

/// The discovery client of one initiator.
pub struct DiscoveryClient {
    initiator: u64,
    schedule: Schedule,
    /// Requests without a response, in the order sent.
    in_flight: VecDeque<RequestId>,
    /// When the earliest timer that was requested is due.
    timer_at: Option<Micros>,
}

impl DiscoveryClient {
    /// None where the list comes without being polled for.
    pub fn new(initiator: u64, settings: &Settings, seed: u64, now: Micros) -> Option<DiscoveryClient> {
        let polled = matches!(settings.delivery(), Delivery::Polled { .. });
        polled.then(|| DiscoveryClient {
            initiator,
            schedule: settings.discovery_schedule(WatchMode::Subscription, seed, now),
            in_flight: VecDeque::new(),
            timer_at: None,
        })
    }

    /// Records that the list or a change of it came.
    pub fn list_received(&mut self, now: Micros) {
        if let Some(id) = self.in_flight.pop_front() {
            self.schedule.handle_outcome(now, id, Outcome::Received);
        }
    }

    /// Records that a poll failed, or the subscription broke.
    pub fn failed(&mut self, now: Micros) {
        match self.in_flight.pop_front() {
            Some(id) => self.schedule.handle_outcome(now, id, Outcome::Rejected),
            None => self.schedule.handle_subscription_broken(now),
        }
    }

    /// Records that a timer of [`TIMER_TOKEN`] is due.
    pub fn timer_fired(&mut self, now: Micros) {
        self.timer_at = self.timer_at.filter(|at| *at > now);
    }

    /// Carries out what the schedule commands by now.
    pub fn poll(&mut self, now: Micros, out: &mut Vec<Sent>) {
        while let Some(command) = self.schedule.poll(now) {
            match command {
                Command::Send(request) => {
                    self.in_flight.push_back(request.id);
                    out.push(Sent::subscribe(self.initiator));
                }
                Command::Cancel(id) => self.in_flight.retain(|request| *request != id),
            }
        }
        let due = self.schedule.next_timeout().map(|at| at.max(now));
        if let Some(at) = due.filter(|at| self.timer_at.is_none_or(|timer| *at < timer)) {
            self.timer_at = Some(at);
            out.push(Sent::wake(self.initiator, TIMER_TOKEN, at - now));
        }
    }
}
