//! Runs a replay, from the trace file to the report.

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

/// The front that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Front {
    /// The HTTP front.
    Http,
    /// The iSCSI-style front.
    Iscsi {
        /// Name of the target that sessions log in to.
        target: String,
        /// Logical blocks per unit.
        blocks_per_unit: u32,
    },
}

/// Settings of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The front that requests are sent to.
    pub front: Front,
    /// Addresses of the initiators. A volume's requests depend on their order.
    pub to: Vec<SocketAddr>,
    /// Speed relative to the recording; above 0.
    pub speed: f64,
    /// Whether clients retry as their request class permits.
    pub retries: bool,
    /// Limit of attempts in flight; over HTTP each takes a file descriptor.
    pub max_in_flight: usize,
    /// Seed of the retry jitter and of the choice of initiators. Correlation ids do not depend on it.
    pub seed: u64,
    /// Time limit for all initiators to become ready. Applies to [`Front::Http`] only.
    pub ready_timeout: Duration,
}

impl Replay {
    /// A replay to these initiators over HTTP, at the recorded speed and with retries.
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

/// Shortest wait of a client before its retry where the response asks for none, in microseconds. With its
/// random part the wait is 50 to 100 ms.
const RETRY_WAIT: u64 = 50_000;

/// Why a replay could not start.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The trace cannot be opened or its header cannot be read.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// A setting is out of range.
    #[error(transparent)]
    Planner(#[from] PlannerConfigError),
    /// An initiator did not become ready in time.
    #[error("initiator {0} did not respond to `GET /up` with status 200 within {1:?}")]
    NotReady(SocketAddr, Duration),
}

/// Replays a trace until its end or until `stop` resolves. If a record cannot be read, the replay ends there,
/// and the error is returned beside the report. Must be called within a [`tokio::task::LocalSet`], since it
/// spawns local tasks.
///
/// # Errors
/// The trace cannot be opened, a setting is out of range, or an initiator is not ready in time. No request
/// has been sent then.
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
        id_seed: rand::random(),
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
            let deadline = Instant::now() + options.ready_timeout;
            for (index, addr) in options.to.iter().enumerate() {
                if !http.wait_until_ready(index, deadline).await {
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
