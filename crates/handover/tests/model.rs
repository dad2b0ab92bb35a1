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
    waits: u8,
}

/// Two successors at once, and one that is followed by another; and much trouble between two.
const THREE: Bounds = Bounds { processes: 3, deaths: 1, breaks: 0, waits: 1 };
const TWO: Bounds = Bounds { processes: 2, deaths: 1, breaks: 2, waits: 2 };

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// The predecessor goes on spending after it has given.
    SpendsWhatIsGiven,
    /// A successor serves once it is given, without waiting for the word that it is its own.
    ServesUnasked,
    /// One that has passed everything on takes it up again when the link breaks, whoever has the lock.
    TakesUpAnyway,
    /// A successor that finds itself alone keeps what it was given, which the other may have spent.
    KeepsWhatItHeld,
    /// The one whose successor died does not look whether it is alone.
    NeverLooksBack,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    handover: Handover,
    alive: bool,
    started: bool,
    /// It accepts clients and may spend.
    serving: bool,
    units: u8,
    /// Units that came with `Given`, and those that it gave and may take back.
    given: u8,
    frozen: u8,
    /// What it is to be told, in turn.
    inbox: Vec<Event>,
    waiting: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    processes: Vec<Process>,
    lock: Option<usize>,
    /// The ends of each link, while it holds: who connected, and to whom.
    links: Vec<Option<(usize, usize)>>,
    deaths: u8,
    breaks: u8,
    waits: u8,
    spent: u8,
    /// The successor became the owner of what was given.
    moved: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Start(usize),
    Tell(usize),
    Prepare(usize),
    Wait(usize),
    Spend(usize),
    Die(usize),
    Break(usize),
}

struct Pair {
    mutation: Mutation,
    bounds: Bounds,
}

impl Pair {
    fn act(&self, s: &mut State, who: usize, actions: Vec<Action>) {
        for action in actions {
            let p = &mut s.processes[who];
            match action {
                Action::TryLock => {
                    let free = s.lock.is_none() || s.lock == Some(who);
                    if free {
                        s.lock = Some(who);
                    }
                    p.inbox.push(if free { Event::LockAcquired } else { Event::LockUnavailable });
                }
                Action::Unlock => s.lock = s.lock.filter(|holder| *holder != who),
                Action::Connect => {
                    let to = s.lock.filter(|to| *to != who && s.processes[*to].alive);
                    let link = to.map(|to| {
                        s.links.push(Some((who, to)));
                        LinkId(s.links.len() as u64 - 1)
                    });
                    let event = link.map_or(Event::ConnectFailed, Event::Connected);
                    s.processes[who].inbox.push(event);
                }
                Action::Send(link, message) => {
                    if let Some((a, b)) = s.links[link.0 as usize] {
                        let to = if a == who { b } else { a };
                        if message == MessageKind::State {
                            let units = s.processes[who].frozen;
                            s.processes[to].given = units;
                        }
                        s.processes[to].inbox.push(Event::Received(link, message));
                    }
                }
                Action::Close(link) => self.cut(s, link.0 as usize),
                Action::SetTimer(_) => p.waiting = true,
                Action::Prepare => {}
                Action::Serve { with_state } => {
                    p.serving = true;
                    if with_state {
                        p.units += p.given;
                        s.moved = true;
                    }
                }
                Action::Freeze => {
                    p.serving = self.mutation == Mutation::SpendsWhatIsGiven;
                    p.frozen = p.units;
                }
                Action::Resume => p.serving = true,
                Action::Retire => {
                    (p.serving, p.units) = (self.mutation == Mutation::SpendsWhatIsGiven, 0);
                }
                Action::Restart => (p.serving, p.units) = (true, 0),
                Action::Fail { .. } => p.alive = false,
            }
        }
    }

    fn cut(&self, s: &mut State, link: usize) {
        if let Some((a, b)) = s.links[link].take() {
            for p in [a, b] {
                s.processes[p].inbox.push(Event::LinkClosed(LinkId(link as u64)));
            }
        }
    }

    fn tell(&self, s: &mut State, who: usize, event: Event) {
        let p = &mut s.processes[who];
        let mut actions = p.handover.handle(event);
        match self.mutation {
            Mutation::ServesUnasked
                if actions.contains(&Action::Send(LinkId(0), MessageKind::StateReceived)) =>
            {
                actions.push(Action::Serve { with_state: true });
            }
            Mutation::TakesUpAnyway if p.handover.is_retired() && actions.contains(&Action::TryLock) => {
                actions.push(Action::Restart);
            }
            Mutation::KeepsWhatItHeld if actions.contains(&Action::Serve { with_state: false }) => {
                actions = vec![Action::Serve { with_state: true }];
            }
            Mutation::NeverLooksBack if p.handover.is_retired() => actions.retain(|a| *a != Action::TryLock),
            _ => {}
        }
        self.act(s, who, actions);
    }
}

