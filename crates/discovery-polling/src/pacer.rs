//! Limits how often one initiator polls, so that the requests of all initiators together do not overload
//! discovery.

use crate::constants::*;
use crate::{Delivery, Micros};

/// Computes the delays between one initiator's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    delivery: Delivery,
    initiators: Micros,
    consecutive_failures: u32,
    first_failure_at: Option<Micros>,
    /// Consecutive failures since the outage was found to be a long one.
    long_outage_failures: u32,
    /// Estimated time that discovery takes for a request that does not wait for a change; 0 before the first
    /// response.
    service_time: Micros,
}

impl Pacer {
    pub fn new(delivery: Delivery, initiators: u32) -> Pacer {
        Pacer {
            delivery,
            initiators: Micros::from(initiators.max(1)),
            consecutive_failures: 0,
            first_failure_at: None,
            long_outage_failures: 0,
            service_time: 0,
        }
    }

    /// Whether requests go to this initiator's own agent instead of a service shared by all initiators.
    pub fn polls_own_agent(&self) -> bool {
        matches!(self.delivery, Delivery::Pushed { .. })
    }

    pub fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
        self.first_failure_at = None;
        self.long_outage_failures = 0;
    }

    pub fn record_failure(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let since = *self.first_failure_at.get_or_insert(now);
        if now >= since + LONG_OUTAGE_AFTER {
            self.long_outage_failures = self.long_outage_failures.saturating_add(1);
        }
    }

    /// Updates the estimated service time with a request that did not wait for a change. `response_time`
    /// includes the time in discovery's queue.
    ///
    /// The shortest response time is the best estimate of the work itself, so a shorter time replaces the
    /// estimate and a longer one raises it only in part.
    pub fn record_response_time(&mut self, response_time: Micros) {
        let previous = self.service_time as f64;
        let observed = response_time as f64;
        let shorter = self.service_time == 0 || observed < previous;
        let estimate = if shorter { observed } else { previous + SERVICE_TIME_GAIN * (observed - previous) };
        self.service_time = estimate as Micros;
    }

    /// Part of a cycle that the estimated service time requires for each initiator.
    fn service_time_share(&self) -> Micros {
        (SERVICE_TIME_FRACTION * self.service_time as f64) as Micros
    }

    /// The cycle that the fleet's size and the estimated service time require, before any bound is applied.
    fn unbounded_cycle(&self) -> Micros {
        CYCLE_PER_INITIATOR.max(self.service_time_share()) * self.initiators
    }

    fn max_cycle(&self) -> Micros {
        match self.initiators {
            1 => MAX_CYCLE_OF_SINGLE_INITIATOR,
            initiators if initiators < SMALL_FLEET_BELOW => MAX_CYCLE_OF_SMALL_FLEET,
            _ => MAX_CYCLE,
        }
    }

    /// Time over which initiators that start together spread their first requests.
    pub fn spread(&self) -> Micros {
        match self.polls_own_agent() {
            true => 0,
            false => self.unbounded_cycle().min(self.max_cycle()),
        }
    }

    /// The spread after discovery's address has changed.
    pub fn spread_after_address_change(&self) -> Micros {
        self.spread().min(MAX_SPREAD_AFTER_ADDRESS_CHANGE)
    }

    /// The spread after a watch fell silent.
    pub fn spread_after_silence(&self) -> Micros {
        self.spread().min(MAX_SPREAD_AFTER_SILENCE)
    }

    /// Delay between the request that reopens a silent watch and its hedged request.
    ///
    /// It grows with the service time, since other initiators' requests are in discovery's queue for as long
    /// as they take to be served.
    pub fn hedge_after_silence(&self) -> Micros {
        let per_initiator = HEDGE_PER_INITIATOR.max(self.service_time_share());
        (per_initiator * self.initiators).clamp(MIN_HEDGE_AFTER_SILENCE, MAX_HEDGE_AFTER_SILENCE)
    }

    /// When to send the next request after one that was sent at `sent_at` has failed at `now`.
    pub fn retry_at(&self, now: Micros, sent_at: Micros, rejected: bool) -> Micros {
        match self.agent_retry_delay() {
            Some(delay) => now + delay,
            None => (sent_at + self.cycle(rejected)).max(now + MIN_RETRY_DELAY),
        }
    }

    /// Time from one request to the next. It doubles with each further failure up to the longest cycle, and
    /// beyond that only in a long outage.
    ///
    /// The first cycle after a rejection is twice as long, since a rejected request was work for discovery
    /// and the other initiators that poll it may have been rejected as well.
    fn cycle(&self, rejected: bool) -> Micros {
        let first_cycle = match rejected {
            true => (2 * self.unbounded_cycle()).max(MIN_CYCLE_AFTER_REJECTION),
            false => self.unbounded_cycle().max(MIN_CYCLE),
        };
        let doublings = self.consecutive_failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let usual_cycle = (first_cycle << doublings).min(self.max_cycle());
        let further_doublings = self.long_outage_failures.min(MAX_DOUBLINGS);
        (usual_cycle << further_doublings).min(self.max_poll_interval().max(MAX_CYCLE))
    }

    fn max_poll_interval(&self) -> Micros {
        match self.delivery {
            Delivery::Polled { max_poll_interval } if max_poll_interval > 0 => max_poll_interval,
            _ => DEFAULT_MAX_POLL_INTERVAL,
        }
    }

    /// Delay between two requests to the initiator's own agent; `None` if there is no agent.
    fn agent_retry_delay(&self) -> Option<Micros> {
        match self.delivery {
            Delivery::Pushed { drain_grace } => {
                let delay = drain_grace / AGENT_RETRIES_PER_GRACE;
                Some(delay.clamp(MIN_AGENT_RETRY_DELAY, MAX_AGENT_RETRY_DELAY))
            }
            Delivery::Polled { .. } => None,
        }
    }

    /// Time without a response after which a hedged request is sent to the initiator's own agent: about the
    /// drain grace. An agent that has restarted answers the new request, a slow one the old. `None` if there
    /// is no agent.
    pub fn agent_hedge_after(&self) -> Option<Micros> {
        self.agent_retry_delay().map(|delay| delay * AGENT_RETRIES_PER_GRACE)
    }

    /// Time after which a request that does not wait for a change is abandoned.
    pub fn request_timeout(&self) -> Micros {
        match self.agent_retry_delay() {
            Some(delay) => (delay * AGENT_TIMEOUT_RETRY_DELAYS).min(MAX_AGENT_REQUEST_TIMEOUT),
            None => REQUEST_TIMEOUT,
        }
    }
}
