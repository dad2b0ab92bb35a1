//! Model check of the handover over every order of events of up to three processes: one that serves, and two
//! that are started beside it. Any process may die and any link may break at any moment.

use rowanglade_handover::{Action, Event, Handover, LinkId, MessageKind};
use stateright::{Checker, Model, Property};

/// Units that the first owner may spend. A process that starts without state has none.
const UNITS: u8 = 1;

/// Limits on the number of processes and faults.
#[derive(Clone, Copy)]
struct Bounds {
    processes: usize,
    deaths: u8,
    breaks: u8,
    timers_fired: u8,
}

/// Three processes: two successors at once, or one after another. Two processes: with more faults.
const THREE_PROCESSES: Bounds = Bounds { processes: 3, deaths: 1, breaks: 0, timers_fired: 1 };
const TWO_PROCESSES: Bounds = Bounds { processes: 2, deaths: 1, breaks: 2, timers_fired: 2 };

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// The predecessor continues to spend after it has sent the state.
    SpendsFrozenState,
    /// A successor serves when it has received the state, without waiting for `OwnershipGranted`.
    ServesBeforeOwnership,
    /// A retired predecessor serves again when the link breaks, even if another process holds the lock.
    RestartsWithoutLock,
    /// A successor that finds the lock free keeps the received state, which the predecessor may have spent.
    KeepsReceivedState,
    /// A predecessor does not try the lock after its successor has died.
    NeverRetriesLock,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    handover: Handover,
    alive: bool,
    started: bool,
    /// Whether it accepts clients and may spend units.
    serving: bool,
    units: u8,
    /// Units received with the state; units that were sent and that a predecessor has again when it resumes.
    received_units: u8,
    frozen_units: u8,
    /// Events not handled yet, in order.
    inbox: Vec<Event>,
    timer_set: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    processes: Vec<Process>,
    lock: Option<usize>,
    /// The two ends of each open link: the process that connected, and the one it connected to.
    links: Vec<Option<(usize, usize)>>,
    deaths: u8,
    breaks: u8,
    timers_fired: u8,
    spent: u8,
    /// Whether a successor has become the owner of the received state.
    state_moved: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Start(usize),
    Deliver(usize),
    Prepare(usize),
    FireTimer(usize),
    Spend(usize),
    Kill(usize),
    BreakLink(usize),
}

struct HandoverModel {
    mutation: Mutation,
    bounds: Bounds,
}

impl HandoverModel {
    fn apply_actions(&self, state: &mut State, process_id: usize, actions: Vec<Action>) {
        for action in actions {
            let process = &mut state.processes[process_id];
            match action {
                Action::TryLock => {
                    let free = state.lock.is_none() || state.lock == Some(process_id);
                    if free {
                        state.lock = Some(process_id);
                    }
                    process.inbox.push(if free { Event::LockAcquired } else { Event::LockUnavailable });
                }
                Action::Unlock => state.lock = state.lock.filter(|holder| *holder != process_id),
                Action::Connect => {
                    let to = state.lock.filter(|to| *to != process_id && state.processes[*to].alive);
                    let link = to.map(|to| {
                        state.links.push(Some((process_id, to)));
                        LinkId(state.links.len() as u64 - 1)
                    });
                    let event = link.map_or(Event::ConnectFailed, Event::Connected);
                    state.processes[process_id].inbox.push(event);
                }
                Action::Send(link, message) => {
                    if let Some((a, b)) = state.links[link.0 as usize] {
                        let to = if a == process_id { b } else { a };
                        if message == MessageKind::State {
                            let units = state.processes[process_id].frozen_units;
                            state.processes[to].received_units = units;
                        }
                        state.processes[to].inbox.push(Event::Received(link, message));
                    }
                }
                Action::Close(link) => self.close_link(state, link.0 as usize),
                Action::SetTimer(_) => process.timer_set = true,
                Action::Prepare => {}
                Action::Serve { with_state } => {
                    process.serving = true;
                    if with_state {
                        process.units += process.received_units;
                        state.state_moved = true;
                    }
                }
                Action::Freeze => {
                    process.serving = self.mutation == Mutation::SpendsFrozenState;
                    process.frozen_units = process.units;
                }
                Action::Resume => process.serving = true,
                Action::Retire => {
                    (process.serving, process.units) = (self.mutation == Mutation::SpendsFrozenState, 0);
                }
                Action::ServeWithoutState => (process.serving, process.units) = (true, 0),
                Action::RejectVersion { .. } => process.alive = false,
            }
        }
    }

