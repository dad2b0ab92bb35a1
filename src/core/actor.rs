//! The module's actor: it alone owns the [`Scheduler`], its timers and the requests that are open.

use crate::core::attempt::{Connect, TargetMessage};
use crate::core::clock::{Clock, micros};
use crate::core::diagnostics::{Diagnostics, Step};
use crate::core::fleet::Fleet;
use crate::core::mailbox::{CoreMailbox, Ids};
use crate::core::message::{
    AdminCommand, AdminRequest, Endpoint, HandoverRequest, Message, Protocol, Response,
};
use crate::core::requests::Open;
use crate::core::routes::{Loaded, Routes};
use crate::core::sites::{Watch, Watched};
use crate::core::starts::StartTimes;
use crate::interface::{Action, Event, LoadReport, Micros, Outcome, RequestId, TargetId, TargetState};
use crate::names::Names;
use crate::scheduler::Scheduler;
use rowanglade_maintenance::Maintenance;
use rowanglade_object_locations::{ObjectKey, ObjectLocations, Observation};
use rowanglade_subset::Subset;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A request that the module has not answered this long past its deadline fails here: later than the module's
/// own last word, and well inside the slack that the rules give.
pub(super) const BACKSTOP: Micros = 10_000;
/// Without an answer of discovery, what is remembered of the list must do after this long. A discovery that
/// is not overbooked has answered by then; after a release that killed most instances it takes seconds, and
/// clients whose instances are away are served by nobody.
const TRUST_MEMORY: Duration = Duration::from_millis(300);
/// Objects whose places are kept in mind: about a megabyte.
const PLACES: usize = 16_384;

pub(super) struct Target {
    /// As its list has it.
    pub(super) told: Endpoint,
    /// As it holds, with operators' calls.
    pub(super) line: Endpoint,
    /// Of its actor; absent until it is needed.
    pub(super) mailbox: Option<mpsc::Sender<TargetMessage>>,
}

/// What stands beside the module.
pub struct CoreDependencies {
    /// The routes to be in force.
    pub table: watch::Receiver<Arc<Loaded>>,
    /// Absent where instances do not talk to each other.
    pub fleet: Option<Fleet>,
    /// Operators' calls. They do not wait behind the requests in the core's mailbox.
    pub operations: mpsc::Receiver<AdminRequest>,
    /// What replacing the process asks.
    pub upgrades: mpsc::Receiver<HandoverRequest>,
    /// Calls that hold here are told to the other process, if there is one.
    pub calls: mpsc::Sender<AdminCommand>,
    /// So is where objects are seen.
    pub seen: mpsc::Sender<(ObjectKey, Observation)>,
    /// Absent where sites are not judged.
    pub sites: Option<Watch>,
    /// Absent where no target is preferred to others.
    pub subset: Option<Subset>,
}

/// The actor; [`Core::run`] is its life.
pub struct Core {
    pub(super) scheduler: Scheduler,
    pub(super) names: Names,
    pub(super) clock: Clock,
    pub(super) rx: mpsc::Receiver<Message>,
    /// Weak, so that the core ends when all others have let go of its mailbox.
    pub(super) tx: mpsc::WeakSender<Message>,
    pub(super) connect: Connect,
    pub(super) targets: BTreeMap<TargetId, Target>,
    /// Targets that other instances say are leaving, while discovery itself has not been heard.
    pub(super) departed: BTreeSet<TargetId>,
    /// What the parts so far of a whole list have named; none: no part of one has come.
    pub(super) named: Option<(Protocol, HashSet<TargetId>)>,
    pub(super) requests: HashMap<RequestId, Open>,
    pub(super) backstops: BTreeSet<(Micros, RequestId)>,
    pub(super) timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Events that an action brought about at once; they come after the present one.
    pub(super) next: VecDeque<Event>,
    pub(super) ready: watch::Sender<bool>,
    /// Discovery has had its time: what is remembered of the list must do.
    pub(super) trusting: bool,
    pub(super) open: Rc<Cell<usize>>,
    pub(super) ids: Ids,
    pub(super) routes: Routes,
    /// The table to be in force; a new one is taken up between two messages.
    pub(super) table: watch::Receiver<Arc<Loaded>>,
    /// Grows with every change of the list that is in force.
    pub(super) revision: watch::Sender<u64>,
    /// Absent where no peer may be talked to.
    pub(super) fleet: Option<Fleet>,
    pub(super) operations: mpsc::Receiver<AdminRequest>,
    pub(super) upgrades: mpsc::Receiver<HandoverRequest>,
    pub(super) calls: mpsc::Sender<AdminCommand>,
    pub(super) seen: mpsc::Sender<(ObjectKey, Observation)>,
    pub(super) maintenance: Maintenance,
    pub(super) places: ObjectLocations,
    /// Absent where sites are not judged.
    pub(super) sites: Option<Watched>,
    /// Absent where no target is preferred to others.
    pub(super) subset: Option<Subset>,
    /// Another process has what is owned here.
    pub(super) handed: bool,
    /// What the module said last that it can do without.
    pub(super) spared: f64,
    pub(super) diagnostics: Diagnostics,
    pub(super) starts: StartTimes,
}

