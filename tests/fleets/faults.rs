//! System calls of the process fail, are cut short or come late, as Linux documents that they may: the rules
//! hold.

use crate::many_targets::{by_kind, plan};
use rowanglade_checker::{Rules, check};
use rowanglade_fault_shim::{COUNTS, VARIABLE};
use rowanglade_test_fleet::{Fleet, FleetPlan, RequestCounts};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const TARGETS: usize = 12;
const STEPS: usize = 3;
const STEP: Duration = Duration::from_millis(1_200);

/// The shim's library, which lies beside this test's program.
fn library() -> PathBuf {
    let program = std::env::current_exe().expect("a program");
    let path = program.with_file_name("librowanglade_fault_shim.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

/// A small fleet whose processes suffer these faults, through a release in steps.
async fn release_under(faults: &str) -> RequestCounts {
    let folder = tempfile::tempdir().expect("a folder");
    let mut plan: FleetPlan = plan(TARGETS);
    plan.daemon.env = vec![
        ("LD_PRELOAD".to_string(), library().display().to_string()),
        (VARIABLE.to_string(), format!("seed=39;{faults}")),
        (COUNTS.to_string(), folder.path().join("counts").display().to_string()),
    ];
    let mut fleet = Fleet::start(plan).await.expect("it starts");
    for _ in 0..STEPS {
        let leaving = fleet.replace(TARGETS / 4).await.expect("replaced");
        tokio::time::sleep(STEP).await;
        fleet.remove(&leaving);
    }
    fleet.settle().await;
    let counts = fleet.counts();
    println!("{faults}: {counts:?}");
    fleet.warnings().iter().take(10).for_each(|line| println!("{line}"));
    assert_eq!(fleet.crashes(), 0, "{faults}");
    let breaches = check(&fleet.history(), &Rules::with_grace(1_000_000));
    assert_eq!(by_kind(&breaches), BTreeMap::new(), "{faults}: first {:?}", breaches.first());
    let injected = std::fs::read_dir(folder.path()).expect("there").count();
    assert_eq!(injected, 2, "{faults}: both processes suffered");
    counts
}

fn story(faults: &'static str, least_served: f64) {
    let limit = Duration::from_secs(60);
    actix_rt::System::new().block_on(async move {
        let counts = tokio::time::timeout(limit, release_under(faults)).await.expect("it ends");
        assert!(counts.share_served() >= least_served, "{faults}: {counts:?}");
    });
}

// The runtime takes a short read or write for the last one, and waited for an event that did not come: a list
// was heard when its call was given up, a second and more late, and a request stood until its time was up.
#[test]
fn reads_and_writes_that_are_cut_short_stop_nothing() {
    story("recv:short:0.5;send:short:0.5", 0.95);
}

// Each such failure ended the connection of a client that waited for nothing, and nobody was accepted for 20
// ms.
#[test]
fn connections_that_break_while_they_are_accepted_cost_others_nothing() {
    story("accept4:ECONNABORTED:0.3;accept4:ENETUNREACH:0.2", 0.95);
}

#[test]
fn connections_to_targets_that_fail_for_a_moment_are_tried_again() {
    story("connect:EADDRNOTAVAIL:0.2;connect:ENETUNREACH:0.1;socket:ENOBUFS:0.05", 0.8);
}

#[test]
fn waits_that_are_interrupted_or_late_break_nothing() {
    story("epoll_wait:EINTR:0.2;epoll_wait:late=80:0.02", 0.95);
}

#[test]
fn a_wall_clock_stepped_by_an_hour_changes_no_span() {
    story("clock:step=3600000:1:1500-60000", 0.95);
    story("clock:step=-3600000:1:1500-60000", 0.95);
}
