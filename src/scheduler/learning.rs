//! What is learned from the end of an attempt: the latency and speed of its target and of all targets, and
//! the margin of its class.

use super::estimates::confidence;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, Outcome, TargetId};

/// The weight of a new response at full confidence in the estimate: a single response that deviates must not
/// move the estimate much.
const SETTLED_SAMPLE_WEIGHT: f64 = 0.1;
/// The weight of a new response without confidence in the estimate: half, since the mean of all targets makes
/// up the rest.
const FIRST_SAMPLE_WEIGHT: f64 = 0.5;
/// The fraction of responses that should arrive within their predicted time.
const PREDICTIONS_MET_FRACTION: f64 = 0.6;
/// How far one response moves the margin of its class, as a fraction of the margin.
const MARGIN_STEP: f64 = 0.05;
/// The bounds of the margins: a larger error of the prediction is not due to the inaccuracy of the closed
/// form.
const MIN_MARGIN: f64 = 0.25;
const MAX_MARGIN: f64 = 4.0;
/// The upper bound of an observed latency, as a multiple of the learned one: one late response of a target
/// that has recovered must not shut the target out.
const MAX_LATENCY_RATIO: f64 = 3.0;

/// What the end of an attempt shows of its target.
pub(super) struct ResponseSample {
    pub class: usize,
    pub units: f64,
    /// From the send to the end, in microseconds.
    pub elapsed: Micros,
    pub predicted_micros: f64,
    /// From the send to the client's deadline, in microseconds.
    pub time_to_deadline: Micros,
    /// The attempt was cancelled because no response arrived.
    pub stalled: bool,
}

/// The weight of a new response in an estimate.
fn sample_weight(is_first: bool, confidence: f64) -> f64 {
    if is_first {
        return 1.0;
    }
    FIRST_SAMPLE_WEIGHT + (SETTLED_SAMPLE_WEIGHT - FIRST_SAMPLE_WEIGHT) * confidence
}

impl ResponseSample {
    /// The latency that an outcome shows, in microseconds; absent: it shows none. Without a response the
    /// latency was at least the elapsed time. A full queue counts as at least the time to the client's
    /// deadline, so that an overload is not forgotten.
    fn latency_micros(&self, outcome: Outcome, learned_micros: f64) -> Option<f64> {
        match outcome {
            // A connection that fell silent shows nothing of the target's latency.
            _ if self.stalled => None,
            Outcome::Served => Some(self.elapsed.max(1) as f64),
            Outcome::TimedOut | Outcome::Cancelled => Some((self.elapsed as f64).max(learned_micros)),
            Outcome::QueueFull => Some((self.time_to_deadline as f64).max(learned_micros)),
            _ => None,
        }
    }
}

impl Scheduler {
    /// Updates the estimates and the class's margin from the end of an attempt at a known target.
    pub(super) fn learn(&mut self, now: Micros, target: TargetId, outcome: Outcome, sample: ResponseSample) {
        self.learn_margin(outcome, &sample);
        let learned = self.estimate(now, &self.targets[&target]);
        let Some(latency) = sample.latency_micros(outcome, learned.latency_micros) else { return };
        let speed = sample.units / latency * MICROS_PER_SECOND;
        let is_first = self.estimates.overall.last_response_at.is_none();
        let latency =
            if is_first { latency } else { latency.min(MAX_LATENCY_RATIO * learned.latency_micros) };
        if let Some(state) = self.targets.get_mut(&target) {
            let weight = sample_weight(is_first, confidence(now, state.estimate.last_response_at));
            state.estimate.latency_micros =
                learned.latency_micros + weight * (latency - learned.latency_micros);
            state.estimate.units_per_second =
                learned.units_per_second + weight * (speed - learned.units_per_second);
        }
        self.targets.set_last_response(target, Some(now));
        let overall = &mut self.estimates.overall;
        let weight = sample_weight(is_first, confidence(now, overall.last_response_at));
        overall.latency_micros += weight * (latency - overall.latency_micros);
        overall.units_per_second += weight * (speed - overall.units_per_second);
        overall.last_response_at = Some(now);
    }

    /// Moves a class's margin so that [`PREDICTIONS_MET_FRACTION`] of its responses arrive within their
    /// predicted time. The closed form is inaccurate because of the load of other initiators and of requests
    /// that are served in parallel.
    fn learn_margin(&mut self, outcome: Outcome, sample: &ResponseSample) {
        let shows_time = matches!(outcome, Outcome::Served | Outcome::TimedOut);
        if !shows_time || sample.predicted_micros <= 0.0 {
            return;
        }
        let margin = &mut self.estimates.margins[sample.class];
        let too_short = sample.elapsed as f64 > sample.predicted_micros * *margin;
        let step = if too_short {
            1.0 + MARGIN_STEP * PREDICTIONS_MET_FRACTION
        } else {
            1.0 - MARGIN_STEP * (1.0 - PREDICTIONS_MET_FRACTION)
        };
        *margin = (*margin * step).clamp(MIN_MARGIN, MAX_MARGIN);
    }
}
