//! Volume limits when requests reach their targets long after they were sent: a connection can take more than
//! a second to come up.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade::interface::*;
use std::collections::BTreeSet;
use support::*;

/// There are so many targets that only the volume's limit holds requests back.
const TARGETS: u32 = 16;
/// A class whose requests are queued until their deadline.
const CLASS: u32 = 3;
const RATE: f64 = 10.0;
const BURST: f64 = 20.0;
const DEBT_LIMIT: f64 = 2.0;

fn harness_with_limit(started_at: Option<Micros>) -> Harness {
    let entries: Vec<EndpointEntry> = (0..TARGETS).map(|n| entry(n, n)).collect();
    let mut settings = Settings { initiators: 1, ..settings() };
    (settings.classes[CLASS as usize].latency_objective, settings.classes[CLASS as usize].deadline) =
        (5 * SECOND, 5 * SECOND);
    let mut harness = Harness::without_endpoints(settings, 1);
    harness.now = started_at.unwrap_or(harness.now);
    harness.endpoints_changed(EndpointUpdateKind::Cached, &entries);
    harness.manual_arrivals = true;
    harness
}

/// A harness as from [`harness_with_limit`], with a full bucket.
fn harness_with_full_bucket() -> Harness {
    let mut harness = harness_with_limit(None);
    assert!(
        started_requests(&harness.arrive(limited_request(0))).is_empty(),
        "the bucket is empty at a start"
    );
    harness.event(Event::ClientGone { id: RequestId(0) });
    harness.advance(4 * SECOND);
    harness
}

fn limited_request(id: u64) -> RequestProfile {
    let shard = Some(ShardId((id % u64::from(TARGETS)) as u32));
    RequestProfile { plan: Some(PlanId(1)), initiators: 1, units: 2.0, shard, ..request(id, CLASS) }
}

/// The bucket of the volume's limit as the platform counts it, over all initiators and targets.
struct PlatformBucket {
    available: f64,
    updated_at: Micros,
}

impl PlatformBucket {
    fn draw(&mut self, now: Micros, units: f64) {
        self.available = (self.available + (now - self.updated_at) as f64 / 1e6 * RATE).min(BURST) - units;
        self.updated_at = now;
        assert!(
            self.available >= -DEBT_LIMIT - 1e-6,
            "at {now} us: {:.2} units more than the limit allows",
            -self.available - DEBT_LIMIT
        );
    }
}

// Guards against units that are granted twice. The bucket filled up again while the units that it had granted
// had not reached a target, and both arrived together. A volume exceeded its limit when connections came up
// as much as 1.5 s late (zone+brink, seed 403).
#[test]
fn units_of_a_limit_are_not_granted_again_before_they_have_arrived() {
    let mut harness = harness_with_full_bucket();
    let mut bucket = PlatformBucket { available: BURST, updated_at: harness.now };
    let mut sent = Vec::new();
    for id in 1..=40 {
        sent.extend(started_requests(&harness.arrive(limited_request(id))));
    }
    sent.extend(started_requests(&harness.advance(2 * SECOND)));
    for id in &sent {
        bucket.draw(harness.now, 2.0);
        harness.scheduler.commit_reserved(harness.now, RequestId(*id));
    }
    assert_eq!(sent.len(), 11, "the burst and the debt limit");
    // The bucket fills up again once the reserved units are committed.
    assert_eq!(started_requests(&harness.advance(SECOND)).len(), 5);
}

// The units of a request that was never sent are available to other requests.
#[test]
fn units_of_a_request_that_was_never_sent_are_released() {
    let mut harness = harness_with_full_bucket();
    let sent: Vec<u64> =
        (1..=11).flat_map(|id| started_requests(&harness.arrive(limited_request(id)))).collect();
    assert_eq!(sent.len(), 11);
    assert!(started_requests(&harness.arrive(limited_request(12))).is_empty());
    for id in sent {
        harness.event(Event::ClientGone { id: RequestId(id) });
        harness.attempt_ended(id, 0, id as u32 % TARGETS, Outcome::NotSent, 0);
    }
    let again: Vec<u64> =
        (13..=40).flat_map(|id| started_requests(&harness.arrive(limited_request(id)))).collect();
    assert!(again.len() >= 9, "{again:?}");
}

