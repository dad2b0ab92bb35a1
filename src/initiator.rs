//! Puts an initiator together and runs it until it is told to end.

use crate::config::{Config, ConfigError, Decided, Iscsi, Reload, Routing};
use crate::core::{
    self, AccessLog, Beside, Clock, Connect, Core, Fleet, Handle, Listed, Loaded, Message, Wire,
};
use crate::interface::{ListKind, NodeState};
use crate::net::{Budget, Phase, admin, fleet, http, iscsi};
use crate::settings::Settings;
use crate::upgrade::{Begun, Controls, Keeper, Listeners, Meeting, Told};
use rowanglade_routing::check::Decision;
use rowanglade_routing::{BoxInfo, Table};
use std::cell::Cell;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// For this long after SIGTERM clients may still connect, and a request must be answered whenever it comes.
const STILL_COME: Duration = Duration::from_millis(750);
/// Clients go on with the connections that stay open, and nobody else serves them until the next start: so they
/// do stay open, until this much is left for what is held by then.
const LAST_ANSWERS: Duration = Duration::from_millis(900);
/// What has no answer this long before the end is failed, so that none is lost.
const GIVE_UP: Duration = Duration::from_millis(100);
/// How long the access log's last lines may take to the disk.
const LAST_LINES: Duration = Duration::from_millis(100);
/// The program ends this long before SIGKILL can come.
const SPARE: Duration = Duration::from_millis(150);
/// The platform counts the longest deadline as this at most, and adds `AFTER`, before SIGKILL.
const LONGEST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_millis(700);

/// How long an answer that has begun may stand still: half of the tightest aim, so that a new attempt can still
/// be in time, within these bounds.
const SHORTEST_STALL: Duration = Duration::from_millis(30);
const LONGEST_STALL: Duration = Duration::from_millis(400);

/// How long an answer that comes in pieces is held back, so that it can be tried for again: an eighth of the tightest
/// aim, within these bounds.
const SHORTEST_HOLD: Duration = Duration::from_millis(20);
const LONGEST_HOLD: Duration = Duration::from_millis(200);

/// How long a connection to a target rests after an answer: what a target sends behind one shows by then.
const REST: Duration = Duration::from_millis(10);

/// Operators' calls that may wait for the core.
const OPERATIONS: usize = admin::MOST_CALLS;

/// News of places that may wait for the other process: more than a handover's second brings.
const SEEN: usize = 1_024;

/// Datagrams to peers that may wait; what finds no room is lost, as it could be on its way.
const PEER_MAILBOX: usize = 256;

/// Why the program could not serve.
#[derive(Debug)]
pub enum Error {
    Config(ConfigError),
    Io(std::io::Error),
    /// A process of this initiator serves, and what it says of itself cannot be understood.
    Version(u32),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Config(e) => e.fmt(f),
            Error::Io(e) => write!(f, "serve: {e}"),
            Error::Version(version) => write!(
                f,
                "serve: the process that serves hands over by version {version}, which this one does not know: \
                 end it first"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Error {
        Error::Io(e)
    }
}

/// Serves until SIGTERM or SIGINT, then finishes what is held. At SIGHUP it takes over what `reload` reads.
pub async fn serve(
    config: Config,
    reload: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler the signal would end the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut status = signal(SignalKind::user_defined1())?;
    let told = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let initiator = Initiator::start(config).await?;
    let (reloads, listed) = (initiator.reloads(), initiator.core.listed());
    let core = initiator.core.clone();
    actix_rt::spawn(async move {
        while status.recv().await.is_some() {
            core.tell(Message::Status).await;
        }
    });
    let asked = async move || hangup.recv().await.is_some();
    actix_rt::spawn(keep_reloading(asked, reload, reloads, listed));
    Ok(initiator.run(told).await?)
}

/// Where a running initiator takes a new configuration.
#[derive(Clone, Debug)]
pub struct Reloads {
    discovery: watch::Sender<http::Address>,
    access_log: Option<AccessLog>,
    table: watch::Sender<Arc<Loaded>>,
    /// What is in force from the start and could not be decided in all.
    undecided: Option<Rc<Routing>>,
}

impl Reloads {
    /// Takes over what holds whatever the routes are.
    pub fn take(&self, reload: &Reload) {
        // Also at the same address: another service may stand behind it, and the watch there may have fallen silent.
        let moved = self.discovery.send_replace(reload.discovery) != reload.discovery;
        if let Some(log) = &self.access_log {
            log.reopen();
        }
        tracing::info!(moved, "the configuration was read again");
    }

