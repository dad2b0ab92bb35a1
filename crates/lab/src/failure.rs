//! Why an experiment has no outcome.

use plotters::drawing::DrawingAreaErrorKind;
use rowanglade::config::ConfigError;
use rowanglade_capture::{EntryError, ImportError, MappingError, TraceError};
use rowanglade_replay::ReplayError;
use rowanglade_routing::RouteError;
use std::error::Error;
use std::io;
use std::net::AddrParseError;
use std::num::{ParseIntError, TryFromIntError};
use std::path::PathBuf;
use std::string::FromUtf8Error;
use tokio::sync::watch::error::RecvError;
use tokio::task::JoinError;

/// Why an experiment has no outcome.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Text that another process printed is no number.
    #[error(transparent)]
    ParseInt(#[from] ParseIntError),
    /// A number is too large for where it goes.
    #[error(transparent)]
    TryFromInt(#[from] TryFromIntError),
    /// JSON that another process printed cannot be read.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Text that another process printed is not UTF-8.
    #[error(transparent)]
    Utf8(#[from] FromUtf8Error),
    /// A task of the experiment panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] JoinError),
    /// A part of the daemon ended while its state was awaited.
    #[error(transparent)]
    Ended(#[from] RecvError),
    /// A line cannot be fitted to measured points.
    #[error(transparent)]
    Regression(#[from] linregress::Error),
    /// A trace cannot be read or written.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// The shipped mapping is unusable.
    #[error(transparent)]
    Mapping(#[from] MappingError),
    /// The shipped sample cannot be imported.
    #[error(transparent)]
    Import(#[from] ImportError),
    /// A replay could not run.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A daemon's configuration is unusable.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An initiator within this process could not start.
    #[error(transparent)]
    Initiator(#[from] rowanglade::initiator::Error),
    /// A route table is unusable.
    #[error(transparent)]
    Routes(#[from] RouteError),
    /// A message of the distribution cannot be decoded.
    #[error(transparent)]
    Distribution(#[from] rowanglade_distribution::DecodeError),
    /// A message of the distribution cannot be encoded.
    #[error(transparent)]
    DistributionEncoding(#[from] rowanglade_distribution::EncodeError),
    /// A state of the distribution cannot be packed.
    #[error(transparent)]
    Snapshot(#[from] rowanglade_distribution::SnapshotError),
    /// A message of the quota exchange cannot be decoded.
    #[error(transparent)]
    QuotaExchange(#[from] rowanglade_quota_exchange::DecodeError),
    /// A curve or plot cannot be drawn.
    #[error("{0}")]
    Drawing(String),
    /// A line of an access log cannot be read.
    #[error(transparent)]
    AccessLog(#[from] EntryError),
    /// An endpoint list, or settings, cannot be used.
    #[error("{0}")]
    Unreadable(String),
    /// What an experiment relies on did not happen.
    #[error("{0}")]
    Unexpected(&'static str),
    /// The fault shim's library is missing.
    #[error("{} is not built", .0.display())]
    NotBuilt(PathBuf),
    /// A program that an experiment starts has failed, with what it printed.
    #[error("{0}")]
    Program(String),
    /// A probe in a process of its own has failed, with what it printed.
    #[error("{name}: {stderr}")]
    Probe {
        /// The probe.
        name: String,
        /// What it printed.
        stderr: String,
    },
    /// A sink's process printed no address.
    #[error("the box did not start: {0}")]
    SinkStart(AddrParseError),
    /// Points through which no law can be fitted.
    #[error("{name}: {points:?} gives no slope")]
    NoSlope {
        /// The curve.
        name: String,
        /// Sizes and costs.
        points: Vec<(f64, f64)>,
    },
    /// Fewer polls than expected came in time.
    #[error("{answered} of {expected} calls came")]
    MissingPolls {
        /// How many came.
        answered: u64,
        /// How many had to come.
        expected: u64,
    },
}

impl<E: Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Failure {
    fn from(error: DrawingAreaErrorKind<E>) -> Failure {
        Failure::Drawing(error.to_string())
    }
}
