//! What became of the requests of a run.

use super::exchange::{End, Exchange};
use crate::outcome::Outcome;
use std::fmt;
use std::time::Duration;

/// A request whose connection ends within this time after its first byte crossed the close of a connection between
/// requests, which the pages allow. It is the slack that they give each time limit on sockets.
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Answered with 200.
    Served,
    /// Answered with 503 or 429.
    Rejected,
    /// Answered in another way.
    Failed,
    /// It crossed the close of its connection between requests.
    Crossed,
    /// Its connection ended in the middle of the request, whose last byte was not written.
    CutOff,
    /// Its last byte was written, and no whole response came.
    Lost,
}

impl Fate {
    /// The fate of a request by what its client saw. On a connection of its own, no request crosses a close between
    /// requests.
    pub fn of(exchange: &Exchange, is_first_of_connection: bool) -> Fate {
        let lasted = exchange.ended_at.duration_since(exchange.began_at);
        match (exchange.end, exchange.whole_at) {
            (End::Answered { status: 200, .. }, _) => Fate::Served,
            (End::Answered { status: 429 | 503, .. }, _) => Fate::Rejected,
            (End::Answered { .. }, _) => Fate::Failed,
            (End::Closed, _) if !is_first_of_connection && lasted <= CROSSING_TIME => Fate::Crossed,
            (End::Closed, None) => Fate::CutOff,
            (End::Closed | End::Nothing, _) => Fate::Lost,
        }
    }

    /// Whether no request may end so.
    pub fn is_breach(self) -> bool {
        matches!(self, Fate::CutOff | Fate::Lost)
    }
}

/// How many requests had which fate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    served: usize,
    rejected: usize,
    failed: usize,
    crossed: usize,
    cut_off: usize,
    lost: usize,
    /// Attempts to connect that were refused.
    pub refused_connections: usize,
}

impl Tally {
    /// Counts a request.
    pub fn record(&mut self, fate: Fate) {
        let count = match fate {
            Fate::Served => &mut self.served,
            Fate::Rejected => &mut self.rejected,
            Fate::Failed => &mut self.failed,
            Fate::Crossed => &mut self.crossed,
            Fate::CutOff => &mut self.cut_off,
            Fate::Lost => &mut self.lost,
        };
        *count += 1;
    }

    /// The sum of two tallies.
    pub fn merge(self, other: Tally) -> Tally {
        Tally {
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            crossed: self.crossed + other.crossed,
            cut_off: self.cut_off + other.cut_off,
            lost: self.lost + other.lost,
            refused_connections: self.refused_connections + other.refused_connections,
        }
    }

    fn begun(&self) -> usize {
        self.served + self.rejected + self.failed + self.crossed + self.cut_off + self.lost
    }

    /// The share of the requests that were begun and that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.begun().max(1) as f64
    }

    /// Reports the counts.
    pub fn figures(&self, out: &mut Outcome) {
        out.figure("requests begun after SIGTERM or shortly before", self.begun() as f64, "");
        out.figure("served", self.served as f64, "");
        out.figure("share served", self.served_share(), "");
        out.figure("rejected", self.rejected as f64, "");
        out.figure("failed", self.failed as f64, "");
        out.figure("crossed the close of a connection between requests", self.crossed as f64, "");
        out.figure("cut off", self.cut_off as f64, "");
        out.figure("lost", self.lost as f64, "");
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} begun, {} served, {} rejected, {} failed, {} crossed a close, {} cut off, {} lost",
            self.begun(),
            self.served,
            self.rejected,
            self.failed,
            self.crossed,
            self.cut_off,
            self.lost
        )
    }
}
