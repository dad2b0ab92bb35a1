//! The concurrency limit of a target: how many units may be in flight there, and which part of them
//! low-priority requests may use.

use super::target::Target;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, TargetId};

/// The fraction of the tightest objective that serving the units in flight may take. The rest is left for the
/// latency and for the load of other initiators.
const SERVICE_TIME_OBJECTIVE_FRACTION: f64 = 0.5;
/// The lower bound of the concurrency limit, in requests of mean size: a slow target must still show when it
/// becomes faster.
const MIN_MEAN_REQUESTS_IN_FLIGHT: f64 = 2.0;
/// The upper bound of the concurrency limit, in requests of mean size: requests that wait in this initiator's
/// queue can still be reordered, rejected or sent elsewhere.
const MAX_MEAN_REQUESTS_IN_FLIGHT: f64 = 16.0;
/// The fraction of the limit that low-priority requests may use. Requests with a tight objective are rejected
/// as soon as the limit is predicted to be reached, and low-priority work must not bring that about.
const LOW_PRIORITY_LIMIT_FRACTION: f64 = 0.2;
/// A low-priority request waits while it is predicted to take more than this fraction of the tightest
/// objective: at a busy target it would be queued ahead of requests with tight objectives.
const LOW_PRIORITY_OBJECTIVE_FRACTION: f64 = 0.5;

/// How much of a target's concurrency limit a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DispatchPriority {
    /// All of the limit.
    Normal,
    /// A small part of the limit: for background requests, and for requests that have missed their objective.
    Low,
}

impl Scheduler {
    /// The most units that may be in flight at the target: what it serves within a fraction of the tightest
    /// objective at its learned speed, clamped to the bounds in requests of mean size.
    fn concurrency_limit(&self, now: Micros, target: &Target) -> f64 {
        let speed = self.estimate(now, target).units_per_second;
        let tightest = self.objectives.tightest as f64;
        let units = speed * SERVICE_TIME_OBJECTIVE_FRACTION * tightest / MICROS_PER_SECOND;
        let mean_units = self.settings.mean_request_units;
        units.clamp(MIN_MEAN_REQUESTS_IN_FLIGHT * mean_units, MAX_MEAN_REQUESTS_IN_FLIGHT * mean_units)
    }

    /// Whether a target has no capacity for a request of `units` now. An idle target is never at its limit,
    /// however large the request is. A target that fails gets a single attempt at a time, since a burst would
    /// use up the attempts of all its requests.
    ///
    /// Guards against a target whose own queue grows, in which requests can no longer be reordered or
    /// rejected.
    pub(super) fn is_full(
        &self,
        now: Micros,
        target: TargetId,
        units: f64,
        priority: DispatchPriority,
    ) -> bool {
        let state = &self.targets[&target];
        let units_in_flight = state.units_in_flight + units;
        let limit_fraction = match priority {
            DispatchPriority::Normal => 1.0,
            DispatchPriority::Low => LOW_PRIORITY_LIMIT_FRACTION,
        };
        let is_idle = state.in_flight.is_empty();
        if !is_idle && units_in_flight > limit_fraction * self.concurrency_limit(now, state) {
            return true;
        }
        if !is_idle && state.consecutive_failures > 0 {
            return true;
        }
        let max_predicted_micros = LOW_PRIORITY_OBJECTIVE_FRACTION * self.objectives.tightest as f64;
        priority == DispatchPriority::Low
            && self.predicted_micros(now, target, units_in_flight) > max_predicted_micros
    }
}
