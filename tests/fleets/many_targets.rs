//! Real processes before thousands of targets, with the same load as before two hundred: no safety rule is
//! broken and as much is served (incident 278639).

use rowanglade_checker::{Breach, Rules, check};
use rowanglade_test_fleet::{
    DaemonPlan, Fleet, FleetPlan, LoadPlan, RequestCounts, TargetPlan, standard_classes, standard_settings,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const USUAL_TARGETS: usize = 200;
const MANY_TARGETS: usize = 3_200;
/// Steps of the rolling restart. Each replaces one target in [`REPLACED_ONE_IN`].
const STEPS: usize = 6;
const REPLACED_ONE_IN: usize = 24;
const STEP_DURATION: Duration = Duration::from_millis(800);
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Minimum share of requests served with many targets, relative to the share served with the usual number.
const MIN_RELATIVE_SHARE: f64 = 0.85;
/// At most this many warnings of the processes are printed.
const MAX_PRINTED_WARNINGS: usize = 40;
const SEED: u64 = 278_639;

fn load() -> LoadPlan {
    LoadPlan {
        rate: 12.0,
        classes: standard_classes(),
        plan: "full",
        volumes: Vec::new(),
        units: 2.0,
        hosts: 1,
        disconnect_share: 0.0,
    }
}

pub fn fleet_plan(targets: usize) -> FleetPlan {
    let processes = 2;
    FleetPlan {
        daemon: DaemonPlan {
            name: String::new(),
            program: env!("CARGO_BIN_EXE_rowanglade").into(),
            args: Vec::new(),
            settings: standard_settings(processes, "kingston", targets).expect("the settings are valid"),
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            sockets: 1_024,
            memory_mb: 192,
            operator: None,
            handover: None,
            env: Vec::new(),
        },
        zone: "kingston".to_string(),
        processes,
        targets,
        target: TargetPlan { default_service_time: Duration::from_millis(30), ..TargetPlan::default() },
        load: load(),
        volumes: 6,
        shards_of_volume: 4,
        core_share: None,
        peers: true,
        seed: SEED,
    }
}

/// Runs a rolling restart of a part of the targets; returns the request counts and the broken rules.
async fn run_rolling_restart(targets: usize) -> (RequestCounts, Vec<Breach>) {
    let mut fleet = Fleet::start(fleet_plan(targets)).await.expect("the fleet starts");
    tokio::time::sleep(SETTLE_TIME).await;
    let mut draining = Vec::new();
    for _ in 0..STEPS {
        draining.push(fleet.replace(targets / REPLACED_ONE_IN).await.expect("replaced"));
        tokio::time::sleep(STEP_DURATION).await;
        if draining.len() > 2 {
            fleet.remove(&draining.remove(0));
        }
    }
    fleet.settle().await;
    let counts = fleet.counts();
    let (processor, memory) = fleet
        .usage()
        .iter()
        .fold((0.0, 0), |(p, m), u| (p + u.processor_seconds, m.max(u.peak_memory_bytes)));
    println!("{targets} targets: {counts:?}, {processor:.2} s of processor, {} KiB at most", memory >> 10);
    fleet.warnings().iter().take(MAX_PRINTED_WARNINGS).for_each(|line| println!("{line}"));
    (counts, check(&fleet.history(), &Rules::with_grace(1_000_000)))
}

pub fn count_by_kind(breaches: &[Breach]) -> BTreeMap<String, usize> {
    let mut kinds = BTreeMap::new();
    for breach in breaches {
        *kinds.entry(breach.kind.to_string()).or_default() += 1;
    }
    kinds
}

// Reproduces the incident's day on a small scale: a rolling restart of targets, new objects, and instances
// that have just started. Guards against a cost per request that grows with the number of targets.
#[test]
fn a_rolling_restart_of_thousands_of_targets_breaks_no_rule_and_serves_as_much() {
    let limit = Duration::from_secs(120);
    actix_rt::System::new().block_on(async {
        let both_runs =
            async { (run_rolling_restart(USUAL_TARGETS).await, run_rolling_restart(MANY_TARGETS).await) };
        let ((usual, usual_breaches), (many, breaches)) =
            tokio::time::timeout(limit, both_runs).await.expect("both rolling restarts end in time");
        assert_eq!(count_by_kind(&usual_breaches), BTreeMap::new(), "before {USUAL_TARGETS} targets");
        assert_eq!(
            count_by_kind(&breaches),
            BTreeMap::new(),
            "before {MANY_TARGETS} targets, first {:?}",
            breaches.first()
        );
        let (few_share, many_share) = (usual.share_served(), many.share_served());
        assert!(many_share >= MIN_RELATIVE_SHARE * few_share, "served {many_share:.3} and {few_share:.3}");
    });
}
