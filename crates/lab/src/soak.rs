//! A seeded soak: real processes under faults that a seed draws, and the checker's word on what they did.
//!
//! Each seed draws the size of the fleet, the number of targets, the traffic, and a list of faults with their
//! times. A seed that breaks a rule prints its timeline and is played again with one fault left out at a
//! time, until no fault can be left out: what is left is the least that shows the breach.

use crate::outcome::{Experiment, Failure, Outcome, Run, Seeds};
use crate::world::{ZONE, block_on, header};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_checker::{Breach, Rules, check};
use rowanglade_fault_shim::{COUNTS, VARIABLE};
use rowanglade_test_fleet::{
    DaemonPlan, DiscoveryFault, Fleet, FleetPlan, LoadPlan, RequestCounts, Signal, TargetFault, TargetPlan,
    settings, usual_classes,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// How long clients ask.
const PLAY: Duration = Duration::from_secs(9);
const GRACE: u64 = 1_000_000;
/// SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, counted as 3 s at most, and
/// 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// The seeds of the short run.
const SHORT: std::ops::RangeInclusive<u64> = 1..=4;
const LIBRARY: &str = "librowanglade_fault_shim.so";
/// A seed that fails is played again at most so often to find the least that shows it.
const MOST_REPLAYS: usize = 8;
const IDLE_CLIENTS: usize = 400;

pub fn experiments() -> Vec<Experiment> {
    let about = "real processes under seeded faults of system calls, targets, discovery, signals and crowds";
    vec![Experiment { name: "soak", about, run: Run::Seeded(soak) }]
}

/// A fault that befalls the fleet at a time.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A part of the targets is replaced in one version.
    Release {
        part: f64,
    },
    Outage {
        trouble: DiscoveryFault,
        span: Duration,
    },
    /// A part of the targets misbehaves.
    Targets {
        part: f64,
        kind: Misbehaviour,
        span: Duration,
    },
    /// SIGTERM, again after a while, and SIGKILL at the earliest.
    Terminate {
        process: usize,
        twice: bool,
        hangup: bool,
    },
    Kill {
        process: usize,
    },
    Reload {
        process: usize,
        times: usize,
    },
    Crowd {
        process: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Misbehaviour {
    Silent,
    Slow,
    Resets,
    Errors,
    Full,
}

/// What a seed draws.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    processes: usize,
    targets: usize,
    share: Option<f64>,
    leaves: f64,
    /// Faults of system calls, as the shim reads them.
    calls: Vec<String>,
    events: Vec<(Duration, Event)>,
}

/// The kinds of system-call faults that a seed draws from. Each has its rate and the time in which it comes.
const CALLS: [&str; 16] = [
    "accept4:ECONNABORTED:0.2",
    "accept4:ENETUNREACH:0.1",
    "accept4:EMFILE:0.05:2000-4000",
    "accept4:ENFILE:0.05:2000-4000",
    "accept4:ENOBUFS:0.05:2000-4000",
    "socket:ENOBUFS:0.02",
    "connect:EADDRNOTAVAIL:0.05",
    "connect:ENETUNREACH:0.05",
    "connect:ETIMEDOUT:0.02",
    "recv:ETIMEDOUT:0.01",
    "recv:EHOSTUNREACH:0.01",
    "recv:short:0.2",
    "send:EPIPE:0.01",
    "send:short:0.1",
    "epoll_wait:EINTR:0.05",
    "epoll_wait:late=100:0.01",
];

/// Steps of the wall clock while a process runs.
const STEPS: [&str; 4] = [
    "clock:step=3600000:1:3000-60000",
    "clock:step=-3600000:1:3000-60000",
    "clock:step=5000:1:2000-60000",
    "clock:step=-5000:1:2000-60000",
];

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let random = &mut random;
        let processes = random.random_range(2..=6);
        let targets = *[10, 40, 200, 800, 3_200].choose(random).unwrap_or(&40);
        let count = random.random_range(2..=5);
        let mut calls: Vec<String> =
            CALLS.choose_multiple(random, count).map(|call| (*call).to_string()).collect();
        if random.random_bool(0.5) {
            calls.extend(STEPS.choose(random).map(|step| (*step).to_string()));
        }
        let share = random.random_bool(0.3).then_some(0.3);
        if share.is_some() {
            // A process that waits for its share is held up already; the rules allow for 0.15 s in all.
            calls.retain(|call| !call.contains("late="));
        }
        let count = random.random_range(3..=6);
        let mut events: Vec<(Duration, Event)> = (0..count)
            .map(|_| (Duration::from_millis(random.random_range(500..7_000)), Event::draw(random, processes)))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        Plan {
            seed,
            processes,
            targets,
            share,
            leaves: if random.random_bool(0.5) { 0.1 } else { 0.0 },
            calls,
            events,
        }
    }

    /// Leaves out what holds processes up. The short run has to give the same verdict on a machine that is
    /// busy, which holds them up by itself.
    fn leave_time_alone(&mut self) {
        self.share = None;
        self.calls.retain(|call| !call.contains("late="));
    }

    /// The plan with one of its faults left out; none: it has no such fault.
    fn without(&self, place: usize) -> Option<Plan> {
        let mut plan = self.clone();
        if place < plan.calls.len() {
            plan.calls.remove(place);
        } else if place - plan.calls.len() < plan.events.len() {
            plan.events.remove(place - plan.calls.len());
        } else {
            return None;
        }
        Some(plan)
    }
}