    /// Puts a table in force, in one step. Requests that are open keep theirs.
    pub fn load(&self, table: Table) -> u64 {
        let mut version = 0;
        self.table.send_modify(|loaded| {
            version = loaded.version + 1;
            *loaded = Arc::new(Loaded { version, table });
        });
        version
    }
}

/// Checks off the serving thread: thousands of expectations take a second.
async fn decide(
    work: impl FnOnce() -> Result<Reload, ConfigError> + Send + 'static,
    boxes: Arc<Vec<BoxInfo>>,
) -> Result<(Reload, Decided), String> {
    let (tell, told) = oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".into()).spawn(move || {
        let decided = work().map(|reload| {
            let decided = reload.routing.decide(&boxes);
            (reload, decided)
        });
        // Nobody listens any more where the program ends.
        let _ = tell.send(decided);
    });
    thread.map_err(|e| e.to_string())?;
    told.await.map_err(|_| "the check did not come to its end".to_string())?.map_err(|e| e.to_string())
}

/// Reads the configuration again whenever told to, and holds what could not be decided against the list's news.
async fn keep_reloading(
    mut asked: impl AsyncFnMut() -> bool,
    reload: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
    reloads: Reloads,
    mut listed: watch::Receiver<Arc<Vec<BoxInfo>>>,
) {
    // What waits for boxes that are not listed, and whether it is in force already.
    let mut waiting =
        reloads.undecided.as_deref().cloned().map(|routing| (Reload { discovery: None, routing }, true));
    loop {
        let again = tokio::select! {
            told = asked() => if told { None } else { return },
            Ok(()) = listed.changed(), if waiting.is_some() => waiting.take(),
        };
        let boxes = Arc::clone(&listed.borrow_and_update());
        let (anew, in_force) = (again.is_none(), again.as_ref().is_some_and(|(_, in_force)| *in_force));
        let reload = reload.clone();
        let decided = match again {
            None => decide(reload, boxes).await,
            Some((kept, _)) => decide(move || Ok(kept), boxes).await,
        };
        let (taken, Decided { decision, lines, open }) = match decided {
            Ok(decided) => decided,
            // A file that cannot be used changes nothing: what was read last goes on.
            Err(error) => {
                tracing::error!(%error, "the configuration was not read again");
                continue;
            }
        };
        lines.iter().for_each(|line| tracing::warn!("{line}"));
        if anew {
            if decision == Decision::Refuse {
                tracing::error!("the configuration was refused; the one before goes on");
                continue;
            }
            reloads.take(&taken);
        }
        match decision {
            Decision::Load if in_force => {}
            Decision::Load => {
                let (routes, version) = (
                    taken.routing.rules.table.routes().len(),
                    reloads.load(taken.routing.rules.table.clone()),
                );
                tracing::info!(version, routes, "routes are in force");
            }
            Decision::Hold => tracing::warn!(in_force, "routes wait for boxes that are not listed"),
            Decision::Refuse if in_force => {
                tracing::error!(
                    "routes in force break what was expected of them; a corrected file is needed"
                );
            }
            Decision::Refuse => tracing::error!("routes that waited were refused; the ones before go on"),
        }
        waiting = open.then_some((taken, decision == Decision::Load || in_force));
    }
}

/// An initiator that listens.
pub struct Initiator {
    core: Handle,
    reloads: Reloads,
    http: TcpListener,
    iscsi: Option<(TcpListener, Iscsi)>,
    /// Absent where operators call nowhere.
    admin: Option<admin::Admin>,
    phase: Rc<watch::Sender<Phase>>,
    budget: Budget,
    /// Absent where no process can replace this one.
    keeper: Option<(Keeper, Controls, Told)>,
    classes: Vec<(String, Duration)>,
    /// How long finishing may take once the end is told.
    patience: Duration,
}

