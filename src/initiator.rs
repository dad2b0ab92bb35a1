//! Puts an initiator together. Its modules run it, reload its configuration and shut it down.

mod error;
mod handover;
mod reload;
mod run;
mod targets;

use crate::config::{Config, ConfigError, Decided, Iscsi, Reload, Routing};
use crate::core::{
    self, AccessLog, Clock, Core, CoreDependencies, CoreHandle, LoadedRoutes, Message, QuotaPeers,
};
use crate::net::drain_gossip::DrainGossipLink;
use crate::net::{DescriptorBudget, OptionalParts, Phase, Reservations, admin, http, quota_exchange};
use crate::upgrade::{Controls, Keeper, Listeners, Told};
use handover::{Handover, bind_admin, bind_fleet, listen};
use rowanglade_discovery_polling::WatchMode;
use rowanglade_routing::TargetInfo;
use rowanglade_routing::check::Decision;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use targets::{classes, connect, figures, portals};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

pub use error::Error;
pub use reload::Reloads;

/// The program ends this long before SIGKILL can come.
const SPARE: Duration = Duration::from_millis(150);
/// The platform counts the longest deadline as this at most, and adds `AFTER`, before SIGKILL.
const LONGEST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_millis(700);

/// How long an answer that has begun may stand still: half of the tightest aim, so that a new attempt can
/// still be in time, within these bounds.
const SHORTEST_STALL: Duration = Duration::from_millis(30);
const LONGEST_STALL: Duration = Duration::from_millis(400);

/// How long an answer that comes in pieces is held back, so that it can be tried for again: an eighth of the
/// tightest aim, within these bounds.
const SHORTEST_HOLD: Duration = Duration::from_millis(20);
const LONGEST_HOLD: Duration = Duration::from_millis(200);

/// How long a connection to a target rests after an answer: what a target sends behind one shows by then.
const REST: Duration = Duration::from_millis(10);

/// Operators' calls that may wait for the core.
const OPERATIONS: usize = admin::MAX_CALLS;

/// News of places that may wait for the other process: more than a handover's second brings.
const SEEN: usize = 1_024;

/// Serves until SIGTERM or SIGINT, then finishes open requests. At SIGHUP it takes over what `reload` reads.
///
/// # Errors
/// The initiator could not be started, or its HTTP listener failed.
pub async fn serve(
    config: Config,
    reload: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler the signal would end the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let mut status = signal(SignalKind::user_defined1())?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let initiator = Initiator::start(config).await?;
    let reloads = initiator.reloads();
    let core = initiator.core.clone();
    actix_rt::spawn(async move {
        while status.recv().await.is_some() {
            core.send(Message::Status).await;
        }
    });
    let requested = async move || hangup.recv().await.is_some();
    actix_rt::spawn(reload::keep_reloading(requested, reload, reloads, initiator.core.clone()));
    Ok(initiator.run(stop).await?)
}

/// An initiator that listens.
pub struct Initiator {
    core: CoreHandle,
    reloads: Reloads,
    http: TcpListener,
    iscsi: Option<(TcpListener, Iscsi)>,
    /// None where operators' calls are off.
    admin: Option<admin::AdminListener>,
    phase: Rc<watch::Sender<Phase>>,
    budget: DescriptorBudget,
    /// None where no process can replace this one.
    keeper: Option<(Keeper, Controls, Told)>,
    classes: Vec<(String, Duration)>,
    /// How long a shutdown may take.
    patience: Duration,
}

