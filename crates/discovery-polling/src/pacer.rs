//! How often one initiator may poll, so that the requests of all initiators together do not overload discovery.

use crate::constants::*;
use crate::{Delivery, Micros};

/// The pace of one initiator's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    delivery: Delivery,
    initiators: Micros,
    consecutive_failures: u32,
    first_failure_at: Option<Micros>,
    /// Of the consecutive failures, those since the outage was found to be long.
    long_outage_failures: u32,
    /// What discovery takes for a request that does not wait, as far as responses have shown; 0: none has.
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

    /// Whether requests go to this initiator's own agent instead of a service for all initiators.
    pub fn polls_own_agent(&self) -> bool {
        matches!(self.delivery, Delivery::Pushed { .. })
    }

    /// Forgets the failures so far.
    pub fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
        self.first_failure_at = None;
        self.long_outage_failures = 0;
    }

    /// A request failed at `now`.
    pub fn record_failure(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let since = *self.first_failure_at.get_or_insert(now);
        if now >= since + LONG_OUTAGE_AFTER {
            self.long_outage_failures = self.long_outage_failures.saturating_add(1);
        }
    }

    /// A request that did not wait for a change took this long, its time in discovery's queue included.
    ///
    /// The least that one took is the best estimate of the work itself, so a shorter time counts at once and
    /// a longer one only in part.
    pub fn record_response_time(&mut self, response_time: Micros) {
        let learned = self.service_time as f64;
        let observed = response_time as f64;
        let shorter = self.service_time == 0 || observed < learned;
        let estimate = if shorter { observed } else { learned + SERVICE_TIME_GAIN * (observed - learned) };
        self.service_time = estimate as Micros;
    }

    /// The part of the learned service time that counts for each initiator.
    fn service_time_part(&self) -> Micros {
        (SERVICE_TIME_PART * self.service_time as f64) as Micros
    }

    /// The cycle that the size of the fleet and the cost of a request ask for, without a bound.
    fn unbounded_cycle(&self) -> Micros {
        CYCLE_PER_INSTANCE.max(self.service_time_part()) * self.initiators
    }

    fn max_cycle(&self) -> Micros {
        match self.initiators {
            1 => MAX_CYCLE_OF_ONE,
            initiators if initiators < SMALL_FLEET_BELOW => MAX_CYCLE_OF_SMALL_FLEET,
            _ => MAX_CYCLE,
        }
    }

    /// Within which time initiators that begin together send their first requests.
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

    /// How long after a request that opens a silent watch again a hedged request follows.
    ///
    /// Where requests are heavy, others of the fleet are in discovery's queue for as long as they take.
    pub fn hedge_after_silence(&self) -> Micros {
        let per_instance = HEDGE_PER_INSTANCE.max(self.service_time_part());
        (per_instance * self.initiators).clamp(MIN_HEDGE_AFTER_SILENCE, MAX_HEDGE_AFTER_SILENCE)
    }

    /// When to send the next request, after a failure at `now` of one that was sent at `sent_at`.
    pub fn retry_at(&self, now: Micros, sent_at: Micros, rejected: bool) -> Micros {
        match self.agent_retry_delay() {
            Some(delay) => now + delay,
            None => (sent_at + self.cycle(rejected)).max(now + MIN_RETRY_DELAY),
        }
    }

    /// From one request to the next: doubled at each further failure up to the longest cycle, and beyond that
    /// only in a long outage.
    ///
    /// A rejected request was work for discovery, and all initiators that poll it may have been rejected: the
    /// first cycle is twice as long then.
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

    /// The pause between two requests to an initiator's own agent; none where there is no agent.
    fn agent_retry_delay(&self) -> Option<Micros> {
        match self.delivery {
            Delivery::Pushed { drain_grace } => {
                let delay = drain_grace / AGENT_RETRIES_PER_GRACE;
                Some(delay.clamp(MIN_AGENT_RETRY_DELAY, MAX_AGENT_RETRY_DELAY))
            }
            Delivery::Polled { .. } => None,
        }
    }

    /// How long a request to an initiator's own agent may go without a response before a hedged request is sent
    /// beside it: about the grace. An agent that is back answers the new request, and one that is slow the old.
    /// None where there is no agent.
    pub fn agent_hedge_after(&self) -> Option<Micros> {
        self.agent_retry_delay().map(|delay| delay * AGENT_RETRIES_PER_GRACE)
    }

    /// When a request that does not wait is given up.
    pub fn request_timeout(&self) -> Micros {
        match self.agent_retry_delay() {
            Some(delay) => (delay * AGENT_TIMEOUT_RETRY_DELAYS).min(MAX_AGENT_REQUEST_TIMEOUT),
            None => REQUEST_TIMEOUT,
        }
    }
}
