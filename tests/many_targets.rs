//! The cost of a snapshot for the scheduler with a thousand targets and more: it grows linearly with the
//! number of targets, not quadratically.

mod support;

use rowanglade::interface::*;
use std::time::{Duration, Instant};
use support::*;

/// `count` targets, each with its own shard.
fn targets(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|i| entry(i, i)).collect()
}

/// The shortest of five times that applying the same snapshot again takes.
fn snapshot_time(count: u32) -> Duration {
    let entries = targets(count);
    let mut harness = Harness::new(settings(), &entries);
    let apply = |harness: &mut Harness| {
        let started = Instant::now();
        harness.endpoints_changed(EndpointUpdateKind::Snapshot, &entries);
        started.elapsed()
    };
    (0..5).map(|_| apply(&mut harness)).min().expect("five times")
}

// Guards against quadratic time: each target was searched in the snapshot, and each shard's target among all
// targets. A list of 1,024 took as long as hundreds of requests, which were not served meanwhile.
#[test]
fn the_cost_of_a_snapshot_grows_linearly_with_its_targets() {
    let (few, many) = (snapshot_time(1_024), snapshot_time(16_384));
    println!("a snapshot: {few:?} for 1,024 targets, {many:?} for 16,384");
    // 16 times as many targets may take 16 times as long, and somewhat more for maps that grow; quadratic
    // time would be 256 times as long.
    assert!(many < 64 * few, "{few:?} for 1,024 targets, {many:?} for 16,384");
}

#[test]
fn a_target_missing_from_a_snapshot_is_removed_and_the_others_stay() {
    let mut harness = Harness::new(settings(), &targets(1_024));
    harness.endpoints_changed(EndpointUpdateKind::Snapshot, &targets(1_023));
    assert_eq!(
        started_requests(&harness.arrive(RequestProfile { shard: Some(ShardId(1_022)), ..request(1, READ) })),
        [1]
    );
    assert!(
        started_requests(&harness.arrive(RequestProfile { shard: Some(ShardId(1_023)), ..request(2, READ) }))
            .is_empty()
    );
    assert_eq!(
        started_requests(&harness.endpoints_changed(EndpointUpdateKind::Snapshot, &targets(1_024))),
        [2],
        "the target is listed again"
    );
}
