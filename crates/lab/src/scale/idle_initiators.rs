//! Initiators without clients that share a process ("hollow" in figures and documents), and for sizes that
//! fit also initiators that have a process each ("real").

use super::cost::process_time;
use super::lists;
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::runtime::block_on;
use crate::traces;
use rowanglade::config::Config;
use rowanglade::initiator::Initiator;
use rowanglade_test_fleet::{
    Daemon, DaemonPlan, Discovery, Endpoint, EndpointState, ProcessUsage, StubSite, settings,
};
use serde_json::json;
use std::io::Read;
use std::process::{Child, Command, ExitCode, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of changes that the mean cost of one is computed from.
const CHANGES: u32 = 20;
/// Maximum time to wait until discovery has answered the expected polls.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Mean cost of one initiator.
#[derive(Clone, Copy, Debug)]
pub struct InitiatorCost {
    /// Seconds from the start of the fleet until discovery has served the endpoint list to the last
    /// initiator.
    pub listed_after: f64,
    /// Processor seconds from the start until then.
    pub start: f64,
    /// Processor seconds per change of one target.
    pub change: f64,
    /// Bytes of list responses that discovery sent per change.
    pub change_bytes: f64,
    /// Polls and watches that discovery answered per change.
    pub change_polls: f64,
    /// Mean number of seconds from a change until discovery has notified the last initiator.
    pub notified_after: f64,
    /// Peak bytes of memory of the process, divided by the initiators in it.
    pub memory: f64,
    /// Open descriptors of the process, divided by the initiators in it.
    pub descriptors: f64,
}

/// The initiators under measurement.
enum Initiators {
    /// The given number of initiators in one process.
    InSharedProcess(SharedProcess, u32),
    /// One initiator in each process.
    InOwnProcesses(Vec<Daemon>),
}

impl Initiators {
    fn processes(&self) -> Vec<u32> {
        match self {
            Initiators::InSharedProcess(shared, _) => vec![shared.0.id()],
            Initiators::InOwnProcesses(daemons) => daemons.iter().map(Daemon::pid).collect(),
        }
    }

    fn count(&self) -> f64 {
        match self {
            Initiators::InSharedProcess(_, count) => f64::from(*count),
            Initiators::InOwnProcesses(daemons) => daemons.len() as f64,
        }
    }

    fn processor(&self) -> Result<f64, Failure> {
        self.processes().into_iter().map(|p| Ok(process_time(p)?.as_secs_f64())).sum()
    }

    fn memory(&self) -> f64 {
        self.processes().into_iter().map(|p| ProcessUsage::of(&p.to_string()).peak_memory_bytes as f64).sum()
    }

    fn descriptors(&self) -> Result<f64, Failure> {
        let count = |p| Ok(std::fs::read_dir(format!("/proc/{p}/fd"))?.count() as f64);
        self.processes().into_iter().map(count).sum()
    }
}

/// A process of several initiators, which is killed on drop.
struct SharedProcess(Child);

impl SharedProcess {
    fn start(initiators: u32, targets: usize, discovery: &Discovery) -> Result<SharedProcess, Failure> {
        let arguments = [initiators.to_string(), targets.to_string(), discovery.addr().to_string()];
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").args(arguments).stdin(Stdio::piped());
        Ok(SharedProcess(command.spawn()?))
    }
}

impl Drop for SharedProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Main function of a process of several initiators, which exits when its standard input is closed.
pub fn run(initiators: u32, targets: usize, discovery: &str) -> ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    block_on(async {
        for number in 0..initiators {
            if let Err(error) = start_initiator(number, initiators, targets, discovery).await {
                eprintln!("idle initiator {number} could not be started: {error}");
                return ExitCode::FAILURE;
            }
        }
        std::future::pending().await
    })
}

async fn start_initiator(
    number: u32,
    initiators: u32,
    targets: usize,
    discovery: &str,
) -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("config.json");
    let mut settings = settings(&traces::standard_header(), initiators as usize, ZONE, targets);
    settings["my-number"] = number.into();
    let text = json!({
        "name": format!("hollow-{number}"), "listen": "127.0.0.1:0", "discovery": discovery,
        "seed": format!("{number:016x}"), "limits": {"memory_mb": 192, "sockets": 1_024}, "settings": settings,
    });
    std::fs::write(&path, text.to_string())?;
    let variable = |name: &str| (name == "LB_CONFIG").then(|| path.display().to_string());
    let initiator = Initiator::start(Config::load(variable, &[])?).await?;
    actix_rt::spawn(initiator.run(std::future::pending()));
    Ok(())
}