impl Initiator {
    /// Starts the core, the list and the listeners.
    ///
    /// # Errors The configuration cannot be used, a socket cannot be opened, or another process of this
    /// initiator serves and cannot hand over to this one.
    pub async fn start(config: Config) -> Result<Initiator, Error> {
        let (scheduler, names) = config.decide().map_err(Error::Config)?;
        let Handover { keeper, mut listeners, welcome } = Handover::receive(&config).await?;
        // Times that go from one process to the next are on one clock.
        let clock = welcome.as_ref().map_or_else(Clock::start, |w| Clock::starting_at(w.now));
        let http = listen(&mut listeners, "http", "listen", config.listen).await?;
        let admin = config.admin.map(bind_admin).transpose()?;
        let parts = OptionalParts {
            admin: admin.is_some(),
            fleet: config.fleet.is_some(),
            peers: config.peers.is_some(),
            iscsi: config.iscsi.is_some(),
            pushed_list: config.settings.list_is_pushed(),
        };
        let shares = Reservations::of(config.limits.sockets, parts);
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
        let (idle, stall) = (config.settings.conn_idle() / 2, config.settings.tightest_aim() / 2);
        let stall = stall.clamp(SHORTEST_STALL, LONGEST_STALL);
        let links = http::ConnectionPool::new(shares.targets, idle, stall, REST);
        actix_rt::spawn(links.clone().close_expired());
        let clients = http::ConnectionTable::new(shares.clients, shares.idle_clients);
        let budget = DescriptorBudget::new(config.limits, parts, clients, links.clone());
        if let Some(welcome) = &welcome {
            budget.share(welcome.share.descriptors);
        }
        let connect_timeout = config.settings.connect_timeout();
        let hold = (config.settings.tightest_aim() / 8).clamp(SHORTEST_HOLD, LONGEST_HOLD);
        let transport = http::TargetTransport {
            connect_timeout,
            stall_timeout: stall,
            hold_time: hold,
            connections: links,
        };
        let access_log = config.access_log.as_ref().map(|c| AccessLog::open(&c.path, c.queue)).transpose()?;
        let (inbox, core) = core::mailbox(&config.settings, access_log.clone());
        let figures = iscsi.as_ref().map(|(_, iscsi)| figures(iscsi, &config.settings, clock));
        let connect = connect(transport, figures, core.clone());
        let routing = config.routing;
        let known = config.known.as_ref().map(http::EndpointPage::routable_targets).unwrap_or_default();
        let routes_open = check_routes(&routing, &known)?;
        let (table, in_force) =
            watch::channel(Arc::new(LoadedRoutes { version: 1, table: routing.rules.table.clone() }));
        let fleet = match config.fleet {
            None => None,
            Some(peers) => {
                let socket = bind_fleet(&mut listeners, peers.addrs[usize::from(peers.own.0)]).await?;
                passed.push(("fleet".to_string(), socket.as_fd().try_clone_to_owned()?));
                Some(exchange_with(peers, socket, &core, &phase))
            }
        };
        let (operator, operations) = mpsc::channel(OPERATIONS);
        let service =
            admin::AdminService { commands: operator, ready: core.readiness(), phase: phase.subscribe() };
        let admin = admin.map(|listener| admin::open(listener, service)).transpose()?;
        let (upgrades, asked_of_core) = mpsc::channel(OPERATIONS);
        let (tell_call, calls) = mpsc::channel(OPERATIONS);
        let (tell_seen, seen) = mpsc::channel(SEEN);
        let beside = CoreDependencies {
            routes: in_force,
            quota: fleet,
            admin_requests: operations,
            handover_requests: asked_of_core,
            admin_commands: tell_call,
            object_sightings: tell_seen,
            sites: config.sites,
            subset: config.subset,
        };
        actix_rt::spawn(Core::new(scheduler, names, clock, inbox, connect, beside).run());
        let platform_list = config.known.clone();
        // What the predecessor holds is newer than what the platform remembers. The watch goes on from the
        // latter's version: what it tells again changes nothing.
        let known = welcome.map(|w| w.list).or(config.known).unwrap_or_default();
        http::send_cached_list(&core, known).await;
        if let Some((_, iscsi)) = &iscsi {
            core.send(portals(iscsi)).await;
        }
        let (discovery, addr) = watch::channel(config.discovery);
        let schedule = |now| config.settings.discovery_schedule(WatchMode::LongPoll, config.seed, now);
        let gossip = config.peers.map(|addresses| DrainGossipLink::new(addresses, config.seed, clock.now()));
        let known = platform_list.as_ref();
        let poller =
            http::DiscoveryPoller::new(addr, connect_timeout, core.clone(), clock, schedule, known, gossip);
        actix_rt::spawn(poller.run());
        let classes = classes(&config.settings);
        let patience = config.settings.longest_deadline().min(LONGEST) + AFTER - SPARE;
        // Without an older table to keep, one that waits for a box is in force from the start.
        let undecided = routes_open.then(|| Rc::new(routing));
        let reloads = Reloads { discovery, access_log, table, undecided };
        let keeper = keeper.map(|keeper| {
            let (ready, listeners) = (core.readiness(), Listeners(passed));
            let (phase, budget) = (Rc::clone(&phase), budget.clone());
            (keeper, Controls { core: upgrades, ready, phase, budget, listeners }, Told { calls, seen })
        });
        let initiator =
            Initiator { core, reloads, http, iscsi, admin, phase, budget, keeper, classes, patience };
        initiator.log_addresses(&config.name)?;
        Ok(initiator)
    }

    fn log_addresses(&self, name: &str) -> std::io::Result<()> {
        let http = self.http_addr()?;
        let iscsi = self.iscsi_addr().transpose()?.map_or("off".to_string(), |addr| addr.to_string());
        let admin = self.admin_addr().map_or("off".to_string(), |addr| addr.to_string());
        tracing::info!(name, listen = %http, iscsi, admin, "serving");
        Ok(())
    }

    /// Takes a new configuration while the initiator runs.
    pub fn reloads(&self) -> Reloads {
        self.reloads.clone()
    }

    /// Counts the requests that have no final answer yet and whose client is there.
    pub fn open_requests(&self) -> impl Fn() -> usize + use<> {
        let core = self.core.clone();
        move || core.open_requests()
    }

    /// Where clients connect.
    pub fn http_addr(&self) -> std::io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// Where operators call, if anywhere.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(admin::AdminListener::addr)
    }

    /// Where sessions connect, if that front is on.
    pub fn iscsi_addr(&self) -> Option<std::io::Result<SocketAddr>> {
        self.iscsi.as_ref().map(|(listener, _)| listener.local_addr())
    }
}

/// Checks the routes that are in force from the start. Returns whether some of their expectations wait for
/// targets that are not listed yet.
///
/// # Errors
/// An expectation is broken.
fn check_routes(routing: &Routing, known: &[TargetInfo]) -> Result<bool, Error> {
    let Decided { decision, lines, open } = routing.decide(known);
    lines.iter().for_each(|line| tracing::warn!("{line}"));
    if decision == Decision::Refuse {
        return Err(Error::Config(ConfigError::new("expect", lines.join("\n"))));
    }
    Ok(open)
}

/// Starts the exchange of units with the other instances.
fn exchange_with(
    peers: quota_exchange::FleetPeers,
    socket: UdpSocket,
    core: &CoreHandle,
    phase: &watch::Sender<Phase>,
) -> QuotaPeers {
    let (out, outgoing) = mpsc::channel(peers.queue_capacity());
    actix_rt::spawn(quota_exchange::run(socket, peers, core.clone(), outgoing, phase.subscribe()));
    QuotaPeers::new(incarnation(), out)
}

/// A number that no other life of an instance has: of the system's randomness, which seeds hash maps.
fn incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}
