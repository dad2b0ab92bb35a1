//! `rowanglade try`: the sample capture replayed to an initiator and stub targets on loopback.

use super::Failure;
use super::replay::{Outputs, replay_with_progress};
use lexopt::prelude::*;
use rowanglade_capture::{Import, Mapping, TraceReader, import};
use rowanglade_replay::{Replay, Report};
use rowanglade_test_fleet::{Daemon, DaemonPlan, StubSite, TargetPlan, settings};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The sample capture, which is part of the program.
const SAMPLE: &[u8] = include_bytes!("../../samples/viewers.har.gz");
/// The zone of the stub targets.
const ZONE: &str = "kingston";
/// The number of stub targets.
const TARGETS: usize = 4;
/// Service time of a stub target by request class, in milliseconds.
const SERVICE_TIMES_MS: [(&str, u64); 3] = [("view", 12), ("deposit", 20), ("export", 40)];
/// Seed of the stub targets' random numbers.
const SEED: u64 = 1;
/// The initiator's limits: the defaults of a configuration.
const DESCRIPTORS: usize = 1_024;
const MEMORY_MB: usize = 192;

/// Runs `rowanglade try`: replays the sample capture on loopback, without any configuration.
///
/// # Errors
/// The usage is wrong, or the replay or one of its processes failed.
pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut outputs = Outputs::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => outputs.json = Some(PathBuf::from(parser.value()?)),
            Long("html") => outputs.html = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let report = actix_rt::System::new().block_on(replay_sample())?;
    print!("{report}");
    outputs.write(&report)
}

async fn replay_sample() -> Result<Report, Failure> {
    let folder = tempfile::tempdir().map_err(Failure::running)?;
    let trace = import_sample(folder.path())?;
    let site = start_targets().await?;
    let daemon = start_daemon(&trace, &site)?;
    eprintln!("started {TARGETS} stub targets and one initiator on {}; replaying", daemon.http);
    let report = replay_with_progress(&trace, &Replay::to(vec![daemon.http])).await;
    if report.is_err() {
        eprintln!("log of the initiator:\n{}", daemon.log().join("\n"));
    }
    let report = report?;
    let counters = site.counters();
    eprintln!(
        "stub targets executed {} writes and suppressed {} duplicates",
        counters.writes_executed, counters.writes_suppressed
    );
    Ok(report)
}

/// Imports the sample capture into a trace in the folder, and returns its path.
fn import_sample(folder: &Path) -> Result<PathBuf, Failure> {
    let capture = folder.join("viewers.har.gz");
    let trace = folder.join("viewers.trace");
    std::fs::write(&capture, SAMPLE).map_err(Failure::running)?;
    let mapping = Mapping::standard().map_err(Failure::running)?;
    let request = Import::new(std::slice::from_ref(&capture), &trace);
    let imported = import(&mapping, &request, &mut |_, _| {});
    let imported = imported.map_err(|(error, _)| Failure::running(error))?;
    eprintln!("sample capture: {} requests over {:.1} s", imported.records, imported.span as f64 / 1e6);
    Ok(trace)
}

async fn start_targets() -> Result<StubSite, Failure> {
    let service_times =
        SERVICE_TIMES_MS.map(|(class, millis)| (class.to_string(), Duration::from_millis(millis)));
    let plan = TargetPlan { service_times: service_times.into(), ..TargetPlan::default() };
    StubSite::start(&vec![plan; TARGETS], ZONE, SEED).await.map_err(Failure::running)
}

fn start_daemon(trace: &Path, site: &StubSite) -> Result<Daemon, Failure> {
    let header = TraceReader::open(trace).map_err(Failure::running)?.header().clone();
    let plan = DaemonPlan {
        name: "try".into(),
        program: std::env::current_exe().map_err(Failure::running)?,
        args: Vec::new(),
        settings: settings(&header, 1, ZONE, site.targets.len()),
        discovery: site.discovery.addr(),
        sockets: DESCRIPTORS,
        memory_mb: MEMORY_MB,
        operator: None,
        handover: None,
        env: Vec::new(),
    };
    Daemon::start(&plan).map_err(Failure::running)
}
