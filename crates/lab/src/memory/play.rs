//! Plays a memory plan with real processes.

use super::clients::{Address, Behaviour, Crowd};
use super::core_load::SharedCore;
use super::sound::{SoundClients, SoundRequests};
use super::target::Targets;
use crate::failure::Failure;
use crate::initiators::ZONE;
use crate::traces::standard_header;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_test_fleet::{
    Daemon, DaemonPlan, Discovery, Endpoint, EndpointState, PeakMemory, Signal, settings,
};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

const PROCESSES: usize = 4;
const TARGETS: usize = 10;
/// How long after its end a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How often each process is looked at.
const WATCH_PERIOD: Duration = Duration::from_millis(10);
/// Memory limits in MB with descriptor limits, from the largest of the pages down to small ones.
const LIMITS: [(usize, usize); 4] = [(192, 1_024), (96, 512), (64, 1_024), (32, 1_024)];
/// Clients of one process, in all.
const MAX_CLIENTS: usize = 1_500;
/// The pause before a client of a crowd of one kind connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Share of the memory limit that the anonymous memory may take.
const MAX_ANONYMOUS_SHARE: f64 = 0.85;
/// Least share of the sound requests that are served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// What a seed plays.
#[derive(Clone, Debug)]
pub struct MemoryPlan {
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The clients of each process, by behaviour.
    pub crowds: Vec<(Behaviour, usize)>,
    /// How long the clients stay.
    pub duration: Duration,
    /// When the process of each initiator is killed.
    pub kills: Vec<Duration>,
    /// How the clients come, and what else there is.
    pub pressure: Pressure,
}

/// How the clients of a process come, and what shares its machine.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    /// The pause before a client connects again; `None`: [`RECONNECT_PAUSE`].
    pub reconnect_pause: Option<Duration>,
    /// All clients close their connections together this often; `None`: they never do.
    pub wave_period: Option<Duration>,
    /// How long each process is stopped right after its start, while clients connect.
    pub stopped_at_start: Option<Duration>,
    /// Whether the process shares its core with busy threads.
    pub shared_core: bool,
    /// Whether clients send sound short requests beside the crowd.
    pub sound_clients: bool,
}

impl MemoryPlan {
    /// The plan of one process that only these clients use, at the largest limits of the pages.
    pub fn alone(behaviour: Behaviour, clients: usize) -> MemoryPlan {
        let (memory_mb, sockets) = LIMITS[0];
        let duration = Duration::from_secs(6);
        MemoryPlan {
            seed: 0,
            memory_mb,
            sockets,
            crowds: vec![(behaviour, clients)],
            duration,
            kills: vec![duration / 2],
            pressure: Pressure::default(),
        }
    }

    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> MemoryPlan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (memory_mb, sockets) = *LIMITS.choose(&mut random).unwrap_or(&LIMITS[0]);
        let count = random.random_range(1..=3);
        let behaviours: Vec<Behaviour> =
            Behaviour::SINGLE.choose_multiple(&mut random, count).copied().collect();
        let crowds = behaviours
            .into_iter()
            .map(|behaviour| (behaviour, random.random_range(100..=MAX_CLIENTS / count)))
            .collect();
        let kills =
            (0..PROCESSES).map(|_| Duration::from_millis(random.random_range(1_000..7_000))).collect();
        MemoryPlan {
            seed,
            memory_mb,
            sockets,
            crowds,
            duration: Duration::from_secs(10),
            kills,
            pressure: Pressure::default(),
        }
    }
}

/// How a process ended.
#[derive(Clone, Debug, PartialEq)]
enum End {
    /// The run killed it, at its time or at the end.
    Killed,
    /// It ended by itself, with this status and these last lines of its log.
    ByItself(String, Vec<String>),
}

/// The end and the memory of one process.
#[derive(Clone, Debug)]
pub struct ProcessResult {
    name: String,
    limit_mb: usize,
    end: End,
    peak: PeakMemory,
    /// The last line in which the process told its memory by part.
    memory_line: Option<String>,
    /// The sound requests beside the crowd; `None`: there were none.
    sound: Option<SoundRequests>,
}

impl ProcessResult {
    /// The largest memory as a share of the limit.
    pub fn share_of_limit(&self) -> f64 {
        self.peak.resident_bytes as f64 / (self.limit_mb << 20) as f64
    }

    /// The largest anonymous memory as a share of the limit.
    pub fn anonymous_share(&self) -> f64 {
        self.peak.anonymous_bytes as f64 / (self.limit_mb << 20) as f64
    }

    /// The share of the sound requests that were served; 1 without any.
    pub fn served_share(&self) -> f64 {
        self.sound.as_ref().map_or(1.0, SoundRequests::served_share)
    }

    /// Whether it neither ended by itself nor exceeded its memory limit.
    pub fn holds(&self) -> bool {
        self.end == End::Killed && self.share_of_limit() <= 1.0
    }

    /// Whether also its anonymous memory held, and the sound requests were served.
    pub fn holds_beside_sound_requests(&self) -> bool {
        self.holds()
            && self.anonymous_share() <= MAX_ANONYMOUS_SHARE
            && self.served_share() >= MIN_SERVED_SHARE
    }
}

