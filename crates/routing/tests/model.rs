//! A model of the table, the list as it is told, and the module's side of a request, checked over every order
//! of events of a small configuration: three targets, one request, a list that changes up to three times.
//!
//! The table is the real one. The module is modelled by what its interface promises: it sends only to boxes
//! of the request's reach that it was told to be in, tries three times at most, and gives one final answer.
//! Each mutation takes one of these promises away and must be caught.

use rowanglade_routing::{
    Front, ListedState, Origin, Pool, RequestMatch, Route, RouteRequest, RouteTable, TargetInfo,
    TargetSelector,
};
use stateright::{Checker, Model, Property};

const TARGETS: usize = 3;
const SHARD: u32 = 0;
/// Ticks after being told within which a send may still go.
const GRACE: u8 = 1;
const CHANGES: u8 = 3;
const ATTEMPTS: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// What was in reach when the request came stays so, whatever the list says.
    GraceDropped,
    /// A drain that the list tells is not taken up.
    StaleListTrusted,
    /// The fallback pool is taken whole.
    FallbackIgnoresShard,
    /// An attempt's end after the last word is given to the client as well.
    SecondAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    NotArrived,
    Waiting,
    /// At a box.
    InFlight(usize),
    Answered,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The list at discovery, and as this initiator was told.
    truth: [ListedState; TARGETS],
    known: [ListedState; TARGETS],
    /// Ticks since it was told that a box drains or is gone.
    drain_age: [Option<u8>; TARGETS],
    changes: u8,
    stage: Stage,
    /// An attempt that the client no longer waits for.
    left_behind: Option<usize>,
    reach: Vec<usize>,
    attempts: u8,
    answers: u8,
    served_by_fallback: bool,
    late_send: bool,
    astray: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Change(usize, ListedState),
    ListReceived,
    Tick,
    Arrive,
    Send(usize),
    Served,
    Rejected,
    Abandoned,
    LateEnd,
}

struct GeneratedCase {
    table: RouteTable,
    targets: Vec<TargetInfo>,
    mutation: Mutation,
}

impl GeneratedCase {
    fn new(mutation: Mutation) -> GeneratedCase {
        let pool = |names: &[&str]| Pool {
            name: names.join(" "),
            targets: TargetSelector {
                names: Some(names.iter().map(|n| n.to_string()).collect()),
                ..TargetSelector::default()
            },
            origin: Origin::default(),
        };
        let route = Route {
            name: "r".into(),
            requests: RequestMatch::default(),
            pool: 0,
            fallback: Some(1),
            origin: Origin::default(),
        };
        let info = |i: usize, shard| TargetInfo {
            name: format!("s-{i}"),
            zone: String::new(),
            kind: String::new(),
            shard,
            addr: [10, 0, 0, i as u8].into(),
        };
        GeneratedCase {
            table: RouteTable::new(vec![route], vec![pool(&["s-0"]), pool(&["s-1", "s-2"])]),
            // The third holds other data.
            targets: vec![info(0, SHARD), info(1, SHARD), info(2, SHARD + 1)],
            mutation,
        }
    }

    fn reach(&self, known: &[ListedState; TARGETS]) -> Vec<usize> {
        let request = RouteRequest {
            front: Front::Http,
            client: None,
            class: "view",
            plan: None,
            write: false,
            volume: 1,
            shard: Some(SHARD),
        };
        let route = self.table.route(&request);
        let targets = self.targets.iter().zip(known).enumerate().map(|(i, (b, s))| (b, *s, i));
        let first = self.table.reachable(route, Some(SHARD), targets.clone());
        if self.mutation == Mutation::FallbackIgnoresShard && !first.contains(&0) {
            return self.table.reachable(route, None, targets);
        }
        first
    }
}

