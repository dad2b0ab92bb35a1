//! Gives the planner a clock and carries out what it says.

use crate::plan::{Action, AttemptOutcome, Micros, Planner, RequestNumber};
use crate::recorder::Recorder;
use crate::report::Report;
use futures_util::future::LocalBoxFuture;
use rowanglade_capture::{ClassTerms, Record, TraceError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Records are taken from the trace this far ahead of their time, and so many at most.
const READ_AHEAD_US: Micros = 2_000_000;
const MAX_SCHEDULED: usize = 20_000;
/// After a stop, tries that are out have this long.
const STOP_GRACE: Duration = Duration::from_secs(2);
/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// A try, as a transport gets it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Unlike that of any other try.
    pub id: u64,
    /// It is a retry of the client.
    pub is_retry: bool,
    /// The request class.
    pub class: ClassTerms,
    /// The class's place in the trace's header.
    pub class_number: u16,
    /// The QoS plan.
    pub plan: String,
    /// The request.
    pub record: Record,
    /// When the client goes away.
    pub deadline: Instant,
}

/// What sends tries to initiators. The future may be dropped when the client has gone.
pub trait Transport {
    /// Sends a try to an initiator, by its place, and tells how it ended. A try without an answer by its time
    /// is [`AttemptOutcome::Lost`]; the transport sees to that.
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, AttemptOutcome>;
}

/// How far a replay is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Since the beginning of the replay.
    pub elapsed: Duration,
    /// Requests that came due.
    pub due: u64,
    /// Requests that were served.
    pub served: u64,
    /// Attempts in flight.
    pub in_flight: usize,
}

/// Replays records until all have their last word, or `stop` resolves.
///
/// Cancelling it drops the tries that are out, which closes their connections.
///
/// # Errors
/// The trace cannot be read on; what was sent by then is in the report beside the error.
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
                    // The bound on tries out bounds this mailbox as well.
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
