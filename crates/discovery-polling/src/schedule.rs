//! The state machine: events go in with their time, commands for the driver come out.

use crate::constants::*;
use crate::pacer::Pacer;
use crate::request::InFlight;
use crate::{Command, Delivery, Micros, Outcome, PollRequest, PollingConfig, RequestId, WatchMode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// What the schedule is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The list is not known to be up to date; a request that does not wait brings what was missed.
    CatchingUp,
    /// A watch is open.
    Watching,
}

/// When one initiator sends which request to discovery.
#[derive(Debug)]
pub struct Schedule {
    config: PollingConfig,
    random: Pcg64Mcg,
    phase: Phase,
    pacer: Pacer,
    in_flight: Vec<InFlight>,
    next_id: u64,
    /// When the next request is due that brings what was missed.
    send_at: Option<Micros>,
    /// When a hedged request is due beside one without a response.
    hedge_at: Option<Micros>,
    /// From one of these requests to the next hedged request.
    hedge_after: Micros,
    commands: VecDeque<Command>,
}

impl Schedule {
    /// A schedule whose first request is due within a cycle from `now`, at a phase drawn from `seed`.
    pub fn new(config: PollingConfig, seed: u64, now: Micros) -> Schedule {
        let mut schedule = Schedule {
            config,
            random: Pcg64Mcg::seed_from_u64(seed),
            phase: Phase::CatchingUp,
            pacer: Pacer::new(config.delivery, config.initiators),
            in_flight: Vec::new(),
            next_id: 0,
            send_at: None,
            hedge_at: None,
            hedge_after: HEDGE_AFTER,
            commands: VecDeque::new(),
        };
        schedule.catch_up(now, schedule.pacer.spread(), HEDGE_AFTER);
        schedule
    }

    /// The next command; none: nothing until [`Schedule::next_timeout`]. To be called until it returns none,
    /// after every event and whenever the time of [`Schedule::next_timeout`] has come.
    pub fn poll(&mut self, now: Micros) -> Option<Command> {
        if self.commands.is_empty() {
            self.cancel_expired(now);
            self.send_due(now);
        }
        self.commands.pop_front()
    }

    /// When [`Schedule::poll`] has a command next; none: only after an event.
    pub fn next_timeout(&self) -> Option<Micros> {
        let expiries = self.in_flight.iter().map(|request| request.expires_at);
        expiries.chain(self.send_at).chain(self.hedge_at).min()
    }

    /// A request has ended. Requests that are not in flight any more are ignored.
    pub fn handle_outcome(&mut self, now: Micros, id: RequestId, outcome: Outcome) {
        let Some(index) = self.in_flight.iter().position(|request| request.id == id) else { return };
        let request = self.in_flight.remove(index);
        match outcome {
            Outcome::Received => self.handle_received(now, request),
            Outcome::Rejected => self.handle_failure(now, request, true),
            Outcome::Failed => self.handle_failure(now, request, false),
        }
    }

    /// The subscription of [`WatchMode::Subscription`] has broken.
    pub fn handle_subscription_broken(&mut self, now: Micros) {
        if self.phase == Phase::Watching {
            self.catch_up(now, self.pacer.spread(), HEDGE_AFTER);
        }
    }

    /// Discovery is at another address. The driver drops all requests in flight itself; no command to cancel
    /// them follows.
    pub fn handle_address_change(&mut self, now: Micros) {
        self.in_flight.clear();
        self.commands.clear();
        self.pacer.reset_failures();
        self.catch_up(now, self.pacer.spread_after_address_change(), HEDGE_AFTER);
    }

    /// Whether a watch is open.
    pub fn is_watching(&self) -> bool {
        self.phase == Phase::Watching
    }

    /// A random time within `spread`, in this initiator's own part of it: all initiators together cover it
    /// evenly.
    fn phase_offset(&mut self, spread: Micros) -> Micros {
        let initiators = u128::from(self.config.initiators.max(1));
        let index = self.config.instance_index.map(u128::from).filter(|index| *index < initiators);
        let (part, parts) = match index {
            Some(index) => (index, initiators),
            None => (0, 1),
        };
        let within_part = u128::from(self.random.random_range(0..=spread));
        ((u128::from(spread) * part + within_part) / parts) as Micros
    }

