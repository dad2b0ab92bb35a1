//! Assembles an initiator from its configuration. The submodules run it, reload its configuration and shut it
//! down.

mod channels;
mod error;
mod handover;
mod memory_watch;
mod reload;
mod routes;
mod run;
mod shutdown;
mod sockets;
mod targets;

use crate::config::{Config, ConfigError, Iscsi, Reload};
use crate::core::{self, AccessLog, Clock, Core, CoreDependencies, CoreHandle, Message, QuotaPeers};
use crate::handover::{CoreUpdates, HandoverControls, Welcome};
use crate::net::drain_gossip::DrainGossipLink;
use crate::net::{DescriptorBudget, MemoryBound, Phase, admin, http, quota_exchange};
use channels::CoreChannels;
use handover::{HandoverSetup, HandoverTask};
use memory_watch::MemoryWatch;
use routes::InitialRoutes;
use rowanglade_allocator::keep_little_free_memory;
use rowanglade_discovery_polling::WatchMode;
use sockets::Sockets;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use targets::{TargetConnections, classes, configured_targets_message, connect, session_settings};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

pub use error::{Error, ReloadError};
pub use reload::Reloads;

/// The process exits this long before the platform could send SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(150);
/// The platform sends SIGKILL `KILL_DELAY` after the longest deadline of all classes has passed, of which it
/// counts this much at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Serves until SIGTERM or SIGINT, then finishes open requests. At SIGHUP it applies the configuration that
/// `reload` reads.
///
/// # Errors
/// The initiator could not be started, or its HTTP listener failed.
pub async fn serve(
    config: Config,
    reload: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
) -> Result<(), Error> {
    keep_little_free_memory();
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
    let bound = MemoryBound::of_process(&config.limits);
    let initiator = Initiator::start_within(bound, config).await?;
    let reloads = initiator.reloads();
    let (core, memory) = (initiator.core.clone(), initiator.memory.clone());
    actix_rt::spawn(async move {
        while status.recv().await.is_some() {
            core.send(Message::Status).await;
            memory.log();
        }
    });
    let next_request = async move || hangup.recv().await.is_some();
    actix_rt::spawn(reload::run_reload_loop(next_request, reload, reloads, initiator.core.clone()));
    Ok(initiator.run(stop).await?)
}

/// An initiator that is listening and not yet serving.
pub struct Initiator {
    core: CoreHandle,
    reloads: Reloads,
    http: TcpListener,
    iscsi: Option<(TcpListener, Iscsi)>,
    /// Absent where the admin listener is disabled.
    admin: Option<admin::AdminListener>,
    phase: Rc<watch::Sender<Phase>>,
    budget: DescriptorBudget,
    memory: MemoryWatch,
    /// Absent where handover is disabled.
    handover: Option<HandoverTask>,
    classes: Vec<(String, Duration)>,
    /// The maximum duration of a shutdown.
    shutdown_time: Duration,
}

impl Initiator {
    /// Starts the core, discovery and the listeners. The process may take more memory than the limits of the
    /// configuration: it need not be this initiator's alone.
    ///
    /// # Errors
    /// As [`Initiator::start_within`].
    pub async fn start(config: Config) -> Result<Initiator, Error> {
        Initiator::start_within(MemoryBound::unlimited(), config).await
    }

