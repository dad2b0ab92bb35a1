//! Learned estimates of latency and speed, and the predictions made from them.

use super::target::Target;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, TargetId};

/// The time constant, in microseconds, with which the confidence in an estimate decays. A target that
/// answered slowly gets no requests and so no responses that could correct its estimate, which therefore has
/// to expire.
const CONFIDENCE_DECAY_MICROS: f64 = 1.2e6;

/// The estimated latency and speed of a target, or their mean over all targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    pub latency_micros: f64,
    pub units_per_second: f64,
    /// When the estimate was last updated; absent: never.
    pub last_response_at: Option<Micros>,
}

/// The estimates over all targets.
#[derive(Default)]
pub(super) struct Estimates {
    pub overall: Estimate,
    /// For each class, the factor on its predicted times.
    pub margins: Vec<f64>,
}

/// The confidence in an estimate that was last updated at `learned_at`, from 0 (never updated) to 1.
pub(super) fn confidence(now: Micros, learned_at: Option<Micros>) -> f64 {
    learned_at.map_or(0.0, |at| (-(now.saturating_sub(at) as f64) / CONFIDENCE_DECAY_MICROS).exp())
}

impl Estimate {
    /// The mean of this estimate and the overall one, weighted by the confidence in this one.
    pub fn blended_with(&self, overall: &Estimate, now: Micros) -> Estimate {
        let own = confidence(now, self.last_response_at);
        Estimate {
            latency_micros: own * self.latency_micros + (1.0 - own) * overall.latency_micros,
            units_per_second: own * self.units_per_second + (1.0 - own) * overall.units_per_second,
            last_response_at: self.last_response_at,
        }
    }
}

impl Scheduler {
    /// The estimate for a target: its own, weighted by the confidence in it, and the mean of all targets for
    /// the rest. A target that has never responded counts as average.
    pub(super) fn estimate(&self, now: Micros, target: &Target) -> Estimate {
        target.estimate.blended_with(&self.estimates.overall, now)
    }

    /// The predicted time until `units` in flight at the target are served, in microseconds, with the margin
    /// of the class.
    pub(super) fn predicted_time(&self, now: Micros, target: TargetId, class: usize, units: f64) -> Micros {
        (self.predicted_micros(now, target, units) * self.estimates.margins[class]) as Micros
    }

    /// The design's closed form of the prediction, in microseconds and without the class's margin: `units`
    /// divided by the learned speed, plus the learned latency.
    ///
    /// While several attempts are in flight, the time without a response replaces the learned latency if it
    /// is longer: a target that pauses sends no responses to learn from, and requests would be admitted into
    /// its backlog. A single attempt may be on a silent connection; if its wait counted, a target that could
    /// answer others would get no requests.
    pub(super) fn predicted_micros(&self, now: Micros, target: TargetId, units: f64) -> f64 {
        let state = &self.targets[&target];
        let estimate = self.estimate(now, state);
        let oldest = state.in_flight.first().filter(|_| state.in_flight.len() > 1);
        let silent_since = oldest.map(|attempt| state.responded_at.max(attempt.sent_at));
        let silence = silent_since.map_or(0, |since| now.saturating_sub(since)) as f64;
        if estimate.units_per_second <= 0.0 {
            return 0.0;
        }
        // While all requests are rejected, no response corrects the mean, so the confidence in it decays as
        // well.
        let overall = confidence(now, self.estimates.overall.last_response_at);
        units / estimate.units_per_second * MICROS_PER_SECOND * overall
            + (estimate.latency_micros * overall).max(silence)
    }
}
