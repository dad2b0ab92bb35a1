//! Model check of the route table together with the endpoint list and the scheduler's handling of a request,
//! over every order of events in a small configuration: three targets, one request, up to three changes of
//! the list.
//!
//! The table is the real one. The scheduler is modelled by the guarantees of its interface: it sends only to
//! targets that the request can reach and that are active in the received list, makes at most three attempts,
//! and gives one final response. Each mutation removes one of these guarantees, which the check must detect.

use rowanglade_routing::{
    Front, ListedState, Origin, Pool, RequestMatch, Route, RouteRequest, RouteTable, TargetInfo,
    TargetSelector,
};
use stateright::{Checker, Model, Property};

const TARGETS: usize = 3;
const SHARD: u32 = 0;
/// Ticks after the initiator was notified of a drain during which it may still send to the target.
const GRACE_TICKS: u8 = 1;
const MAX_LIST_CHANGES: u8 = 3;
const MAX_ATTEMPTS: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// Targets that were reachable when the request arrived stay reachable, whatever the list contains.
    IgnoresListChanges,
    /// Drains in the list are ignored.
    IgnoresDrains,
    /// The fallback pool is used without regard to the shard.
    FallbackIgnoresShard,
    /// An attempt that ends after the final response is reported to the client as well.
    SecondResponse,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    NotArrived,
    Waiting,
    /// In flight at a target.
    InFlight(usize),
    Responded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The list at discovery, and the list that this initiator has received.
    listed_states: [ListedState; TARGETS],
    received_states: [ListedState; TARGETS],
    /// Ticks since the initiator was notified that a target is draining or removed.
    drain_age: [Option<u8>; TARGETS],
    list_changes: u8,
    stage: Stage,
    /// The target of an attempt that the client no longer waits for.
    abandoned_at: Option<usize>,
    reach: Vec<usize>,
    attempts: u8,
    responses: u8,
    served_by_fallback: bool,
    late_send: bool,
    reached_wrong_shard: bool,
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
    LateOutcome,
}

struct RoutingModel {
    table: RouteTable,
    targets: Vec<TargetInfo>,
    mutation: Mutation,
}

impl RoutingModel {
    fn new(mutation: Mutation) -> RoutingModel {
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
        RoutingModel {
            table: RouteTable::new(vec![route], vec![pool(&["s-0"]), pool(&["s-1", "s-2"])]),
            // The third target holds another shard.
            targets: vec![info(0, SHARD), info(1, SHARD), info(2, SHARD + 1)],
            mutation,
        }
    }

    fn reach(&self, received_states: &[ListedState; TARGETS]) -> Vec<usize> {
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
        let targets = self
            .targets
            .iter()
            .zip(received_states)
            .enumerate()
            .map(|(i, (target, state))| (target, *state, i));
        let first = self.table.reachable(route, Some(SHARD), targets.clone());
        if self.mutation == Mutation::FallbackIgnoresShard && !first.contains(&0) {
            return self.table.reachable(route, None, targets);
        }
        first
    }
}

