//! Fleets of initiators that poll one discovery service, which serves requests one after another: when every
//! initiator has the list after a start, an outage of any kind, or watches that end together.

mod support;

use proptest::prelude::*;
use rowanglade_discovery_polling::*;
use support::*;

/// The poll interval of the settings, and how long a request may wait in discovery's queue.
const MAX_POLL_INTERVAL: Micros = 10 * SECOND;
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// Time in which discovery serves all initiators once: half of what the settings allow it.
const FLEET_SERVICE_TIME: Micros = 5 * SECOND;
/// How long before the deadline the list has to be received.
const MARGIN: Micros = 500 * MS;
const SIZES: [u32; 5] = [40, 80, 300, 350, 1024];

/// A configuration in which each initiator has its index, as the platform provides it.
fn indexed_config(initiators: u32) -> PollingConfig {
    PollingConfig { instance_index: Some(0), ..polling_config(initiators, MAX_POLL_INTERVAL) }
}

/// A discovery that serves all initiators once in `span`.
fn discovery(initiators: u32, span: Micros) -> Discovery {
    Discovery::new(span / Micros::from(initiators), QUEUE_TIMEOUT)
}

/// A fleet whose watches are all open.
fn watching_fleet(initiators: u32, span: Micros, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(indexed_config(initiators), seed, discovery(initiators, span));
    let since = fleet.now;
    fleet.all_received_within(since, 60 * SECOND).expect("every initiator receives the list");
    fleet.run(5 * SECOND);
    fleet.discovery.rejected = 0;
    fleet
}

/// Time from discovery's return until all initiators have received the list.
fn recover_from_outage(
    initiators: u32,
    service: Service,
    outage: Micros,
    seed: u64,
) -> (Option<Micros>, Fleet) {
    let mut fleet = watching_fleet(initiators, FLEET_SERVICE_TIME, seed);
    fleet.set(service);
    fleet.run(outage);
    fleet.set(Service::Up);
    let since = fleet.now;
    (fleet.all_received_within(since, 60 * SECOND), fleet)
}

// After a failed request, an initiator of a fleet of 300 waited for 5 to 15 s, and up to twice as long after
// the next failure. Targets that drained soon after discovery's return were sent requests for seconds after
// the drain counted as known.
#[test]
fn all_initiators_receive_the_list_in_time_after_an_outage() {
    for initiators in SIZES {
        for service in [Service::Down, Service::Rejecting, Service::Resetting] {
            for (outage, seed) in [(1, 1), (3, 2), (8, 3), (11, 4)] {
                let (received_after, fleet) = recover_from_outage(initiators, service, outage * SECOND, seed);
                let case = format!("{initiators} initiators, {service:?} for {outage} s, seed {seed}");
                let received_after = received_after.expect("every initiator receives the list");
                assert!(
                    received_after + MARGIN <= LIST_RECEIPT_DEADLINE,
                    "{case}: list received after {} ms",
                    received_after / MS
                );
                assert_eq!(fleet.discovery.rejected, 0, "{case}: requests rejected after discovery's return");
            }
        }
    }
}

// Fleets of fewer than 40 initiators sent requests in cycles that were short compared with the service time
// of an expensive request. Requests were rejected, which cost discovery work, and the list was received only
// 8 to 17 s after discovery's return.
#[test]
fn a_small_fleet_receives_the_list_in_time_after_an_outage() {
    // Seconds in which discovery serves all initiators once, and the smallest fleet that is covered at that
    // rate.
    for (service_seconds, min_initiators) in [(1, 1), (3, 1), (5, 5)] {
        for initiators in [1, 2, 3, 5, 8, 12, 16, 20, 24, 30, 39].into_iter().filter(|n| *n >= min_initiators)
        {
            for service in [Service::Down, Service::Rejecting, Service::Resetting] {
                for (outage, seed) in [(1, 1), (3, 2), (8, 3), (11, 4), (8, 5), (5, 6), (2, 7)] {
                    let mut fleet = watching_fleet(initiators, service_seconds * SECOND, seed);
                    fleet.set(service);
                    fleet.run(outage * SECOND);
                    fleet.set(Service::Up);
                    let since = fleet.now;
                    let received_after = fleet
                        .all_received_within(since, 60 * SECOND)
                        .expect("every initiator receives the list");
                    let case = format!(
                        "{initiators} initiators, {service_seconds} s, {service:?} {outage} s, {seed}"
                    );
                    assert!(
                        received_after <= LIST_RECEIPT_DEADLINE,
                        "{case}: list received after {} ms",
                        received_after / MS
                    );
                }
            }
        }
    }
}

#[test]
fn all_initiators_receive_the_list_in_time_after_discovery_was_silent() {
    for initiators in SIZES {
        for (outage, seed) in [(1, 1), (4, 2), (8, 3)] {
            let (received_after, _) = recover_from_outage(initiators, Service::Silent, outage * SECOND, seed);
            let received_after = received_after.expect("every initiator receives the list");
            let case = format!("{initiators} initiators, {outage} s, seed {seed}");
            assert!(
                received_after <= LIST_RECEIPT_DEADLINE + MARGIN,
                "{case}: list received after {} ms",
                received_after / MS
            );
        }
    }
}

