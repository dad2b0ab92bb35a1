//! Runs a soak plan with real processes.

use super::event::Event;
use super::plan::SoakPlan;
use crate::failure::Failure;
use crate::initiators::ZONE;
use crate::traces::standard_header;
use rowanglade_checker::{Breach, Rules, check};
use rowanglade_fault_shim::{COUNTS_VARIABLE, FAULTS_VARIABLE};
use rowanglade_test_fleet::{
    DaemonPlan, DiscoveryFault, Fleet, FleetPlan, LoadPlan, RequestCounts, Signal, TargetFault, TargetPlan,
    settings, standard_classes,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// How long clients send requests.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// How long after a target starts draining it may be sent new work, in microseconds.
const GRACE: u64 = 1_000_000;
/// SIGKILL follows SIGTERM after this time at the earliest: the longest deadline, capped at 3 s, plus 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// File name of the fault shim's library.
const LIBRARY: &str = "librowanglade_fault_shim.so";
/// Idle connections that [`Event::Crowd`] opens.
const IDLE_CLIENTS: usize = 400;

/// Path of the fault shim's library, which Cargo places beside the dependencies of this program.
fn shim_library() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe()?;
    let folder =
        program.parent().ok_or(Failure::Unexpected("the path of this program has no parent folder"))?;
    let path = folder.join("deps").join(LIBRARY);
    if path.exists() { Ok(path) } else { Err(Failure::FaultShimNotBuilt(path)) }
}

fn fleet_plan(plan: &SoakPlan, counts: &Path) -> Result<FleetPlan, Failure> {
    let shim_library = shim_library()?.display().to_string();
    let faults = format!("seed={};{}", plan.seed, plan.system_call_faults.join(";"));
    let env = vec![
        ("LD_PRELOAD".to_string(), shim_library),
        (FAULTS_VARIABLE.to_string(), faults),
        (COUNTS_VARIABLE.to_string(), counts.display().to_string()),
    ];
    Ok(FleetPlan {
        daemon: DaemonPlan {
            name: String::new(),
            program: std::env::current_exe()?,
            args: vec!["rowanglade".into()],
            settings: settings(&standard_header(), plan.processes, ZONE, plan.targets),
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            sockets: 512,
            memory_mb: 192,
            operator: None,
            handover: None,
            env,
        },
        zone: ZONE.to_string(),
        processes: plan.processes,
        targets: plan.targets,
        target: TargetPlan { default_service_time: Duration::from_millis(20), ..TargetPlan::default() },
        load: LoadPlan {
            rate: 15.0,
            classes: standard_classes(),
            plan: "full",
            volumes: Vec::new(),
            units: 2.0,
            hosts: 1,
            disconnect_share: plan.disconnect_share,
        },
        volumes: 6,
        shards_of_volume: 4,
        core_share: plan.core_share,
        peers: true,
        seed: plan.seed,
    })
}

/// Results of a soak run.
pub struct SoakResult {
    /// Number of requests by result.
    pub counts: RequestCounts,
    /// Violations of the checker's rules.
    pub breaches: Vec<Breach>,
    /// Processes that exited without having been signalled.
    pub crashed: usize,
    /// Times that the test process itself was stalled.
    pub stalls: usize,
    /// Injected system call faults, counted by kind.
    pub injected: BTreeMap<String, u64>,
    /// Each event with the time at which it was injected.
    pub timeline: Vec<String>,
    /// Warnings from the processes' logs.
    pub warnings: Vec<String>,
}

/// Runs a plan and checks the recorded history.
///
/// # Errors
/// The fleet cannot be started, or a restarted process does not become ready.
pub async fn run_plan(plan: &SoakPlan) -> Result<SoakResult, Failure> {
    let folder = tempfile::tempdir()?;
    let counts_file = folder.path().join("counts");
    let mut fleet = Fleet::start(fleet_plan(plan, &counts_file)?).await?;
    let started_at = Instant::now();
    let mut timeline = Vec::new();
    let mut draining: Vec<Vec<String>> = Vec::new();
    let mut crowd: Vec<TcpStream> = Vec::new();
    for (at, event) in &plan.events {
        sleep_until(started_at + *at).await;
        timeline.push(format!("{:>8} us {event:?}", fleet.recorder.now()));
        inject_event(&mut fleet, event, plan.targets, &mut draining, &mut crowd).await?;
    }
    sleep_until(started_at + LOAD_DURATION).await;
    fleet.discovery.inject(DiscoveryFault::None);
    fleet.settle().await;
    let crashed = fleet.crashes();
    Ok(SoakResult {
        counts: fleet.counts(),
        breaches: check(&fleet.history(), &Rules::with_grace(GRACE)),
        crashed,
        stalls: fleet.history().stalls.len(),
        injected: read_counts(folder.path()),
        timeline,
        warnings: fleet.warnings(),
    })
}

async fn inject_event(
    fleet: &mut Fleet,
    event: &Event,
    targets: usize,
    draining: &mut Vec<Vec<String>>,
    crowd: &mut Vec<TcpStream>,
) -> Result<(), Failure> {
    match event {
        Event::Release { part } => {
            draining.push(fleet.replace((targets as f64 * part) as usize + 1).await?);
            if draining.len() > 1 {
                fleet.remove(&draining.remove(0));
            }
        }
        Event::Outage { fault, span } => {
            let (discovery, span) = (fleet.discovery.clone(), *span);
            discovery.inject(*fault);
            tokio::task::spawn_local(async move {
                sleep(span).await;
                discovery.inject(DiscoveryFault::None);
            });
        }
        Event::Targets { part, kind, span } => {
            let misbehaving = fleet.draw_active((targets as f64 * part) as usize + 1);
            misbehaving.iter().for_each(|target| target.inject(kind.fault()));
            let span = *span;
            tokio::task::spawn_local(async move {
                sleep(span).await;
                misbehaving.iter().for_each(|target| target.inject(TargetFault::default()));
            });
        }
        Event::Terminate { process, twice, hangup } => {
            if *hangup {
                fleet.signal(*process, Signal::SIGHUP)?;
            }
            if *twice {
                fleet.signal(*process, Signal::SIGTERM)?;
            }
            fleet.restart(*process, Signal::SIGTERM, EARLIEST_KILL).await?;
        }
        Event::Kill { process } => fleet.restart(*process, Signal::SIGKILL, Duration::ZERO).await?,
        Event::Reload { process, times } => {
            for _ in 0..*times {
                fleet.signal(*process, Signal::SIGHUP)?;
                sleep(Duration::from_millis(50)).await;
            }
        }
        Event::Crowd { process } => {
            let addr = fleet.members[*process].daemon.http;
            fleet.recorder.record_descriptor_exhaustion(fleet.members[*process].process);
            for _ in 0..IDLE_CLIENTS {
                // A connection that is not accepted in time still occupies the listen queue.
                let connected =
                    tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(addr)).await;
                crowd.extend(connected.ok().and_then(Result::ok));
            }
        }
    }
    Ok(())
}

/// Sums the fault counts that the shim wrote for all processes. A process writes its file once per several
/// faults, and none if no fault was injected.
fn read_counts(folder: &Path) -> BTreeMap<String, u64> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for text in files.filter_map(|file| std::fs::read_to_string(file.path()).ok()) {
        for (name, count) in text.lines().filter_map(|line| line.rsplit_once(' ')) {
            *counts.entry(name.to_string()).or_default() += count.parse::<u64>().unwrap_or(0);
        }
    }
    counts
}