    /// Plans a request that brings what was missed, at a time of this initiator's within `spread`.
    fn catch_up(&mut self, now: Micros, spread: Micros, hedge_after: Micros) {
        self.phase = Phase::CatchingUp;
        self.send_at = Some(now + self.phase_offset(spread));
        self.hedge_at = None;
        self.hedge_after = self.pacer.agent_hedge_after().unwrap_or(hedge_after);
    }

    fn handle_received(&mut self, now: Micros, request: InFlight) {
        if !request.is_long_poll() {
            self.pacer.record_response_time(now.saturating_sub(request.sent_at));
        }
        self.pacer.reset_failures();
        self.cancel_all();
        self.phase = Phase::Watching;
        self.send_at = None;
        self.hedge_at = None;
        if self.config.watch_mode == WatchMode::LongPoll {
            let max_wait = self.draw_long_poll_wait();
            self.send(now, max_wait, max_wait + LONG_POLL_RESPONSE_TIMEOUT);
        }
    }

    fn handle_failure(&mut self, now: Micros, request: InFlight, rejected: bool) {
        if request.is_long_poll() {
            // The watch broke: all initiators may have lost theirs in the same moment.
            self.catch_up(now, self.pacer.spread(), HEDGE_AFTER);
        } else if self.in_flight.is_empty() {
            self.plan_retry(now, request.sent_at, rejected);
        }
    }

    /// Plans the next request after one that was sent at `sent_at` for nothing.
    fn plan_retry(&mut self, now: Micros, sent_at: Micros, rejected: bool) {
        self.pacer.record_failure(now);
        self.hedge_at = None;
        self.send_at = Some(self.pacer.retry_at(now, sent_at, rejected));
    }

    fn cancel_all(&mut self) {
        let requests = self.in_flight.drain(..);
        self.commands.extend(requests.map(|request| Command::Cancel(request.id)));
    }

    /// Gives up requests that have no response in time.
    fn cancel_expired(&mut self, now: Micros) {
        while let Some(index) = self.in_flight.iter().position(|request| request.expires_at <= now) {
            let request = self.in_flight.remove(index);
            self.commands.push_back(Command::Cancel(request.id));
            if request.is_long_poll() {
                let hedge_after = self.pacer.hedge_after_silence();
                self.catch_up(now, self.pacer.spread_after_silence(), hedge_after);
            } else if self.in_flight.is_empty() {
                self.plan_retry(now, request.sent_at, false);
            }
        }
    }

    fn send_due(&mut self, now: Micros) {
        if self.send_at.is_some_and(|at| at <= now) {
            self.send_at = None;
            self.send(now, 0, self.pacer.request_timeout());
            self.hedge_at = Some(now + self.hedge_after);
        }
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.send_hedge(now);
        }
    }

    /// Sends a hedged request beside those without a response.
    fn send_hedge(&mut self, now: Micros) {
        let max_in_flight = match self.pacer.polls_own_agent() {
            true => MAX_REQUESTS_TO_AGENT_IN_FLIGHT,
            false => MAX_REQUESTS_IN_FLIGHT,
        };
        self.send(now, 0, self.pacer.request_timeout());
        let may_hedge_again = self.in_flight.len() < max_in_flight;
        self.hedge_at = may_hedge_again.then_some(now + self.hedge_after);
    }

    fn send(&mut self, now: Micros, max_wait: Micros, timeout: Micros) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.in_flight.push(InFlight { id, max_wait, sent_at: now, expires_at: now + timeout });
        self.commands.push_back(Command::Send(PollRequest { id, max_wait }));
    }

    /// How long the next long poll waits: shorter by chance, so that the watches of all initiators, which the
    /// same change has renewed, do not end together.
    fn draw_long_poll_wait(&mut self) -> Micros {
        let longest = match self.config.delivery {
            Delivery::Polled { max_poll_interval } if max_poll_interval > 0 => {
                max_poll_interval.min(MAX_LONG_POLL_WAIT)
            }
            _ => MAX_LONG_POLL_WAIT,
        };
        let longest = longest.max(MIN_LONG_POLL_WAIT);
        self.random.random_range(longest / 2..=longest)
    }
}
