//! What a snapshot costs the module where there are a thousand targets and more: walks over it grow in step
//! with it, not with its square.

mod support;

use rowanglade::interface::*;
use std::time::{Duration, Instant};
use support::*;

/// So many targets, each with a shard of its own.
fn targets(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|i| entry(i, i)).collect()
}

/// The shortest of some times that it takes to apply a snapshot again.
fn snapshot_time(count: u32) -> Duration {
    let entries = targets(count);
    let mut harness = Harness::new(settings(), &entries);
    let apply = |harness: &mut Harness| {
        let begun = Instant::now();
        harness.endpoints_changed(EndpointUpdateKind::Snapshot, &entries);
        begun.elapsed()
    };
    (0..5).map(|_| apply(&mut harness)).min().expect("some")
}

// Each target was looked for in the snapshot, and each shard's target among all: a list of 1,024 took as
// long as hundreds of requests, while nothing else was served.
#[test]
fn the_cost_of_a_snapshot_grows_in_step_with_it() {
    let (few, many) = (snapshot_time(1_024), snapshot_time(16_384));
    println!("a snapshot: {few:?} for 1,024 targets, {many:?} for 16,384");
    // 16 times as many: 16 times as long, and some more for maps that grow. The square would be 256.
    assert!(many < 64 * few, "{few:?} for 1,024 targets, {many:?} for 16,384");
}

#[test]
fn a_target_that_a_snapshot_leaves_out_is_removed_and_the_rest_stays() {
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
        "it is back"
    );
}
