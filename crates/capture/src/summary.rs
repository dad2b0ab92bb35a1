//! A summary of the load that a file of recorded requests represents, computed while the file is read.

use crate::recorded_request::RecordedRequest;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most groups that are counted separately; requests of further groups are counted together.
const MAX_GROUPS: usize = 100;
const SECOND_US: i64 = 1_000_000;

struct Group {
    requests: u64,
    sent: u64,
    received: u64,
    failed: u64,
    /// In microseconds.
    took: Histogram<u64>,
}

/// The load of a file: its rate, its busiest second, and its shares by method and first segment of the path.
/// Formatted as a table.
#[derive(Default)]
pub struct Summary {
    requests: u64,
    per_second: HashMap<i64, u64>,
    /// Hashes of all paths so far.
    paths: HashSet<u64>,
    groups: BTreeMap<(String, String), Group>,
}

impl Summary {
    /// Adds a request.
    pub fn add(&mut self, recorded: &RecordedRequest<'_>) {
        self.requests += 1;
        *self.per_second.entry(recorded.at.div_euclid(SECOND_US)).or_default() += 1;
        let mut hash = DefaultHasher::new();
        recorded.path.hash(&mut hash);
        self.paths.insert(hash.finish());
        let first_segment = recorded.path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let mut key = (recorded.method.to_string(), format!("/{first_segment}"));
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&key) {
            key = ("(others)".into(), String::new());
        }
        let group = self.groups.entry(key).or_insert_with(|| Group {
            requests: 0,
            sent: 0,
            received: 0,
            failed: 0,
            // Two significant digits are precise enough. Creation fails only for more than five.
            took: Histogram::new(2).expect("two significant digits"),
        });
        group.requests += 1;
        group.sent += recorded.sent;
        group.received += recorded.received;
        group.failed += u64::from(recorded.failed());
        if let Some(took) = recorded.took {
            // The histogram resizes automatically; a value that is still out of range is not counted.
            let _ = group.took.record(took);
        }
    }

    /// The number of requests so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Seconds from that of the first request to that of the last, both included.
    fn seconds(&self) -> i64 {
        let (first, last) = (self.per_second.keys().min(), self.per_second.keys().max());
        first.zip(last).map_or(0, |(first, last)| last - first + 1)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.seconds();
        let mean = self.requests as f64 / seconds.max(1) as f64;
        // The index of dispersion: the variance of the requests per second divided by their mean. It is 1 for
        // a Poisson process.
        let squares: f64 = self.per_second.values().map(|n| (*n as f64).powi(2)).sum();
        let dispersion = (squares / seconds.max(1) as f64 - mean * mean) / mean.max(f64::MIN_POSITIVE);
        let busiest_second = self.per_second.values().max().copied().unwrap_or(0);
        let repeated_paths = self.requests - self.paths.len() as u64;
        writeln!(f, "requests {}  seconds {seconds}  rate {mean:.2}/s", self.requests)?;
        writeln!(f, "busiest second {busiest_second}  dispersion {dispersion:.2}")?;
        writeln!(f, "paths {}  requests for a path seen before {repeated_paths}", self.paths.len())?;
        writeln!(
            f,
            "{:<8} {:<24} {:>8} {:>8} {:>10} {:>10} {:>8} {:>8} {:>8}",
            "method", "path", "requests", "share%", "sent B", "received B", "failed", "p50 ms", "p99 ms"
        )?;
        for ((method, path), group) in &self.groups {
            let share = 100.0 * group.requests as f64 / self.requests as f64;
            let mean_bytes = |bytes: u64| bytes / group.requests;
            let quantile_ms = |quantile| match group.took.len() {
                0 => "-".to_string(),
                _ => format!("{:.1}", group.took.value_at_quantile(quantile) as f64 / 1e3),
            };
            writeln!(
                f,
                "{method:<8} {path:<24} {:>8} {share:>8.1} {:>10} {:>10} {:>8} {:>8} {:>8}",
                group.requests,
                mean_bytes(group.sent),
                mean_bytes(group.received),
                group.failed,
                quantile_ms(0.5),
                quantile_ms(0.99)
            )?;
        }
        Ok(())
    }
}