impl Initiator {
    /// Starts the core, the list and the listeners.
    pub async fn start(config: Config) -> Result<Initiator, Error> {
        let (gateway, names) = config.decide().map_err(Error::Config)?;
        let (keeper, mut listeners, welcome) = match meet(&config).await {
            None => (None, Listeners::default(), None),
            Some((_, Begun::Refused { version })) => return Err(Error::Version(version)),
            Some((keeper, Begun::Alone)) => (Some(keeper), Listeners::default(), None),
            Some((keeper, Begun::Welcomed(welcome, listeners))) => (Some(keeper), listeners, Some(welcome)),
        };
        // Times that go from one process to the next are on one clock.
        let clock = welcome.as_ref().map_or_else(Clock::start, |w| Clock::at_present(w.now));
        let http = listen(&mut listeners, "http", "listen", config.listen).await?;
        let admin = config.admin.map(bind_admin).transpose()?;
        let limits = config.limits.less(if admin.is_some() { admin::OWN_SOCKETS } else { 0 });
        let iscsi = match config.iscsi {
            Some(iscsi) => {
                Some((listen(&mut listeners, "iscsi", "iscsi.listen", iscsi.listen).await?, iscsi))
            }
            None => None,
        };
        let phase = Rc::new(watch::Sender::new(Phase::Preparing));
        let mut passed = vec![("http".to_string(), http.as_fd().try_clone_to_owned()?)];
        if let Some((listener, _)) = &iscsi {
            passed.push(("iscsi".to_string(), listener.as_fd().try_clone_to_owned()?));
        }
        let (ask, asked) = mpsc::channel(4);
        let (idle, stall) = (config.settings.conn_idle() / 2, config.settings.tightest_aim() / 2);
        let stall = stall.clamp(SHORTEST_STALL, LONGEST_STALL);
        let links = http::Links::new(limits.target_sockets(), idle, stall, REST);
        actix_rt::spawn(links.clone().sweep());
        let sessions = iscsi.as_ref().map_or(0, |_| limits.sessions());
        let clients = http::Clients::new(limits.client_sockets(sessions), limits.idle_clients());
        let budget = Budget::new(limits, sessions, clients, links.clone());
        if let Some(welcome) = &welcome {
            budget.share(welcome.share.descriptors);
        }
        let connect_timeout = config.settings.connect_timeout();
        let hold = (config.settings.tightest_aim() / 8).clamp(SHORTEST_HOLD, LONGEST_HOLD);
        let pool = http::Pool { connect_timeout, stall, hold, links };
        let access_log = config.access_log.as_ref().map(|c| AccessLog::open(&c.path, c.queue)).transpose()?;
        let (inbox, core) = core::mailbox(&config.settings, access_log.clone());
        let figures = iscsi.as_ref().map(|(_, iscsi)| figures(iscsi, &config.settings));
        let connect = connect(pool, figures, core.clone());
        let routing = config.routing;
        let known = config.known.as_ref().map(http::Page::boxes).unwrap_or_default();
        let Decided { decision, lines, open } = routing.decide(&known);
        lines.iter().for_each(|line| tracing::warn!("{line}"));
        if decision == Decision::Refuse {
            return Err(Error::Config(ConfigError::new("expect", lines.join("\n"))));
        }
        let (table, in_force) =
            watch::channel(Arc::new(Loaded { version: 1, table: routing.rules.table.clone() }));
        let fleet = match config.fleet {
            None => None,
            Some(peers) => {
                let socket = match listeners.take("fleet") {
                    Some(fd) => UdpSocket::from_std(fd.into())?,
                    None => UdpSocket::bind(peers.addrs[usize::from(peers.me.0)]).await?,
                };
                passed.push(("fleet".to_string(), socket.as_fd().try_clone_to_owned()?));
                let (out, outgoing) = mpsc::channel(PEER_MAILBOX);
                actix_rt::spawn(fleet::run(socket, peers, core.clone(), outgoing, phase.subscribe()));
                Some(Fleet::new(incarnation(), out))
            }
        };
        let (operator, operations) = mpsc::channel(OPERATIONS);
        let admin = match admin {
            None => None,
            Some(listener) => {
                let (ready, phase) = (core.readiness(), phase.subscribe());
                Some(admin::open(listener, admin::Service { operations: operator, ready, phase })?)
            }
        };
        let (upgrades, asked_of_core) = mpsc::channel(OPERATIONS);
        let (tell_call, calls) = mpsc::channel(OPERATIONS);
        let (tell_seen, seen) = mpsc::channel(SEEN);
        let beside = Beside {
            table: in_force,
            fleet,
            operations,
            upgrades: asked_of_core,
            calls: tell_call,
            seen: tell_seen,
            sites: config.sites,
            subset: config.subset,
        };
        actix_rt::spawn(Core::new(gateway, names, clock, inbox, ask, connect, beside).run());
        let version = config.known.as_ref().map(http::Page::version);
        // What the predecessor holds is newer than what the platform remembers. The watch goes on from the latter's
        // version: what it tells again changes nothing.
        let known = welcome.map(|w| w.list).or(config.known).unwrap_or_default();
        // The module asks for the list once it hears of anything: of a list that it never had, too.
        core.tell(http::remembered(known)).await;
        if let Some((_, iscsi)) = &iscsi {
            core.tell(portals(iscsi)).await;
        }
        let (discovery, addr) = watch::channel(config.discovery);
        let watch = match config.settings.list_is_pushed() {
            true => http::watch::Watch::pushed(config.settings.drain_grace()),
            false => http::watch::Watch::asked(config.settings.ask_within()),
        };
        let directory = http::Directory::new(addr, connect_timeout, core.clone(), watch, version);
        actix_rt::spawn(directory.run(asked));
        let second = iscsi.as_ref().map(|(listener, _)| listener.local_addr()).transpose()?;
        let second = second.map_or("off".to_string(), |addr| addr.to_string());
        let operators = admin.as_ref().map_or("off".to_string(), |admin| admin.addr().to_string());
        tracing::info!(name = config.name, listen = %http.local_addr()?, iscsi = second, admin = operators, "serving");
        let classes = classes(&config.settings);
        let patience = config.settings.longest_deadline().min(LONGEST) + AFTER - SPARE;
        // Without an older table to keep, one that waits for a box is in force from the start.
        let undecided = open.then(|| Rc::new(routing));
        let reloads = Reloads { discovery, access_log, table, undecided };
        let keeper = keeper.map(|keeper| {
            let (ready, listeners) = (core.readiness(), Listeners(passed));
            let (phase, budget) = (Rc::clone(&phase), budget.clone());
            (keeper, Controls { core: upgrades, ready, phase, budget, listeners }, Told { calls, seen })
        });
        Ok(Initiator { core, reloads, http, iscsi, admin, phase, budget, keeper, classes, patience })
    }

