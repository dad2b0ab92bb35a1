//! The schedule of a replay, the clients' own retries, and the limit on attempts in flight.
//!
//! The planner is a state machine without clock or sockets. Its inputs are the records of the trace in time
//! order ([`Planner::push_record`]), the current time, and the outcomes of attempts
//! ([`Planner::attempt_ended`]). Its outputs are attempts to send and completed requests ([`Planner::poll`]).
//! Times are microseconds since the start of the replay.
//!
//! Simulated clients follow the retry rules of the platform. A client retries a request at most once, under a
//! new correlation id and through the same initiator, after the wait that the response asks for or a short
//! wait of its own, and only if that time is before its deadline.
//!
//! - A read is retried after every outcome except success.
//! - A keyed write is retried if it was rejected or the initiator was unreachable. If it may have been
//!   executed, it is retried only while its rack still remembers the idempotency key and only if its shard is
//!   known, since a retry of a write without a shard could reach another rack.
//! - A write without a key is retried only if it was not executed.

use crate::pick;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{ClassTerms, Record, Repeat};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Microseconds since the replay's beginning.
pub type Micros = u64;

/// Settings of a [`Planner`].
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The request classes of the trace.
    pub classes: Vec<ClassTerms>,
    /// Speed relative to the recording: 2.0 halves the time between requests. Deadlines are not scaled.
    pub speed: f64,
    /// Number of initiators; at least 1.
    pub initiators: usize,
    /// Limit of attempts in flight; at least 1.
    pub max_in_flight: usize,
    /// Whether clients retry.
    pub retries: bool,
    /// Shortest wait of a client before its retry, in microseconds; a random part of up to the same length is
    /// added. A longer wait that the response asks for takes precedence.
    pub retry_wait: Micros,
    /// Seed of the retry jitter and of the choice of initiators.
    pub seed: u64,
    /// Seed of the correlation ids, drawn anew for each replay: no two requests may have the same id, even those
    /// of different replays.
    pub id_seed: u64,
}

/// Why a [`PlannerConfig`] is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlannerConfigError {
    /// The speed is zero, negative, infinite or not a number.
    #[error("replay speed must be a finite number above 0")]
    Speed,
    /// There are no initiators.
    #[error("no initiator to send requests to")]
    Initiators,
    /// The limit of attempts in flight is 0.
    #[error("limit of attempts in flight must be at least 1")]
    MaxInFlight,
}

/// How an attempt ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response reports success.
    Served,
    /// The request was rejected without being executed.
    Refused {
        /// The wait that the response asks for, in microseconds; 0 if it asks for none.
        retry_after: Micros,
    },
    /// The response reports an error. The request may have been executed.
    Failed,
    /// No connection to the initiator could be used, or the request was not written completely.
    Unreachable,
    /// No response: the connection ended, or the client's deadline passed. The request may have been
    /// executed.
    Lost,
}

/// Position of a request in the trace, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// An attempt to send now.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub number: RequestNumber,
    /// 0 for the first attempt, 1 for the client's retry.
    pub retry_number: u32,
    /// Correlation id, random for each attempt.
    pub id: u64,
    /// The recorded request.
    pub record: Record,
    /// Index of the initiator.
    pub initiator: usize,
    /// When the request was due; the same for both attempts.
    pub due: Micros,
    /// When the client abandons the attempt.
    pub deadline: Micros,
    /// Whether this is a first attempt that was sent late because the limit of attempts in flight was
    /// reached.
    pub waited_for_slot: bool,
}

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The last attempt's response reports success.
    Served,
    /// The request was rejected, or it had been sent and was still waiting to be retried when its deadline
    /// passed or the replay stopped.
    Refused,
    /// The last attempt's response reports an error. The request may have been executed.
    Failed,
    /// The last attempt had no response, or its initiator was unreachable.
    Lost,
    /// The deadline passed, or the replay stopped, before the first attempt was sent.
    Unsent,
}

/// A request with its final outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// The request.
    pub number: RequestNumber,
    /// The recorded request.
    pub record: Record,
    /// When the request was due.
    pub due: Micros,
    /// The final outcome.
    pub outcome: RequestOutcome,
    /// Time from the due time to the final outcome.
    pub latency: Micros,
    /// Number of attempts that were sent.
    pub attempts: u32,
}

/// Output of [`Planner::poll`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Attempt),
    /// Report the final outcome of a request.
    Complete(CompletedRequest),
}

#[derive(Debug)]
struct OpenRequest {
    record: Record,
    due: Micros,
    deadline: Micros,
    initiator: usize,
    attempts: u32,
    first_sent_at: Option<Micros>,
    /// Whether an attempt of the request is in flight.
    in_flight: bool,
}

