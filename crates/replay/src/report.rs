//! What became of a replay's requests.

use crate::latency::LatencyHistogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The version of reports that this program writes.
pub const VERSION: u32 = 1;

/// Why a report cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// It is not the JSON of a report.
    #[error("is no report: {0}")]
    Json(#[from] serde_json::Error),
    /// It has another version than [`VERSION`].
    #[error("is a report of version {0}, not {VERSION}")]
    Version(u32),
}

/// A class's requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// Requests that came due.
    pub due: u64,
    /// Tries sent, and those of them that were clients' second ones.
    pub sent: u64,
    pub again: u64,
    pub served: u64,
    /// Served within the class's aim, from the moment they were due.
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    /// Without an answer.
    pub lost: u64,
    /// Never sent, for want of room.
    pub unsent: u64,
    pub aim_ms: u32,
    /// Of served requests, from the moment they were due.
    pub latency: LatencyHistogram,
    /// Of refused ones.
    pub refusal: LatencyHistogram,
}

/// What came due in a second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    pub due: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub unsent: u64,
    /// The latest that a first try of it went, in microseconds.
    pub drift_us: u64,
}

/// A volume's units against its plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Volume {
    /// 16 hex digits.
    pub volume: String,
    pub plan: String,
    /// Units a second that the plan is sized for, and that it must not pass.
    pub rate: f64,
    pub limit: Option<f64>,
    pub asked: f64,
    pub served: f64,
    /// Units served of the second in which most were.
    pub busiest: f64,
}

/// All of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub version: u32,
    pub trace: String,
    pub front: String,
    pub initiators: usize,
    pub speed: f64,
    pub seed: u64,
    pub seconds: f64,
    /// It was ended before its end.
    pub stopped: bool,
    /// Requests that had no last word then.
    pub unfinished: u64,
    pub classes: BTreeMap<String, Class>,
    /// How late first tries went, against the schedule.
    pub drift: LatencyHistogram,
    /// First tries that waited for others to end, since too many were out.
    pub held: u64,
    /// The most tries that were out at once.
    pub most_out: u64,
    pub timeline: Vec<Second>,
    pub volumes: Vec<Volume>,
    pub volumes_in_all: usize,
}

impl Report {
    /// Reads a report that this program has written.
    ///
    /// # Errors
    /// It is no report of this version.
    pub fn parse(text: &str) -> Result<Report, ReportError> {
        /// The one key that all versions have.
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let Versioned { version } = serde_json::from_str(text)?;
        if version != VERSION {
            return Err(ReportError::Version(version));
        }
        Ok(serde_json::from_str(text)?)
    }

    /// Sums over the classes.
    pub fn total(&self) -> Class {
        let mut total = Class::default();
        for class in self.classes.values() {
            total.due += class.due;
            total.sent += class.sent;
            total.again += class.again;
            total.served += class.served;
            total.in_time += class.in_time;
            total.refused += class.refused;
            total.failed += class.failed;
            total.lost += class.lost;
            total.unsent += class.unsent;
        }
        total
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { trace, front, initiators, speed, seconds, seed, .. } = self;
        write!(f, "{trace} over {front} to {initiators} initiator(s), speed {speed}, seed {seed}: ")?;
        writeln!(f, "{seconds:.1} s{}", if self.stopped { ", stopped" } else { "" })?;
        writeln!(
            f,
            "{:<10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
            "class",
            "due",
            "sent",
            "again",
            "served",
            "in time",
            "refused",
            "failed",
            "lost",
            "unsent",
            "p50 ms",
            "p90 ms",
            "p99 ms"
        )?;
        let total = self.total();
        let rows = self.classes.iter().map(|(n, c)| (n.as_str(), c)).chain([("all", &total)]);
        for (name, c) in rows {
            let time = |part| match c.latency.count() {
                0 => "-".to_string(),
                _ => format!("{:.1}", c.latency.at(part) as f64 / 1e3),
            };
            writeln!(
                f,
                "{name:<10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>9} {:>9} {:>9}",
                c.due,
                c.sent,
                c.again,
                c.served,
                c.in_time,
                c.refused,
                c.failed,
                c.lost,
                c.unsent,
                time(0.5),
                time(0.9),
                time(0.99)
            )?;
        }
        let d = &self.drift;
        let ms = |part| d.at(part) as f64 / 1e3;
        writeln!(
            f,
            "sent behind the schedule: p50 {:.1} ms, p99 {:.1} ms, at most {:.1} ms; held for room {}",
            ms(0.5),
            ms(0.99),
            d.max() as f64 / 1e3,
            self.held
        )?;
        if self.unfinished > 0 {
            writeln!(f, "without a last word when it was stopped: {}", self.unfinished)?;
        }
        let over = |v: &&Volume| v.limit.is_some_and(|l| v.busiest > l);
        for v in self.volumes.iter().filter(over).take(5) {
            writeln!(
                f,
                "volume {} on {}: {:.1} units served of one second, limit {:.1} a second",
                v.volume,
                v.plan,
                v.busiest,
                v.limit.unwrap_or(0.0)
            )?;
        }
        Ok(())
    }
}
