//! What is learned of latency and speed, and the predictions made from it.

use super::*;

impl Scheduler {
    /// How much what was told at a time still counts.
    pub(super) fn known(&self, now: Micros, told: Option<Micros>) -> f64 {
        told.map_or(0.0, |at| (-(now.saturating_sub(at) as f64) / KNOWN_FOR).exp())
    }

    /// Speed and latency of a target, as far as it is known; for the rest, the mean of all takes its place.
    pub(super) fn learned(&self, now: Micros, target: TargetId) -> (f64, f64) {
        let (n, all) = (&self.targets[&target], &self.overall);
        let own = self.known(now, n.heard);
        (own * n.speed + (1.0 - own) * all.speed, own * n.latency + (1.0 - own) * all.latency)
    }

    /// How long these units take at the target, with the margin that the class's answers there ask for.
    pub(super) fn service(&self, now: Micros, target: TargetId, class: usize, units: f64) -> Micros {
        (self.closed_form(now, target, units) * self.margins[class]) as Micros
    }

    /// The design's closed form, in microseconds.
    pub(super) fn closed_form(&self, now: Micros, target: TargetId, units: f64) -> f64 {
        let (speed, latency) = self.learned(now, target);
        // Silence while answers are owed tells already what they will tell, and ends with the first. One
        // alone may have a silent connection: closed for it, the target could not show that it answers
        // others.
        let n = &self.targets[&target];
        let owed = n.out.first_key_value().filter(|_| n.out.len() > 1);
        let owed = owed.map(|((sent, _, _), _)| n.answered.max(*sent));
        let silence = owed.map_or(0, |since| now.saturating_sub(since)) as f64;
        // Where all is refused no answer comes to correct it: the mean fades too.
        let fade = self.known(now, self.overall.heard);
        if speed <= 0.0 { 0.0 } else { units / speed * 1e6 * fade + (latency * fade).max(silence) }
    }

    /// The bound on units out at the target.
    pub(super) fn bound(&self, now: Micros, target: TargetId) -> f64 {
        let units = self.learned(now, target).0 * AIM_PART * self.tightest as f64 / 1e6;
        units
            .clamp(FEWEST_OUT * self.settings.mean_request_units, MOST_OUT * self.settings.mean_request_units)
    }
}
