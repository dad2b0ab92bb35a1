//! What goes when: the schedule, the clients' own retries, and the bound on what is out at once.
//!
//! A machine without clock or sockets. It is given records in the order of their times ([`Planner::push_record`]),
//! the time, and how tries ended ([`Planner::attempt_ended`]); it gives back tries to send and final words on
//! requests ([`Planner::poll`]). Times are microseconds since the replay's beginning.
//!
//! Clients act as the brief describes: they try again once at most, after the wait that the answer asks for
//! or a short one of their own, under a new id, through the same initiator, and never when the answer could
//! not come before their deadline. A read is tried again after anything but an answer. A keyed write is tried
//! again after a refusal, or when the initiator was not reached; after an answer that leaves open whether it
//! ran, only while its rack still remembers the key, and only where its shard is known, so that no other rack
//! takes it. A write without a key is tried again only where it did not run.

use crate::pick;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{ClassTerms, Record, Repeat};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Microseconds since the replay's beginning.
pub type Micros = u64;

/// What a replay keeps to.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The request classes of the trace.
    pub classes: Vec<ClassTerms>,
    /// How many times faster than recorded. Deadlines are the clients' and stay as they are.
    pub speed: f64,
    /// How many initiators there are.
    pub initiators: usize,
    /// Tries that may be out at once.
    pub max_in_flight: usize,
    /// Whether clients try again.
    pub retries: bool,
    /// How long a client waits where the answer asks for no wait, in microseconds; up to as much again is
    /// random.
    pub retry_wait: Micros,
    /// What the random numbers follow from.
    pub seed: u64,
}

/// Why terms cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlannerConfigError {
    /// The speed is not above zero.
    #[error("the speed is not above zero")]
    Speed,
    /// There are no initiators.
    #[error("there is no initiator to send to")]
    Initiators,
    /// No attempt may be in flight.
    #[error("no try may be out")]
    MaxInFlight,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered with success.
    Served,
    /// A new try does no harm, after so long.
    Refused {
        /// What the client is asked to wait.
        retry_after: Micros,
    },
    /// It failed, and may have run.
    Failed,
    /// The initiator was not reached.
    Unreachable,
    /// No answer came: the connection ended, or the client's time was up.
    Lost,
}

/// Names a request of the replay: its number in the trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// A try to be sent now.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub number: RequestNumber,
    /// 0 for the first.
    pub retry_number: u32,
    /// Unlike that of any other try.
    pub id: u64,
    /// The request as the trace has it.
    pub record: Record,
    /// The initiator that it goes to.
    pub initiator: usize,
    /// When the request was due.
    pub due: Micros,
    /// When the client goes away.
    pub deadline: Micros,
    /// It waited for a try to end, since so many were out.
    pub waited_for_slot: bool,
}

/// The last word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered with success.
    Served,
    /// It was rejected.
    Refused,
    /// It failed, and may have run.
    Failed,
    /// It had no response in time.
    Lost,
    /// Its time was up before there was room to send it.
    Unsent,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// The request.
    pub number: RequestNumber,
    /// The request as the trace has it.
    pub record: Record,
    /// When the request was due.
    pub due: Micros,
    /// Its final response.
    pub outcome: RequestOutcome,
    /// From the moment it was due to the last word.
    pub latency: Micros,
    /// How often it was sent.
    pub attempts: u32,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Attempt),
    /// Report how a request ended.
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
    /// A try is out.
    in_flight: bool,
}

/// The machine.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    next_number: u64,
    /// Requests that are due later, in the order of their times.
    schedule: VecDeque<(Micros, Record)>,
    /// Times of tries that are due later.
    retry_queue: BinaryHeap<Reverse<(Micros, RequestNumber)>>,
    /// Tries that are due and find no room, in the order of their dueness.
    waiting: VecDeque<RequestNumber>,
    open_requests: HashMap<RequestNumber, OpenRequest>,
    in_flight: usize,
    initiator_sets: HashMap<u64, Vec<usize>>,
    id_rng: Pcg64Mcg,
    jitter_rng: Pcg64Mcg,
    actions: VecDeque<Action>,
    /// Deadlines of what is held.
    deadlines: BTreeMap<(Micros, RequestNumber), ()>,
    stopped: bool,
}

impl Planner {
    /// # Errors
    /// The terms cannot be used.
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
        let seed = config.seed;
        Ok(Planner {
            config,
            next_number: 0,
            schedule: VecDeque::new(),
            retry_queue: BinaryHeap::new(),
            waiting: VecDeque::new(),
            open_requests: HashMap::new(),
            in_flight: 0,
            initiator_sets: HashMap::new(),
            id_rng: Pcg64Mcg::seed_from_u64(seed),
            jitter_rng: Pcg64Mcg::seed_from_u64(!seed),
            actions: VecDeque::new(),
            deadlines: BTreeMap::new(),
            stopped: false,
        })
    }

    /// When a record is due.
    pub fn due(&self, record: &Record) -> Micros {
        (record.at as f64 / self.config.speed).round() as Micros
    }

    /// Takes the next record of the trace.
    pub fn push_record(&mut self, record: Record) {
        let due = self.due(&record);
        self.schedule.push_back((due, record));
    }

    /// The due time of the last record taken that has not come due; none where there is no such record.
    pub fn horizon(&self) -> Option<Micros> {
        self.schedule.back().map(|(due, _)| *due)
    }

    /// Records taken that are not due yet.
    pub fn scheduled(&self) -> usize {
        self.schedule.len()
    }

    /// Tries that are out.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that have come due and have no last word.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }

    /// Nothing is scheduled, held, out, or to be tried again.
    pub fn is_idle(&self) -> bool {
        self.schedule.is_empty() && self.open_requests.is_empty() && self.actions.is_empty()
    }

    /// Sends nothing more. What is scheduled is dropped; what is held or waits for another try has its last
    /// word.
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

    /// When to call [`Planner::poll`] again, if nothing else happens before.
    pub fn next_wake(&self) -> Option<Micros> {
        let due = self.schedule.front().map(|(due, _)| *due);
        let retry = self.retry_queue.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.keys().next().map(|(at, _)| *at);
        [due, retry, deadline].into_iter().flatten().min()
    }

    /// The next thing to do at this time; none: wait.
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

    /// A try is due: it goes as soon as there is room.
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

    /// A try ended.
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

    /// When the client tries again, if it does.
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
        // Jitter, so that clients with the same advice do not come back at once.
        let own_wait = self.config.retry_wait + self.jitter_rng.random_range(0..=self.config.retry_wait);
        let at = now + advised_wait.max(own_wait);
        let repeat = self.config.classes.get(usize::from(open.record.class)).map(|c| c.repeat)?;
        let not_executed =
            matches!(attempt_outcome, AttemptOutcome::Refused { .. } | AttemptOutcome::Unreachable);
        let permitted = match repeat {
            Repeat::Safe => true,
            _ if not_executed => true,
            Repeat::Keyed { span_ms } => {
                // Behind the try stand the initiator's own sends: all must be over while the key is
                // remembered.
                let remembered = open.first_sent_at.unwrap_or(now) + u64::from(span_ms) * 1_000;
                let deadline = open.deadline.min(remembered);
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