/// Starts a site whose endpoint list has the given number of targets. No target is ever connected to.
pub async fn site_with_targets(targets: usize) -> Result<StubSite, Failure> {
    let site = StubSite::start(&[], ZONE, 1).await?;
    for index in 0..targets {
        site.discovery.upsert(entry(index, EndpointState::Active));
    }
    Ok(site)
}

fn entry(index: usize, state: EndpointState) -> Endpoint {
    let endpoint = lists::endpoint(index);
    Endpoint {
        id: endpoint.name,
        addr: endpoint.addr,
        shard: endpoint.shard,
        state,
        started_ms: 0,
        zone: Some(endpoint.zone),
    }
}

async fn wait_for_polls(discovery: &Rc<Discovery>, polls: u64) -> Result<(), Failure> {
    let reached = async {
        while discovery.responses() < polls {
            sleep(POLL_PERIOD).await;
        }
    };
    timeout(DISCOVERY_TIMEOUT, reached)
        .await
        .map_err(|_| Failure::MissingPolls { answered: discovery.responses(), expected: polls })
}

/// Starts initiators, waits until all have the endpoint list, and publishes changes one after another.
async fn measure(
    site: &StubSite,
    start: impl FnOnce() -> Result<Initiators, Failure>,
) -> Result<InitiatorCost, Failure> {
    let discovery = &site.discovery;
    let started_at = Instant::now();
    let fleet = start()?;
    let count = fleet.count();
    // Each initiator reads the list once before it watches for changes.
    wait_for_polls(discovery, count as u64).await?;
    let listed_after = started_at.elapsed().as_secs_f64();
    sleep(Duration::from_millis(500)).await;
    let started = fleet.processor()?;
    let (polls, bytes) = (discovery.responses(), discovery.list_bytes());
    let mut notified_after = 0.0;
    for change in 0..CHANGES {
        let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Active };
        let (changed_at, before) = (Instant::now(), discovery.responses());
        discovery.upsert(entry(change as usize / 2, state));
        wait_for_polls(discovery, before + count as u64).await?;
        notified_after += changed_at.elapsed().as_secs_f64() / f64::from(CHANGES);
        sleep(POLL_PERIOD).await;
    }
    sleep(Duration::from_millis(200)).await;
    let changes = count * f64::from(CHANGES);
    Ok(InitiatorCost {
        listed_after,
        start: started / count,
        change: (fleet.processor()? - started) / changes,
        change_bytes: (discovery.list_bytes() - bytes) as f64 / changes,
        change_polls: (discovery.responses() - polls) as f64 / changes,
        notified_after,
        memory: fleet.memory() / count,
        descriptors: fleet.descriptors()? / count,
    })
}

/// Measures the given number of initiators in one process.
///
/// # Errors
/// The initiators cannot be started, or discovery receives too few polls.
pub fn in_shared_process(initiators: u32, targets: usize) -> Result<InitiatorCost, Failure> {
    block_on(async {
        let site = site_with_targets(targets).await?;
        let start = || {
            Ok(Initiators::InSharedProcess(
                SharedProcess::start(initiators, targets, &site.discovery)?,
                initiators,
            ))
        };
        measure(&site, start).await
    })
}

/// Measures the given number of initiators, each in a separate process.
///
/// # Errors
/// As [`in_shared_process`].
pub fn in_own_processes(initiators: u32, targets: usize) -> Result<InitiatorCost, Failure> {
    block_on(async {
        let site = site_with_targets(targets).await?;
        let adjust =
            |_: usize, start: &mut DaemonPlan| start.settings["family-info"]["n-shards"] = targets.into();
        let daemons =
            || initiators::start_daemons_with(&site, &traces::standard_header(), initiators as usize, adjust);
        let start = || Ok(Initiators::InOwnProcesses(daemons()?));
        measure(&site, start).await
    })
}