impl fmt::Display for ProcessResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        write!(
            f,
            "{}: {:.1} of {} MB resident, of these {:.1} anonymous, {} descriptors",
            self.name,
            megabytes(self.peak.resident_bytes),
            self.limit_mb,
            megabytes(self.peak.anonymous_bytes),
            self.peak.descriptors,
        )?;
        if let Some(sound) = &self.sound {
            write!(f, "; sound requests: {sound}")?;
        }
        if let Some(line) = self.memory_line.as_ref().filter(|_| !self.holds_beside_sound_requests()) {
            write!(f, "\n      {line}")?;
        }
        if let End::ByItself(status, log) = &self.end {
            write!(f, "; ended by itself: {status}; its log ends with\n{}", log.join("\n"))?;
        }
        Ok(())
    }
}

/// Plays a plan. Returns the result of each process, two for each initiator.
///
/// # Errors
/// A socket cannot be bound, or a process does not start.
pub async fn play(plan: &MemoryPlan) -> Result<Vec<ProcessResult>, Failure> {
    let discovery = Discovery::start(ZONE).await?;
    let targets = Targets::start(TARGETS).await?;
    for (shard, addr) in (0u32..).zip(&targets.addresses) {
        discovery.upsert(Endpoint {
            id: format!("s-{shard}"),
            addr: *addr,
            shard,
            state: EndpointState::Active,
            started_ms: 0,
            zone: None,
        });
    }
    let until = Instant::now() + plan.duration;
    let initiators =
        (0..plan.kills.len()).map(|number| run_initiator(plan, number, Rc::clone(&discovery), until));
    let results = futures_util::future::join_all(initiators).await;
    Ok(results.into_iter().collect::<Result<Vec<_>, _>>()?.concat())
}

/// Runs one initiator with its clients: a process until it is killed, and another until the end.
async fn run_initiator(
    plan: &MemoryPlan,
    number: usize,
    discovery: Rc<Discovery>,
    until: Instant,
) -> Result<Vec<ProcessResult>, Failure> {
    let started_at = Instant::now();
    let address: Address = Rc::new(Cell::new(None));
    let clients = start_clients(plan, number, &address);
    let first = run_process(plan, number, &discovery, &address, started_at + plan.kills[number]).await?;
    sleep(RESTART_DELAY).await;
    let second = run_process(plan, number, &discovery, &address, until).await?;
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(vec![first, second])
}

fn start_clients(plan: &MemoryPlan, number: usize, address: &Address) -> Vec<tokio::task::JoinHandle<()>> {
    let crowd = Rc::new(Crowd {
        address: Rc::clone(address),
        shards: TARGETS as u64,
        name: format!("n{number}"),
        reconnect_pause: plan.pressure.reconnect_pause.unwrap_or(RECONNECT_PAUSE),
        wave_period: plan.pressure.wave_period,
        started_at: Instant::now(),
    });
    let clients =
        plan.crowds.iter().flat_map(|(behaviour, count)| (0..*count).map(move |client| (*behaviour, client)));
    clients
        .map(|(behaviour, client)| {
            tokio::task::spawn_local(Rc::clone(&crowd).run_client(behaviour, client as u64))
        })
        .collect()
}

/// Runs a process until `kill_at`, when it is killed, or until it ends by itself.
async fn run_process(
    plan: &MemoryPlan,
    number: usize,
    discovery: &Discovery,
    address: &Address,
    kill_at: Instant,
) -> Result<ProcessResult, Failure> {
    let daemon_plan = DaemonPlan {
        name: format!("n{number}"),
        program: std::env::current_exe()?,
        args: vec!["rowanglade".into()],
        settings: settings(&standard_header(), PROCESSES, ZONE, TARGETS),
        discovery: discovery.addr(),
        sockets: plan.sockets,
        memory_mb: plan.memory_mb,
        operator: None,
        handover: None,
        env: Vec::new(),
    };
    let mut daemon = tokio::task::spawn_blocking(move || Daemon::start(&daemon_plan)).await??;
    let _shared_core = plan.pressure.shared_core.then(|| SharedCore::with(daemon.pid()));
    let sound = plan.pressure.sound_clients.then(|| SoundClients::start(daemon.http, TARGETS as u64));
    if let Some(pause) = plan.pressure.stopped_at_start {
        daemon.signal(Signal::SIGSTOP)?;
        address.set(Some(daemon.http));
        sleep(pause).await;
        daemon.signal(Signal::SIGCONT)?;
    }
    address.set(Some(daemon.http));
    let mut peak = PeakMemory::default();
    let mut end = End::Killed;
    while Instant::now() < kill_at {
        peak.update(daemon.pid());
        if let Some(status) = daemon.exit_status() {
            end = End::ByItself(status.to_string(), daemon.log());
            break;
        }
        sleep_until((Instant::now() + WATCH_PERIOD).min(kill_at)).await;
    }
    address.set(None);
    let sound = sound.map(SoundClients::stop);
    // Fails if the process has ended by itself.
    let _ = daemon.signal(Signal::SIGKILL);
    let memory_line = daemon.log().into_iter().rfind(|line| line.contains("memory by part"));
    Ok(ProcessResult { name: format!("n{number}"), limit_mb: plan.memory_mb, end, peak, memory_line, sound })
}
