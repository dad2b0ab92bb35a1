//! The report of a replay, as JSON and as text.

use crate::latency::LatencyHistogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The version of the report format.
pub const VERSION: u32 = 1;

/// Why a report cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The text is not the JSON of a report.
    #[error("not a replay report: {0}")]
    Json(#[from] serde_json::Error),
    /// The report has another version than [`VERSION`].
    #[error("replay report has version {0}, expected {VERSION}")]
    Version(u32),
}

/// Outcomes of the requests of one class. Each request has exactly one of the outcomes served, refused,
/// failed, lost and unsent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// Requests that were due and have a final outcome.
    pub due: u64,
    /// Attempts sent, including retries.
    pub sent: u64,
    /// Retries by clients.
    pub again: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within the latency objective, counted from their due time.
    pub in_time: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed; they may have been executed.
    pub failed: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Requests that were never sent because the limit of attempts in flight was reached or the replay
    /// stopped.
    pub unsent: u64,
    /// The latency objective.
    pub aim_ms: u32,
    /// Time from the due time to the response, of served requests.
    pub latency: LatencyHistogram,
    /// Time from the due time to the final outcome, of refused requests.
    pub refusal: LatencyHistogram,
}

/// Outcomes of the requests that were due in one second of the replay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due and have a final outcome.
    pub due: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed; they may have been executed.
    pub failed: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Requests that were never sent.
    pub unsent: u64,
    /// The longest delay of a first attempt against the schedule, in microseconds.
    pub drift_us: u64,
}

/// A volume's units compared with its QoS plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Volume {
    /// The volume's number, as 16 hexadecimal digits.
    pub volume: String,
    /// Name of the QoS plan.
    pub plan: String,
    /// The plan's rate, in units per second.
    pub rate: f64,
    /// The plan's limit, in units per second; absent if the plan has none.
    pub limit: Option<f64>,
    /// Units of all requests.
    pub asked: f64,
    /// Units of the served requests.
    pub served: f64,
    /// The most units served of the requests that were due in one second.
    pub busiest: f64,
}

/// The report of a replay. The names of the fields are the keys of the JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// [`VERSION`].
    pub version: u32,
    /// File name of the trace.
    pub trace: String,
    /// Front that requests were sent to: `http` or `iscsi`.
    pub front: String,
    /// Number of initiators.
    pub initiators: usize,
    /// Speed relative to the recording.
    pub speed: f64,
    /// Seed of the replay's random numbers.
    pub seed: u64,
    /// Duration of the replay, in seconds.
    pub seconds: f64,
    /// Whether the replay was stopped before the end of its trace.
    pub stopped: bool,
    /// Requests without a final outcome at the end; 0 unless the replay was stopped.
    pub unfinished: u64,
    /// Outcomes by request class.
    pub classes: BTreeMap<String, Class>,
    /// Delay of first attempts against the schedule.
    pub drift: LatencyHistogram,
    /// First attempts that were sent late because the limit of attempts in flight was reached.
    pub held: u64,
    /// The most attempts that were in flight at once.
    pub most_out: u64,
    /// Outcomes by the second in which requests were due.
    pub timeline: Vec<Second>,
    /// The volumes that requested the most units, in descending order.
    pub volumes: Vec<Volume>,
    /// Number of all volumes, listed or not.
    pub volumes_in_all: usize,
}

impl Report {
    /// Reads a report from its JSON.
    ///
    /// # Errors
    /// The text is not a report of this version.
    pub fn parse(text: &str) -> Result<Report, ReportError> {
        /// The key that reports of all versions have.
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

    /// Sums of the counts over all classes. The histograms and the objective are empty.
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
            let latency_ms = |quantile| match c.latency.count() {
                0 => "-".to_string(),
                _ => format!("{:.1}", c.latency.at(quantile) as f64 / 1e3),
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
                latency_ms(0.5),
                latency_ms(0.9),
                latency_ms(0.99)
            )?;
        }
        let drift = &self.drift;
        let drift_ms = |quantile| drift.at(quantile) as f64 / 1e3;
        writeln!(
            f,
            "first attempts sent late by: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; delayed by the in-flight limit: {}",
            drift_ms(0.5),
            drift_ms(0.99),
            drift.max() as f64 / 1e3,
            self.held
        )?;
        if self.unfinished > 0 {
            writeln!(f, "requests without a final outcome when the replay stopped: {}", self.unfinished)?;
        }
        let over_limit = |v: &&Volume| v.limit.is_some_and(|l| v.busiest > l);
        for v in self.volumes.iter().filter(over_limit).take(5) {
            writeln!(
                f,
                "volume {} on plan {}: {:.1} units served of those due in one second, limit {:.1} units/s",
                v.volume,
                v.plan,
                v.busiest,
                v.limit.unwrap_or(0.0)
            )?;
        }
        Ok(())
    }
}