impl Event {
    fn draw(random: &mut Pcg64Mcg, processes: usize) -> Event {
        let process = random.random_range(0..processes);
        let span = Duration::from_millis(random.random_range(500..3_000));
        match random.random_range(0..10) {
            0..=2 => Event::Release { part: random.random_range(0.05..0.3) },
            3 => {
                let hanging = DiscoveryFault::Hanging(Duration::from_secs(2));
                let kinds = [DiscoveryFault::Refusing, DiscoveryFault::Resetting, hanging];
                Event::Outage { trouble: *kinds.choose(random).unwrap_or(&DiscoveryFault::Refusing), span }
            }
            4 | 5 => {
                use Misbehaviour::*;
                let kind = *[Silent, Slow, Resets, Errors, Full].choose(random).unwrap_or(&Silent);
                Event::Targets { part: random.random_range(0.05..0.4), kind, span }
            }
            6 => {
                Event::Terminate { process, twice: random.random_bool(0.5), hangup: random.random_bool(0.5) }
            }
            7 => Event::Kill { process },
            8 => Event::Reload { process, times: random.random_range(1..4) },
            _ => Event::Crowd { process },
        }
    }
}

/// Where the shim's library lies: beside this program's own parts.
fn library() -> Result<PathBuf, Failure> {
    let program = std::env::current_exe()?;
    let folder = program.parent().ok_or("the program lies in no folder")?;
    let path = folder.join("deps").join(LIBRARY);
    if path.exists() { Ok(path) } else { Err(format!("{} is not built", path.display()).into()) }
}

fn fleet_plan(plan: &Plan, counts: &Path) -> Result<FleetPlan, Failure> {
    let library = library()?.display().to_string();
    let faults = format!("seed={};{}", plan.seed, plan.calls.join(";"));
    let env = vec![
        ("LD_PRELOAD".to_string(), library),
        (VARIABLE.to_string(), faults),
        (COUNTS.to_string(), counts.display().to_string()),
    ];
    Ok(FleetPlan {
        daemon: DaemonPlan {
            name: String::new(),
            program: std::env::current_exe()?,
            args: vec!["rowanglade".into()],
            settings: settings(&header(), plan.processes, ZONE, plan.targets),
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
            classes: usual_classes(),
            plan: "full",
            volumes: Vec::new(),
            units: 2.0,
            hosts: 1,
            disconnect_share: plan.leaves,
        },
        volumes: 6,
        shards_of_volume: 4,
        core_share: plan.share,
        peers: true,
        seed: plan.seed,
    })
}

/// What a play showed.
struct Play {
    counts: RequestCounts,
    breaches: Vec<Breach>,
    crashed: usize,
    /// How often the rig itself stood still.
    stalls: usize,
    /// Injected faults of system calls, by kind.
    injected: BTreeMap<String, u64>,
    timeline: Vec<String>,
    warnings: Vec<String>,
}

async fn play(plan: &Plan) -> Result<Play, Failure> {
    let folder = tempfile::tempdir()?;
    let counts_file = folder.path().join("counts");
    let mut fleet = Fleet::start(fleet_plan(plan, &counts_file)?).await?;
    let begun = Instant::now();
    let mut timeline = Vec::new();
    let mut leaving: Vec<Vec<String>> = Vec::new();
    let mut crowd: Vec<TcpStream> = Vec::new();
    for (at, event) in &plan.events {
        sleep_until(begun + *at).await;
        timeline.push(format!("{:>8} us {event:?}", fleet.recorder.now()));
        carry_out(&mut fleet, event, plan.targets, &mut leaving, &mut crowd).await?;
    }
    sleep_until(begun + PLAY).await;
    fleet.discovery.inject(DiscoveryFault::None);
    fleet.settle().await;
    let crashed = fleet.crashes();
    Ok(Play {
        counts: fleet.counts(),
        breaches: check(&fleet.history(), &Rules::with_grace(GRACE)),
        crashed,
        stalls: fleet.history().stalls.len(),
        injected: read_counts(folder.path()),
        timeline,
        warnings: fleet.warnings(),
    })
}

