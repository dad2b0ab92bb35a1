//! Real processes before thousands of targets, with the traffic that they have before two hundred: the rules
//! hold, and as much is served (incident 278639).

use rowanglade_checker::{Breach, Rules, check};
use rowanglade_test_fleet::{
    DaemonPlan, Fleet, FleetPlan, LoadPlan, RequestCounts, TargetPlan, standard_classes, standard_settings,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const USUAL: usize = 200;
const MANY: usize = 3_200;
/// A part of the targets is replaced in so many steps.
const STEPS: usize = 6;
const REPLACED_PART: usize = 24;
const STEP: Duration = Duration::from_millis(800);
const SETTLED: Duration = Duration::from_secs(2);
/// A release before thousands of targets may cost this much of the share served before the usual number.
const LEAST_SHARE: f64 = 0.85;
/// Lines of the processes' logs that are printed at most.
const MOST_WARNINGS: usize = 40;
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

pub fn plan(targets: usize) -> FleetPlan {
    let processes = 2;
    FleetPlan {
        daemon: DaemonPlan {
            name: String::new(),
            program: env!("CARGO_BIN_EXE_rowanglade").into(),
            args: Vec::new(),
            settings: standard_settings(processes, "kingston", targets).expect("usable"),
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

/// Plays a release of a part of the targets, and returns what was served and which rules were broken.
async fn release(targets: usize) -> (RequestCounts, Vec<Breach>) {
    let mut fleet = Fleet::start(plan(targets)).await.expect("it starts");
    tokio::time::sleep(SETTLED).await;
    let mut leaving = Vec::new();
    for _ in 0..STEPS {
        leaving.push(fleet.replace(targets / REPLACED_PART).await.expect("replaced"));
        tokio::time::sleep(STEP).await;
        if leaving.len() > 2 {
            fleet.remove(&leaving.remove(0));
        }
    }
    fleet.settle().await;
    let counts = fleet.counts();
    let (processor, memory) = fleet
        .usage()
        .iter()
        .fold((0.0, 0), |(p, m), u| (p + u.processor_seconds, m.max(u.peak_memory_bytes)));
    println!("{targets} targets: {counts:?}, {processor:.2} s of processor, {} KiB at most", memory >> 10);
    fleet.warnings().iter().take(MOST_WARNINGS).for_each(|line| println!("{line}"));
    (counts, check(&fleet.history(), &Rules::with_grace(1_000_000)))
}

pub fn by_kind(breaches: &[Breach]) -> BTreeMap<String, usize> {
    let mut kinds = BTreeMap::new();
    for breach in breaches {
        *kinds.entry(breach.kind.to_string()).or_default() += 1;
    }
    kinds
}

// The report's day in small: a release of targets in steps, traffic with new objects, and instances that have
// just started. What a request costs an instance must not go with the number of targets.
#[test]
fn a_rolling_restart_of_thousands_of_targets_breaks_no_rule_and_serves_as_much() {
    let limit = Duration::from_secs(120);
    actix_rt::System::new().block_on(async {
        let played = async { (release(USUAL).await, release(MANY).await) };
        let ((usual, usual_breaches), (many, breaches)) =
            tokio::time::timeout(limit, played).await.expect("it ends");
        assert_eq!(by_kind(&usual_breaches), BTreeMap::new(), "before {USUAL} targets");
        assert_eq!(
            by_kind(&breaches),
            BTreeMap::new(),
            "before {MANY} targets, first {:?}",
            breaches.first()
        );
        let (few_share, many_share) = (usual.share_served(), many.share_served());
        assert!(many_share >= LEAST_SHARE * few_share, "served {many_share:.3} and {few_share:.3}");
    });
}
