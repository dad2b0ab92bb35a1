//! A target restarts cold in front of a fleet of which some processes are killed at the same time. The
//! experiment counts at the target what the whole fleet sends to it.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{Record, TraceWriter};
use rowanglade_replay::Replay;
use rowanglade_test_fleet::{Daemon, DaemonPlan, HandoverPaths, Signal, StubSite, TargetPlan, settings};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

pub fn experiments() -> Vec<Experiment> {
    let about = "a target returns cold, two of ten daemons are killed meanwhile: requests per window from the whole fleet";
    vec![Experiment { name: "cold-start", about, runner: Runner::Plain(cold_start) }]
}

const SEED: u64 = 32;
const DAEMONS: usize = 10;
const KILLED: usize = 2;
const SHARDS: u32 = 4;
/// Shards that the data of a volume is spread over, and daemons that its requests come through.
const SPREAD: u32 = 2;
const HOSTS: u32 = 2;
const VOLUMES: u64 = 40;
const UNITS: f64 = 2.0;
/// Requests per second to all targets together, and the duration in seconds.
const RATE: f64 = 88.0;
const SECONDS: f64 = 18.0;
/// Seconds after the first request at which the target stops, at which it is back, and at which daemons are
/// killed.
const STOPS_AT: f64 = 4.0;
const RETURNS_AT: f64 = 4.5;
const KILL_TIMES: [f64; KILLED] = [5.5, 7.0];
/// Requests that a target processes concurrently, and the time that each takes in milliseconds.
const SLOTS: usize = 2;
const WORK_MS: u64 = 80;
/// Slow-start rule as the settings define it. Capacities are relative to a warm target, times are in seconds.
const SLOW_START_CAPACITY: f64 = 0.28;
const WARM_UP_SECONDS: f64 = 10.0;
const WINDOW_SECONDS: f64 = 3.0;
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Fraction of the units that a cold target can serve that the settings state as `cold-units`.
const CONFIGURED_FRACTION: f64 = 0.15;

/// Requests that a target that restarted at 0 may receive in the window that begins at `begin`.
fn allowed_requests(begin: f64) -> f64 {
    let capacity =
        SLOW_START_CAPACITY + (1.0 - SLOW_START_CAPACITY) * (begin / WARM_UP_SECONDS).clamp(0.0, 1.0);
    OVERLOAD_MULTIPLE * capacity * WINDOW_SECONDS * SLOTS as f64 * 1e3 / WORK_MS as f64
}

/// Writes a trace in which each request picks one of its volume's shards with equal probability.
fn write_trace(path: &Path) -> Result<(), Failure> {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut writer = TraceWriter::create(path, &traces::standard_header())?;
    for i in 0..(RATE * SECONDS) as u64 {
        let class: u16 = if random.random_bool(0.3) { 1 } else { 0 };
        let volume = random.random_range(0..VOLUMES);
        let shard = (volume as u32 + random.random_range(0..SPREAD)) % SHARDS;
        writer.push(Record {
            at: (i as f64 / RATE * 1e6) as u64,
            class,
            plan: 1,
            volume: 1 + volume,
            piece: random.random(),
            units: UNITS as f32,
            shard: Some(shard),
            hosts: HOSTS,
            deadline_ms: [1_500, 3_000][usize::from(class)],
            bytes: 1_024,
            key: (class == 1).then(|| random.random()),
            status: 200,
            took: None,
        })?;
    }
    writer.finish()?;
    Ok(())
}

fn start_daemon(
    site: &StubSite,
    folder: &Path,
    number: usize,
    listen: Option<SocketAddr>,
) -> Result<Daemon, Failure> {
    let mut settings = settings(&traces::standard_header(), DAEMONS, ZONE, site.targets.len());
    settings["my-number"] = number.into();
    settings["rules"]["warm-within"] = ((WARM_UP_SECONDS * 1e6) as u64).into();
    settings["family-info"]["cold-units"] = (CONFIGURED_FRACTION * allowed_requests(0.0) * UNITS).into();
    settings["family-info"]["usual-units"] = UNITS.into();
    let handover_folder = folder.join(format!("daemon-{number}"));
    std::fs::create_dir_all(&handover_folder)?;
    Ok(Daemon::start(&DaemonPlan {
        name: format!("lab-{number}"),
        program: std::env::current_exe()?,
        args: vec!["rowanglade".into()],
        settings,
        discovery: site.discovery.addr(),
        sockets: 1_024,
        memory_mb: 192,
        operator: None,
        handover: Some(HandoverPaths { folder: handover_folder, listen }),
        env: Vec::new(),
    })?)
}