async fn carry_out(
    fleet: &mut Fleet,
    event: &Event,
    targets: usize,
    leaving: &mut Vec<Vec<String>>,
    crowd: &mut Vec<TcpStream>,
) -> Result<(), Failure> {
    match event {
        Event::Release { part } => {
            leaving.push(fleet.replace((targets as f64 * part) as usize + 1).await?);
            if leaving.len() > 1 {
                fleet.remove(&leaving.remove(0));
            }
        }
        Event::Outage { trouble, span } => {
            let (discovery, span) = (fleet.discovery.clone(), *span);
            discovery.inject(*trouble);
            tokio::task::spawn_local(async move {
                sleep(span).await;
                discovery.inject(DiscoveryFault::None);
            });
        }
        Event::Targets { part, kind, span } => {
            let fault = match kind {
                Misbehaviour::Silent => TargetFault { silent: true, ..TargetFault::default() },
                Misbehaviour::Slow => TargetFault { slowdown: 20.0, ..TargetFault::default() },
                Misbehaviour::Resets => TargetFault { reset_share: 0.5, ..TargetFault::default() },
                Misbehaviour::Errors => TargetFault { error_share: 0.5, ..TargetFault::default() },
                Misbehaviour::Full => TargetFault { rejects: true, ..TargetFault::default() },
            };
            let bad = fleet.draw_active((targets as f64 * part) as usize + 1);
            bad.iter().for_each(|target| target.inject(fault.clone()));
            let span = *span;
            tokio::task::spawn_local(async move {
                sleep(span).await;
                bad.iter().for_each(|target| target.inject(TargetFault::default()));
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
            fleet.recorder.crowd(fleet.members[*process].process);
            for _ in 0..IDLE_CLIENTS {
                // One that is not let in is part of the crowd too.
                let connected =
                    tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(addr)).await;
                crowd.extend(connected.ok().and_then(Result::ok));
            }
        }
    }
    Ok(())
}

/// The shim's counts of all processes. A process writes its file every so many faults, and none where there
/// was no fault.
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

/// Leaves faults out of a plan that failed for as long as it fails without them.
fn shrink(plan: &Plan) -> Result<Plan, Failure> {
    let mut least = plan.clone();
    let (mut place, mut replays) = (0, 0);
    while replays < MOST_REPLAYS
        && let Some(smaller) = least.without(place)
    {
        replays += 1;
        let played = block_on(play(&smaller))?;
        match played.breaches.is_empty() && played.crashed == 0 {
            true => place += 1,
            false => least = smaller,
        }
    }
    Ok(least)
}

fn soak(seeds: &Seeds) -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let begun = std::time::Instant::now();
    let (mut played, mut failed) = (0u32, 0u32);
    let mut kinds: BTreeMap<String, u64> = BTreeMap::new();
    let mut events: BTreeMap<String, u64> = BTreeMap::new();
    let mut counts = RequestCounts::default();
    for seed in seeds.range.clone().unwrap_or(SHORT) {
        if begun.elapsed() > seeds.most {
            out.claim(format!("seed {seed} and those behind it are not played: the time is up"), false);
            break;
        }
        let mut plan = Plan::draw(seed);
        if seeds.range.is_none() {
            plan.leave_time_alone();
        }
        let result = block_on(play(&plan))?;
        played += 1;
        counts = counts.merge(result.counts);
        for (kind, count) in &result.injected {
            *kinds.entry(kind.clone()).or_default() += count;
        }
        for (_, event) in &plan.events {
            let name = format!("{event:?}");
            let name = name.split([' ', '{']).next().unwrap_or_default().to_string();
            *events.entry(name).or_default() += 1;
        }
        eprintln!(
            "  seed {seed}: {} processes, {} targets, {:?}, {} breaches, {} crashed, rig stalled {} times",
            plan.processes,
            plan.targets,
            result.counts,
            result.breaches.len(),
            result.crashed,
            result.stalls
        );
        if result.breaches.is_empty() && result.crashed == 0 {
            continue;
        }
        failed += 1;
        report(&plan, &result);
        out.claim(format!("seed {seed} breaks no rule"), false);
        if seeds.range.is_some() {
            let least = shrink(&plan)?;
            eprintln!("  seed {seed}, least: calls {:?}, events {:?}", least.calls, least.events);
        }
    }
    out.figure("seeds played", f64::from(played), "");
    out.figure("seeds with a breach", f64::from(failed), "");
    out.figure("requests", counts.sent as f64, "");
    out.figure("share served", counts.share_served(), "");
    for (kind, count) in kinds.iter().chain(&events) {
        out.figure(format!("injected: {kind}"), *count as f64, "");
    }
    out.claim("system calls failed", !kinds.is_empty());
    out.claim("no seed breaks a rule", failed == 0);
    Ok(out)
}

/// The timeline of a play that failed, and how to play it again.
fn report(plan: &Plan, play: &Play) {
    eprintln!("  seed {}: again with `run soak --seeds {}..{}`", plan.seed, plan.seed, plan.seed);
    eprintln!("    share {:?}, clients that leave {}, calls {:?}", plan.share, plan.leaves, plan.calls);
    play.timeline.iter().for_each(|line| eprintln!("    {line}"));
    play.breaches.iter().take(10).for_each(|breach| eprintln!("    {breach}"));
    play.warnings.iter().rev().take(15).rev().for_each(|line| eprintln!("    {line}"));
}
