//! What goes when: the schedule, the clients' own retries, and the bound on what is out at once.
//!
//! A machine without clock or sockets. It is given records in the order of their times ([`Planner::offer`]),
//! the time, and how tries ended ([`Planner::ended`]); it gives back tries to send and final words on
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
pub struct Terms {
    /// The request classes of the trace.
    pub classes: Vec<ClassTerms>,
    /// How many times faster than recorded. Deadlines are the clients' and stay as they are.
    pub speed: f64,
    /// How many initiators there are.
    pub initiators: usize,
    /// Tries that may be out at once.
    pub most_out: usize,
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
pub enum TermsError {
    /// The speed is not above zero.
    #[error("the speed is not above zero")]
    Speed,
    /// There are no initiators.
    #[error("there is no initiator to send to")]
    Initiators,
    /// No attempt may be in flight.
    #[error("no try may be out")]
    MostOut,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered with success.
    Served,
    /// A new try does no harm, after so long.
    Refused {
        /// What the client is asked to wait.
        wait: Micros,
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
pub struct Number(pub u64);

/// A try to be sent now.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// The request.
    pub number: Number,
    /// 0 for the first.
    pub again: u32,
    /// Unlike that of any other try.
    pub id: u64,
    /// The request as the trace has it.
    pub record: Record,
    /// The initiator that it goes to.
    pub initiator: usize,
    /// When the request was due.
    pub due: Micros,
    /// When the client goes away.
    pub until: Micros,
    /// It waited for a try to end, since so many were out.
    pub held: bool,
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
pub struct Verdict {
    /// The request.
    pub number: Number,
    /// The request as the trace has it.
    pub record: Record,
    /// When the request was due.
    pub due: Micros,
    /// Its final response.
    pub word: RequestOutcome,
    /// From the moment it was due to the last word.
    pub took: Micros,
    /// How often it was sent.
    pub tries: u32,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(Send),
    /// Report how a request ended.
    Tell(Verdict),
}

#[derive(Debug)]
struct Open {
    record: Record,
    due: Micros,
    deadline: Micros,
    initiator: usize,
    tries: u32,
    first_sent: Option<Micros>,
    /// A try is out.
    out: bool,
}

/// The machine.
#[derive(Debug)]
pub struct Planner {
    terms: Terms,
    next: u64,
    /// Requests that are due later, in the order of their times.
    schedule: VecDeque<(Micros, Record)>,
    /// Times of tries that are due later.
    again: BinaryHeap<Reverse<(Micros, Number)>>,
    /// Tries that are due and find no room, in the order of their dueness.
    held: VecDeque<Number>,
    open: HashMap<Number, Open>,
    out: usize,
    sets: HashMap<u64, Vec<usize>>,
    ids: Pcg64Mcg,
    chance: Pcg64Mcg,
    actions: VecDeque<Action>,
    /// Deadlines of what is held.
    deadlines: BTreeMap<(Micros, Number), ()>,
    stopped: bool,
}

impl Planner {
    /// # Errors
    /// The terms cannot be used.
    pub fn new(terms: Terms) -> Result<Planner, TermsError> {
        if !(terms.speed > 0.0 && terms.speed.is_finite()) {
            return Err(TermsError::Speed);
        }
        if terms.initiators == 0 {
            return Err(TermsError::Initiators);
        }
        if terms.most_out == 0 {
            return Err(TermsError::MostOut);
        }
        let seed = terms.seed;
        Ok(Planner {
            terms,
            next: 0,
            schedule: VecDeque::new(),
            again: BinaryHeap::new(),
            held: VecDeque::new(),
            open: HashMap::new(),
            out: 0,
            sets: HashMap::new(),
            ids: Pcg64Mcg::seed_from_u64(seed),
            chance: Pcg64Mcg::seed_from_u64(!seed),
            actions: VecDeque::new(),
            deadlines: BTreeMap::new(),
            stopped: false,
        })
    }

    /// When a record is due.
    pub fn due(&self, record: &Record) -> Micros {
        (record.at as f64 / self.terms.speed).round() as Micros
    }

    /// Takes the next record of the trace.
    pub fn offer(&mut self, record: Record) {
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
    pub fn out(&self) -> usize {
        self.out
    }

    /// Requests that have come due and have no last word.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Nothing is scheduled, held, out, or to be tried again.
    pub fn idle(&self) -> bool {
        self.schedule.is_empty() && self.open.is_empty() && self.actions.is_empty()
    }

    /// Sends nothing more. What is scheduled is dropped; what is held or waits for another try has its last
    /// word.
    pub fn stop(&mut self, now: Micros) {
        self.stopped = true;
        self.schedule.clear();
        self.again.clear();
        self.held.clear();
        let waiting: Vec<Number> = self.open.iter().filter(|(_, o)| !o.out).map(|(n, _)| *n).collect();
        for number in waiting {
            let tried = self.open.get(&number).is_some_and(|o| o.tries > 0);
            self.tell(now, number, if tried { RequestOutcome::Refused } else { RequestOutcome::Unsent });
        }
    }

    /// When to call [`Planner::poll`] again, if nothing else happens before.
    pub fn wake(&self) -> Option<Micros> {
        let due = self.schedule.front().map(|(due, _)| *due);
        let again = self.again.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.keys().next().map(|(at, _)| *at);
        [due, again, deadline].into_iter().flatten().min()
    }

    /// The next thing to do at this time; none: wait.
    pub fn poll(&mut self, now: Micros) -> Option<Action> {
        while let Some((due, _)) = self.schedule.front()
            && *due <= now
            && let Some((due, record)) = self.schedule.pop_front()
        {
            self.come_due(due, record);
        }
        while let Some(Reverse((at, number))) = self.again.peek().copied()
            && at <= now
        {
            self.again.pop();
            self.hold(number);
        }
        while let Some((&(at, number), ())) = self.deadlines.first_key_value()
            && at <= now
        {
            self.deadlines.remove(&(at, number));
            let tried = self.open.get(&number).is_some_and(|o| o.tries > 0);
            self.tell(now, number, if tried { RequestOutcome::Refused } else { RequestOutcome::Unsent });
        }
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        while self.out < self.terms.most_out
            && let Some(number) = self.held.pop_front()
        {
            if let Some(send) = self.send(now, number) {
                return Some(Action::Send(send));
            }
        }
        None
    }

    fn come_due(&mut self, due: Micros, record: Record) {
        let number = Number(self.next);
        self.next += 1;
        let (seed, initiators) = (self.terms.seed, self.terms.initiators);
        let set = self
            .sets
            .entry(record.volume)
            .or_insert_with(|| pick::set(seed, record.volume, record.hosts, initiators));
        let initiator = pick::pick(seed, set, record.volume, due, number.0);
        let deadline = due + u64::from(record.deadline_ms) * 1_000;
        let open = Open { record, due, deadline, initiator, tries: 0, first_sent: None, out: false };
        self.open.insert(number, open);
        self.hold(number);
    }

    /// A try is due: it goes as soon as there is room.
    fn hold(&mut self, number: Number) {
        if let Some(open) = self.open.get(&number) {
            self.deadlines.insert((open.deadline, number), ());
            self.held.push_back(number);
        }
    }

    fn send(&mut self, now: Micros, number: Number) -> Option<Send> {
        let open = self.open.get_mut(&number)?;
        self.deadlines.remove(&(open.deadline, number));
        let again = open.tries;
        open.tries += 1;
        open.out = true;
        open.first_sent.get_or_insert(now);
        self.out += 1;
        Some(Send {
            number,
            again,
            id: self.ids.random(),
            record: open.record.clone(),
            initiator: open.initiator,
            due: open.due,
            until: open.deadline,
            held: again == 0 && now > open.due && self.out >= self.terms.most_out,
        })
    }

    /// A try ended.
    pub fn ended(&mut self, now: Micros, number: Number, end: End) {
        let Some(open) = self.open.get_mut(&number).filter(|o| o.out) else { return };
        open.out = false;
        self.out -= 1;
        let word = match end {
            End::Served => return self.tell(now, number, RequestOutcome::Served),
            End::Refused { .. } => RequestOutcome::Refused,
            End::Failed => RequestOutcome::Failed,
            End::Unreachable | End::Lost => RequestOutcome::Lost,
        };
        match self.tries_again(now, number, end) {
            Some(at) => self.again.push(Reverse((at, number))),
            None => self.tell(now, number, word),
        }
    }

    /// When the client tries again, if it does.
    fn tries_again(&mut self, now: Micros, number: Number, end: End) -> Option<Micros> {
        let open = self.open.get(&number)?;
        if !self.terms.retries || self.stopped || open.tries > 1 {
            return None;
        }
        let advised = match end {
            End::Refused { wait } => wait,
            _ => 0,
        };
        // Jitter, so that clients with the same advice do not come back at once.
        let own = self.terms.retry_wait + self.chance.random_range(0..=self.terms.retry_wait);
        let at = now + advised.max(own);
        let repeat = self.terms.classes.get(usize::from(open.record.class)).map(|c| c.repeat)?;
        let harmless = matches!(end, End::Refused { .. } | End::Unreachable);
        let permitted = match repeat {
            Repeat::Safe => true,
            _ if harmless => true,
            Repeat::Keyed { span_ms } => {
                // Behind the try stand the initiator's own sends: all must be over while the key is
                // remembered.
                let remembered = open.first_sent.unwrap_or(now) + u64::from(span_ms) * 1_000;
                let deadline = open.deadline.min(remembered);
                let permitted = open.record.shard.is_some() && at < deadline;
                if permitted && let Some(open) = self.open.get_mut(&number) {
                    open.deadline = deadline;
                }
                permitted
            }
            Repeat::Once => false,
        };
        let deadline = self.open.get(&number)?.deadline;
        (permitted && at < deadline).then_some(at)
    }

    fn tell(&mut self, now: Micros, number: Number, word: RequestOutcome) {
        let Some(open) = self.open.remove(&number) else { return };
        self.deadlines.remove(&(open.deadline, number));
        self.actions.push_back(Action::Tell(Verdict {
            number,
            due: open.due,
            word,
            took: now.saturating_sub(open.due),
            tries: open.tries,
            record: open.record,
        }));
    }
}