    fn close_link(&self, state: &mut State, link: usize) {
        if let Some((a, b)) = state.links[link].take() {
            for end in [a, b] {
                state.processes[end].inbox.push(Event::LinkClosed(LinkId(link as u64)));
            }
        }
    }

    fn deliver(&self, state: &mut State, process_id: usize, event: Event) {
        let process = &mut state.processes[process_id];
        let mut actions = process.handover.handle(event);
        match self.mutation {
            Mutation::ServesBeforeOwnership
                if actions.contains(&Action::Send(LinkId(0), MessageKind::StateReceived)) =>
            {
                actions.push(Action::Serve { with_state: true });
            }
            Mutation::RestartsWithoutLock
                if process.handover.is_retired() && actions.contains(&Action::TryLock) =>
            {
                actions.push(Action::ServeWithoutState);
            }
            Mutation::KeepsReceivedState if actions.contains(&Action::Serve { with_state: false }) => {
                actions = vec![Action::Serve { with_state: true }];
            }
            Mutation::NeverRetriesLock if process.handover.is_retired() => {
                actions.retain(|a| *a != Action::TryLock)
            }
            _ => {}
        }
        self.apply_actions(state, process_id, actions);
    }
}

impl Model for HandoverModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let process = |_| Process {
            handover: Handover::start().0,
            alive: true,
            started: false,
            serving: false,
            units: 0,
            received_units: 0,
            frozen_units: 0,
            inbox: Vec::new(),
            timer_set: false,
        };
        let mut state = State {
            processes: (0..self.bounds.processes).map(process).collect(),
            lock: None,
            links: Vec::new(),
            deaths: 0,
            breaks: 0,
            timers_fired: 0,
            spent: 0,
            state_moved: false,
        };
        state.processes[0].started = true;
        self.apply_actions(&mut state, 0, vec![Action::TryLock]);
        let event = state.processes[0].inbox.remove(0);
        self.deliver(&mut state, 0, event);
        state.processes[0].units = UNITS;
        vec![state]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        for (i, process) in state.processes.iter().enumerate().filter(|(_, process)| process.alive) {
            if !process.started {
                out.push(Step::Start(i));
                continue;
            }
            if !process.inbox.is_empty() {
                out.push(Step::Deliver(i));
            }
            out.push(Step::Prepare(i));
            if process.timer_set && state.timers_fired < self.bounds.timers_fired {
                out.push(Step::FireTimer(i));
            }
            if process.serving && process.units > 0 {
                out.push(Step::Spend(i));
            }
            if state.deaths < self.bounds.deaths {
                out.push(Step::Kill(i));
            }
        }
        if state.breaks < self.bounds.breaks {
            out.extend(
                state.links.iter().enumerate().filter(|(_, l)| l.is_some()).map(|(i, _)| Step::BreakLink(i)),
            );
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Start(i) => {
                state.processes[i].started = true;
                self.apply_actions(&mut state, i, vec![Action::TryLock]);
            }
            Step::Deliver(i) => {
                let event = state.processes[i].inbox.remove(0);
                self.deliver(&mut state, i, event);
            }
            Step::Prepare(i) => self.deliver(&mut state, i, Event::Prepared),
            Step::FireTimer(i) => {
                state.processes[i].timer_set = false;
                state.timers_fired += 1;
                self.deliver(&mut state, i, Event::TimerFired);
            }
            Step::Spend(i) => {
                state.processes[i].units -= 1;
                state.spent += 1;
            }
            Step::Kill(i) => {
                state.deaths += 1;
                let process = &mut state.processes[i];
                (process.alive, process.serving) = (false, false);
                process.inbox.clear();
                state.lock = state.lock.filter(|holder| *holder != i);
                for link in 0..state.links.len() {
                    if state.links[link].is_some_and(|(a, b)| a == i || b == i) {
                        self.close_link(&mut state, link);
                        state.processes[i].inbox.clear();
                    }
                }
            }
            Step::BreakLink(link) => {
                state.breaks += 1;
                self.close_link(&mut state, link);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<HandoverModel>> {
        vec![
            Property::always("at most one process serves", |_, state: &State| {
                state.processes.iter().filter(|process| process.alive && process.serving).count() <= 1
            }),
            Property::always("no unit is spent twice", |_, state: &State| {
                let owned: u8 = state
                    .processes
                    .iter()
                    .filter(|process| process.alive && process.serving)
                    .map(|process| process.units)
                    .sum();
                state.spent + owned <= UNITS
            }),
            Property::always("a process serves exactly while it is the owner", |_, state: &State| {
                state
                    .processes
                    .iter()
                    .all(|process| !process.alive || process.serving == process.handover.is_owner())
            }),
            Property::always("ownership is not orphaned", |_, state: &State| {
                // With no event pending and no link open, a process serves, unless none is running.
                let started = |process: &&Process| process.alive && process.started;
                let no_pending_events = state
                    .processes
                    .iter()
                    .filter(started)
                    .all(|process| process.inbox.is_empty() && !process.timer_set);
                let any_started = state.processes.iter().any(|process| started(&process));
                let any_serving = state.processes.iter().any(|process| process.alive && process.serving);
                let any_link_open = state.links.iter().any(Option::is_some);
                !no_pending_events || !any_started || any_serving || any_link_open
            }),
            Property::sometimes("a successor becomes the owner", |_, state: &State| {
                state.state_moved && state.processes[1].units == UNITS
            }),
            Property::sometimes("a second successor becomes the owner", |_, state: &State| {
                state.state_moved
                    && state.processes.get(2).is_some_and(|process| process.serving && process.units == UNITS)
                    && state.processes[1].handover.is_retired()
            }),
        ]
    }
}

fn broken_properties(mutation: Mutation, bounds: Bounds) -> Vec<&'static str> {
    let checker = HandoverModel { mutation, bounds }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let always = [
        "at most one process serves",
        "no unit is spent twice",
        "a process serves exactly while it is the owner",
        "ownership is not orphaned",
    ];
    let mut broken: Vec<_> =
        always.into_iter().filter(|property| checker.discovery(property).is_some()).collect();
    for name in &broken {
        if mutation == Mutation::None
            && let Some(path) = checker.discovery(name)
        {
            println!("{name}: {:?}\n{:#?}", path.clone().into_actions(), path.last_state());
        }
    }
    let sometimes = ["a successor becomes the owner", "a second successor becomes the owner"];
    if mutation == Mutation::None {
        let reached = sometimes.into_iter().take(bounds.processes - 1);
        broken.extend(reached.filter(|property| checker.discovery(property).is_none()));
    }
    broken
}

#[test]
fn after_any_death_or_link_failure_ownership_is_unique_and_not_orphaned() {
    assert_eq!(broken_properties(Mutation::None, TWO_PROCESSES), Vec::<&str>::new());
    assert_eq!(broken_properties(Mutation::None, THREE_PROCESSES), Vec::<&str>::new());
}

#[test]
fn each_mutation_violates_a_property() {
    for mutation in [
        Mutation::SpendsFrozenState,
        Mutation::ServesBeforeOwnership,
        Mutation::RestartsWithoutLock,
        Mutation::KeepsReceivedState,
        Mutation::NeverRetriesLock,
    ] {
        assert_ne!(
            broken_properties(mutation, TWO_PROCESSES),
            Vec::<&str>::new(),
            "{mutation:?} violates no property"
        );
    }
}