    /// Where a new configuration is taken while it runs.
    pub fn reloads(&self) -> Reloads {
        self.reloads.clone()
    }

    /// Where clients connect.
    pub fn http_addr(&self) -> std::io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// Where operators call, if anywhere.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(admin::Admin::addr)
    }

    /// Where sessions connect, if that front is on.
    pub fn iscsi_addr(&self) -> Option<std::io::Result<SocketAddr>> {
        self.iscsi.as_ref().map(|(listener, _)| listener.local_addr())
    }

    /// Serves until told to end, then finishes what is held.
    pub async fn run(self, told: impl Future<Output = ()>) -> std::io::Result<()> {
        let ending = watch::Sender::new(false);
        let (closing, closing_rx) = watch::channel(false);
        let clients = self.budget.clients.clone();
        let sessions = Rc::new(Cell::new(0));
        if let Some((listener, iscsi)) = self.iscsi {
            let front = iscsi::Front {
                core: self.core.clone(),
                name: iscsi.name,
                luns: iscsi.luns,
                classes: self.classes,
                blocks_per_unit: iscsi.blocks_per_unit,
                ending: ending.subscribe(),
                phase: self.phase.subscribe(),
                most_sessions: self.budget.sessions,
                sessions: Rc::clone(&sessions),
            };
            actix_rt::spawn(iscsi::serve(listener, Rc::new(front)));
        }
        let front = http::Front {
            core: self.core.clone(),
            closing: closing_rx,
            phase: self.phase.subscribe(),
            clients: clients.clone(),
            body_bytes: Rc::new(Cell::new(self.budget.limits.body_bytes())),
        };
        let mut front = Box::pin(http::serve(self.http, front));
        match self.keeper {
            // It turns the phase once what is owned is this process's.
            Some((keeper, controls, told)) => drop(actix_rt::spawn(keeper.run(controls, told))),
            None => drop(self.phase.send_replace(Phase::Serving)),
        }
        // Sessions go to the process that serves.
        let (mut phase, leave) = (self.phase.subscribe(), ending.clone());
        actix_rt::spawn(async move {
            if phase.wait_for(|phase| *phase == Phase::Leaving).await.is_ok() {
                leave.send_replace(true);
            }
        });
        tokio::select! {
            end = &mut front => return end,
            () = told => {}
        }

        let told = Instant::now();
        let (serve_until, end) = (told + self.patience - LAST_ANSWERS, told + self.patience);
        tracing::info!(open = self.core.open(), "ending");
        self.phase.send_if_modified(|phase| {
            let serving = *phase == Phase::Serving;
            if serving {
                *phase = Phase::Ending;
            }
            serving
        });
        ending.send_replace(true);
        clients.keep();
        let held = || clients.open() > 0 || self.core.open() > 0;
        let _ = tokio::time::timeout_at(told + STILL_COME, &mut front).await;
        let _ = tokio::time::timeout_at(serve_until, async {
            tokio::select! {
                _ = &mut front => {}
                () = until(|| !held()) => {}
            }
        })
        .await;
        // The listener ends with the future that holds it.
        drop(front);
        closing.send_replace(true);
        // Sessions were asked to log out. One that stays without a request open does not hold the end up.
        if tokio::time::timeout_at(end - GIVE_UP, until(|| !held())).await.is_err() {
            self.core.tell(Message::End).await;
            let _ = tokio::time::timeout_at(end, until(|| !held())).await;
        }
        if let Some(log) = &self.reloads.access_log {
            log.settle(LAST_LINES).await;
        }
        clients.end();
        let open = self.core.open();
        tracing::info!(open, connections = clients.open(), sessions = sessions.get(), "ended");
        Ok(())
    }
}