impl Model for Pair {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let process = |_| Process {
            handover: Handover::start().0,
            alive: true,
            started: false,
            serving: false,
            units: 0,
            given: 0,
            frozen: 0,
            inbox: Vec::new(),
            waiting: false,
        };
        let mut s = State {
            processes: (0..self.bounds.processes).map(process).collect(),
            lock: None,
            links: Vec::new(),
            deaths: 0,
            breaks: 0,
            waits: 0,
            spent: 0,
            moved: false,
        };
        s.processes[0].started = true;
        self.act(&mut s, 0, vec![Action::TryLock]);
        let event = s.processes[0].inbox.remove(0);
        self.tell(&mut s, 0, event);
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
                out.push(Step::Tell(i));
            }
            out.push(Step::Prepare(i));
            if p.waiting && s.waits < self.bounds.waits {
                out.push(Step::Wait(i));
            }
            if p.serving && p.units > 0 {
                out.push(Step::Spend(i));
            }
            if s.deaths < self.bounds.deaths {
                out.push(Step::Die(i));
            }
        }
        if s.breaks < self.bounds.breaks {
            out.extend(s.links.iter().enumerate().filter(|(_, l)| l.is_some()).map(|(i, _)| Step::Break(i)));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Start(i) => {
                s.processes[i].started = true;
                self.act(&mut s, i, vec![Action::TryLock]);
            }
            Step::Tell(i) => {
                let event = s.processes[i].inbox.remove(0);
                self.tell(&mut s, i, event);
            }
            Step::Prepare(i) => self.tell(&mut s, i, Event::Prepared),
            Step::Wait(i) => {
                s.processes[i].waiting = false;
                s.waits += 1;
                self.tell(&mut s, i, Event::TimerFired);
            }
            Step::Spend(i) => {
                s.processes[i].units -= 1;
                s.spent += 1;
            }
            Step::Die(i) => {
                s.deaths += 1;
                let p = &mut s.processes[i];
                (p.alive, p.serving) = (false, false);
                p.inbox.clear();
                s.lock = s.lock.filter(|holder| *holder != i);
                for link in 0..s.links.len() {
                    if s.links[link].is_some_and(|(a, b)| a == i || b == i) {
                        self.cut(&mut s, link);
                        s.processes[i].inbox.clear();
                    }
                }
            }
            Step::Break(link) => {
                s.breaks += 1;
                self.cut(&mut s, link);
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Pair>> {
        vec![
            Property::always("one owner at most", |_, s: &State| {
                s.processes.iter().filter(|p| p.alive && p.serving).count() <= 1
            }),
            Property::always("nothing is spent twice", |_, s: &State| {
                let owned: u8 = s.processes.iter().filter(|p| p.alive && p.serving).map(|p| p.units).sum();
                s.spent + owned <= UNITS
            }),
            Property::always("whoever serves says so", |_, s: &State| {
                s.processes.iter().all(|p| !p.alive || p.serving == p.handover.is_owner())
            }),
            Property::always("nothing is orphaned", |_, s: &State| {
                // Where nothing more is to happen by itself, somebody serves, unless all are dead.
                let started = |p: &&Process| p.alive && p.started;
                let quiet = s.processes.iter().filter(started).all(|p| p.inbox.is_empty() && !p.waiting);
                let anybody = s.processes.iter().any(|p| started(&p));
                let served = s.processes.iter().any(|p| p.alive && p.serving);
                let preparing = s.links.iter().any(Option::is_some);
                !quiet || !anybody || served || preparing
            }),
            Property::sometimes("what is owned moves on", |_, s: &State| {
                s.moved && s.processes[1].units == UNITS
            }),
            Property::sometimes("it moves on twice", |_, s: &State| {
                s.moved
                    && s.processes.get(2).is_some_and(|p| p.serving && p.units == UNITS)
                    && s.processes[1].handover.is_retired()
            }),
        ]
    }
}

fn checked(mutation: Mutation, bounds: Bounds) -> Vec<&'static str> {
    let checker = Pair { mutation, bounds }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let always =
        ["one owner at most", "nothing is spent twice", "whoever serves says so", "nothing is orphaned"];
    let mut broken: Vec<_> = always.into_iter().filter(|p| checker.discovery(p).is_some()).collect();
    for name in &broken {
        if mutation == Mutation::None
            && let Some(path) = checker.discovery(name)
        {
            println!("{name}: {:?}\n{:#?}", path.clone().into_actions(), path.last_state());
        }
    }
    let sometimes = ["what is owned moves on", "it moves on twice"];
    if mutation == Mutation::None {
        let reached = sometimes.into_iter().take(bounds.processes - 1);
        broken.extend(reached.filter(|p| checker.discovery(p).is_none()));
    }
    broken
}

#[test]
fn whatever_dies_or_breaks_there_is_one_owner_and_nothing_is_orphaned() {
    assert_eq!(checked(Mutation::None, TWO), Vec::<&str>::new());
    assert_eq!(checked(Mutation::None, THREE), Vec::<&str>::new());
}

#[test]
fn the_model_catches_each_mutation() {
    for mutation in [
        Mutation::SpendsWhatIsGiven,
        Mutation::ServesUnasked,
        Mutation::TakesUpAnyway,
        Mutation::KeepsWhatItHeld,
        Mutation::NeverLooksBack,
    ] {
        assert_ne!(checked(mutation, TWO), Vec::<&str>::new(), "{mutation:?} is not caught");
    }
}