#[test]
fn all_initiators_receive_the_list_in_time_after_a_start_or_a_mass_restart() {
    for initiators in SIZES {
        let mut fleet = Fleet::new(indexed_config(initiators), 5, discovery(initiators, FLEET_SERVICE_TIME));
        let since = fleet.now;
        let received_after =
            fleet.all_received_within(since, 60 * SECOND).expect("every initiator receives the list");
        assert!(
            received_after + MARGIN <= LIST_RECEIPT_DEADLINE,
            "{initiators} initiators start: list received after {} ms",
            received_after / MS
        );
        assert_eq!(fleet.discovery.rejected, 0);

        let mut fleet = watching_fleet(initiators, FLEET_SERVICE_TIME, 6);
        (0..initiators as usize * 7 / 10).for_each(|instance_index| fleet.restart(instance_index));
        let since = fleet.now;
        let received_after =
            fleet.all_received_within(since, 60 * SECOND).expect("every initiator receives the list");
        assert!(
            received_after + MARGIN <= LIST_RECEIPT_DEADLINE,
            "{initiators} initiators, 7 in 10 restart: list received after {} ms",
            received_after / MS
        );
        assert_eq!(fleet.discovery.rejected, 0);
    }
}

#[test]
fn all_initiators_receive_the_list_in_time_after_all_watches_were_reset() {
    for initiators in SIZES {
        let mut fleet = watching_fleet(initiators, FLEET_SERVICE_TIME, 7);
        fleet.reset_watches();
        let since = fleet.now;
        let received_after =
            fleet.all_received_within(since, 60 * SECOND).expect("every initiator receives the list");
        assert!(
            received_after + MARGIN <= LIST_RECEIPT_DEADLINE,
            "{initiators} initiators: list received after {} ms",
            received_after / MS
        );
    }
}

// Initiators retried immediately after a failure. Rejected requests kept discovery busy, and no initiator was
// served for as long as the test went on.
#[test]
fn retries_do_not_keep_an_overloaded_discovery_from_serving() {
    // Discovery is as slow as the settings allow: it serves every initiator once per poll interval and hardly
    // more.
    for initiators in [100, 300, 350, 1024] {
        let mut fleet = Fleet::new(indexed_config(initiators), 8, discovery(initiators, 9 * SECOND));
        let since = fleet.now;
        fleet.run(LIST_RECEIPT_DEADLINE);
        let early = fleet.received_since(since);
        assert!(early * 5 >= initiators as usize * 2, "{early} of {initiators} received the list in 6 s");
        let received_after =
            fleet.all_received_within(since, 60 * SECOND).expect("every initiator receives the list");
        assert!(
            received_after <= 25 * SECOND,
            "{initiators} initiators: list received after {} ms",
            received_after / MS
        );
        let requests = fleet.discovery.requests;
        assert!(requests <= 3 * initiators as usize, "{initiators} initiators sent {requests} requests");
    }
}

#[test]
fn the_request_rate_stays_even_during_an_outage_and_after_it() {
    for initiators in [300, 350] {
        let mut fleet = watching_fleet(initiators, FLEET_SERVICE_TIME, 9);
        let began_at = fleet.now;
        fleet.set(Service::Down);
        fleet.run(8 * SECOND);
        fleet.set(Service::Up);
        fleet.discovery.longest_queue = 0;
        fleet.run(20 * SECOND);
        let max_requests = max_requests_per_second(&fleet, began_at);
        let longest_queue = fleet.discovery.longest_queue;
        println!(
            "{initiators} initiators: {max_requests} requests in the busiest second, queue of {} ms",
            longest_queue / MS
        );
        assert!(
            max_requests * 3 <= initiators as usize,
            "{max_requests} requests in one second from {initiators} initiators"
        );
        assert!(longest_queue < QUEUE_TIMEOUT, "queue of {} ms", longest_queue / MS);
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Outage(Service, u64),
    ResetWatches,
    SilentWatches,
    Restart(usize),
    Quiet(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let service = prop_oneof![
        Just(Service::Down),
        Just(Service::Rejecting),
        Just(Service::Resetting),
        Just(Service::Silent)
    ];
    prop_oneof![
        (service, 1u64..9).prop_map(|(service, seconds)| Fault::Outage(service, seconds)),
        Just(Fault::ResetWatches),
        Just(Fault::SilentWatches),
        (0usize..40).prop_map(Fault::Restart),
        (1u64..6).prop_map(Fault::Quiet),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    // After any sequence of faults, once discovery can be reached, all initiators receive the list and their
    // watches stay open.
    #[test]
    fn all_initiators_receive_the_list_after_any_sequence_of_faults(
        faults in proptest::collection::vec(fault(), 1..8), seed: u64,
    ) {
        let mut fleet = watching_fleet(40, 3 * SECOND, seed);
        for fault in &faults {
            match *fault {
                Fault::Outage(service, seconds) => {
                    fleet.set(service);
                    fleet.run(seconds * SECOND);
                    fleet.set(Service::Up);
                }
                Fault::ResetWatches => fleet.reset_watches(),
                Fault::SilentWatches => fleet.silence_watches(),
                Fault::Restart(instance_index) => fleet.restart(instance_index),
                Fault::Quiet(seconds) => fleet.run(seconds * SECOND),
            }
        }
        let since = fleet.now;
        let received_after = fleet.all_received_within(since, 60 * SECOND);
        prop_assert!(
            received_after.is_some_and(|received_after| received_after <= 2 * LIST_RECEIPT_DEADLINE),
            "{:?}", received_after
        );
        fleet.run(5 * SECOND);
        prop_assert!(fleet.initiators.iter().all(|i| i.schedule.is_watching()));
    }
}