impl Core {
    pub fn new(
        scheduler: Scheduler,
        names: Names,
        clock: Clock,
        inbox: CoreMailbox,
        connect: Connect,
        beside: CoreDependencies,
    ) -> Core {
        let CoreDependencies { mut table, fleet, operations, upgrades, calls, seen, sites, subset } = beside;
        let CoreMailbox { rx, tx, ready, open, ids, revision } = inbox;
        let routes = Routes::new(Arc::clone(&table.borrow_and_update()));
        Core {
            scheduler,
            names,
            clock,
            rx,
            tx,
            connect,
            targets: BTreeMap::new(),
            departed: BTreeSet::new(),
            named: None,
            requests: HashMap::new(),
            backstops: BTreeSet::new(),
            timers: BinaryHeap::new(),
            next: VecDeque::new(),
            ready,
            trusting: false,
            open,
            ids,
            routes,
            table,
            revision,
            fleet,
            operations,
            upgrades,
            calls,
            seen,
            maintenance: Maintenance::default(),
            places: ObjectLocations::new(PLACES),
            sites: sites.map(Watched::new),
            subset,
            handed: false,
            spared: 0.0,
            diagnostics: Diagnostics::default(),
            starts: StartTimes::default(),
        }
    }

    /// Runs until every [`Handle`] is gone.
    pub async fn run(mut self) {
        let trust = self.clock.now() + micros(TRUST_MEMORY);
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let backstop = self.backstops.first().map(|(at, _)| *at);
            let trust_at = (!self.trusting).then_some(trust);
            let ask = self.fleet.as_ref().filter(|_| !self.handed).and_then(|f| f.exchange.next_timeout());
            let sites = self.sites.as_ref().and_then(|s| s.wake(self.clock.now()));
            let until = [timer, backstop, trust_at, ask, sites].into_iter().flatten().min();
            let clock = self.clock;
            let pause = async {
                match until {
                    Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            let (step, begun) = tokio::select! {
                Some(operation) = self.operations.recv() => {
                    let begun = Instant::now();
                    self.operate(operation);
                    (Step::Operation, begun)
                }
                Some(upgrade) = self.upgrades.recv() => {
                    let begun = Instant::now();
                    self.upgrade(upgrade);
                    (Step::Upgrade, begun)
                }
                message = self.rx.recv() => match message {
                    Some(message) => {
                        let (step, begun) = (message.step(), Instant::now());
                        self.take(message);
                        (step, begun)
                    }
                    None => return,
                },
                () = pause => (Step::Timers, Instant::now()),
                Ok(()) = self.table.changed() => {
                    let begun = Instant::now();
                    let table = Arc::clone(&self.table.borrow_and_update());
                    self.routes.swap(table);
                    self.tell_reach();
                    (Step::Routes, begun)
                }
            };
            self.diagnostics.step(step, begun, self.targets.len(), self.open.get());
            let begun = Instant::now();
            if !self.trusting && self.clock.now() >= trust {
                // Once, whether or not there is a target: a time that has passed must not be waited for
                // again.
                self.trusting = true;
                self.make_ready();
            }
            self.due();
            self.diagnostics.step(Step::Timers, begun, self.targets.len(), self.open.get());
        }
    }

    pub(super) fn make_ready(&mut self) {
        if self.targets.values().any(|t| t.line.state == TargetState::Active) {
            self.ready.send_replace(true);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Submit { id, request, arrived, response } => self.submit(id, request, arrived, response),
            Message::ClientGone(id) => {
                if self.conclude(id, None) {
                    self.feed(Event::ClientGone { id });
                }
            }
            Message::Shutdown => {
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                for id in open {
                    if self.conclude(id, Some(Response::Failed)) {
                        self.feed(Event::ClientGone { id });
                    }
                }
            }
            Message::Peer(from, message) => self.peer(from, &message),
            Message::Status => {
                let (open, targets, routes) = (self.open.get(), self.targets.len(), self.routes.versions());
                tracing::info!(open, targets, ?routes, ready = *self.ready.borrow(), "status");
                self.diagnostics.counters.tell();
            }
            Message::BodyStarted { id, number } => {
                if let Some(open) = self.requests.get(&id) {
                    // Its deadline runs from the last byte on, which the attempt itself keeps.
                    self.backstops.remove(&(open.deadline + BACKSTOP, id));
                    self.feed(Event::TransferStarted { id, attempt: number, deadline_applies: false });
                }
            }
            Message::MayStart { id, number, answer } => {
                // An attempt that ended meanwhile asks no more.
                let _ = answer.send(self.may_start(id, number));
            }
            Message::ResponseStarted { id, number } => {
                let now = self.clock.now();
                let open = self.requests.get_mut(&id);
                let Some(open) = open else { return };
                open.trace(number, |trace| trace.heard = Some(now));
                if let Some(Some(out)) = open.attempts.get_mut(number.0 as usize) {
                    out.heard = Some(now);
                    self.feed(Event::TransferStarted { id, attempt: number, deadline_applies: true });
                }
            }
            Message::AttemptEnded { id, number, result } => self.ended(id, number, result),
            Message::ProbeEnded { target, outcome, took, load } => {
                let now = self.clock.now();
                if let (Some(sites), Some(target)) = (&mut self.sites, self.targets.get(&target)) {
                    sites.ended(now, &target.told.name, outcome, false, None);
                }
                self.feed(Event::ProbeEnded { target, outcome, elapsed: took, load });
            }
            Message::PeersReportDraining(names) => self.departed(&names),
            Message::ListTargets(answer) => {
                // Whoever asked and has ended needs no answer.
                let _ = answer.send(self.routes.boxes().cloned().collect());
            }
            Message::EndpointsChanged { protocol, kind, entries, more, received } => {
                let lines = entries.len();
                self.list(protocol, kind, entries, more);
                if !more {
                    self.diagnostics.list_in_force(received, lines);
                }
            }
        }
    }

    /// Timers and backstops that are due.
    fn due(&mut self) {
        let now = self.clock.now();
        self.judge_sites(now);
        if let Some(fleet) = self.fleet.as_mut().filter(|_| !self.handed)
            && let Some(want) = fleet.exchange.poll(now)
        {
            fleet.send((None, want));
        }
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.feed(Event::TimerFired { token });
        }
        self.fail_overdue(now);
    }

