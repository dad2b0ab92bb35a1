//! Records for the checker what clients, targets and discovery observe, with one common clock.

use crate::http::{Request, Response};
use rowanglade_checker::{
    Attempt, AttemptOutcome, Delivery, EndpointChange, History, Interval, Micros, ProcessEnd, ProcessId,
    Request as ClientRequest, TargetState,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How often the thread is checked for stalls.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// The minimum pause between two checks that is recorded as a stall.
const MIN_STALL: Duration = Duration::from_millis(30);

/// The record of one test. Its clock starts when the recorder is created.
#[derive(Debug)]
pub struct Recorder {
    started_at: Instant,
    /// The Unix time at `started_at`.
    started_unix: Micros,
    history: RefCell<History>,
    next_process: Cell<u32>,
    /// The size of a request of usual work, in units.
    usual_units: f64,
}

impl Recorder {
    /// Creates an empty record, whose clock starts now. `usual_units` is the size of a request of usual work.
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

    /// The current time on the record's clock.
    pub fn now(&self) -> Micros {
        self.micros_at(Instant::now())
    }

    /// Converts a Unix time in milliseconds to the record's clock; 0 if it is earlier than the record's
    /// start.
    pub fn micros_at_unix_ms(&self, unix_ms: u64) -> Micros {
        (unix_ms * 1_000).saturating_sub(self.started_unix)
    }

    /// Converts an instant to the record's clock; 0 if it is earlier than the record's start.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// A copy of all that has been recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }

    /// Records the start of a process, and returns the process's id.
    pub fn register_process(&self) -> ProcessId {
        let process = ProcessId(self.next_process.get());
        self.next_process.set(process.0 + 1);
        self.history.borrow_mut().process_starts.push((process, self.now()));
        process
    }

    /// Records a request that has ended for its client.
    pub fn record_request(&self, request: ClientRequest) {
        self.history.borrow_mut().requests.push(request);
    }

    /// Records a change of the endpoint list, as of now.
    pub fn record_change(&self, version: u64, target: &str, state: TargetState) {
        let change = EndpointChange { version, at: self.now(), target: target.to_string(), state };
        self.history.borrow_mut().changes.push(change);
    }

    /// Records that discovery delivered a version of the list to a process.
    pub fn record_delivery(&self, process: ProcessId, version: u64, at: Micros) {
        self.history.borrow_mut().deliveries.push(Delivery { process, version, at });
    }

    /// Records that the test ended a process.
    pub fn record_process_end(&self, end: ProcessEnd) {
        self.history.borrow_mut().process_ends.push(end);
    }

    /// Records stalls of this thread until the recorder is dropped: events during a stall are recorded late.
    pub async fn watch_stalls(recorder: Weak<Recorder>) {
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(STALL_CHECK_PERIOD).await;
            let Some(recorder) = recorder.upgrade() else { return };
            let now = Instant::now();
            if now.saturating_duration_since(last) >= MIN_STALL {
                let (from, to) = (recorder.micros_at(last), recorder.micros_at(now));
                recorder.history.borrow_mut().stalls.push(Interval { from, to });
            }
            last = now;
        }
    }

    /// Records that idle clients use up a process's descriptors from now on.
    pub fn record_descriptor_exhaustion(&self, process: ProcessId) {
        let now = self.now();
        self.history.borrow_mut().descriptor_exhaustions.push((process, now));
    }

    /// Records a time in which discovery was unavailable.
    pub fn record_outage(&self, from: Micros, to: Micros) {
        self.history.borrow_mut().outages.push(Interval { from, to });
    }

    /// Records the start of an attempt at a target. `None` if the request is not an attempt of a client's
    /// request, such as a probe.
    pub(crate) fn record_attempt(
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
        let index = history.attempts.len();
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
        Some(AttemptRecord { recorder: Rc::clone(self), index })
    }
}

/// An attempt in the record. When dropped without a response, the attempt ends with its connection.
pub(crate) struct AttemptRecord {
    recorder: Rc<Recorder>,
    index: usize,
}

impl AttemptRecord {
    fn update(&self, update: impl FnOnce(&mut Attempt)) {
        update(&mut self.recorder.history.borrow_mut().attempts[self.index]);
    }

    /// Records that the last byte of the request was received.
    pub fn record_received(&self) {
        self.update(|attempt| attempt.outcome = AttemptOutcome::InFlight);
    }

    /// Records the response to the attempt.
    pub fn record_response(&self, response: &Response) {
        let unprocessed = response.headers.iter().any(|(name, _)| *name == "X-Unprocessed");
        let outcome = match response.status {
            200 => AttemptOutcome::Served,
            _ if unprocessed => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        let now = self.recorder.now();
        self.update(|attempt| (attempt.outcome, attempt.ended_at) = (outcome, Some(now)));
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        let now = self.recorder.now();
        self.update(|attempt| attempt.ended_at = attempt.ended_at.or(Some(now)));
    }
}
