//! One replay, from a trace's file to its report.

use crate::drive::{Progress, drive};
use crate::http::Http;
use crate::iscsi::Iscsi;
use crate::plan::{Planner, Terms, TermsError};
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
    Http,
    /// Sessions log in to this target.
    Iscsi {
        target: String,
        blocks_per_unit: u32,
    },
}

/// What is asked of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    pub front: Front,
    /// The initiators, in the order of their numbers.
    pub to: Vec<SocketAddr>,
    pub speed: f64,
    pub retries: bool,
    /// Tries that may be out at once; over HTTP each takes a descriptor.
    pub most_out: usize,
    pub seed: u64,
    /// How long initiators may take until they can serve.
    pub patience: Duration,
}

impl Replay {
    /// As recorded, to these initiators over the platform's front.
    pub fn to(to: Vec<SocketAddr>) -> Replay {
        Replay {
            front: Front::Http,
            to,
            speed: 1.0,
            retries: true,
            most_out: 512,
            seed: 1,
            patience: Duration::from_secs(10),
        }
    }
}

/// How long a client waits before its second try where the answer asks for no wait: 50 to 100 ms, in
/// microseconds.
const RETRY_WAIT: u64 = 50_000;

/// Why nothing was replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    #[error(transparent)]
    Trace(#[from] TraceError),
    #[error(transparent)]
    Terms(#[from] TermsError),
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
    ask: &Replay,
    stop: oneshot::Receiver<()>,
    progress: &mut dyn FnMut(Progress),
) -> Result<(Report, Option<TraceError>), ReplayError> {
    let records = TraceReader::open(trace)?;
    let header = records.header().clone();
    let planner = Planner::new(Terms {
        classes: header.classes.clone(),
        speed: ask.speed,
        initiators: ask.to.len(),
        most_out: ask.most_out,
        retries: ask.retries,
        retry_wait: RETRY_WAIT,
        seed: ask.seed,
    })?;
    let subject = Subject {
        trace: trace.file_name().unwrap_or_default().to_string_lossy().into_owned(),
        front: match &ask.front {
            Front::Http => "http".into(),
            Front::Iscsi { .. } => "iscsi".into(),
        },
        initiators: ask.to.len(),
        speed: ask.speed,
        seed: ask.seed,
    };
    let recorder = Recorder::new(header, subject);
    match &ask.front {
        Front::Http => {
            let http = Http::new(ask.to.clone(), ask.most_out);
            let until = Instant::now() + ask.patience;
            for (number, addr) in ask.to.iter().enumerate() {
                if !http.ready(number, until).await {
                    return Err(ReplayError::NotReady(*addr, ask.patience));
                }
            }
            Ok(drive(records, planner, &http, recorder, stop, progress).await)
        }
        Front::Iscsi { target, blocks_per_unit } => {
            let sessions = Iscsi::new(ask.to.clone(), target, *blocks_per_unit);
            Ok(drive(records, planner, &sessions, recorder, stop, progress).await)
        }
    }
}