/// The platform's count stays within the limit if connections come up at any time later, are cancelled, or
/// never come up.
#[test]
fn the_limit_holds_whenever_requests_arrive() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut harness = harness_with_full_bucket();
        let mut bucket = PlatformBucket { available: BURST, updated_at: harness.now };
        let (mut next, mut out) = (1, BTreeSet::new());
        for _ in 0..400 {
            let mut actions = match random.random_range(0..4) {
                0 => harness.arrive(limited_request(next)),
                1 => harness.advance(random.random_range(0..300) * MS),
                2 => {
                    let Some(id) = out.iter().nth(random.random_range(0..out.len().max(1))).copied() else {
                        continue;
                    };
                    out.remove(&id);
                    bucket.draw(harness.now, 2.0);
                    harness.scheduler.commit_reserved(harness.now, RequestId(id));
                    harness.attempt_ended(id, 0, id as u32 % TARGETS, Outcome::Served, MS)
                }
                _ if random.random_bool(0.7) => continue,
                _ => {
                    let Some(id) = out.pop_first() else { continue };
                    let mut actions = harness.event(Event::ClientGone { id: RequestId(id) });
                    actions.extend(harness.attempt_ended(id, 0, id as u32 % TARGETS, Outcome::NotSent, 0));
                    actions
                }
            };
            next += 1;
            actions.extend(harness.advance(0));
            out.extend(started_requests(&actions));
        }
        assert!(next > 200, "seed {seed}");
    }
}

// Guards against a new process that grants the debt limit a second time: the process before it may have been
// killed after it had used up the burst and the debt limit.
#[test]
fn a_new_process_does_not_grant_units_that_its_predecessor_may_have_used() {
    let mut harness = harness_with_full_bucket();
    let mut bucket = PlatformBucket { available: BURST, updated_at: harness.now };
    let mut drawn = 0;
    for life in 0..4 {
        for id in 1..=40 {
            let mut sent = started_requests(&harness.arrive(limited_request(id + 100 * life)));
            sent.extend(started_requests(&harness.advance(10 * MS)));
            for id in sent {
                bucket.draw(harness.now, 2.0);
                harness.scheduler.commit_reserved(harness.now, RequestId(id));
                drawn += 1;
            }
        }
        harness = harness_with_limit(Some(harness.now + 50 * MS));
    }
    // The burst, the debt limit, and the units that the bucket fills up by in the test.
    assert!((15..=20).contains(&drawn), "{drawn} requests drew on the limit, expected 15 to 20");
}

// Guards against a limit that is exceeded by way of many volumes: buckets are evicted once there are too many, and one
// that is created again must not hold the units that the evicted one had granted.
#[test]
fn an_evicted_bucket_grants_no_units_a_second_time() {
    /// More than the buckets that are kept.
    const VOLUMES: u64 = 20_000;
    let mut harness = harness_with_full_bucket();
    let mut granted = 0.0;
    for id in 1..=40 {
        granted += 2.0 * started_requests(&harness.arrive(limited_request(id))).len() as f64;
        harness.event(Event::ClientGone { id: RequestId(id) });
        harness.scheduler.commit_reserved(harness.now, RequestId(id));
        harness.attempt_ended(id, 0, id as u32 % TARGETS, Outcome::Served, 0);
    }
    assert!(granted >= BURST, "{granted}");
    for volume in 1..=VOLUMES {
        let id = 100 + volume;
        harness.arrive(RequestProfile { volume: VolumeId(volume), ..limited_request(id) });
        harness.event(Event::ClientGone { id: RequestId(id) });
    }
    let again = 1_000_000..1_000_040u64;
    let sent: Vec<u64> =
        again.flat_map(|id| started_requests(&harness.arrive(limited_request(id)))).collect();
    assert!(sent.is_empty(), "{} units more than the limit allows", 2 * sent.len());
}
