//! The handover, checked over every order of events of three processes: one that serves, and two that are
//! started beside it, of which any may die at any moment and any link may break.

use rowanglade_handover::{Action, Event, Handover, LinkId, MessageKind};
use stateright::{Checker, Model, Property};

/// What the first owner has to spend. Whoever starts from nothing has nothing.
const UNITS: u8 = 1;

/// How much may happen.
#[derive(Clone, Copy)]
struct Bounds {
    processes: usize,
    deaths: u8,
    breaks: u8,
    timers_fired: u8,
}

/// Two successors at once, and one that is followed by another; and much trouble between two.
const THREE: Bounds = Bounds { processes: 3, deaths: 1, breaks: 0, timers_fired: 1 };
const TWO: Bounds = Bounds { processes: 2, deaths: 1, breaks: 2, timers_fired: 2 };

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// The predecessor goes on spending after it has sent the state.
    SpendsFrozenState,
    /// A successor serves once it has the state, without waiting for `OwnershipGranted`.
    ServesBeforeOwnership,
    /// A retired predecessor restarts when the link breaks, whoever has the lock.
    RestartsWithoutLock,
    /// A successor that finds itself alone keeps the state that it received, which the other may have spent.
    KeepsReceivedState,
    /// A predecessor whose successor died does not try the lock.
    NeverRetriesLock,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    handover: Handover,
    alive: bool,
    started: bool,
    /// It accepts clients and may spend.
    serving: bool,
    units: u8,
    /// Units that came with the state, and those that it sent and may take back.
    received_units: u8,
    frozen_units: u8,
    /// The events that it will handle, in turn.
    inbox: Vec<Event>,
    timer_set: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    processes: Vec<Process>,
    lock: Option<usize>,
    /// The ends of each link, while it holds: who connected, and to whom.
    links: Vec<Option<(usize, usize)>>,
    deaths: u8,
    breaks: u8,
    timers_fired: u8,
    spent: u8,
    /// The successor became the owner of the state that it received.
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
    fn apply_actions(&self, s: &mut State, process_id: usize, actions: Vec<Action>) {
        for action in actions {
            let p = &mut s.processes[process_id];
            match action {
                Action::TryLock => {
                    let free = s.lock.is_none() || s.lock == Some(process_id);
                    if free {
                        s.lock = Some(process_id);
                    }
                    p.inbox.push(if free { Event::LockAcquired } else { Event::LockUnavailable });
                }
                Action::Unlock => s.lock = s.lock.filter(|holder| *holder != process_id),
                Action::Connect => {
                    let to = s.lock.filter(|to| *to != process_id && s.processes[*to].alive);
                    let link = to.map(|to| {
                        s.links.push(Some((process_id, to)));
                        LinkId(s.links.len() as u64 - 1)
                    });
                    let event = link.map_or(Event::ConnectFailed, Event::Connected);
                    s.processes[process_id].inbox.push(event);
                }
                Action::Send(link, message) => {
                    if let Some((a, b)) = s.links[link.0 as usize] {
                        let to = if a == process_id { b } else { a };
                        if message == MessageKind::State {
                            let units = s.processes[process_id].frozen_units;
                            s.processes[to].received_units = units;
                        }
                        s.processes[to].inbox.push(Event::Received(link, message));
                    }
                }
                Action::Close(link) => self.close_link(s, link.0 as usize),
                Action::SetTimer(_) => p.timer_set = true,
                Action::Prepare => {}
                Action::Serve { with_state } => {
                    p.serving = true;
                    if with_state {
                        p.units += p.received_units;
                        s.state_moved = true;
                    }
                }
                Action::Freeze => {
                    p.serving = self.mutation == Mutation::SpendsFrozenState;
                    p.frozen_units = p.units;
                }
                Action::Resume => p.serving = true,
                Action::Retire => {
                    (p.serving, p.units) = (self.mutation == Mutation::SpendsFrozenState, 0);
                }
                Action::ServeWithoutState => (p.serving, p.units) = (true, 0),
                Action::RejectVersion { .. } => p.alive = false,
            }
        }
    }

    fn close_link(&self, s: &mut State, link: usize) {
        if let Some((a, b)) = s.links[link].take() {
            for p in [a, b] {
                s.processes[p].inbox.push(Event::LinkClosed(LinkId(link as u64)));
            }
        }
    }

    fn deliver(&self, s: &mut State, process_id: usize, event: Event) {
        let p = &mut s.processes[process_id];
        let mut actions = p.handover.handle(event);
        match self.mutation {
            Mutation::ServesBeforeOwnership
                if actions.contains(&Action::Send(LinkId(0), MessageKind::StateReceived)) =>
            {
                actions.push(Action::Serve { with_state: true });
            }
            Mutation::RestartsWithoutLock
                if p.handover.is_retired() && actions.contains(&Action::TryLock) =>
            {
                actions.push(Action::ServeWithoutState);
            }
            Mutation::KeepsReceivedState if actions.contains(&Action::Serve { with_state: false }) => {
                actions = vec![Action::Serve { with_state: true }];
            }
            Mutation::NeverRetriesLock if p.handover.is_retired() => {
                actions.retain(|a| *a != Action::TryLock)
            }
            _ => {}
        }
        self.apply_actions(s, process_id, actions);
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
        let mut s = State {
            processes: (0..self.bounds.processes).map(process).collect(),
            lock: None,
            links: Vec::new(),
            deaths: 0,
            breaks: 0,
            timers_fired: 0,
            spent: 0,
            state_moved: false,
        };
        s.processes[0].started = true;
        self.apply_actions(&mut s, 0, vec![Action::TryLock]);
        let event = s.processes[0].inbox.remove(0);
        self.deliver(&mut s, 0, event);
        s.processes[0].units = UNITS;
        vec![s]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for (i, p) in s.processes.iter().enumerate().filter(|(_, p)| p.alive) {
            if !p.started {
                out.push(Step::Start(i));
                continue;
            }
            if !p.inbox.is_empty() {
                out.push(Step::Deliver(i));
            }
            out.push(Step::Prepare(i));
            if p.timer_set && s.timers_fired < self.bounds.timers_fired {
                out.push(Step::FireTimer(i));
            }
            if p.serving && p.units > 0 {
                out.push(Step::Spend(i));
            }
            if s.deaths < self.bounds.deaths {
                out.push(Step::Kill(i));
            }
        }
        if s.breaks < self.bounds.breaks {
            out.extend(
                s.links.iter().enumerate().filter(|(_, l)| l.is_some()).map(|(i, _)| Step::BreakLink(i)),
            );
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Start(i) => {
                s.processes[i].started = true;
                self.apply_actions(&mut s, i, vec![Action::TryLock]);
            }
            Step::Deliver(i) => {
                let event = s.processes[i].inbox.remove(0);
                self.deliver(&mut s, i, event);
            }
            Step::Prepare(i) => self.deliver(&mut s, i, Event::Prepared),
            Step::FireTimer(i) => {
                s.processes[i].timer_set = false;
                s.timers_fired += 1;
                self.deliver(&mut s, i, Event::TimerFired);
            }
            Step::Spend(i) => {
                s.processes[i].units -= 1;
                s.spent += 1;
            }
            Step::Kill(i) => {
                s.deaths += 1;
                let p = &mut s.processes[i];
                (p.alive, p.serving) = (false, false);
                p.inbox.clear();
                s.lock = s.lock.filter(|holder| *holder != i);
                for link in 0..s.links.len() {
                    if s.links[link].is_some_and(|(a, b)| a == i || b == i) {
                        self.close_link(&mut s, link);
                        s.processes[i].inbox.clear();
                    }
                }
            }
            Step::BreakLink(link) => {
                s.breaks += 1;
                self.close_link(&mut s, link);
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<HandoverModel>> {
        vec![
            Property::always("one owner at most", |_, s: &State| {
                s.processes.iter().filter(|p| p.alive && p.serving).count() <= 1
            }),
            Property::always("nothing is spent twice", |_, s: &State| {
                let owned: u8 = s.processes.iter().filter(|p| p.alive && p.serving).map(|p| p.units).sum();
                s.spent + owned <= UNITS
            }),
            Property::always("whoever serves is the owner", |_, s: &State| {
                s.processes.iter().all(|p| !p.alive || p.serving == p.handover.is_owner())
            }),
            Property::always("nothing is orphaned", |_, s: &State| {
                // Where nothing more is to happen by itself, somebody serves, unless all are dead.
                let started = |p: &&Process| p.alive && p.started;
                let quiet = s.processes.iter().filter(started).all(|p| p.inbox.is_empty() && !p.timer_set);
                let anybody = s.processes.iter().any(|p| started(&p));
                let served = s.processes.iter().any(|p| p.alive && p.serving);
                let preparing = s.links.iter().any(Option::is_some);
                !quiet || !anybody || served || preparing
            }),
            Property::sometimes("ownership moves on", |_, s: &State| {
                s.state_moved && s.processes[1].units == UNITS
            }),
            Property::sometimes("ownership moves on twice", |_, s: &State| {
                s.state_moved
                    && s.processes.get(2).is_some_and(|p| p.serving && p.units == UNITS)
                    && s.processes[1].handover.is_retired()
            }),
        ]
    }
}

fn broken_properties(mutation: Mutation, bounds: Bounds) -> Vec<&'static str> {
    let checker = HandoverModel { mutation, bounds }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let always =
        ["one owner at most", "nothing is spent twice", "whoever serves is the owner", "nothing is orphaned"];
    let mut broken: Vec<_> = always.into_iter().filter(|p| checker.discovery(p).is_some()).collect();
    for name in &broken {
        if mutation == Mutation::None
            && let Some(path) = checker.discovery(name)
        {
            println!("{name}: {:?}\n{:#?}", path.clone().into_actions(), path.last_state());
        }
    }
    let sometimes = ["ownership moves on", "ownership moves on twice"];
    if mutation == Mutation::None {
        let reached = sometimes.into_iter().take(bounds.processes - 1);
        broken.extend(reached.filter(|p| checker.discovery(p).is_none()));
    }
    broken
}

#[test]
fn whatever_dies_or_breaks_there_is_one_owner_and_nothing_is_orphaned() {
    assert_eq!(broken_properties(Mutation::None, TWO), Vec::<&str>::new());
    assert_eq!(broken_properties(Mutation::None, THREE), Vec::<&str>::new());
}

#[test]
fn the_model_catches_each_mutation() {
    for mutation in [
        Mutation::SpendsFrozenState,
        Mutation::ServesBeforeOwnership,
        Mutation::RestartsWithoutLock,
        Mutation::KeepsReceivedState,
        Mutation::NeverRetriesLock,
    ] {
        assert_ne!(broken_properties(mutation, TWO), Vec::<&str>::new(), "{mutation:?} is not caught");
    }
}