    /// Gives the module an event, and does what it says, until nothing follows from that.
    pub(super) fn feed(&mut self, event: Event) {
        self.next.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.next.pop_front() {
            let now = self.clock.now();
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt { id, target, timeout } => self.send(now, id, target, timeout),
            Action::Reject { id, retry_after } => {
                self.conclude(
                    id,
                    Some(Response::Rejected { retry_after: Duration::from_micros(retry_after) }),
                );
            }
            Action::Fail { id } => {
                self.conclude(id, Some(Response::Failed));
            }
            Action::CancelAttempt { id, attempt } => {
                let out = self.requests.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt.0 as usize));
                if let Some(out) = out.and_then(Option::as_mut) {
                    out.cancel = None;
                }
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            Action::QuotaNeeded { volume, units, initiators } => {
                if let Some(fleet) = self.fleet.as_mut().filter(|_| !self.handed) {
                    fleet.lacks(now, volume, units, initiators);
                }
            }
            Action::QuotaOffered { units, .. } => self.spared = units,
            Action::Probe { target } => {
                if !self.probe(now, target) {
                    let (outcome, load) = (Outcome::NotSent, LoadReport::default());
                    self.next.push_back(Event::ProbeEnded { target, outcome, elapsed: 0, load });
                }
            }
        }
    }
}
