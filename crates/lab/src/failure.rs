//! Errors that keep an experiment from completing.

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

/// Why an experiment did not complete.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Output of another process is not a number.
    #[error(transparent)]
    ParseInt(#[from] ParseIntError),
    /// A number does not fit its target type.
    #[error(transparent)]
    TryFromInt(#[from] TryFromIntError),
    /// Output of another process is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Output of another process is not UTF-8.
    #[error(transparent)]
    Utf8(#[from] FromUtf8Error),
    /// A task of the experiment panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] JoinError),
    /// The state of a daemon component was awaited, and the component ended.
    #[error(transparent)]
    ComponentEnded(#[from] RecvError),
    /// The regression of measured points failed.
    #[error(transparent)]
    Regression(#[from] linregress::Error),
    /// A trace cannot be read or written.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// The shipped mapping is invalid.
    #[error(transparent)]
    Mapping(#[from] MappingError),
    /// The shipped sample cannot be imported.
    #[error(transparent)]
    Import(#[from] ImportError),
    /// A replay could not be run.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A daemon's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An initiator inside the lab's process could not be started.
    #[error(transparent)]
    Initiator(#[from] rowanglade::initiator::Error),
    /// A routing table is invalid.
    #[error(transparent)]
    Routes(#[from] RouteError),
    /// A distribution message cannot be decoded.
    #[error(transparent)]
    Distribution(#[from] rowanglade_distribution::DecodeError),
    /// A distribution message cannot be encoded.
    #[error(transparent)]
    DistributionEncoding(#[from] rowanglade_distribution::EncodeError),
    /// A distribution state cannot be compressed into a snapshot.
    #[error(transparent)]
    Snapshot(#[from] rowanglade_distribution::SnapshotError),
    /// A quota exchange message cannot be decoded.
    #[error(transparent)]
    QuotaExchange(#[from] rowanglade_quota_exchange::DecodeError),
    /// A curve or plot cannot be drawn; the text is the plotting library's.
    #[error("{0}")]
    Drawing(String),
    /// A line of an access log cannot be parsed.
    #[error(transparent)]
    AccessLog(#[from] EntryError),
    /// The scheduler or the translation rejected the experiment's settings; the text is the error.
    #[error("{0}")]
    InvalidSettings(String),
    /// The program under test or an experiment's own input is not as the experiment requires.
    #[error("{0}")]
    Unexpected(&'static str),
    /// The library of the fault shim has not been built.
    #[error("fault shim library {} not found; build rowanglade-fault-shim first", .0.display())]
    FaultShimNotBuilt(PathBuf),
    /// A command that an experiment ran exited with an error; the text is its standard error output.
    #[error("{0}")]
    CommandFailed(String),
    /// A probe process exited with an error.
    #[error("probe {name} failed: {stderr}")]
    Probe {
        /// Name of the probe.
        name: String,
        /// The process's standard error output.
        stderr: String,
    },
    /// The process of a [`crate::sink::Sink`] did not print an address.
    #[error("the stub target process did not print its address: {0}")]
    SinkStart(AddrParseError),
    /// The points do not allow a fit.
    #[error("cannot fit curve {name:?}: too few sizes, or a size or cost that is not positive: {points:?}")]
    CurveFit {
        /// Name of the curve.
        name: String,
        /// Sizes and costs.
        points: Vec<(f64, f64)>,
    },
    /// Discovery received fewer polls than expected within the timeout.
    #[error("discovery answered {answered} of {expected} expected polls before the timeout")]
    MissingPolls {
        /// Polls that discovery answered.
        answered: u64,
        /// Polls that were expected.
        expected: u64,
    },
}

impl<E: Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Failure {
    fn from(error: DrawingAreaErrorKind<E>) -> Failure {
        Failure::Drawing(error.to_string())
    }
}
