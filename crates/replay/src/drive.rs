//! Runs a [`Planner`] against the clock and a [`Transport`].

use crate::plan::{Action, AttemptOutcome, Micros, Planner, RequestNumber};
use crate::recorder::Recorder;
use crate::report::Report;
use futures_util::future::LocalBoxFuture;
use rowanglade_capture::{ClassTerms, Record, TraceError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Records are read from the trace up to this far ahead of their due time, at most [`MAX_SCHEDULED`] of them.
const READ_AHEAD_US: Micros = 2_000_000;
const MAX_SCHEDULED: usize = 20_000;
/// How long attempts in flight may take to end after a stop.
const STOP_GRACE: Duration = Duration::from_secs(2);
/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// An attempt that a [`Transport`] is to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Correlation id, different for each attempt.
    pub id: u64,
    /// Whether this is the client's retry.
    pub is_retry: bool,
    /// The request class.
    pub class: ClassTerms,
    /// Index of the class in the trace's header.
    pub class_number: u16,
    /// Name of the QoS plan.
    pub plan: String,
    /// The recorded request.
    pub record: Record,
    /// When the client abandons the attempt.
    pub deadline: Instant,
}

/// Sends attempts to initiators.
pub trait Transport {
    /// Sends an attempt to the initiator with this index and returns its outcome: [`AttemptOutcome::Lost`] if
    /// there is no response by [`Outgoing::deadline`]. The caller may drop the future at any time.
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, AttemptOutcome>;
}

/// Progress of a running replay.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time since the start of the replay.
    pub elapsed: Duration,
    /// Requests that have a final outcome.
    pub due: u64,
    /// Requests that were served.
    pub served: u64,
    /// Attempts in flight.
    pub in_flight: usize,
}

/// Replays records until each request has a final outcome, or until `stop` resolves and the attempts in
/// flight have ended or their grace period is over.
///
/// Dropping the future drops the attempts in flight, which closes their connections.
///
/// # Errors
///
/// # Errors
/// The next record cannot be read. The report covers the requests before it.
pub async fn drive(
    records: impl Iterator<Item = Result<Record, TraceError>>,
    mut planner: Planner,
    transport: &dyn Transport,
    mut recorder: Recorder,
    mut stop: oneshot::Receiver<()>,
    progress: &mut dyn FnMut(Progress),
) -> (Report, Option<TraceError>) {
    let mut records = records.fuse();
    let mut trace_error = None;
    let mut trace_ended = false;
    let started_at = Instant::now();
    let micros = |at: Instant| at.saturating_duration_since(started_at).as_micros() as Micros;
    let (outcome_tx, mut outcome_rx) = mpsc::unbounded_channel::<(RequestNumber, AttemptOutcome)>();
    let mut last_progress_at = started_at;
    let mut stop_deadline: Option<Instant> = None;
    loop {
        let now = micros(Instant::now());
        while !trace_ended
            && planner.scheduled() < MAX_SCHEDULED
            && planner.horizon().is_none_or(|horizon| horizon < now + READ_AHEAD_US)
        {
            match records.next() {
                Some(Ok(record)) => planner.push_record(record),
                Some(Err(error)) => {
                    trace_error = Some(error);
                    trace_ended = true;
                }
                None => trace_ended = true,
            }
        }
        while let Some(action) = planner.poll(micros(Instant::now())) {
            match action {
                Action::Send(attempt) => {
                    let now = micros(Instant::now());
                    recorder.record_attempt(&attempt, now, planner.in_flight());
                    let Some((class, plan)) = recorder.terms(&attempt.record) else { continue };
                    let outgoing = Outgoing {
                        id: attempt.id,
                        is_retry: attempt.retry_number > 0,
                        class,
                        class_number: attempt.record.class,
                        plan,
                        deadline: started_at + Duration::from_micros(attempt.deadline),
                        record: attempt.record,
                    };
                    // The limit of attempts in flight bounds this unbounded channel as well.
                    let (outcome_tx, number) = (outcome_tx.clone(), attempt.number);
                    let outcome = transport.send(attempt.initiator, outgoing);
                    tokio::task::spawn_local(async move {
                        let _ = outcome_tx.send((number, outcome.await));
                    });
                }
                Action::Complete(request) => recorder.record_outcome(&request),
            }
        }
        if trace_ended && planner.is_idle() {
            break;
        }
        if last_progress_at.elapsed() >= PROGRESS_INTERVAL {
            last_progress_at = Instant::now();
            let (due, served) = recorder.progress_counts();
            progress(Progress { elapsed: started_at.elapsed(), due, served, in_flight: planner.in_flight() });
        }
        let wake_at = planner
            .next_wake()
            .map_or(Instant::now() + PROGRESS_INTERVAL, |at| started_at + Duration::from_micros(at));
        tokio::select! {
            Some((number, outcome)) = outcome_rx.recv() => {
                planner.attempt_ended(micros(Instant::now()), number, outcome);
                while let Ok((number, outcome)) = outcome_rx.try_recv() {
                    planner.attempt_ended(micros(Instant::now()), number, outcome);
                }
            }
            () = sleep_until(wake_at.min(Instant::now() + PROGRESS_INTERVAL)) => {}
            _ = &mut stop, if stop_deadline.is_none() => {
                stop_deadline = Some(Instant::now() + STOP_GRACE);
                trace_ended = true;
                planner.stop(micros(Instant::now()));
            }
        }
        if stop_deadline.is_some_and(|at| Instant::now() >= at) {
            recorder.set_unfinished(planner.open_requests() as u64);
            break;
        }
    }
    recorder.set_stopped(stop_deadline.is_some());
    (recorder.finish(started_at.elapsed()), trace_error)
}