impl Model for GeneratedCase {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            truth: [ListedState::Active; TARGETS],
            known: [ListedState::Active; TARGETS],
            drain_age: [None; TARGETS],
            changes: 0,
            stage: Stage::NotArrived,
            left_behind: None,
            reach: Vec::new(),
            attempts: 0,
            answers: 0,
            served_by_fallback: false,
            late_send: false,
            astray: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Event>) {
        if s.changes < CHANGES {
            for i in 0..TARGETS {
                for state in
                    [ListedState::Active, ListedState::Draining, ListedState::Removed, ListedState::Relisted]
                {
                    if s.truth[i] != state {
                        out.push(Event::Change(i, state));
                    }
                }
            }
        }
        if s.truth != s.known || s.drain_age.iter().zip(s.truth).any(|(t, b)| t.is_none() != b.takes_work()) {
            out.push(Event::ListReceived);
        }
        if s.drain_age.iter().flatten().any(|t| *t <= GRACE) {
            out.push(Event::Tick);
        }
        match s.stage {
            Stage::NotArrived => out.push(Event::Arrive),
            Stage::Waiting => {
                // The module's own rule: the box is in, as far as it was told.
                let takes = |i: &usize| self.mutation == Mutation::GraceDropped || s.known[*i].takes_work();
                if s.attempts < ATTEMPTS {
                    out.extend(s.reach.iter().filter(|i| takes(i)).map(|i| Event::Send(*i)));
                }
                out.push(Event::Abandoned);
            }
            Stage::InFlight(_) => out.extend([Event::Served, Event::Rejected, Event::Abandoned]),
            Stage::Answered => {}
        }
        if s.left_behind.is_some() {
            out.push(Event::LateEnd);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut s = last.clone();
        match event {
            Event::Change(i, state) => {
                s.truth[i] = state;
                s.changes += 1;
            }
            Event::ListReceived => {
                for i in 0..TARGETS {
                    let takes = s.truth[i].takes_work();
                    s.drain_age[i] = if takes { None } else { s.drain_age[i].or(Some(0)) };
                    if takes || self.mutation != Mutation::StaleListTrusted {
                        s.known[i] = s.truth[i];
                    }
                }
                if self.mutation != Mutation::GraceDropped
                    && matches!(s.stage, Stage::Waiting | Stage::InFlight(_))
                {
                    s.reach = self.reach(&s.known);
                }
            }
            Event::Tick => s.drain_age.iter_mut().flatten().for_each(|t| *t = (*t + 1).min(GRACE + 1)),
            Event::Arrive => {
                s.stage = Stage::Waiting;
                s.reach = self.reach(&s.known);
            }
            Event::Send(i) => {
                s.late_send |= s.drain_age[i].is_some_and(|t| t > GRACE);
                s.astray |= self.targets[i].shard != SHARD;
                s.attempts += 1;
                s.stage = Stage::InFlight(i);
            }
            Event::Served => {
                s.served_by_fallback |= s.stage == Stage::InFlight(1);
                s.answers += 1;
                s.stage = Stage::Answered;
            }
            Event::Rejected => s.stage = Stage::Waiting,
            Event::Abandoned => {
                if let Stage::InFlight(i) = s.stage {
                    s.left_behind = Some(i);
                }
                s.answers += 1;
                s.stage = Stage::Answered;
            }
            Event::LateEnd => {
                s.left_behind = None;
                s.answers += u8::from(self.mutation == Mutation::SecondAnswer);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing new after the grace", |_, s: &State| !s.late_send),
            Property::always("data on one box never routes elsewhere", |_, s: &State| !s.astray),
            Property::always("one answer", |_, s: &State| {
                s.answers <= 1 && (s.stage == Stage::Answered) == (s.answers == 1)
            }),
            Property::sometimes("the fallback serves", |_, s: &State| s.served_by_fallback),
            Property::sometimes("all attempts are used", |_, s: &State| s.attempts == ATTEMPTS),
        ]
    }
}

/// The properties that some order of events breaks, or the examples that none shows.
fn broken(mutation: Mutation) -> (Vec<&'static str>, usize) {
    let checker = GeneratedCase::new(mutation).checker().spawn_bfs().join();
    assert!(checker.is_done());
    let found = checker.discoveries();
    let names = ["nothing new after the grace", "data on one box never routes elsewhere", "one answer"];
    let examples = ["the fallback serves", "all attempts are used"];
    for example in examples.into_iter().filter(|_| mutation == Mutation::None) {
        assert!(found.contains_key(example), "{mutation:?}: no order of events shows that {example}");
    }
    (names.into_iter().filter(|n| found.contains_key(n)).collect(), checker.unique_state_count())
}

#[test]
fn over_every_order_of_events_the_rules_hold() {
    let (broken, states) = broken(Mutation::None);
    assert_eq!(broken, Vec::<&str>::new());
    assert!(states > 10_000, "the model has shrunk to {states} states");
}

#[test]
fn each_mutation_is_caught() {
    for (mutation, property) in [
        (Mutation::GraceDropped, "nothing new after the grace"),
        (Mutation::StaleListTrusted, "nothing new after the grace"),
        (Mutation::FallbackIgnoresShard, "data on one box never routes elsewhere"),
        (Mutation::SecondAnswer, "one answer"),
    ] {
        assert_eq!(broken(mutation).0, [property], "{mutation:?}");
    }
}
