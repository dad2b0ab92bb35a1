//! Records what clients, targets and discovery see, on one clock, for the checker.

use crate::http::{Answer, Request};
use rowanglade_checker::{
    Attempt, Change, Delivery, Fate, History, Micros, Outage, ProcessEnd, ProcessId,
    Request as ClientRequest, TargetState,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How often it is looked whether this thread stands still, and from when on it does.
const BEAT: Duration = Duration::from_millis(5);
const STALL: Duration = Duration::from_millis(30);

/// The record of one test. Its clock begins with it.
#[derive(Debug)]
pub struct Recorder {
    begun: Instant,
    /// The same in Unix time.
    begun_unix: Micros,
    history: RefCell<History>,
    processes: Cell<u32>,
    /// What one request of usual work asks, in units.
    usual_units: f64,
}

impl Recorder {
    pub fn new(usual_units: f64) -> Rc<Recorder> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Recorder {
            begun: Instant::now(),
            begun_unix: unix.as_micros() as Micros,
            history: RefCell::default(),
            processes: Cell::new(0),
            usual_units,
        })
    }

    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A Unix time on the clock of this record.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Micros {
        (unix_ms * 1_000).saturating_sub(self.begun_unix)
    }

    pub fn at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.begun).as_micros() as Micros
    }

    /// A copy of all that is recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }

    /// The number of a process that starts now.
    pub fn process(&self) -> ProcessId {
        let process = ProcessId(self.processes.get());
        self.processes.set(process.0 + 1);
        self.history.borrow_mut().starts.push((process, self.now()));
        process
    }

    pub fn request(&self, request: ClientRequest) {
        self.history.borrow_mut().requests.push(request);
    }

    pub fn change(&self, version: u64, target: &str, state: TargetState) {
        let change = Change { version, at: self.now(), target: target.to_string(), state };
        self.history.borrow_mut().changes.push(change);
    }

    pub fn delivery(&self, process: ProcessId, version: u64, at: Micros) {
        self.history.borrow_mut().deliveries.push(Delivery { process, version, at });
    }

    pub fn end(&self, end: ProcessEnd) {
        self.history.borrow_mut().ends.push(end);
    }

    /// Notes until the record is dropped when this thread stood still: what was recorded just then is late.
    pub async fn watch_stalls(recorder: Weak<Recorder>) {
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(BEAT).await;
            let Some(recorder) = recorder.upgrade() else { return };
            let now = Instant::now();
            if now.saturating_duration_since(last) >= STALL {
                let (from, to) = (recorder.at(last), recorder.at(now));
                recorder.history.borrow_mut().stalls.push(Outage { from, to });
            }
            last = now;
        }
    }

    /// From now on idle clients fill a process's descriptors.
    pub fn crowd(&self, process: ProcessId) {
        let now = self.now();
        self.history.borrow_mut().crowds.push((process, now));
    }

    pub fn outage(&self, from: Micros, to: Micros) {
        self.history.borrow_mut().outages.push(Outage { from, to });
    }

    /// An attempt begins at a target. None: it is no attempt of a request.
    pub(crate) fn attempt(
        self: &Rc<Self>,
        request: &Request,
        target: &str,
        shard: u32,
    ) -> Option<AttemptSlot> {
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
            group: format!("cell-{shard}"),
            begun: self.now(),
            units: units / self.usual_units,
            time_left: time_left.map(|ms| ms * 1_000),
            fate: Fate::NeverWhole,
            ended: None,
        });
        Some(AttemptSlot { recorder: Rc::clone(self), place })
    }
}

/// An attempt that is recorded. Dropped, its connection has ended.
pub(crate) struct AttemptSlot {
    recorder: Rc<Recorder>,
    place: usize,
}

impl AttemptSlot {
    fn change(&self, change: impl FnOnce(&mut Attempt)) {
        change(&mut self.recorder.history.borrow_mut().attempts[self.place]);
    }

    /// Its last byte has come.
    pub fn whole(&self) {
        self.change(|attempt| attempt.fate = Fate::Open);
    }

    pub fn answered(&self, answer: &Answer) {
        let unseen = answer.headers.iter().any(|(name, _)| *name == "X-Unprocessed");
        let fate = match answer.status {
            200 => Fate::Served,
            _ if unseen => Fate::TurnedAway,
            _ => Fate::Failed,
        };
        let now = self.recorder.now();
        self.change(|attempt| (attempt.fate, attempt.ended) = (fate, Some(now)));
    }
}

impl Drop for AttemptSlot {
    fn drop(&mut self) {
        let now = self.recorder.now();
        self.change(|attempt| attempt.ended = attempt.ended.or(Some(now)));
    }
}
