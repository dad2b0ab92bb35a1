//! The state machine of one initiator's polls: receives events with their time, returns commands for the
//! driver.

use crate::constants::*;
use crate::pacer::Pacer;
use crate::request::InFlight;
use crate::{Command, Delivery, Micros, Outcome, PollRequest, PollingConfig, RequestId, WatchMode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// State of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The list may be out of date; a request that does not wait for a change retrieves the missed changes.
    CatchingUp,
    /// A watch is open.
    Watching,
}

/// Decides when one initiator sends which request to discovery.
#[derive(Debug)]
pub struct Schedule {
    config: PollingConfig,
    random: Pcg64Mcg,
    phase: Phase,
    pacer: Pacer,
    in_flight: Vec<InFlight>,
    next_id: u64,
    /// When the next request for missed changes is due.
    send_at: Option<Micros>,
    /// When a hedged request is due because earlier ones have no response.
    hedge_at: Option<Micros>,
    /// Delay from a request for missed changes, or its last hedged request, to the next hedged request.
    hedge_after: Micros,
    commands: VecDeque<Command>,
}

impl Schedule {
    /// Creates a schedule whose first request is due within one cycle of `now`, at a phase drawn from `seed`.
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

    /// Returns the next command, or `None` if there is none before [`Schedule::next_timeout`]. Call it after
    /// every event and at that time, until it returns `None`.
    pub fn poll(&mut self, now: Micros) -> Option<Command> {
        if self.commands.is_empty() {
            self.cancel_expired(now);
            self.send_due(now);
        }
        self.commands.pop_front()
    }

    /// When [`Schedule::poll`] returns a command next; `None` if only an event can lead to one.
    pub fn next_timeout(&self) -> Option<Micros> {
        let expiries = self.in_flight.iter().map(|request| request.expires_at);
        expiries.chain(self.send_at).chain(self.hedge_at).min()
    }

    /// Handles the end of a request. Outcomes of requests that are no longer in flight are ignored.
    pub fn handle_outcome(&mut self, now: Micros, id: RequestId, outcome: Outcome) {
        let Some(index) = self.in_flight.iter().position(|request| request.id == id) else { return };
        let request = self.in_flight.remove(index);
        match outcome {
            Outcome::Received => self.handle_received(now, request),
            Outcome::Rejected => self.handle_failure(now, request, true),
            Outcome::Failed => self.handle_failure(now, request, false),
        }
    }

    /// Handles the end of the subscription of [`WatchMode::Subscription`].
    pub fn handle_subscription_broken(&mut self, now: Micros) {
        if self.phase == Phase::Watching {
            self.catch_up(now, self.pacer.spread(), HEDGE_AFTER);
        }
    }

    /// Handles a change of discovery's address. The driver drops all requests in flight itself; no command to
    /// cancel them follows. A request that was due before stays due then: changes in quick succession would put it off
    /// again and again.
    pub fn handle_address_change(&mut self, now: Micros) {
        let was_due_at = self.send_at;
        self.in_flight.clear();
        self.commands.clear();
        self.pacer.reset_failures();
        self.catch_up(now, self.pacer.spread_after_address_change(), HEDGE_AFTER);
        self.send_at = self.send_at.into_iter().chain(was_due_at).min();
    }

    /// Whether a watch is open.
    pub fn is_watching(&self) -> bool {
        self.phase == Phase::Watching
    }

    /// Draws a random time within `spread`. An initiator with a known index draws from its own slice, so that
    /// all initiators together cover the spread evenly.
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

    /// Schedules a request for the missed changes, at this initiator's offset within `spread`.
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
            // The watch broke. All initiators may have lost their watches at the same moment, so the requests
            // are spread.
            self.catch_up(now, self.pacer.spread(), HEDGE_AFTER);
        } else if self.in_flight.is_empty() {
            self.plan_retry(now, request.sent_at, rejected);
        }
    }

    /// Schedules the retry of a request that was sent at `sent_at` and has failed.
    fn plan_retry(&mut self, now: Micros, sent_at: Micros, rejected: bool) {
        self.pacer.record_failure(now);
        self.hedge_at = None;
        self.send_at = Some(self.pacer.retry_at(now, sent_at, rejected));
    }

    fn cancel_all(&mut self) {
        let requests = self.in_flight.drain(..);
        self.commands.extend(requests.map(|request| Command::Cancel(request.id)));
    }

    /// Cancels requests that have no response in time.
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

    /// Sends a hedged request because earlier ones have no response.
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

    /// Draws how long the next long poll waits. The wait is random so that the watches of all initiators,
    /// which the same change has renewed, do not end together.
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
