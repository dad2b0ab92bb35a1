//! The discovery client of one initiator: polls for the endpoint list by its schedule, over the simulator's
//! protocol. There, a subscription stays open without renewal, and a failure does not identify the poll that
//! failed.

use crate::wire::InitiatorAction;
use rowanglade::interface::Micros;
use rowanglade::settings::Settings;
use rowanglade_discovery_polling::{Command, Delivery, Outcome, RequestId, Schedule, WatchMode};
use std::collections::VecDeque;

/// The token of the schedule's timers. The scheduler's tokens are times, which are far smaller.
pub const TIMER_TOKEN: u64 = 1 << 52;

/// The discovery client of one initiator.
pub struct DiscoveryClient {
    initiator: u64,
    schedule: Schedule,
    /// Requests without a response, in the order in which they were sent.
    in_flight: VecDeque<RequestId>,
    /// The time of the earliest timer that was requested and has not fired.
    timer_at: Option<Micros>,
}

impl DiscoveryClient {
    /// Creates the client; `None` if the endpoint list is pushed and needs no polls.
    pub fn new(initiator: u64, settings: &Settings, seed: u64, now: Micros) -> Option<DiscoveryClient> {
        let polled = matches!(settings.delivery(), Delivery::Polled { .. });
        polled.then(|| DiscoveryClient {
            initiator,
            schedule: settings.discovery_schedule(WatchMode::Subscription, seed, now),
            in_flight: VecDeque::new(),
            timer_at: None,
        })
    }

    /// Records that the endpoint list, or a change of it, arrived.
    pub fn list_received(&mut self, now: Micros) {
        if let Some(id) = self.in_flight.pop_front() {
            self.schedule.handle_outcome(now, id, Outcome::Received);
        }
    }

    /// Records that a poll failed, or that the subscription broke.
    pub fn failed(&mut self, now: Micros) {
        match self.in_flight.pop_front() {
            Some(id) => self.schedule.handle_outcome(now, id, Outcome::Rejected),
            None => self.schedule.handle_subscription_broken(now),
        }
    }

    /// Records that a timer with [`TIMER_TOKEN`] fired.
    pub fn timer_fired(&mut self, now: Micros) {
        self.timer_at = self.timer_at.filter(|at| *at > now);
    }

    /// Carries out the commands of the schedule that are due, and requests a timer for the next one.
    pub fn poll(&mut self, now: Micros, actions: &mut Vec<InitiatorAction>) {
        while let Some(command) = self.schedule.poll(now) {
            match command {
                Command::Send(request) => {
                    self.in_flight.push_back(request.id);
                    actions.push(InitiatorAction::subscribe(self.initiator));
                }
                Command::Cancel(id) => self.in_flight.retain(|request| *request != id),
            }
        }
        let due = self.schedule.next_timeout().map(|at| at.max(now));
        if let Some(at) = due.filter(|at| self.timer_at.is_none_or(|timer| *at < timer)) {
            self.timer_at = Some(at);
            actions.push(InitiatorAction::set_timer(self.initiator, TIMER_TOKEN, at - now));
        }
    }
}
