//! What goes when: the schedule, the clients' own retries, and the bound on what is out at once.
//!
//! A machine without clock or sockets. It is given records in the order of their times ([`Planner::offer`]), the
//! time, and how tries ended ([`Planner::ended`]); it gives back tries to send and final words on requests
//! ([`Planner::poll`]). Times are microseconds since the replay's beginning.
//!
//! Clients act as the brief describes: they try again once at most, after the wait they were told or a short one
//! of their own, under a new id, through the same initiator, and never when the answer could not come before
//! their deadline. A read is tried again after anything but an answer. A keyed write is tried again after a
//! refusal, or when the initiator was not reached; after an answer that leaves open whether it ran, only while
//! its rack still remembers the key, and only where its shard is told, so that no other rack takes it. A write
//! without a key is tried again only where it did not run.

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
    pub classes: Vec<ClassTerms>,
    /// How many times faster than recorded. Deadlines are the clients' and stay as they are.
    pub speed: f64,
    pub initiators: usize,
    /// Tries that may be out at once.
    pub most_out: usize,
    /// Whether clients try again.
    pub retries: bool,
    /// What a client waits that was told nothing, in microseconds; up to as much again is left to chance.
    pub retry_wait: Micros,
    pub seed: u64,
}

/// Why terms cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    #[error("the speed is not above zero")]
    Speed,
    #[error("there is no initiator to send to")]
    Initiators,
    #[error("no try may be out")]
    MostOut,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// A new try does no harm, after so long.
    Refused {
        wait: Micros,
    },
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
    pub number: Number,
    /// 0 for the first.
    pub again: u32,
    /// Unlike that of any other try.
    pub id: u64,
    pub record: Record,
    pub initiator: usize,
    pub due: Micros,
    /// When the client goes away.
    pub until: Micros,
    /// It waited for a try to end, since so many were out.
    pub held: bool,
}

