//! What is learned of latency and speed, and the predictions made from it.

use super::target::Target;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, TargetId};

/// What was learned this many microseconds ago counts e times less. A target that answered slowly is not sent
/// to and cannot correct the figure, so it has to expire. How the figure was found is not recorded; the
/// design leaves smoothing open (docs/design/open-questions.md).
const CONFIDENCE_DECAY_MICROS: f64 = 1.2e6;

/// The latency and speed of a target, or the mean of all targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    pub latency_micros: f64,
    pub units_per_second: f64,
    /// When it was last learned from; absent: never.
    pub last_response_at: Option<Micros>,
}

/// What is learned over all targets.
#[derive(Default)]
pub(super) struct Estimates {
    pub overall: Estimate,
    /// For each class, the factor on the predicted time.
    pub margins: Vec<f64>,
}

/// How much of what was learned at a time still counts, from 0 (never learned) to 1.
pub(super) fn confidence(now: Micros, learned_at: Option<Micros>) -> f64 {
    learned_at.map_or(0.0, |at| (-(now.saturating_sub(at) as f64) / CONFIDENCE_DECAY_MICROS).exp())
}

impl Estimate {
    /// The latency and speed of both, each by its weight: this one's is the confidence in it.
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
    /// The latency and speed of a target: its own as far as there is confidence in it, for the rest the mean
    /// of all targets. So a target that has never responded counts as average.
    pub(super) fn estimate(&self, now: Micros, target: &Target) -> Estimate {
        target.estimate.blended_with(&self.estimates.overall, now)
    }

    /// How long these units in flight take at the target, with the margin of the class.
    pub(super) fn predicted_time(&self, now: Micros, target: TargetId, class: usize, units: f64) -> Micros {
        (self.predicted_micros(now, target, units) * self.estimates.margins[class]) as Micros
    }

    /// The design's closed form: units over the learned speed, plus the learned latency, in microseconds.
    ///
    /// While several attempts are in flight, the time since the last one replaces a smaller latency: a pause
    /// of the target brings no responses to learn from, and would admit into a backlog. One attempt alone may
    /// have a silent connection; counted, it would close a target that could answer others.
    pub(super) fn predicted_micros(&self, now: Micros, target: TargetId, units: f64) -> f64 {
        let state = &self.targets[&target];
        let estimate = self.estimate(now, state);
        let oldest = state.in_flight.first().filter(|_| state.in_flight.len() > 1);
        let silent_since = oldest.map(|attempt| state.responded_at.max(attempt.sent_at));
        let silence = silent_since.map_or(0, |since| now.saturating_sub(since)) as f64;
        if estimate.units_per_second <= 0.0 {
            return 0.0;
        }
        // Where all is rejected no response comes to correct the mean, so it expires too.
        let overall = confidence(now, self.estimates.overall.last_response_at);
        units / estimate.units_per_second * MICROS_PER_SECOND * overall
            + (estimate.latency_micros * overall).max(silence)
    }
}
