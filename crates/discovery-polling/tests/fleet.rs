//! What holds when many initiators ask one discovery that serves their calls one after another, whatever made
//! them ask: a start, an outage of any kind, watches that end together.

mod support;

use proptest::prelude::*;
use rowanglade_discovery_polling::*;
use support::*;

/// What the settings give for asking, and how long a call may wait in discovery's queue.
const ASK_WITHIN: Micros = 10 * SECOND;
const TIMEOUT: Micros = 2 * SECOND;
/// Discovery serves all initiators once in this time: twice as fast as the settings ask of it.
const SERVES_ALL_IN: Micros = 5 * SECOND;
/// The list is heard this much earlier than it has to be.
const MARGIN: Micros = 500 * MS;
const SIZES: [u32; 5] = [40, 80, 300, 350, 1024];

/// A fleet in which each initiator knows its number, as the platform tells it.
fn numbered(initiators: u32) -> PollingConfig {
    PollingConfig { instance_index: Some(0), ..polling_config(initiators, ASK_WITHIN) }
}

/// A discovery that serves all initiators once in `span`.
fn discovery(initiators: u32, span: Micros) -> Discovery {
    Discovery::new(span / Micros::from(initiators), TIMEOUT)
}

/// A fleet whose watches are all open.
fn watching(initiators: u32, span: Micros, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(numbered(initiators), seed, discovery(initiators, span));
    let since = fleet.now;
    fleet.all_heard_within(since, 60 * SECOND).expect("all hear the list in the end");
    fleet.run(5 * SECOND);
    fleet.discovery.refused = 0;
    fleet
}

/// How long after discovery's return the list is heard by all.
fn after_outage(initiators: u32, service: Service, outage: Micros, seed: u64) -> (Option<Micros>, Fleet) {
    let mut fleet = watching(initiators, SERVES_ALL_IN, seed);
    fleet.set(service);
    fleet.run(outage);
    fleet.set(Service::Up);
    let since = fleet.now;
    (fleet.all_heard_within(since, 60 * SECOND), fleet)
}

// The operators' fault: after a failed call an initiator of a fleet of 300 waited for 5 to 15 s, and up to
// twice as long the next time; targets that drained soon after discovery's return were sent to for seconds
// after all had to know.
#[test]
fn the_list_is_heard_in_time_after_an_outage() {
    for initiators in SIZES {
        for service in [Service::Down, Service::Refusing, Service::Resetting] {
            for (outage, seed) in [(1, 1), (3, 2), (8, 3), (11, 4)] {
                let (heard, fleet) = after_outage(initiators, service, outage * SECOND, seed);
                let what = format!("{initiators} instances, {service:?} for {outage} s, seed {seed}");
                let heard = heard.expect("all hear it");
                assert!(heard + MARGIN <= LIST_RECEIPT_DEADLINE, "{what}: heard after {} ms", heard / MS);
                assert_eq!(fleet.discovery.refused, 0, "{what}: calls refused after the return");
            }
        }
    }
}

// Fleets of fewer than 40 called in cycles that were short next to what a heavy call takes: calls were
// refused, which cost discovery work, and the list was heard 8 to 17 s after its return.
#[test]
fn a_small_fleet_hears_the_list_in_time_after_an_outage() {
    // Discovery serves all once in so many seconds; the least fleet for which that holds.
    for (serves_all_in, least) in [(1, 1), (3, 1), (5, 5)] {
        for initiators in [1, 2, 3, 5, 8, 12, 16, 20, 24, 30, 39].into_iter().filter(|n| *n >= least) {
            for service in [Service::Down, Service::Refusing, Service::Resetting] {
                for (outage, seed) in [(1, 1), (3, 2), (8, 3), (11, 4), (8, 5), (5, 6), (2, 7)] {
                    let mut fleet = watching(initiators, serves_all_in * SECOND, seed);
                    fleet.set(service);
                    fleet.run(outage * SECOND);
                    fleet.set(Service::Up);
                    let since = fleet.now;
                    let heard = fleet.all_heard_within(since, 60 * SECOND).expect("all hear it");
                    let what =
                        format!("{initiators} instances, {serves_all_in} s, {service:?} {outage} s, {seed}");
                    assert!(heard <= LIST_RECEIPT_DEADLINE, "{what}: heard after {} ms", heard / MS);
                }
            }
        }
    }
}

#[test]
fn the_list_is_heard_in_time_after_discovery_was_silent() {
    for initiators in SIZES {
        for (outage, seed) in [(1, 1), (4, 2), (8, 3)] {
            let (heard, _) = after_outage(initiators, Service::Silent, outage * SECOND, seed);
            let heard = heard.expect("all hear it");
            let what = format!("{initiators} instances, {outage} s, seed {seed}");
            assert!(heard <= LIST_RECEIPT_DEADLINE + MARGIN, "{what}: heard after {} ms", heard / MS);
        }
    }
}

