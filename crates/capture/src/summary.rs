//! What a source offers as load, summed up while it is read.

use crate::recorded_request::RecordedRequest;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most groups that are counted apart; requests of further ones are counted together.
const GROUPS: usize = 100;
const SECOND: i64 = 1_000_000;

struct Group {
    requests: u64,
    sent: u64,
    received: u64,
    failed: u64,
    /// Microseconds.
    took: Histogram<u64>,
}

/// The load: its rate, its peaks, and its parts by method and first part of the path.
#[derive(Default)]
pub struct Summary {
    requests: u64,
    per_second: HashMap<i64, u64>,
    /// Hashes of the paths seen.
    paths: HashSet<u64>,
    groups: BTreeMap<(String, String), Group>,
}

impl Summary {
    /// Takes a request.
    pub fn add(&mut self, recorded: &RecordedRequest<'_>) {
        self.requests += 1;
        *self.per_second.entry(recorded.at.div_euclid(SECOND)).or_default() += 1;
        let mut hash = DefaultHasher::new();
        recorded.path.hash(&mut hash);
        self.paths.insert(hash.finish());
        let part = recorded.path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let mut key = (recorded.method.to_string(), format!("/{part}"));
        if self.groups.len() >= GROUPS && !self.groups.contains_key(&key) {
            key = ("(others)".into(), String::new());
        }
        let group = self.groups.entry(key).or_insert_with(|| Group {
            requests: 0,
            sent: 0,
            received: 0,
            failed: 0,
            // Two digits are enough, and two always make a histogram.
            took: Histogram::new(2).expect("two significant digits"),
        });
        group.requests += 1;
        group.sent += recorded.sent;
        group.received += recorded.received;
        group.failed += u64::from(recorded.failed());
        if let Some(took) = recorded.took {
            // It grows with its values; a value out of range counts as none.
            let _ = group.took.record(took);
        }
    }

    /// Requests taken.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// From the first request's second to the last's, both counted.
    fn seconds(&self) -> i64 {
        let (first, last) = (self.per_second.keys().min(), self.per_second.keys().max());
        first.zip(last).map_or(0, |(first, last)| last - first + 1)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.seconds();
        let mean = self.requests as f64 / seconds.max(1) as f64;
        // The variance of a second's requests over their mean: 1 is what chance alone makes.
        let squares: f64 = self.per_second.values().map(|n| (*n as f64).powi(2)).sum();
        let dispersion = (squares / seconds.max(1) as f64 - mean * mean) / mean.max(f64::MIN_POSITIVE);
        let busiest = self.per_second.values().max().copied().unwrap_or(0);
        let again = self.requests - self.paths.len() as u64;
        writeln!(f, "requests {}  seconds {seconds}  rate {mean:.2}/s", self.requests)?;
        writeln!(f, "busiest second {busiest}  dispersion {dispersion:.2}")?;
        writeln!(f, "paths {}  requests for a path seen before {again}", self.paths.len())?;
        writeln!(
            f,
            "{:<8} {:<24} {:>8} {:>8} {:>10} {:>10} {:>8} {:>8} {:>8}",
            "method", "path", "requests", "share%", "sent B", "received B", "failed", "p50 ms", "p99 ms"
        )?;
        for ((method, path), group) in &self.groups {
            let share = 100.0 * group.requests as f64 / self.requests as f64;
            let each = |bytes: u64| bytes / group.requests;
            let time = |part| match group.took.len() {
                0 => "-".to_string(),
                _ => format!("{:.1}", group.took.value_at_quantile(part) as f64 / 1e3),
            };
            writeln!(
                f,
                "{method:<8} {path:<24} {:>8} {share:>8.1} {:>10} {:>10} {:>8} {:>8} {:>8}",
                group.requests,
                each(group.sent),
                each(group.received),
                group.failed,
                time(0.5),
                time(0.99)
            )?;
        }
        Ok(())
    }
}