/// Returns the largest number of requests in any window, relative to the limit N + 2 * sqrt(N) + 2 with N
/// from [`allowed_requests`], and the second at which that window began.
fn fullest_window(arrival_times: &[f64]) -> (f64, f64) {
    let relative_load = |from: &f64| {
        let n = allowed_requests(*from);
        let inside = arrival_times.iter().filter(|at| (*from..from + WINDOW_SECONDS).contains(*at)).count();
        (inside as f64 / (n + 2.0 * n.sqrt() + 2.0), *from)
    };
    arrival_times
        .iter()
        .map(relative_load)
        .fold((0.0, 0.0), |most, each| if each.0 > most.0 { each } else { most })
}

fn cold_start() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        write_trace(&trace)?;
        let plan = TargetPlan {
            keeps_requests: true,
            slots: SLOTS,
            initial_capacity: SLOW_START_CAPACITY,
            warm_within: Duration::from_secs_f64(WARM_UP_SECONDS),
            ..initiators::target_plan(WORK_MS, WORK_MS, WORK_MS)
        };
        let site = StubSite::start(&vec![plan; SHARDS as usize], ZONE, SEED).await?;
        let mut daemons = (0..DAEMONS)
            .map(|n| start_daemon(&site, folder.path(), n, None))
            .collect::<Result<Vec<_>, _>>()?;
        let addresses = initiators::addresses(&daemons);
        let cold = &site.targets[0];
        let faults = async {
            // The clock of the experiment starts at the first request.
            while site.targets.iter().all(|target| target.counters().received == 0) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let started_at = Instant::now();
            let at = |seconds| tokio::time::sleep_until(started_at + Duration::from_secs_f64(seconds));
            at(STOPS_AT).await;
            site.kill(0);
            at(RETURNS_AT).await;
            site.restart(0).await?;
            let returned_at = Instant::now();
            for (number, when) in KILL_TIMES.into_iter().enumerate() {
                at(when).await;
                daemons[number].signal(Signal::SIGKILL)?;
                while !daemons[number].has_ended() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                daemons[number] = start_daemon(&site, folder.path(), number, Some(addresses[number]))?;
            }
            Ok::<_, Failure>(returned_at)
        };
        let replay_plan = Replay::to(addresses.clone());
        let (report, returned_at) = tokio::join!(traces::replay_all(&trace, &replay_plan), faults);
        let (report, returned_at) = (report?, returned_at?);
        let arrival_times: Vec<f64> = (cold.received().iter())
            .filter(|(at, _)| *at >= returned_at)
            .map(|(at, _)| at.duration_since(returned_at).as_secs_f64())
            .filter(|at| *at < WARM_UP_SECONDS)
            .collect();
        let (relative_load, from) = fullest_window(&arrival_times);
        let total = report.total();
        let results = total.served + total.refused + total.failed + total.lost + total.unsent;
        let mut out = Outcome::default();
        out.figure("requests", total.due as f64, "");
        out.figure("served", total.served as f64, "");
        out.figure("refused", total.refused as f64, "");
        out.figure(
            "failed, lost or unsent, the killed daemons' too",
            (results - total.served - total.refused) as f64,
            "",
        );
        out.figure("at the cold box until it is warm", arrival_times.len() as f64, "requests");
        out.figure("allowed in its first window", allowed_requests(0.0), "requests");
        out.figure("fullest window, of N + 2 root N + 2", relative_load, "");
        out.figure("which began after", from, "s");
        out.claim("no window at the cold target exceeds N + 2 * sqrt(N) + 2 requests", relative_load <= 1.0);
        out.claim(
            "the cold target is not starved: it gets at least a tenth of its first window's allowance per window",
            arrival_times.len() as f64 >= 0.1 * allowed_requests(0.0) * WARM_UP_SECONDS / WINDOW_SECONDS,
        );
        out.claim("each request has exactly one result", results == total.due);
        out.claim("the restarted daemons are running", daemons.iter_mut().all(|d| !d.has_ended()));
        Ok(out)
    })
}