/// The last word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Served,
    Refused,
    Failed,
    Lost,
    /// Its time was up before there was room to send it.
    Unsent,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub number: Number,
    pub record: Record,
    pub due: Micros,
    pub word: Word,
    /// From the moment it was due to the last word.
    pub took: Micros,
    pub tries: u32,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Send),
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

    /// Sends nothing more. What is scheduled is dropped; what is held or waits for another try has its last word.
    pub fn stop(&mut self, now: Micros) {
        self.stopped = true;
        self.schedule.clear();
        self.again.clear();
        self.held.clear();
        let waiting: Vec<Number> = self.open.iter().filter(|(_, o)| !o.out).map(|(n, _)| *n).collect();
        for number in waiting {
            let tried = self.open.get(&number).is_some_and(|o| o.tries > 0);
            self.tell(now, number, if tried { Word::Refused } else { Word::Unsent });
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
            self.tell(now, number, if tried { Word::Refused } else { Word::Unsent });
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
            End::Served => return self.tell(now, number, Word::Served),
            End::Refused { .. } => Word::Refused,
            End::Failed => Word::Failed,
            End::Unreachable | End::Lost => Word::Lost,
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
        let told = match end {
            End::Refused { wait } => wait,
            _ => 0,
        };
        // Clients told the same do not come back as one.
        let own = self.terms.retry_wait + self.chance.random_range(0..=self.terms.retry_wait);
        let at = now + told.max(own);
        let repeat = self.terms.classes.get(usize::from(open.record.class)).map(|c| c.repeat)?;
        let harmless = matches!(end, End::Refused { .. } | End::Unreachable);
        let permitted = match repeat {
            Repeat::Safe => true,
            _ if harmless => true,
            Repeat::Keyed { span_ms } => {
                // Behind the try stand the initiator's own sends: all must be over while the key is remembered.
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

    fn tell(&mut self, now: Micros, number: Number, word: Word) {
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

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    fn terms(most_out: usize) -> Terms {
        let class = |name: &str, write, repeat| ClassTerms {
            name: name.into(),
            write,
            repeat,
            aim_ms: 300,
            deadline_ms: 1_500,
        };
        Terms {
            classes: vec![
                class("view", false, Repeat::Safe),
                class("deposit", true, Repeat::Keyed { span_ms: 3_000 }),
                class("note", true, Repeat::Once),
            ],
            speed: 1.0,
            initiators: 3,
            most_out,
            retries: true,
            retry_wait: 50 * MS,
            seed: 11,
        }
    }

    fn record(at_ms: u64, class: u16) -> Record {
        Record {
            at: at_ms * MS,
            class,
            plan: 0,
            volume: 5,
            piece: at_ms,
            units: 1.0,
            shard: Some(0),
            hosts: 2,
            deadline_ms: if class == 1 { 6_000 } else { 1_500 },
            bytes: 1,
            key: (class == 1).then_some(9),
            status: 200,
            took: None,
        }
    }

    fn planner(most_out: usize, records: &[Record]) -> Planner {
        let mut planner = Planner::new(terms(most_out)).expect("usable");
        records.iter().for_each(|r| planner.offer(r.clone()));
        planner
    }

    fn sends(planner: &mut Planner, now: Micros) -> Vec<Send> {
        let mut sends = Vec::new();
        while let Some(action) = planner.poll(now) {
            match action {
                Action::Send(send) => sends.push(send),
                Action::Tell(verdict) => panic!("{verdict:?}"),
            }
        }
        sends
    }

    fn word(planner: &mut Planner, now: Micros) -> (Word, Micros, u32) {
        match planner.poll(now) {
            Some(Action::Tell(v)) => (v.word, v.took, v.tries),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn bursts_go_as_they_were_and_time_is_scaled() {
        let mut fast = Planner::new(Terms { speed: 2.0, ..terms(10) }).expect("usable");
        for at in [0, 100, 100, 100, 300] {
            fast.offer(record(at, 0));
        }
        assert_eq!(sends(&mut fast, 0).len(), 1);
        assert_eq!(fast.wake(), Some(50 * MS));
        assert!(sends(&mut fast, 49 * MS).is_empty());
        assert_eq!(sends(&mut fast, 50 * MS).len(), 3);
        assert_eq!(sends(&mut fast, 150 * MS)[0].until, 1_650 * MS);
        assert!(Planner::new(Terms { speed: 0.0, ..terms(1) }).is_err());
    }

    // Late sending must show in the latency, or a stall would hide itself.
    #[test]
    fn latency_counts_from_the_moment_a_request_was_due() {
        let mut planner = planner(10, &[record(10, 0)]);
        let send = sends(&mut planner, 500 * MS).remove(0);
        planner.ended(520 * MS, send.number, End::Served);
        assert_eq!(word(&mut planner, 520 * MS), (Word::Served, 510 * MS, 1));
        assert!(planner.idle());
    }

    #[test]
    fn a_client_tries_again_once_after_the_wait_under_a_new_id_through_the_same_initiator() {
        let mut planner = planner(10, &[record(0, 0)]);
        let first = sends(&mut planner, 0).remove(0);
        planner.ended(MS, first.number, End::Refused { wait: 400 * MS });
        let at = planner.wake().expect("a time");
        assert!(at >= 401 * MS && sends(&mut planner, at - 1).is_empty(), "{at}");
        let second = sends(&mut planner, at).remove(0);
        assert!(second.id != first.id && second.initiator == first.initiator && second.again == 1);
        assert_eq!(second.until, first.until);
        planner.ended(at + MS, second.number, End::Refused { wait: MS });
        assert_eq!(word(&mut planner, at + MS), (Word::Refused, at + MS, 2));
    }

    #[test]
    fn nobody_tries_again_beyond_the_deadline_or_without_being_told_to() {
        let mut late = planner(10, &[record(0, 0)]);
        let send = sends(&mut late, 0).remove(0);
        late.ended(MS, send.number, End::Refused { wait: 1_600 * MS });
        assert_eq!(word(&mut late, MS).0, Word::Refused);
        let mut never = Planner::new(Terms { retries: false, ..terms(10) }).expect("usable");
        never.offer(record(0, 0));
        let send = sends(&mut never, 0).remove(0);
        never.ended(MS, send.number, End::Lost);
        assert_eq!(word(&mut never, MS), (Word::Lost, MS, 1));
    }

    // A deposit must not run twice: what may have run goes again only while the rack remembers it.
    #[test]
    fn a_keyed_write_goes_again_within_its_span_and_not_after() {
        let again = |record: Record, ended: Micros, end| {
            let mut tried = planner(10, &[record]);
            let send = sends(&mut tried, 0).remove(0);
            tried.ended(ended, send.number, end);
            tried.wake().is_some()
        };
        assert!(again(record(0, 1), 1_000 * MS, End::Lost));
        assert!(again(record(0, 1), 1_000 * MS, End::Failed));
        assert!(again(record(0, 1), 2_800 * MS, End::Lost));
        assert!(!again(record(0, 1), 2_950 * MS, End::Lost), "the try would begin after the span");
        assert!(!again(record(0, 1), 3_100 * MS, End::Failed), "after the span");
        assert!(again(record(0, 1), 3_100 * MS, End::Refused { wait: 0 }), "it never ran");
        assert!(again(record(0, 1), 3_100 * MS, End::Unreachable), "it never ran");
        let mut planner = planner(10, &[record(0, 1)]);
        let first = sends(&mut planner, 0).remove(0);
        planner.ended(100 * MS, first.number, End::Lost);
        let second = sends(&mut planner, 200 * MS).remove(0);
        assert_eq!((first.until, second.until), (6_000 * MS, 3_000 * MS), "it must end within the span");
        let anywhere = Record { shard: None, ..record(0, 1) };
        assert!(!again(anywhere, 100 * MS, End::Lost), "another rack could take it");
        assert!(!again(record(0, 2), 100 * MS, End::Lost), "a write without a key");
        assert!(again(record(0, 2), 100 * MS, End::Refused { wait: 0 }));
    }

    // More requests than descriptors: what waits goes in order, and what waits too long is told, not forgotten.
    #[test]
    fn no_more_is_out_than_allowed_and_nothing_is_forgotten() {
        let records: Vec<Record> = (0..4).map(|_| record(0, 0)).collect();
        let mut planner = planner(2, &records);
        let out = sends(&mut planner, 0);
        assert_eq!((out.len(), planner.out()), (2, 2));
        planner.ended(700 * MS, out[0].number, End::Served);
        assert_eq!(word(&mut planner, 700 * MS).0, Word::Served);
        let third = sends(&mut planner, 700 * MS);
        assert!(third.len() == 1 && third[0].held && third[0].number == Number(2));
        assert_eq!(planner.wake(), Some(1_500 * MS));
        assert_eq!(word(&mut planner, 1_500 * MS), (Word::Unsent, 1_500 * MS, 0));
        for number in [1, 2] {
            planner.ended(1_500 * MS, Number(number), End::Lost);
            assert_eq!(word(&mut planner, 1_500 * MS).0, Word::Lost);
        }
        assert!(planner.idle());
    }

    #[test]
    fn a_stop_gives_everything_its_last_word() {
        let mut planner = planner(1, &[record(0, 0), record(0, 0), record(9_000, 0)]);
        let out = sends(&mut planner, 0);
        planner.stop(MS);
        assert_eq!(word(&mut planner, MS).0, Word::Unsent);
        planner.ended(2 * MS, out[0].number, End::Lost);
        assert_eq!(word(&mut planner, 2 * MS).0, Word::Lost);
        assert!(planner.idle() && planner.wake().is_none());
    }

    // Whatever happens in whatever order, each request has one last word, and the count of tries out is kept.
    #[test]
    fn each_request_has_one_last_word_under_any_course() {
        for seed in 0..200 {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let mut planner =
                Planner::new(Terms { most_out: 1 + seed as usize % 7, ..terms(1) }).expect("usable");
            let count = 60;
            let mut at = 0;
            for _ in 0..count {
                at += chance.random_range(0..40);
                planner.offer(record(at, chance.random_range(0..3)));
            }
            let (mut now, mut out, mut words, mut ids) = (0, Vec::new(), BTreeMap::new(), BTreeMap::new());
            while !planner.idle() {
                while let Some(action) = planner.poll(now) {
                    match action {
                        Action::Send(send) => {
                            assert!(send.due <= now && now < send.until, "seed {seed}");
                            assert_eq!(ids.insert(send.id, ()), None, "seed {seed}");
                            out.push(send);
                        }
                        Action::Tell(verdict) => {
                            assert_eq!(words.insert(verdict.number, verdict.word), None, "seed {seed}");
                        }
                    }
                }
                assert_eq!(planner.out(), out.len(), "seed {seed}");
                let overdue = out.iter().position(|s: &Send| s.until <= now);
                if let Some(place) = overdue.or((!out.is_empty() && chance.random_bool(0.5)).then_some(0)) {
                    let send = out.remove(place);
                    let end = match chance.random_range(0..5) {
                        _ if overdue.is_some() => End::Lost,
                        0 => End::Served,
                        1 => End::Refused { wait: chance.random_range(0..900) * MS },
                        2 => End::Failed,
                        3 => End::Unreachable,
                        _ => End::Lost,
                    };
                    planner.ended(now, send.number, end);
                } else {
                    now += chance.random_range(1..30) * MS;
                }
            }
            assert_eq!(words.len(), count, "seed {seed}");
        }
    }
}