/// Looks for a process of this initiator that serves. None: none could replace this one, nor be replaced.
async fn meet(config: &Config) -> Option<(Keeper, Begun)> {
    // Without operators' calls nobody would learn when the successor serves.
    let folder = config.meeting.as_ref().filter(|_| config.admin.is_some())?;
    let begun = match Meeting::within(folder, &config.name) {
        Ok(meeting) => Keeper::begin(meeting).await,
        Err(error) => Err(error),
    };
    begun
        .inspect_err(|error| {
            tracing::warn!(folder = %folder.display(), %error, "no process can replace this one");
        })
        .ok()
}

/// What a predecessor accepts on, or a listener of this process's own.
async fn listen(
    listeners: &mut Listeners,
    name: &str,
    key: &str,
    addr: SocketAddr,
) -> Result<TcpListener, Error> {
    if let Some(fd) = listeners.take(name) {
        let listener = std::net::TcpListener::from(fd);
        listener.set_nonblocking(true)?;
        return Ok(TcpListener::from_std(listener)?);
    }
    let wrong = |e| Error::Config(ConfigError::new(key, format!("{addr}: {e}")));
    TcpListener::bind(addr).await.map_err(wrong)
}

fn bind_admin(addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    std::net::TcpListener::bind(addr)
        .map_err(|e| Error::Config(ConfigError::new("admin", format!("{addr}: {e}"))))
}

/// A number that no other life of an instance has: of the system's randomness, which seeds hash maps.
fn incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

/// Looks again and again; the end of a program is no time to have everyone tell.
async fn until(reached: impl Fn() -> bool) {
    while !reached() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn connect(pool: http::Pool, figures: Option<iscsi::Figures>, core: Handle) -> Connect {
    Box::new(move |line| match (line.wire, &figures) {
        (Wire::Iscsi, Some(figures)) => iscsi::connect(line, figures.clone(), core.clone()),
        _ => http::connect(line, pool.clone()),
    })
}

fn classes(settings: &Settings) -> Vec<(String, Duration)> {
    settings.classes().map(|(name, deadline)| (name.to_string(), deadline)).collect()
}

fn figures(iscsi: &Iscsi, settings: &Settings) -> iscsi::Figures {
    iscsi::Figures {
        initiator: iscsi.name.clone(),
        classes: classes(settings).into_iter().map(|(name, _)| name).collect(),
        connect_timeout: settings.connect_timeout(),
        login_timeout: iscsi.login_timeout,
        silence: iscsi.silence,
        blocks_per_unit: iscsi.blocks_per_unit,
    }
}

/// The targets that an operator's file lists.
fn portals(iscsi: &Iscsi) -> Message {
    let line = |portal: &crate::config::Portal| Listed {
        name: portal.name.clone(),
        wire: Wire::Iscsi,
        addr: portal.addr,
        zone: portal.zone.clone(),
        kind: String::new(),
        shard: portal.shard,
        state: NodeState::In,
        started: None,
    };
    let entries = iscsi.targets.iter().map(line).collect();
    Message::List { wire: Wire::Iscsi, kind: ListKind::Full, entries }
}
