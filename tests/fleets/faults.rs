//! System calls of the process fail, are cut short or come late, as Linux documents that they may: the rules
//! hold.

use crate::many_targets::{by_kind, plan};
use rowanglade_checker::{Rules, check};
use rowanglade_fault_shim::{COUNTS_VARIABLE, FAULTS_VARIABLE};
use rowanglade_test_fleet::{Fleet, FleetPlan, RequestCounts};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const TARGETS: usize = 12;
const STEPS: usize = 3;
const STEP: Duration = Duration::from_millis(1_200);

/// The shim's library, which lies beside this test's program.
fn shim_library() -> PathBuf {
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
        ("LD_PRELOAD".to_string(), shim_library().display().to_string()),
        (FAULTS_VARIABLE.to_string(), format!("seed=39;{faults}")),
        (COUNTS_VARIABLE.to_string(), folder.path().join("counts").display().to_string()),
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

fn check_release(faults: &'static str, least_served: f64) {
    let limit = Duration::from_secs(60);
    actix_rt::System::new().block_on(async move {
        let counts = tokio::time::timeout(limit, release_under(faults)).await.expect("it ends");
        assert!(counts.share_served() >= least_served, "{faults}: {counts:?}");
    });
}

// Half of all reads and writes move one byte. The runtime took a short one for the last one and waited for an
// event that did not come: a list arrived when its poll timed out, and a request stood until its deadline.
#[test]
fn short_reads_and_writes_stop_no_connection() {
    check_release("recv:short:0.5;send:short:0.5", 0.95);
}

// Clients and networks abort connections while they are accepted. Each such failure closed the connection of an
// idle client, and nobody was accepted for 20 ms.
#[test]
fn connections_that_abort_during_accept_leave_others_alone() {
    check_release("accept4:ECONNABORTED:0.3;accept4:ENETUNREACH:0.2", 0.95);
}

// Sockets cannot be had and connects fail at once, one in three: such an attempt has not run, so the initiator
// backs off from that target for a moment and sends the request elsewhere.
#[test]
fn failed_connects_to_targets_are_retried() {
    check_release("connect:EADDRNOTAVAIL:0.2;connect:ENETUNREACH:0.1;socket:ENOBUFS:0.05", 0.8);
}

// Signals interrupt the wait for events, and one wait in fifty returns 80 ms late, as on a busy machine. That is
// within what the rules allow for, so nothing may be lost or sent too late.
#[test]
fn interrupted_or_late_epoll_waits_break_no_rule() {
    check_release("epoll_wait:EINTR:0.2;epoll_wait:late=80:0.02", 0.95);
}

// An operator steps the wall clock by an hour, forwards or back, while processes serve. Deadlines, backoffs and
// slow start run on the monotonic clock and must not notice.
#[test]
fn a_wall_clock_stepped_by_an_hour_changes_no_duration() {
    check_release("clock:step=3600000:1:1500-60000", 0.95);
    check_release("clock:step=-3600000:1:1500-60000", 0.95);
}