/// The state machine: see the [module](self).
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    next_number: u64,
    /// Records that are not due yet, in time order.
    schedule: VecDeque<(Micros, Record)>,
    /// Due times of retries.
    retry_queue: BinaryHeap<Reverse<(Micros, RequestNumber)>>,
    /// Requests with a due attempt that waits for the limit of attempts in flight, in the order in which the
    /// attempts became due.
    waiting: VecDeque<RequestNumber>,
    open_requests: HashMap<RequestNumber, OpenRequest>,
    in_flight: usize,
    initiator_sets: HashMap<u64, Vec<usize>>,
    id_rng: Pcg64Mcg,
    jitter_rng: Pcg64Mcg,
    actions: VecDeque<Action>,
    /// Deadlines of the requests in `waiting`.
    deadlines: BTreeMap<(Micros, RequestNumber), ()>,
    stopped: bool,
}

impl Planner {
    /// Creates a planner without records.
    ///
    /// # Errors
    /// A setting is out of range.
    pub fn new(config: PlannerConfig) -> Result<Planner, PlannerConfigError> {
        if !(config.speed > 0.0 && config.speed.is_finite()) {
            return Err(PlannerConfigError::Speed);
        }
        if config.initiators == 0 {
            return Err(PlannerConfigError::Initiators);
        }
        if config.max_in_flight == 0 {
            return Err(PlannerConfigError::MaxInFlight);
        }
        let PlannerConfig { seed, id_seed, .. } = config;
        Ok(Planner {
            config,
            next_number: 0,
            schedule: VecDeque::new(),
            retry_queue: BinaryHeap::new(),
            waiting: VecDeque::new(),
            open_requests: HashMap::new(),
            in_flight: 0,
            initiator_sets: HashMap::new(),
            id_rng: Pcg64Mcg::seed_from_u64(id_seed),
            jitter_rng: Pcg64Mcg::seed_from_u64(!seed),
            actions: VecDeque::new(),
            deadlines: BTreeMap::new(),
            stopped: false,
        })
    }

    /// The due time of a record: its recorded time divided by the speed.
    pub fn due(&self, record: &Record) -> Micros {
        (record.at as f64 / self.config.speed).round() as Micros
    }

    /// Adds the next record of the trace. Records must be added in time order.
    pub fn push_record(&mut self, record: Record) {
        let due = self.due(&record);
        self.schedule.push_back((due, record));
    }

    /// The due time of the last record that is not due yet; `None` if all added records have become due.
    pub fn horizon(&self) -> Option<Micros> {
        self.schedule.back().map(|(due, _)| *due)
    }

