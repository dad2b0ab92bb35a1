//! What a whole list costs the module where there are a thousand targets and more: walks over it grow in step
//! with it, not with its square.

mod support;

use rowanglade::interface::*;
use std::time::{Duration, Instant};
use support::*;

/// So many targets, each with a shard of its own.
fn targets(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|i| entry(i, i)).collect()
}

/// The shortest of some times that it takes to hear a whole list again.
fn whole_list(count: u32) -> Duration {
    let entries = targets(count);
    let mut bench = Bench::new(settings(), &entries);
    let heard = |bench: &mut Bench| {
        let begun = Instant::now();
        bench.list(EndpointUpdateKind::Snapshot, &entries);
        begun.elapsed()
    };
    (0..5).map(|_| heard(&mut bench)).min().expect("some")
}

// Each target was looked for in the whole list, and each shard's target among all: a list of 1,024 took as
// long as hundreds of requests, while nothing else was served.
#[test]
fn the_cost_of_a_whole_list_grows_in_step_with_it() {
    let (few, many) = (whole_list(1_024), whole_list(16_384));
    println!("a whole list: {few:?} for 1,024 targets, {many:?} for 16,384");
    // 16 times as many: 16 times as long, and some more for maps that grow. The square would be 256.
    assert!(many < 64 * few, "{few:?} for 1,024 targets, {many:?} for 16,384");
}

#[test]
fn a_target_that_a_whole_list_leaves_out_is_gone_and_the_rest_stays() {
    let mut bench = Bench::new(settings(), &targets(1_024));
    bench.list(EndpointUpdateKind::Snapshot, &targets(1_023));
    assert_eq!(sends(&bench.take(RequestProfile { shard: Some(ShardId(1_022)), ..request(1, READ) })), [1]);
    assert!(
        sends(&bench.take(RequestProfile { shard: Some(ShardId(1_023)), ..request(2, READ) })).is_empty()
    );
    assert_eq!(sends(&bench.list(EndpointUpdateKind::Snapshot, &targets(1_024))), [2], "it is back");
}