impl Model for RoutingModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            listed_states: [ListedState::Active; TARGETS],
            received_states: [ListedState::Active; TARGETS],
            drain_age: [None; TARGETS],
            list_changes: 0,
            stage: Stage::NotArrived,
            abandoned_at: None,
            reach: Vec::new(),
            attempts: 0,
            responses: 0,
            served_by_fallback: false,
            late_send: false,
            reached_wrong_shard: false,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        if state.list_changes < MAX_LIST_CHANGES {
            for i in 0..TARGETS {
                for listed_state in
                    [ListedState::Active, ListedState::Draining, ListedState::Removed, ListedState::Relisted]
                {
                    if state.listed_states[i] != listed_state {
                        out.push(Event::Change(i, listed_state));
                    }
                }
            }
        }
        if state.listed_states != state.received_states
            || state
                .drain_age
                .iter()
                .zip(state.listed_states)
                .any(|(age, listed)| age.is_none() != listed.accepts_requests())
        {
            out.push(Event::ListReceived);
        }
        if state.drain_age.iter().flatten().any(|age| *age <= GRACE_TICKS) {
            out.push(Event::Tick);
        }
        match state.stage {
            Stage::NotArrived => out.push(Event::Arrive),
            Stage::Waiting => {
                // The scheduler sends only to targets that are active in the received list.
                let accepts_requests = |i: &usize| {
                    self.mutation == Mutation::IgnoresListChanges
                        || state.received_states[*i].accepts_requests()
                };
                if state.attempts < MAX_ATTEMPTS {
                    out.extend(state.reach.iter().filter(|i| accepts_requests(i)).map(|i| Event::Send(*i)));
                }
                out.push(Event::Abandoned);
            }
            Stage::InFlight(_) => out.extend([Event::Served, Event::Rejected, Event::Abandoned]),
            Stage::Responded => {}
        }
        if state.abandoned_at.is_some() {
            out.push(Event::LateOutcome);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        match event {
            Event::Change(i, listed_state) => {
                state.listed_states[i] = listed_state;
                state.list_changes += 1;
            }
            Event::ListReceived => {
                for i in 0..TARGETS {
                    let accepts_requests = state.listed_states[i].accepts_requests();
                    state.drain_age[i] = if accepts_requests { None } else { state.drain_age[i].or(Some(0)) };
                    if accepts_requests || self.mutation != Mutation::IgnoresDrains {
                        state.received_states[i] = state.listed_states[i];
                    }
                }
                if self.mutation != Mutation::IgnoresListChanges
                    && matches!(state.stage, Stage::Waiting | Stage::InFlight(_))
                {
                    state.reach = self.reach(&state.received_states);
                }
            }
            Event::Tick => {
                state.drain_age.iter_mut().flatten().for_each(|age| *age = (*age + 1).min(GRACE_TICKS + 1))
            }
            Event::Arrive => {
                state.stage = Stage::Waiting;
                state.reach = self.reach(&state.received_states);
            }
            Event::Send(i) => {
                state.late_send |= state.drain_age[i].is_some_and(|age| age > GRACE_TICKS);
                state.reached_wrong_shard |= self.targets[i].shard != SHARD;
                state.attempts += 1;
                state.stage = Stage::InFlight(i);
            }
            Event::Served => {
                state.served_by_fallback |= state.stage == Stage::InFlight(1);
                state.responses += 1;
                state.stage = Stage::Responded;
            }
            Event::Rejected => state.stage = Stage::Waiting,
            Event::Abandoned => {
                if let Stage::InFlight(i) = state.stage {
                    state.abandoned_at = Some(i);
                }
                state.responses += 1;
                state.stage = Stage::Responded;
            }
            Event::LateOutcome => {
                state.abandoned_at = None;
                state.responses += u8::from(self.mutation == Mutation::SecondResponse);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no request is sent after the drain grace", |_, state: &State| !state.late_send),
            Property::always("no request is sent to a target of another shard", |_, state: &State| {
                !state.reached_wrong_shard
            }),
            Property::always("one final response", |_, state: &State| {
                state.responses <= 1 && (state.stage == Stage::Responded) == (state.responses == 1)
            }),
            Property::sometimes("the fallback serves a request", |_, state: &State| state.served_by_fallback),
            Property::sometimes("all attempts are used", |_, state: &State| state.attempts == MAX_ATTEMPTS),
        ]
    }
}

/// The properties that some order of events violates, and the number of states. Fails if an example is not
/// found.
fn violated_properties(mutation: Mutation) -> (Vec<&'static str>, usize) {
    let checker = RoutingModel::new(mutation).checker().spawn_bfs().join();
    assert!(checker.is_done());
    let found = checker.discoveries();
    let names = [
        "no request is sent after the drain grace",
        "no request is sent to a target of another shard",
        "one final response",
    ];
    let examples = ["the fallback serves a request", "all attempts are used"];
    for example in examples.into_iter().filter(|_| mutation == Mutation::None) {
        assert!(found.contains_key(example), "{mutation:?}: no order of events shows that {example}");
    }
    (names.into_iter().filter(|n| found.contains_key(n)).collect(), checker.unique_state_count())
}

#[test]
fn all_properties_hold_in_every_order_of_events() {
    let (violated_properties, states) = violated_properties(Mutation::None);
    assert_eq!(violated_properties, Vec::<&str>::new());
    assert!(states > 10_000, "the model has only {states} states");
}

#[test]
fn each_mutation_violates_its_property() {
    for (mutation, property) in [
        (Mutation::IgnoresListChanges, "no request is sent after the drain grace"),
        (Mutation::IgnoresDrains, "no request is sent after the drain grace"),
        (Mutation::FallbackIgnoresShard, "no request is sent to a target of another shard"),
        (Mutation::SecondResponse, "one final response"),
    ] {
        assert_eq!(violated_properties(mutation).0, [property], "{mutation:?}");
    }
}
