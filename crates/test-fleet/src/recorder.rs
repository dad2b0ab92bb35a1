//! Records what clients, targets and discovery see, on one clock, for the checker.

use crate::http::{Request, Response};
use rowanglade_checker::{
    Attempt, AttemptOutcome, Delivery, EndpointChange, History, Interval, Micros, ProcessEnd, ProcessId,
    Request as ClientRequest, TargetState,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How often it is checked whether this thread stands still.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// A pause this long counts as a stall of the thread.
const MIN_STALL: Duration = Duration::from_millis(30);

/// The record of one test. Its clock begins with it.
#[derive(Debug)]
pub struct Recorder {
    started_at: Instant,
    /// The same in Unix time.
    started_unix: Micros,
    history: RefCell<History>,
    next_process: Cell<u32>,
    /// What one request of usual work asks, in units.
    usual_units: f64,
}

impl Recorder {
    /// An empty record, whose clock begins now. `usual_units`: the units of one request of usual work.
    pub fn new(usual_units: f64) -> Rc<Recorder> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Recorder {
            started_at: Instant::now(),
            started_unix: unix.as_micros() as Micros,
            history: RefCell::default(),
            next_process: Cell::new(0),
            usual_units,
        })
    }

    /// The time on the clock of this record.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A Unix time on the clock of this record.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Micros {
        (unix_ms * 1_000).saturating_sub(self.started_unix)
    }

    /// An instant on the clock of this record; 0 for one before it.
    pub fn at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// A copy of all that is recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }

    /// The number of a process that starts now.
    pub fn process(&self) -> ProcessId {
        let process = ProcessId(self.next_process.get());
        self.next_process.set(process.0 + 1);
        self.history.borrow_mut().process_starts.push((process, self.now()));
        process
    }

    /// A request has ended for its client.
    pub fn request(&self, request: ClientRequest) {
        self.history.borrow_mut().requests.push(request);
    }

    /// The endpoint list changes now.
    pub fn change(&self, version: u64, target: &str, state: TargetState) {
        let change = EndpointChange { version, at: self.now(), target: target.to_string(), state };
        self.history.borrow_mut().changes.push(change);
    }

    /// Discovery has written a version to a process.
    pub fn delivery(&self, process: ProcessId, version: u64, at: Micros) {
        self.history.borrow_mut().deliveries.push(Delivery { process, version, at });
    }

    /// The test has ended a process.
    pub fn end(&self, end: ProcessEnd) {
        self.history.borrow_mut().process_ends.push(end);
    }

    /// Notes until the record is dropped when this thread stood still: what was recorded just then is late.
    pub async fn watch_stalls(recorder: Weak<Recorder>) {
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(STALL_CHECK_PERIOD).await;
            let Some(recorder) = recorder.upgrade() else { return };
            let now = Instant::now();
            if now.saturating_duration_since(last) >= MIN_STALL {
                let (from, to) = (recorder.at(last), recorder.at(now));
                recorder.history.borrow_mut().stalls.push(Interval { from, to });
            }
            last = now;
        }
    }

    /// From now on idle clients fill a process's descriptors.
    pub fn crowd(&self, process: ProcessId) {
        let now = self.now();
        self.history.borrow_mut().descriptor_exhaustions.push((process, now));
    }

    /// Discovery could not be reached for a while.
    pub fn outage(&self, from: Micros, to: Micros) {
        self.history.borrow_mut().outages.push(Interval { from, to });
    }

    /// An attempt begins at a target. None: it is no attempt of a request.
    pub(crate) fn attempt(
        self: &Rc<Self>,
        request: &Request,
        target: &str,
        shard: u32,
    ) -> Option<AttemptRecord> {
        let id = request.header("x-correlation-id")?;
        let time_left = request.header("x-time-left-ms").and_then(|ms| ms.parse::<Micros>().ok());
        let placement = request.header("x-placement").unwrap_or_default();
        let units = placement.split(',').find_map(|part| part.trim().strip_prefix("units="));
        let units = units.and_then(|units| units.parse::<f64>().ok()).unwrap_or(self.usual_units);
        let mut history = self.history.borrow_mut();
        let place = history.attempts.len();
        history.attempts.push(Attempt {
            request: id.to_string(),
            target: target.to_string(),
            deduplication_scope: format!("cell-{shard}"),
            started_at: self.now(),
            units: units / self.usual_units,
            time_left: time_left.map(|ms| ms * 1_000),
            outcome: AttemptOutcome::Incomplete,
            ended_at: None,
        });
        Some(AttemptRecord { recorder: Rc::clone(self), place })
    }
}

/// An attempt that is recorded. Dropped, its connection has ended.
pub(crate) struct AttemptRecord {
    recorder: Rc<Recorder>,
    place: usize,
}

impl AttemptRecord {
    fn change(&self, change: impl FnOnce(&mut Attempt)) {
        change(&mut self.recorder.history.borrow_mut().attempts[self.place]);
    }

    /// Its last byte has come.
    pub fn received(&self) {
        self.change(|attempt| attempt.outcome = AttemptOutcome::InFlight);
    }

    /// Its response is written.
    pub fn answered(&self, response: &Response) {
        let unprocessed = response.headers.iter().any(|(name, _)| *name == "X-Unprocessed");
        let outcome = match response.status {
            200 => AttemptOutcome::Served,
            _ if unprocessed => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        let now = self.recorder.now();
        self.change(|attempt| (attempt.outcome, attempt.ended_at) = (outcome, Some(now)));
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        let now = self.recorder.now();
        self.change(|attempt| attempt.ended_at = attempt.ended_at.or(Some(now)));
    }
}
