//! Gives the planner a clock and carries out what it says.

use crate::plan::{Action, End, Micros, Number, Planner};
use crate::recorder::Recorder;
use crate::report::Report;
use futures_util::future::LocalBoxFuture;
use rowanglade_capture::{ClassTerms, Record, TraceError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Records are taken from the trace this far ahead of their time, and so many at most.
const AHEAD: Micros = 2_000_000;
const MOST_AHEAD: usize = 20_000;
/// After a stop, tries that are out have this long.
const LAST: Duration = Duration::from_secs(2);
/// How often progress is reported.
const TELL: Duration = Duration::from_millis(250);

/// A try, as a transport gets it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Unlike that of any other try.
    pub id: u64,
    pub again: bool,
    pub class: ClassTerms,
    /// The class's place in the trace's header.
    pub class_number: u16,
    pub plan: String,
    pub record: Record,
    /// When the client goes away.
    pub until: Instant,
}

/// What sends tries to initiators. The future may be dropped when the client has gone.
pub trait Transport {
    /// Sends a try to an initiator, by its place, and tells how it ended. A try without an answer by its time
    /// is [`End::Lost`]; the transport sees to that.
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, End>;
}

/// How far a replay is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    pub elapsed: Duration,
    pub due: u64,
    pub served: u64,
    pub out: usize,
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
    let mut torn = None;
    let mut over = false;
    let begun = Instant::now();
    let micros = |at: Instant| at.saturating_duration_since(begun).as_micros() as Micros;
    let (tell, mut ends) = mpsc::unbounded_channel::<(Number, End)>();
    let mut reported = begun;
    let mut give_up: Option<Instant> = None;
    loop {
        let now = micros(Instant::now());
        while !over
            && planner.scheduled() < MOST_AHEAD
            && planner.horizon().is_none_or(|horizon| horizon < now + AHEAD)
        {
            match records.next() {
                Some(Ok(record)) => planner.offer(record),
                Some(Err(error)) => {
                    torn = Some(error);
                    over = true;
                }
                None => over = true,
            }
        }
        while let Some(action) = planner.poll(micros(Instant::now())) {
            match action {
                Action::Send(send) => {
                    let now = micros(Instant::now());
                    recorder.sent(&send, now, planner.out());
                    let Some((class, plan)) = recorder.terms(&send.record) else { continue };
                    let outgoing = Outgoing {
                        id: send.id,
                        again: send.again > 0,
                        class,
                        class_number: send.record.class,
                        plan,
                        until: begun + Duration::from_micros(send.until),
                        record: send.record,
                    };
                    // The bound on tries out bounds this mailbox as well.
                    let (tell, number) = (tell.clone(), send.number);
                    let sent = transport.send(send.initiator, outgoing);
                    tokio::task::spawn_local(async move {
                        let _ = tell.send((number, sent.await));
                    });
                }
                Action::Tell(verdict) => recorder.ended(&verdict),
            }
        }
        if over && planner.idle() {
            break;
        }
        if reported.elapsed() >= TELL {
            reported = Instant::now();
            let (due, served) = recorder.so_far();
            progress(Progress { elapsed: begun.elapsed(), due, served, out: planner.out() });
        }
        let wake = planner.wake().map_or(Instant::now() + TELL, |at| begun + Duration::from_micros(at));
        tokio::select! {
            Some((number, end)) = ends.recv() => {
                planner.ended(micros(Instant::now()), number, end);
                while let Ok((number, end)) = ends.try_recv() {
                    planner.ended(micros(Instant::now()), number, end);
                }
            }
            () = sleep_until(wake.min(Instant::now() + TELL)) => {}
            _ = &mut stop, if give_up.is_none() => {
                give_up = Some(Instant::now() + LAST);
                over = true;
                planner.stop(micros(Instant::now()));
            }
        }
        if give_up.is_some_and(|at| Instant::now() >= at) {
            recorder.unfinished(planner.open() as u64);
            break;
        }
    }
    recorder.stopped(give_up.is_some());
    (recorder.finish(begun.elapsed()), torn)
}
