//! Hollow instances: whole initiators that share a process and have no clients. Beside them real ones, each a
//! process of its own, for the sizes that fit.

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

/// Changes that the mean cost of one is taken over.
const CHANGES: u32 = 20;
/// Discovery is waited for so long at most.
const PATIENCE: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(5);

/// What instances cost, each of them.
#[derive(Clone, Copy, Debug)]
pub struct Each {
    /// Seconds from the start of all until the last had the whole list.
    pub listed_after: f64,
    /// Processor seconds until then.
    pub start: f64,
    /// Processor seconds of one change.
    pub change: f64,
    /// Bytes that discovery sent for one change.
    pub change_bytes: f64,
    /// Calls answered for one change.
    pub change_calls: f64,
    /// Seconds from one change until the last instance was told, in the mean.
    pub told_after: f64,
    /// Bytes of memory; of hollow ones beside the process's own.
    pub memory: f64,
    /// Open descriptors.
    pub descriptors: f64,
}

/// Instances under measurement.
enum Fleet {
    Hollow(Hollow, u32),
    Real(Vec<Daemon>),
}

impl Fleet {
    fn processes(&self) -> Vec<u32> {
        match self {
            Fleet::Hollow(hollow, _) => vec![hollow.0.id()],
            Fleet::Real(daemons) => daemons.iter().map(Daemon::pid).collect(),
        }
    }

    fn count(&self) -> f64 {
        match self {
            Fleet::Hollow(_, count) => f64::from(*count),
            Fleet::Real(daemons) => daemons.len() as f64,
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

/// A process of hollow instances. Dropped, it is killed.
struct Hollow(Child);

impl Hollow {
    fn start(instances: u32, targets: usize, discovery: &Discovery) -> Result<Hollow, Failure> {
        let arguments = [instances.to_string(), targets.to_string(), discovery.addr().to_string()];
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").args(arguments).stdin(Stdio::piped());
        Ok(Hollow(command.spawn()?))
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The life of a process of hollow instances: until its standard input ends.
pub fn run(instances: u32, targets: usize, discovery: &str) -> ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    block_on(async {
        for number in 0..instances {
            if let Err(error) = start_one(number, instances, targets, discovery).await {
                eprintln!("a hollow instance does not start: {error}");
                return ExitCode::FAILURE;
            }
        }
        std::future::pending().await
    })
}

async fn start_one(number: u32, instances: u32, targets: usize, discovery: &str) -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("config.json");
    let mut settings = settings(&traces::standard_header(), instances as usize, ZONE, targets);
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

/// A site whose list has so many targets. Nobody connects to them.
pub async fn listed(targets: usize) -> Result<StubSite, Failure> {
    let site = StubSite::start(&[], ZONE, 1).await?;
    for place in 0..targets {
        site.discovery.upsert(entry(place, EndpointState::Active));
    }
    Ok(site)
}

fn entry(place: usize, state: EndpointState) -> Endpoint {
    let line = lists::line(place);
    Endpoint {
        id: line.name,
        addr: line.addr,
        shard: line.shard,
        state,
        started_ms: 0,
        zone: Some(line.zone),
    }
}

async fn calls_reach(discovery: &Rc<Discovery>, calls: u64) -> Result<(), Failure> {
    let reached = async {
        while discovery.responses() < calls {
            sleep(TICK).await;
        }
    };
    timeout(PATIENCE, reached)
        .await
        .map_err(|_| Failure::MissingPolls { answered: discovery.responses(), expected: calls })
}

/// Starts instances, has all read the list, and tells them changes, one after another.
async fn measure(site: &StubSite, start: impl FnOnce() -> Result<Fleet, Failure>) -> Result<Each, Failure> {
    let discovery = &site.discovery;
    let begun = Instant::now();
    let fleet = start()?;
    let count = fleet.count();
    // Each reads the list once before it watches.
    calls_reach(discovery, count as u64).await?;
    let listed_after = begun.elapsed().as_secs_f64();
    sleep(Duration::from_millis(500)).await;
    let started = fleet.processor()?;
    let (calls, bytes) = (discovery.responses(), discovery.list_bytes());
    let mut told_after = 0.0;
    for change in 0..CHANGES {
        let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Active };
        let (told, before) = (Instant::now(), discovery.responses());
        discovery.upsert(entry(change as usize / 2, state));
        calls_reach(discovery, before + count as u64).await?;
        told_after += told.elapsed().as_secs_f64() / f64::from(CHANGES);
        sleep(TICK).await;
    }
    sleep(Duration::from_millis(200)).await;
    let changes = count * f64::from(CHANGES);
    Ok(Each {
        listed_after,
        start: started / count,
        change: (fleet.processor()? - started) / changes,
        change_bytes: (discovery.list_bytes() - bytes) as f64 / changes,
        change_calls: (discovery.responses() - calls) as f64 / changes,
        told_after,
        memory: fleet.memory() / count,
        descriptors: fleet.descriptors()? / count,
    })
}

/// So many hollow instances in one process, before so many targets.
///
/// # Errors
/// They do not start, or discovery is not asked.
pub fn hollow(instances: u32, targets: usize) -> Result<Each, Failure> {
    block_on(async {
        let site = listed(targets).await?;
        let start = || Ok(Fleet::Hollow(Hollow::start(instances, targets, &site.discovery)?, instances));
        measure(&site, start).await
    })
}

/// The same, each in a process of its own.
///
/// # Errors
/// As [`hollow`].
pub fn real(instances: u32, targets: usize) -> Result<Each, Failure> {
    block_on(async {
        let site = listed(targets).await?;
        let shape =
            |_: usize, start: &mut DaemonPlan| start.settings["family-info"]["n-shards"] = targets.into();
        let daemons =
            || initiators::start_daemons_with(&site, &traces::standard_header(), instances as usize, shape);
        let start = || Ok(Fleet::Real(daemons()?));
        measure(&site, start).await
    })
}
