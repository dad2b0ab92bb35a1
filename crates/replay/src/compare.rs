//! Two reports side by side: what changed, and whether it is more than noise.
//!
//! Counts are compared as parts of what came due, by the two-proportion z-test (beyond 3 standard errors is
//! no noise). A quantile is compared by its confidence interval, which the ranks around it give without a
//! guess at the distribution (the binomial's normal approximation): where the intervals of the two do not
//! meet, and the change is more than a twentieth and 0.5 ms, it is more than noise.

use crate::latency::LatencyHistogram;
use crate::report::{Class, Report};
use serde::Serialize;
use std::fmt;

/// Standard errors beyond which a change of a part is no noise.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// The least change of a time that is worth a word: as a part, and in microseconds.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
const MIN_CHANGE_US: u64 = 500;

/// A figure in both.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The request class.
    pub class: String,
    /// What is compared.
    pub figure: &'static str,
    /// Its value in the first report.
    pub before: f64,
    /// Its value in the second report.
    pub after: f64,
    /// It is more than noise.
    pub beyond_noise: bool,
}

/// The changes, and what makes the two unlike.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Figures that differ.
    pub changes: Vec<Change>,
    /// Why the two should not be compared, if anything.
    pub unlike: Vec<String>,
}

fn outcome_counts(class: &Class) -> [(&'static str, u64); 6] {
    [
        ("served", class.served),
        ("in time", class.in_time),
        ("refused", class.refused),
        ("failed", class.failed),
        ("lost", class.lost),
        ("unsent", class.unsent),
    ]
}

/// Whether two parts of two wholes differ by more than chance.
fn proportions_differ(a: u64, of_a: u64, b: u64, of_b: u64) -> bool {
    if of_a == 0 || of_b == 0 {
        return false;
    }
    let (a, of_a, b, of_b) = (a as f64, of_a as f64, b as f64, of_b as f64);
    let pooled = (a + b) / (of_a + of_b);
    let error = (pooled * (1.0 - pooled) * (1.0 / of_a + 1.0 / of_b)).sqrt();
    error > 0.0 && (a / of_a - b / of_b).abs() > MIN_STANDARD_ERRORS * error
}

/// Between which times a quantile lies, in microseconds.
fn quantile_interval(times: &LatencyHistogram, part: f64) -> (u64, u64) {
    let count = times.count() as f64;
    let spread = MIN_STANDARD_ERRORS * (part * (1.0 - part) / count.max(1.0)).sqrt();
    (times.at((part - spread).max(0.0)), times.at((part + spread).min(1.0)))
}

fn quantiles_differ(before: &LatencyHistogram, after: &LatencyHistogram, part: f64) -> bool {
    // Fewer than five on either side of it tell nothing of a quantile.
    let too_few = |times: &LatencyHistogram| (times.count() as f64) * part.min(1.0 - part) < 5.0;
    if too_few(before) || too_few(after) {
        return false;
    }
    let (a, b) = (before.at(part), after.at(part));
    let large_enough = a.abs_diff(b) > MIN_CHANGE_US.max((a as f64 * MIN_RELATIVE_CHANGE) as u64);
    let ((a_low, a_high), (b_low, b_high)) =
        (quantile_interval(before, part), quantile_interval(after, part));
    large_enough && (a_high < b_low || b_high < a_low)
}

/// Compares two reports.
pub fn compare(before: &Report, after: &Report) -> Comparison {
    let mut unlike = Vec::new();
    let mut same = |what: &str, a: String, b: String| {
        if a != b {
            unlike.push(format!("{what}: {a} and {b}"));
        }
    };
    same("trace", before.trace.clone(), after.trace.clone());
    same("front", before.front.clone(), after.front.clone());
    same("initiators", before.initiators.to_string(), after.initiators.to_string());
    same("speed", before.speed.to_string(), after.speed.to_string());
    same("stopped", before.stopped.to_string(), after.stopped.to_string());
    let mut changes = Vec::new();
    for (name, a) in &before.classes {
        let Some(b) = after.classes.get(name) else {
            unlike.push(format!("class {name} is only in the first"));
            continue;
        };
        if a.due != b.due {
            unlike.push(format!("{name}: {} and {} requests came due", a.due, b.due));
        }
        for ((figure, x), (_, y)) in outcome_counts(a).into_iter().zip(outcome_counts(b)) {
            let beyond_noise = proportions_differ(x, a.due, y, b.due);
            let (before, after) = (x as f64, y as f64);
            changes.push(Change { class: name.clone(), figure, before, after, beyond_noise });
        }
        for (figure, part) in [("p50 ms", 0.5), ("p90 ms", 0.9), ("p99 ms", 0.99)] {
            changes.push(Change {
                class: name.clone(),
                figure,
                before: a.latency.at(part) as f64 / 1e3,
                after: b.latency.at(part) as f64 / 1e3,
                beyond_noise: quantiles_differ(&a.latency, &b.latency, part),
            });
        }
    }
    for name in after.classes.keys().filter(|n| !before.classes.contains_key(*n)) {
        unlike.push(format!("class {name} is only in the second"));
    }
    Comparison { changes, unlike }
}

impl Comparison {
    /// Whether anything changed beyond noise.
    pub fn changed(&self) -> bool {
        self.changes.iter().any(|c| c.beyond_noise)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for unlike in &self.unlike {
            writeln!(f, "unlike: {unlike}")?;
        }
        writeln!(f, "{:<10} {:<9} {:>10} {:>10} {:>9}", "class", "figure", "before", "after", "change")?;
        for c in self.changes.iter().filter(|c| c.beyond_noise || c.before != c.after) {
            let change = match c.before {
                before if before > 0.0 => format!("{:+.1}%", 100.0 * (c.after / before - 1.0)),
                _ => "new".into(),
            };
            let noise = if c.beyond_noise { "  beyond noise" } else { "" };
            writeln!(
                f,
                "{:<10} {:<9} {:>10.1} {:>10.1} {change:>9}{noise}",
                c.class, c.figure, c.before, c.after
            )?;
        }
        writeln!(f, "{}", if self.changed() { "changed" } else { "no change beyond noise" })
    }
}