    /// Starts the core, discovery and the listeners, in a process whose memory has this bound.
    ///
    /// # Errors
    /// The configuration is invalid, a socket cannot be opened, or another process of this initiator serves
    /// and cannot hand over to this one.
    pub async fn start_within(bound: MemoryBound, mut config: Config) -> Result<Initiator, Error> {
        let (scheduler, names) = config.build_scheduler().map_err(Error::Config)?;
        let HandoverSetup { actor, mut listeners, welcome } =
            HandoverSetup::contact_predecessor(&config).await?;
        // The successor continues the predecessor's clock, so that times in the handed-over state stay valid.
        let clock = welcome.as_ref().map_or_else(Clock::start, |welcome| Clock::starting_at(welcome.now));
        let mut sockets = Sockets::open(&mut config, &mut listeners).await?;
        let phase = Rc::new(watch::Sender::new(Phase::Preparing));

        let connections = TargetConnections::new(&config, &sockets, bound);
        let budget = connections.budget;
        if let Some(welcome) = &welcome {
            budget.reserve_for_other_process(welcome.share.descriptors);
        }
        let access_log = open_access_log(&config)?;
        let (mailbox, core) = core::mailbox(&config.settings, access_log.clone());
        let iscsi_sessions =
            sockets.iscsi.as_ref().map(|(_, iscsi)| session_settings(iscsi, &config.settings, clock));
        let connect = connect(connections.transport, iscsi_sessions, core.clone());

        let routes = InitialRoutes::check(std::mem::take(&mut config.routing), config.cached_list.as_ref())?;
        let quota = match config.quota_peers.take() {
            Some(peers) => {
                let socket = sockets.open_quota(&mut listeners, &peers).await?;
                Some(start_quota_exchange(peers, socket, &core, &phase))
            }
            None => None,
        };
        let successor_listeners = sockets.duplicate()?;

        let channels = CoreChannels::new();
        let admin = start_admin(sockets.admin, channels.admin_requests.sender, &core, &phase)?;
        let dependencies = CoreDependencies {
            routes: routes.in_force,
            quota,
            admin_requests: channels.admin_requests.receiver,
            handover_requests: channels.handover_requests.receiver,
            admin_commands: channels.admin_commands.sender,
            object_observations: channels.object_observations.sender,
            used_ids: channels.used_ids.sender,
            sites: config.sites.take(),
            subset: config.subset.take(),
        };
        actix_rt::spawn(Core::new(scheduler, names, clock, mailbox, connect, dependencies).run());

        send_first_lists(&core, &config, welcome, sockets.iscsi.as_ref().map(|(_, iscsi)| iscsi)).await;
        let discovery = start_discovery(&mut config, &core, clock);

        let controls = HandoverControls {
            core: channels.handover_requests.sender,
            ready: core.readiness(),
            phase: Rc::clone(&phase),
            budget: budget.clone(),
            listeners: successor_listeners,
        };
        let updates = CoreUpdates {
            admin_commands: channels.admin_commands.receiver,
            object_observations: channels.object_observations.receiver,
            used_ids: channels.used_ids.receiver,
        };
        let memory = MemoryWatch { budget: budget.clone(), memory: connections.memory, core: core.clone() };
        let initiator = Initiator {
            core,
            memory,
            reloads: Reloads { discovery, access_log, table: routes.table, undecided: routes.undecided },
            http: sockets.http,
            iscsi: sockets.iscsi,
            admin,
            phase,
            budget,
            handover: actor.map(|actor| HandoverTask { actor, controls, updates }),
            classes: classes(&config.settings),
            shutdown_time: config.settings.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_DELAY
                - KILL_MARGIN,
        };
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

    /// A handle by which a new configuration is applied while the initiator runs.
    pub fn reloads(&self) -> Reloads {
        self.reloads.clone()
    }

    /// Returns a function that counts the requests without a final response whose client is still connected.
    pub fn open_requests(&self) -> impl Fn() -> usize + use<> {
        let core = self.core.clone();
        move || core.open_requests()
    }

    /// The address of the HTTP front.
    pub fn http_addr(&self) -> std::io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// The address of the admin listener; `None` if it is disabled.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(admin::AdminListener::addr)
    }

    /// The address of the iSCSI front; `None` if it is disabled.
    pub fn iscsi_addr(&self) -> Option<std::io::Result<SocketAddr>> {
        self.iscsi.as_ref().map(|(listener, _)| listener.local_addr())
    }
}

fn open_access_log(config: &Config) -> std::io::Result<Option<AccessLog>> {
    config.access_log.as_ref().map(|log| AccessLog::open(&log.path, log.queue)).transpose()
}

/// Starts the thread that serves operators' commands, if there is a listener.
fn start_admin(
    listener: Option<std::net::TcpListener>,
    commands: mpsc::Sender<core::AdminRequest>,
    core: &CoreHandle,
    phase: &watch::Sender<Phase>,
) -> std::io::Result<Option<admin::AdminListener>> {
    let service = admin::AdminService { commands, ready: core.readiness(), phase: phase.subscribe() };
    listener.map(|listener| admin::open(listener, service)).transpose()
}

/// Sends the core the endpoint lists that are available before discovery answers. The predecessor's list is
/// newer than the platform's cached list. Polling starts from the version of the cached list in both cases;
/// entries that it reports again change nothing.
async fn send_first_lists(
    core: &CoreHandle,
    config: &Config,
    welcome: Option<Box<Welcome>>,
    iscsi: Option<&Iscsi>,
) {
    let cached_list = welcome.map(|welcome| welcome.list).or_else(|| config.cached_list.clone());
    http::send_cached_list(core, cached_list.unwrap_or_default()).await;
    if let Some(iscsi) = iscsi {
        core.send(configured_targets_message(iscsi)).await;
    }
}

/// Starts polling discovery. Returns the sender by which its address is changed.
fn start_discovery(
    config: &mut Config,
    core: &CoreHandle,
    clock: Clock,
) -> watch::Sender<http::DiscoveryAddress> {
    let (address, changes) = watch::channel(config.discovery);
    let seed = config.seed;
    let gossip = config.gossip_peers.take().map(|peers| DrainGossipLink::new(peers, seed, clock.now()));
    let poller = http::DiscoveryPoller::new(
        changes,
        config.settings.connect_timeout(),
        core.clone(),
        clock,
        |now| config.settings.discovery_schedule(WatchMode::LongPoll, seed, now),
        config.cached_list.as_ref(),
        gossip,
    );
    actix_rt::spawn(poller.run());
    address
}

/// Starts the quota exchange with the other initiators.
fn start_quota_exchange(
    peers: quota_exchange::FleetPeers,
    socket: UdpSocket,
    core: &CoreHandle,
    phase: &watch::Sender<Phase>,
) -> QuotaPeers {
    let (sender, outgoing) = mpsc::channel(peers.queue_capacity());
    actix_rt::spawn(quota_exchange::run(socket, peers, core.clone(), outgoing, phase.subscribe()));
    QuotaPeers::new(incarnation(), sender)
}

/// A random number that distinguishes this run of the initiator from others. It is taken from the system's
/// randomness by way of the hash map seed.
fn incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}