#[test]
fn the_list_is_heard_in_time_after_a_start_or_a_mass_restart() {
    for initiators in SIZES {
        let mut fleet = Fleet::new(numbered(initiators), 5, discovery(initiators, SERVES_ALL_IN));
        let since = fleet.now;
        let heard = fleet.all_heard_within(since, 60 * SECOND).expect("all hear it");
        assert!(heard + MARGIN <= LIST_RECEIPT_DEADLINE, "{initiators} instances start: {} ms", heard / MS);
        assert_eq!(fleet.discovery.refused, 0);

        let mut fleet = watching(initiators, SERVES_ALL_IN, 6);
        (0..initiators as usize * 7 / 10).for_each(|instance_index| fleet.restart(instance_index));
        let since = fleet.now;
        let heard = fleet.all_heard_within(since, 60 * SECOND).expect("all hear it");
        assert!(
            heard + MARGIN <= LIST_RECEIPT_DEADLINE,
            "{initiators} instances, 7 in 10 restart: {} ms",
            heard / MS
        );
        assert_eq!(fleet.discovery.refused, 0);
    }
}

#[test]
fn the_list_is_heard_in_time_after_all_watches_were_reset() {
    for initiators in SIZES {
        let mut fleet = watching(initiators, SERVES_ALL_IN, 7);
        fleet.reset_watches();
        let since = fleet.now;
        let heard = fleet.all_heard_within(since, 60 * SECOND).expect("all hear it");
        assert!(heard + MARGIN <= LIST_RECEIPT_DEADLINE, "{initiators} instances: {} ms", heard / MS);
    }
}

// Every initiator asked again at once after a failure: refused calls kept discovery busy, and nobody was
// served for as long as the play went on.
#[test]
fn retries_do_not_keep_an_overloaded_discovery_from_serving() {
    // As slow as the settings allow: it can serve every initiator once in the time for asking, and hardly
    // more.
    for initiators in [100, 300, 350, 1024] {
        let mut fleet = Fleet::new(numbered(initiators), 8, discovery(initiators, 9 * SECOND));
        let since = fleet.now;
        fleet.run(LIST_RECEIPT_DEADLINE);
        let early = fleet.heard_since(since);
        assert!(early * 5 >= initiators as usize * 2, "{early} of {initiators} heard the list in 6 s");
        let heard = fleet.all_heard_within(since, 60 * SECOND).expect("all hear it");
        assert!(heard <= 25 * SECOND, "{initiators} instances: {} ms", heard / MS);
        let calls = fleet.discovery.calls;
        assert!(calls <= 3 * initiators as usize, "{initiators} instances made {calls} calls");
    }
}

#[test]
fn calls_stay_a_steady_stream_during_an_outage_and_after_it() {
    for initiators in [300, 350] {
        let mut fleet = watching(initiators, SERVES_ALL_IN, 9);
        let begin = fleet.now;
        fleet.set(Service::Down);
        fleet.run(8 * SECOND);
        fleet.set(Service::Up);
        fleet.discovery.longest_queue = 0;
        fleet.run(20 * SECOND);
        let most = most_calls_a_second(&fleet, begin);
        let queue = fleet.discovery.longest_queue;
        println!("{initiators} instances: {most} calls in the busiest second, {} ms of queue", queue / MS);
        assert!(most * 3 <= initiators as usize, "{most} calls in one second of {initiators} instances");
        assert!(queue < TIMEOUT, "{} ms of queue", queue / MS);
    }
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Outage(Service, u64),
    ResetWatches,
    SilentWatches,
    Restart(usize),
    Quiet(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let service = prop_oneof![
        Just(Service::Down),
        Just(Service::Refusing),
        Just(Service::Resetting),
        Just(Service::Silent)
    ];
    prop_oneof![
        (service, 1u64..9).prop_map(|(service, seconds)| Trouble::Outage(service, seconds)),
        Just(Trouble::ResetWatches),
        Just(Trouble::SilentWatches),
        (0usize..40).prop_map(Trouble::Restart),
        (1u64..6).prop_map(Trouble::Quiet),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    // Whatever happened before, in any order: once discovery can be reached all hear the list, and watches
    // stay open.
    #[test]
    fn the_list_is_always_heard_in_the_end(troubles in proptest::collection::vec(trouble(), 1..8), seed: u64) {
        let mut fleet = watching(40, 3 * SECOND, seed);
        for trouble in &troubles {
            match *trouble {
                Trouble::Outage(service, seconds) => {
                    fleet.set(service);
                    fleet.run(seconds * SECOND);
                    fleet.set(Service::Up);
                }
                Trouble::ResetWatches => fleet.reset_watches(),
                Trouble::SilentWatches => fleet.silence_watches(),
                Trouble::Restart(instance_index) => fleet.restart(instance_index),
                Trouble::Quiet(seconds) => fleet.run(seconds * SECOND),
            }
        }
        let since = fleet.now;
        let heard = fleet.all_heard_within(since, 60 * SECOND);
        prop_assert!(heard.is_some_and(|heard| heard <= 2 * LIST_RECEIPT_DEADLINE), "{:?}", heard);
        fleet.run(5 * SECOND);
        prop_assert!(fleet.initiators.iter().all(|i| i.schedule.is_watching()));
    }
}
