//! Resource usage and service quality in front of many targets: the same traffic with 200, 800, 1,600 and
//! 3,200 targets on a small share of a core, through a rolling release, a discovery outage, restarts and
//! hanging targets.

use crate::experiment::{Experiment, Runner, Seeds};
use crate::failure::Failure;
use crate::initiators::ZONE;
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces::standard_header;
use rowanglade_checker::{Attempt, Breach, ClientOutcome, History, Micros, Rules, TargetState, check};
use rowanglade_test_fleet::{
    DaemonPlan, DiscoveryFault, Fleet, FleetPlan, LoadPlan, RequestCounts, Signal, TargetFault, TargetPlan,
    settings, standard_classes,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

const SIZES: [usize; 4] = [200, 800, 1_600, 3_200];
const PROCESSES: usize = 4;
/// Requests per second that the clients of each process send.
const RATE: f64 = 12.0;
/// Fraction of a core that each process may use.
const CORE_SHARE: f64 = 0.1;
const GRACE: Micros = 1_000_000;
/// Half of the targets are replaced, in this many steps.
const RELEASE_STEPS: usize = 8;
const STEP_INTERVAL: Duration = Duration::from_millis(800);
/// One in this many targets stops responding while the release is under way.
const TARGETS_PER_HANGING: usize = 20;
const OUTAGE: Duration = Duration::from_secs(4);
/// How long a process may take to exit after SIGTERM, by the platform's rule: the longest deadline, capped at
/// 3 s, plus 0.7 s.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Every resource has to stay within this fraction of its bound.
const BOUND_FRACTION: f64 = 0.8;
const DEFAULT_SEED: u64 = 278_639;

pub fn experiments() -> Vec<Experiment> {
    let about =
        "the same traffic with 200 to 3,200 targets: processor, memory, connections, endpoint lists, rules";
    vec![Experiment { name: "many-targets", about, runner: Runner::Seeded(many_targets) }]
}

/// Resource usage and results of one run.
struct RunResult {
    targets: usize,
    processor: f64,
    memory: f64,
    descriptors: f64,
    connections: f64,
    list_bytes: f64,
    share: f64,
    /// Longest time from the delivery of a target's drain or removal to a process until that process's last
    /// attempt at the target, in seconds.
    latest_attempt: f64,
    /// Longest time from a request's deadline to its response, in seconds.
    latest_response: f64,
    breaches: Vec<Breach>,
    warnings: Vec<String>,
}

fn plan(targets: usize, seed: u64) -> Result<FleetPlan, Failure> {
    let mut settings = settings(&standard_header(), PROCESSES, ZONE, targets);
    settings["ceilings"]["second-copies"] = false.into();
    Ok(FleetPlan {
        daemon: DaemonPlan {
            name: String::new(),
            program: std::env::current_exe()?,
            args: vec!["rowanglade".into()],
            settings,
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            sockets: 1_024,
            memory_mb: 192,
            operator: None,
            handover: None,
            env: Vec::new(),
        },
        zone: ZONE.to_string(),
        processes: PROCESSES,
        targets,
        target: TargetPlan { default_service_time: Duration::from_millis(30), ..TargetPlan::default() },
        load: LoadPlan {
            rate: RATE,
            classes: standard_classes(),
            plan: "full",
            volumes: Vec::new(),
            units: 2.0,
            hosts: 1,
            disconnect_share: 0.0,
        },
        volumes: 6,
        shards_of_volume: 4,
        core_share: Some(CORE_SHARE),
        peers: true,
        seed,
    })
}

async fn run(targets: usize, seed: u64) -> Result<RunResult, Failure> {
    let mut fleet = Fleet::start(plan(targets, seed)?).await?;
    sleep(SETTLE_TIME).await;
    let list_bytes = fleet.discovery.list_bytes();
    let mut descriptors = 0;
    let mut draining = Vec::new();
    for step in 0..RELEASE_STEPS {
        draining.push(fleet.replace(targets / 2 / RELEASE_STEPS).await?);
        if step == 1 {
            let hanging = fleet.draw_active(targets / TARGETS_PER_HANGING);
            hanging
                .iter()
                .for_each(|target| target.inject(TargetFault { silent: true, ..TargetFault::default() }));
        }
        sleep(STEP_INTERVAL).await;
        if draining.len() > 2 {
            fleet.remove(&draining.remove(0));
        }
        descriptors = fleet.usage().iter().map(|usage| usage.descriptors).max().unwrap_or(0).max(descriptors);
    }
    let list_bytes = (fleet.discovery.list_bytes() - list_bytes) as f64 / PROCESSES as f64;
    // An outage, after which another release step is published while half of the processes restart.
    fleet.discovery.inject(DiscoveryFault::Refusing);
    sleep(OUTAGE).await;
    draining.push(fleet.replace(targets / 2 / RELEASE_STEPS).await?);
    fleet.discovery.inject(DiscoveryFault::None);
    for index in 0..PROCESSES / 2 {
        fleet.restart(index, Signal::SIGTERM, TERMINATION_TIMEOUT).await?;
    }
    sleep(SETTLE_TIME).await;
    fleet.settle().await;
    descriptors = fleet.usage().iter().map(|usage| usage.descriptors).max().unwrap_or(0).max(descriptors);
    let all: Vec<_> = fleet.usage().into_iter().chain(fleet.ended_usage().iter().copied()).collect();
    let history = fleet.history();
    let counts: RequestCounts = fleet.counts();
    Ok(RunResult {
        targets,
        processor: all.iter().map(|usage| usage.processor_seconds).sum::<f64>() / PROCESSES as f64,
        memory: all.iter().map(|usage| usage.peak_memory_bytes).max().unwrap_or(0) as f64
            / f64::from(1 << 20),
        descriptors: descriptors as f64,
        connections: fleet.connections() as f64 / PROCESSES as f64,
        list_bytes: list_bytes / 1024.0,
        share: counts.share_served(),
        latest_attempt: latest_attempt(&history),
        latest_response: latest_response(&history),
        breaches: check(&history, &Rules::with_grace(GRACE)),
        warnings: fleet.warnings(),
    })
}

/// Longest time from the delivery of a target's drain or removal to a process until an attempt of that
/// process at the target, in seconds.
fn latest_attempt(history: &History) -> f64 {
    let processes: HashMap<&str, _> = history.requests.iter().map(|r| (r.id.as_str(), r.process)).collect();
    let mut departures: HashMap<&str, u64> = HashMap::new();
    for change in
        history.changes.iter().filter(|change| change.state != TargetState::Active { started: None })
    {
        if matches!(change.state, TargetState::Draining | TargetState::Removed) {
            departures.entry(&change.target).or_insert(change.version);
        }
    }
    let delay = |attempt: &Attempt| {
        let (process, version) =
            (processes.get(attempt.request.as_str())?, departures.get(attempt.target.as_str())?);
        let notified = history.deliveries.iter().filter(|d| d.process == *process && d.version >= *version);
        attempt.started_at.checked_sub(notified.map(|d| d.at).min()?)
    };
    history.attempts.iter().filter_map(delay).max().unwrap_or(0) as f64 / 1e6
}

/// Longest time from a request's deadline to its response, in seconds.
fn latest_response(history: &History) -> f64 {
    let delay = |request: &rowanglade_checker::Request| match request.outcome {
        ClientOutcome::Answered { at, .. } => at.checked_sub(request.sent_at + request.wait),
        _ => None,
    };
    history.requests.iter().filter_map(delay).max().unwrap_or(0) as f64 / 1e6
}

/// A resource with the bound that the operators' table sets on its growth with the number of targets.
struct Resource {
    name: &'static str,
    unit: &'static str,
    value: fn(&RunResult) -> f64,
    /// Computes the bound from the value at the smallest number of targets and from the number of targets in
    /// thousands.
    bound: fn(f64, f64) -> f64,
}

const RESOURCES: [Resource; 5] = [
    Resource {
        name: "processor",
        unit: "s",
        value: |run| run.processor,
        bound: |baseline, thousands| 1.4 * baseline + 0.02 + 0.03 * thousands,
    },
    Resource {
        name: "peak memory",
        unit: "MiB",
        value: |run| run.memory,
        bound: |baseline, thousands| 1.5 * baseline + 8.0 + 4.0 * thousands,
    },
    Resource {
        name: "descriptors",
        unit: "",
        value: |run| run.descriptors,
        bound: |baseline, _| 2.0 * baseline + 40.0,
    },
    Resource {
        name: "connections to targets",
        unit: "",
        value: |run| run.connections,
        bound: |baseline, _| 2.5 * baseline + 40.0,
    },
    Resource {
        name: "bytes of lists",
        unit: "KiB",
        value: |run| run.list_bytes,
        bound: |baseline, thousands| 2.0 * baseline + 64.0 + 500.0 * thousands,
    },
];

const MIN_SERVED_RATIO: f64 = 0.85;

fn compare(out: &mut Outcome, seed: u64, baseline: &RunResult, many: &RunResult) {
    let thousands = many.targets as f64 / 1e3;
    let title = |figure: &str| format!("seed {seed}, {} targets: {figure}", many.targets);
    for resource in &RESOURCES {
        let (value, bound) =
            ((resource.value)(many), (resource.bound)((resource.value)(baseline), thousands));
        out.figure(title(resource.name), value, resource.unit);
        out.claim(
            format!(
                "{} at most {BOUND_FRACTION} of the bound {bound:.2} ({:.2} with the fewest targets)",
                title(resource.name),
                (resource.value)(baseline)
            ),
            value <= BOUND_FRACTION * bound,
        );
    }
    let claim = format!(
        "{} {:.3}, at least {MIN_SERVED_RATIO} of {:.3}",
        title("share served"),
        many.share,
        baseline.share
    );
    out.claim(claim, many.share >= MIN_SERVED_RATIO * baseline.share);
}

fn add_figures(out: &mut Outcome, seed: u64, run: &RunResult) {
    let title = |figure: &str| format!("seed {seed}, {} targets: {figure}", run.targets);
    out.figure(title("share served"), run.share, "");
    out.figure(title("latest attempt behind a told departure"), run.latest_attempt, "s");
    out.figure(title("latest answer behind a deadline"), run.latest_response, "s");
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for breach in &run.breaches {
        *kinds.entry(breach.kind.to_string()).or_default() += 1;
    }
    out.claim(format!("{} {kinds:?}", title("no rule is broken:")), run.breaches.is_empty());
    for breach in run.breaches.iter().take(5) {
        eprintln!("  {breach}");
    }
    if !run.breaches.is_empty() {
        run.warnings.iter().take(20).for_each(|line| eprintln!("  {line}"));
    }
}

fn many_targets(seeds: &Seeds) -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let started_at = std::time::Instant::now();
    let range = seeds.range.clone().unwrap_or(DEFAULT_SEED..=DEFAULT_SEED);
    // Seeds from the command line run with the smallest and the largest number of targets only.
    let sizes: &[usize] = if seeds.range.is_some() { &[SIZES[0], SIZES[3]] } else { &SIZES };
    for seed in range {
        if started_at.elapsed() > seeds.time_limit {
            out.claim(format!("seed {seed} and the following seeds were not run: time limit reached"), false);
            break;
        }
        let runs = block_on(async {
            let mut runs = Vec::new();
            for targets in sizes {
                runs.push(run(*targets, seed).await?);
            }
            Ok::<_, Failure>(runs)
        })?;
        runs.iter().for_each(|run| add_figures(&mut out, seed, run));
        runs[1..].iter().for_each(|many| compare(&mut out, seed, &runs[0], many));
        for resource in &RESOURCES {
            let points = runs.iter().map(|run| (run.targets as f64, (resource.value)(run))).collect();
            out.plot(format!("{} by targets, seed {seed}", resource.name), vec![(resource.name, points)]);
        }
    }
    Ok(out)
}
