//! Compares two reports and tells significant changes from noise.
//!
//! Outcomes are compared as proportions of the requests that were due, by the two-proportion z-test: a
//! difference of more than 3 standard errors is significant. Quantiles of latency are compared by their
//! confidence intervals, taken from the ranks around the quantile without an assumption about the
//! distribution (normal approximation of the binomial). A change is significant if the two intervals do not
//! overlap and it exceeds both 5% and 0.5 ms.

use crate::latency::LatencyHistogram;
use crate::report::{Class, Report};
use serde::Serialize;
use std::fmt;

/// Standard errors above which a difference of proportions is significant.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Smallest significant change of a latency quantile, as a share of the earlier value and in microseconds.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
const MIN_CHANGE_US: u64 = 500;

/// One figure of a request class in both reports.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The request class.
    pub class: String,
    /// Name of the figure.
    pub figure: &'static str,
    /// Value in the first report.
    pub before: f64,
    /// Value in the second report.
    pub after: f64,
    /// Whether the change is statistically significant.
    pub beyond_noise: bool,
}

/// The result of comparing two reports.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// All figures of the classes that both reports have, changed or not.
    pub changes: Vec<Change>,
    /// Differences in the conditions of the two replays, which make the figures hard to compare.
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

/// Whether two proportions, `a` of `of_a` and `b` of `of_b`, differ significantly.
fn proportions_differ(a: u64, of_a: u64, b: u64, of_b: u64) -> bool {
    if of_a == 0 || of_b == 0 {
        return false;
    }
    let (a, of_a, b, of_b) = (a as f64, of_a as f64, b as f64, of_b as f64);
    let pooled = (a + b) / (of_a + of_b);
    let error = (pooled * (1.0 - pooled) * (1.0 / of_a + 1.0 / of_b)).sqrt();
    error > 0.0 && (a / of_a - b / of_b).abs() > MIN_STANDARD_ERRORS * error
}

/// Confidence interval of a quantile, in microseconds.
fn quantile_interval(times: &LatencyHistogram, quantile: f64) -> (u64, u64) {
    let count = times.count() as f64;
    let spread = MIN_STANDARD_ERRORS * (quantile * (1.0 - quantile) / count.max(1.0)).sqrt();
    (times.at((quantile - spread).max(0.0)), times.at((quantile + spread).min(1.0)))
}

fn quantiles_differ(before: &LatencyHistogram, after: &LatencyHistogram, quantile: f64) -> bool {
    // With fewer than five values on either side of the quantile, no interval can be given.
    let too_few = |times: &LatencyHistogram| (times.count() as f64) * quantile.min(1.0 - quantile) < 5.0;
    if too_few(before) || too_few(after) {
        return false;
    }
    let (a, b) = (before.at(quantile), after.at(quantile));
    let large_enough = a.abs_diff(b) > MIN_CHANGE_US.max((a as f64 * MIN_RELATIVE_CHANGE) as u64);
    let ((a_low, a_high), (b_low, b_high)) =
        (quantile_interval(before, quantile), quantile_interval(after, quantile));
    large_enough && (a_high < b_low || b_high < a_low)
}

/// Compares the first report, `before`, with the second, `after`.
pub fn compare(before: &Report, after: &Report) -> Comparison {
    let mut unlike = Vec::new();
    let mut compare_condition = |condition: &str, a: String, b: String| {
        if a != b {
            unlike.push(format!("{condition}: {a} and {b}"));
        }
    };
    compare_condition("trace", before.trace.clone(), after.trace.clone());
    compare_condition("front", before.front.clone(), after.front.clone());
    compare_condition("initiators", before.initiators.to_string(), after.initiators.to_string());
    compare_condition("speed", before.speed.to_string(), after.speed.to_string());
    compare_condition("stopped", before.stopped.to_string(), after.stopped.to_string());
    let mut changes = Vec::new();
    for (name, a) in &before.classes {
        let Some(b) = after.classes.get(name) else {
            unlike.push(format!("class {name} is only in the first report"));
            continue;
        };
        if a.due != b.due {
            unlike.push(format!("class {name}: {} and {} requests were due", a.due, b.due));
        }
        for ((figure, x), (_, y)) in outcome_counts(a).into_iter().zip(outcome_counts(b)) {
            let beyond_noise = proportions_differ(x, a.due, y, b.due);
            let (before, after) = (x as f64, y as f64);
            changes.push(Change { class: name.clone(), figure, before, after, beyond_noise });
        }
        for (figure, quantile) in [("p50 ms", 0.5), ("p90 ms", 0.9), ("p99 ms", 0.99)] {
            changes.push(Change {
                class: name.clone(),
                figure,
                before: a.latency.at(quantile) as f64 / 1e3,
                after: b.latency.at(quantile) as f64 / 1e3,
                beyond_noise: quantiles_differ(&a.latency, &b.latency, quantile),
            });
        }
    }
    for name in after.classes.keys().filter(|n| !before.classes.contains_key(*n)) {
        unlike.push(format!("class {name} is only in the second report"));
    }
    Comparison { changes, unlike }
}

impl Comparison {
    /// Whether any change is statistically significant.
    pub fn changed(&self) -> bool {
        self.changes.iter().any(|c| c.beyond_noise)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for unlike in &self.unlike {
            writeln!(f, "conditions differ: {unlike}")?;
        }
        writeln!(f, "{:<10} {:<9} {:>10} {:>10} {:>9}", "class", "figure", "before", "after", "change")?;
        for c in self.changes.iter().filter(|c| c.beyond_noise || c.before != c.after) {
            let change = match c.before {
                before if before > 0.0 => format!("{:+.1}%", 100.0 * (c.after / before - 1.0)),
                _ => "new".into(),
            };
            let mark = if c.beyond_noise { "  significant" } else { "" };
            writeln!(
                f,
                "{:<10} {:<9} {:>10.1} {:>10.1} {change:>9}{mark}",
                c.class, c.figure, c.before, c.after
            )?;
        }
        writeln!(f, "{}", if self.changed() { "changed" } else { "no significant change" })
    }
}