    /// Number of added records that are not due yet.
    pub fn scheduled(&self) -> usize {
        self.schedule.len()
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of requests that have become due and have no final outcome yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// Whether no record is scheduled, no request is open and no action is pending.
    pub fn is_idle(&self) -> bool {
        self.schedule.is_empty() && self.open_requests.is_empty() && self.actions.is_empty()
    }

    /// Ends the replay: drops records that are not due yet and completes each open request that has no
    /// attempt in flight. Attempts in flight may still end; none is retried.
    pub fn stop(&mut self, now: Micros) {
        self.stopped = true;
        self.schedule.clear();
        self.retry_queue.clear();
        self.waiting.clear();
        let unsent: Vec<RequestNumber> =
            self.open_requests.iter().filter(|(_, o)| !o.in_flight).map(|(n, _)| *n).collect();
        for number in unsent {
            let tried = self.open_requests.get(&number).is_some_and(|o| o.attempts > 0);
            self.complete(now, number, if tried { RequestOutcome::Refused } else { RequestOutcome::Unsent });
        }
    }

    /// When to call [`Planner::poll`] next, unless an attempt ends before; `None` if there is nothing to wait
    /// for.
    pub fn next_wake(&self) -> Option<Micros> {
        let due = self.schedule.front().map(|(due, _)| *due);
        let retry = self.retry_queue.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.keys().next().map(|(at, _)| *at);
        [due, retry, deadline].into_iter().flatten().min()
    }

    /// Returns the next action at this time, or `None` if there is nothing to do until
    /// [`Planner::next_wake`].
    pub fn poll(&mut self, now: Micros) -> Option<Action> {
        while let Some((due, _)) = self.schedule.front()
            && *due <= now
            && let Some((due, record)) = self.schedule.pop_front()
        {
            self.start_request(due, record);
        }
        while let Some(Reverse((at, number))) = self.retry_queue.peek().copied()
            && at <= now
        {
            self.retry_queue.pop();
            self.enqueue(number);
        }
        while let Some((&(at, number), ())) = self.deadlines.first_key_value()
            && at <= now
        {
            self.deadlines.remove(&(at, number));
            let tried = self.open_requests.get(&number).is_some_and(|o| o.attempts > 0);
            self.complete(now, number, if tried { RequestOutcome::Refused } else { RequestOutcome::Unsent });
        }
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        while self.in_flight < self.config.max_in_flight
            && let Some(number) = self.waiting.pop_front()
        {
            if let Some(attempt) = self.start_attempt(now, number) {
                return Some(Action::Send(attempt));
            }
        }
        None
    }

    fn start_request(&mut self, due: Micros, record: Record) {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        let (seed, initiators) = (self.config.seed, self.config.initiators);
        let set = self
            .initiator_sets
            .entry(record.volume)
            .or_insert_with(|| pick::initiator_set(seed, record.volume, record.hosts, initiators));
        let initiator = pick::pick_initiator(seed, set, record.volume, due, number.0);
        let deadline = due + u64::from(record.deadline_ms) * 1_000;
        let open = OpenRequest {
            record,
            due,
            deadline,
            initiator,
            attempts: 0,
            first_sent_at: None,
            in_flight: false,
        };
        self.open_requests.insert(number, open);
        self.enqueue(number);
    }

    /// Queues a due attempt, which is sent when fewer than [`PlannerConfig::max_in_flight`] are in flight.
    fn enqueue(&mut self, number: RequestNumber) {
        if let Some(open) = self.open_requests.get(&number) {
            self.deadlines.insert((open.deadline, number), ());
            self.waiting.push_back(number);
        }
    }

    fn start_attempt(&mut self, now: Micros, number: RequestNumber) -> Option<Attempt> {
        let open = self.open_requests.get_mut(&number)?;
        self.deadlines.remove(&(open.deadline, number));
        let retry_number = open.attempts;
        open.attempts += 1;
        open.in_flight = true;
        open.first_sent_at.get_or_insert(now);
        self.in_flight += 1;
        Some(Attempt {
            number,
            retry_number,
            id: self.id_rng.random(),
            record: open.record.clone(),
            initiator: open.initiator,
            due: open.due,
            deadline: open.deadline,
            waited_for_slot: retry_number == 0
                && now > open.due
                && self.in_flight >= self.config.max_in_flight,
        })
    }

    /// Records how an attempt ended. Its request is retried or completed; ignored if the request has no
    /// attempt in flight.
    pub fn attempt_ended(&mut self, now: Micros, number: RequestNumber, attempt_outcome: AttemptOutcome) {
        let Some(open) = self.open_requests.get_mut(&number).filter(|o| o.in_flight) else { return };
        open.in_flight = false;
        self.in_flight -= 1;
        let outcome = match attempt_outcome {
            AttemptOutcome::Served => return self.complete(now, number, RequestOutcome::Served),
            AttemptOutcome::Refused { .. } => RequestOutcome::Refused,
            AttemptOutcome::Failed => RequestOutcome::Failed,
            AttemptOutcome::Unreachable | AttemptOutcome::Lost => RequestOutcome::Lost,
        };
        match self.retry_time(now, number, attempt_outcome) {
            Some(at) => self.retry_queue.push(Reverse((at, number))),
            None => self.complete(now, number, outcome),
        }
    }

    /// When the client retries the request; `None` if it does not.
    fn retry_time(
        &mut self,
        now: Micros,
        number: RequestNumber,
        attempt_outcome: AttemptOutcome,
    ) -> Option<Micros> {
        let open = self.open_requests.get(&number)?;
        if !self.config.retries || self.stopped || open.attempts > 1 {
            return None;
        }
        let advised_wait = match attempt_outcome {
            AttemptOutcome::Refused { retry_after } => retry_after,
            _ => 0,
        };
        // Jitter, so that clients with the same `retry_after` do not retry at the same moment.
        let own_wait = self.config.retry_wait + self.jitter_rng.random_range(0..=self.config.retry_wait);
        let at = now + advised_wait.max(own_wait);
        let repeat = self.config.classes.get(usize::from(open.record.class)).map(|c| c.repeat)?;
        let not_executed =
            matches!(attempt_outcome, AttemptOutcome::Refused { .. } | AttemptOutcome::Unreachable);
        let permitted = match repeat {
            Repeat::Safe => true,
            _ if not_executed => true,
            Repeat::Keyed { span_ms } => {
                // The initiator retries on its own while the attempt is in flight. All its executions must be
                // over while the rack still remembers the key, so the deadline is moved forward to that time.
                let key_expires_at = open.first_sent_at.unwrap_or(now) + u64::from(span_ms) * 1_000;
                let deadline = open.deadline.min(key_expires_at);
                let permitted = open.record.shard.is_some() && at < deadline;
                if permitted && let Some(open) = self.open_requests.get_mut(&number) {
                    open.deadline = deadline;
                }
                permitted
            }
            Repeat::Once => false,
        };
        let deadline = self.open_requests.get(&number)?.deadline;
        (permitted && at < deadline).then_some(at)
    }

    fn complete(&mut self, now: Micros, number: RequestNumber, outcome: RequestOutcome) {
        let Some(open) = self.open_requests.remove(&number) else { return };
        self.deadlines.remove(&(open.deadline, number));
        self.actions.push_back(Action::Complete(CompletedRequest {
            number,
            due: open.due,
            outcome,
            latency: now.saturating_sub(open.due),
            attempts: open.attempts,
            record: open.record,
        }));
    }
}
