//! One replay, from a trace's file to its report.

use crate::drive::{Progress, drive};
use crate::http::Http;
use crate::iscsi::Iscsi;
use crate::plan::{Planner, PlannerConfig, PlannerConfigError};
use crate::recorder::{Recorder, Subject};
use crate::report::Report;
use rowanglade_capture::{TraceError, TraceReader};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Over which front requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum Front {
    /// The platform's.
    Http,
    /// Sessions log in to this target.
    Iscsi {
        /// The name of the target.
        target: String,
        /// Blocks in a unit.
        blocks_per_unit: u32,
    },
}

/// What is asked of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The protocol.
    pub front: Front,
    /// The initiators, in the order of their numbers.
    pub to: Vec<SocketAddr>,
    /// How many times faster than recorded.
    pub speed: f64,
    /// Clients retry as their class permits.
    pub retries: bool,
    /// Tries that may be out at once; over HTTP each takes a descriptor.
    pub max_in_flight: usize,
    /// What the random numbers follow from.
    pub seed: u64,
    /// How long initiators may take until they can serve.
    pub ready_timeout: Duration,
}

impl Replay {
    /// As recorded, to these initiators over the platform's front.
    pub fn to(to: Vec<SocketAddr>) -> Replay {
        Replay {
            front: Front::Http,
            to,
            speed: 1.0,
            retries: true,
            max_in_flight: 512,
            seed: 1,
            ready_timeout: Duration::from_secs(10),
        }
    }
}

/// How long a client waits before its second try where the answer asks for no wait: 50 to 100 ms, in
/// microseconds.
const RETRY_WAIT: u64 = 50_000;

/// Why nothing was replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The trace cannot be read.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// The terms are unusable.
    #[error(transparent)]
    Planner(#[from] PlannerConfigError),
    /// An initiator does not get ready in time.
    #[error("{0} does not answer `GET /up` with 200 within {1:?}")]
    NotReady(SocketAddr, Duration),
}

/// Replays a trace until its end or until `stop` resolves. Beside the report stands what was wrong with the
/// rest of the trace, if anything. It must be called where tasks can be spawned that stay on their thread.
///
/// # Errors Nothing was sent: the trace cannot be opened, what is asked makes no sense, or an initiator does
/// not serve.
pub async fn replay(
    trace: &Path,
    options: &Replay,
    stop: oneshot::Receiver<()>,
    progress: &mut dyn FnMut(Progress),
) -> Result<(Report, Option<TraceError>), ReplayError> {
    let records = TraceReader::open(trace)?;
    let header = records.header().clone();
    let planner = Planner::new(PlannerConfig {
        classes: header.classes.clone(),
        speed: options.speed,
        initiators: options.to.len(),
        max_in_flight: options.max_in_flight,
        retries: options.retries,
        retry_wait: RETRY_WAIT,
        seed: options.seed,
    })?;
    let subject = Subject {
        trace: trace.file_name().unwrap_or_default().to_string_lossy().into_owned(),
        front: match &options.front {
            Front::Http => "http".into(),
            Front::Iscsi { .. } => "iscsi".into(),
        },
        initiators: options.to.len(),
        speed: options.speed,
        seed: options.seed,
    };
    let recorder = Recorder::new(header, subject);
    match &options.front {
        Front::Http => {
            let http = Http::new(options.to.clone(), options.max_in_flight);
            let until = Instant::now() + options.ready_timeout;
            for (number, addr) in options.to.iter().enumerate() {
                if !http.wait_until_ready(number, until).await {
                    return Err(ReplayError::NotReady(*addr, options.ready_timeout));
                }
            }
            Ok(drive(records, planner, &http, recorder, stop, progress).await)
        }
        Front::Iscsi { target, blocks_per_unit } => {
            let sessions = Iscsi::new(options.to.clone(), target, *blocks_per_unit);
            Ok(drive(records, planner, &sessions, recorder, stop, progress).await)
        }
    }
}
