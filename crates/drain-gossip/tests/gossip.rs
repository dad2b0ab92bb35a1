//! Gossip between initiators in simulated time, with datagrams that are lost, duplicated or delayed.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_drain_gossip::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s-{i:08x}")).collect()
}

fn draining_targets(names: &[String]) -> impl Iterator<Item = (&str, bool)> {
    names.iter().map(|name| (name.as_str(), false))
}

/// The reports that answer a query.
fn reports(gossip: &mut DrainGossip, now: Micros, round: u32, after: Position) -> Vec<Report> {
    let answer = gossip.handle_query(now, 1, round, after).into_iter();
    let report = answer.map(|outgoing| match outgoing.message {
        Message::Report(report) => report,
        Message::Query { .. } => panic!("the answer to a query is a query"),
    });
    report.collect()
}

/// The draining targets that initiators of a fleet report in answer to one query.
fn answers(fleet: &mut [DrainGossip], now: Micros, query: &Outgoing) -> Vec<TargetKey> {
    let Message::Query { round, after } = query.message else { panic!("not a query") };
    reports(&mut fleet[query.to], now, round, after).into_iter().flat_map(|report| report.draining).collect()
}

// When initiators relied on discovery alone, the last of 300 received the list 6 s or more after discovery's
// return; by then it had sent requests to draining targets.
#[test]
fn initiators_without_a_watch_learn_of_drains_within_seconds_if_some_have_a_watch() {
    const INITIATORS: usize = 300;
    let drained = names(17);
    for (part, within) in [(10, 4 * SECOND), (4, 2 * SECOND), (2, SECOND)] {
        let mut fleet: Vec<DrainGossip> =
            (0..INITIATORS).map(|i| DrainGossip::new(i, INITIATORS, i as u64, NOW)).collect();
        for gossip in fleet.iter_mut().step_by(part) {
            gossip.handle_endpoint_list(NOW, 42, draining_targets(&drained));
            gossip.set_watching(NOW, true);
        }
        let mut informed_count = 0;
        let waiting: Vec<usize> = (0..INITIATORS).filter(|i| i % part != 0).collect();
        for index in &waiting {
            let mut now = NOW;
            while now < NOW + within {
                now = fleet[*index].next_timeout().expect("a query is due");
                let queries = fleet[*index].poll(now);
                assert!(queries.iter().all(|query| query.to != *index && query.to < INITIATORS));
                if queries.iter().any(|query| answers(&mut fleet, now, query).len() == drained.len()) {
                    informed_count += 1;
                    break;
                }
            }
        }
        assert!(
            informed_count * 100 >= waiting.len() * 85,
            "1 in {part} has a watch: {informed_count} of {} learned of all drains",
            waiting.len()
        );
    }
}

#[test]
fn only_initiators_without_a_watch_query_and_only_those_with_one_answer() {
    let drained = names(3);
    let mut gossip = DrainGossip::new(0, 3, 1, NOW);
    assert!(gossip.next_timeout().is_some_and(|at| at <= NOW + 50 * MS), "no query soon after the start");
    gossip.handle_endpoint_list(NOW, 9, draining_targets(&drained));
    assert_eq!(
        gossip.handle_query(NOW, 2, 1, Position::default()),
        Vec::new(),
        "answered without a watch, though the list may be out of date"
    );
    gossip.set_watching(NOW, true);
    assert_eq!(gossip.next_timeout(), None);
    assert_eq!(gossip.poll(NOW + SECOND), Vec::new());
    let [report] = &reports(&mut gossip, NOW, 7, Position::default())[..] else { panic!("one datagram") };
    assert_eq!((report.round, report.more, report.draining.len()), (7, false, 3));
    assert!(drained.iter().all(|name| report.draining.contains(&TargetKey::of(name))));
    let up_to_date = Position::after_version(9);
    assert_eq!(
        reports(&mut gossip, NOW, 7, up_to_date),
        [],
        "answered though the sender's version is up to date"
    );
    gossip.handle_endpoint_list(NOW, 10, [(drained[0].as_str(), true)].into_iter());
    let [report] = &reports(&mut gossip, NOW, 7, Position::after_version(8))[..] else {
        panic!("one datagram")
    };
    assert_eq!(report.draining.len(), 2, "a target that is active again is reported");
    gossip.handle_endpoint_list(NOW + 61 * SECOND, 11, std::iter::empty());
    assert_eq!(
        reports(&mut gossip, NOW, 7, Position::default()),
        [],
        "a drain older than the retention is reported"
    );
}

#[test]
fn a_single_initiator_sends_no_queries() {
    let mut gossip = DrainGossip::new(0, 1, 1, NOW);
    assert_eq!((gossip.next_timeout(), gossip.poll(NOW + SECOND)), (None, Vec::new()));
}

#[test]
fn queries_take_under_100_bytes_per_second_during_a_long_outage() {
    let mut gossip = DrainGossip::new(5, 1_024, 3, NOW);
    let (mut bytes, mut now) = (0, NOW);
    while now < NOW + 60 * SECOND {
        now = gossip.next_timeout().expect("a query is due");
        bytes += gossip.poll(now).iter().map(|query| query.message.encode().len()).sum::<usize>();
    }
    assert!(bytes / 60 < 100, "{} bytes per second", bytes / 60);
}

/// A report that answers a query of this round.
fn report_of(round: u32, drained: &[String]) -> Report {
    let draining = drained.iter().map(|name| TargetKey::of(name)).collect();
    let through = Position::after_version(9);
    Report { round, after: Position::default(), through, gap: false, more: false, draining }
}

#[test]
fn only_reports_for_queries_of_the_last_rounds_are_accepted() {
    let drained = names(1);
    let mut gossip = DrainGossip::new(0, 4, 1, NOW);
    let accepted =
        |gossip: &mut DrainGossip, round| gossip.handle_report(NOW, 1, &report_of(round, &drained)).len();
    assert_eq!(accepted(&mut gossip, 7), 0, "accepted without a query");
    let mut now = NOW;
    for round in 1..=6 {
        now = gossip.next_timeout().expect("a query is due");
        gossip.poll(now);
        assert_eq!(accepted(&mut gossip, round), 1);
    }
    assert_eq!([1, 7, 3].map(|round| accepted(&mut gossip, round)), [0, 0, 1]);
    gossip.set_watching(now, true);
    assert_eq!(accepted(&mut gossip, 6), 0, "accepted while a watch is open");
    assert_eq!(gossip.counters().unsolicited, 4);
}

#[test]
fn a_long_answer_is_split_into_datagrams_of_the_maximum_size() {
    let mut gossip = DrainGossip::new(0, 2, 1, NOW);
    gossip.handle_endpoint_list(NOW, u64::MAX, draining_targets(&names(200)));
    gossip.set_watching(NOW, true);
    let reports = gossip.handle_query(NOW, 1, u32::MAX, Position::default());
    assert!(reports.len() > 1 && reports.len() <= MAX_REPORTS_PER_QUERY);
    for report in &reports {
        let bytes = report.message.encode();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes).as_ref(), Ok(&report.message));
    }
}

// Each answer contained the same first 232 drains: an initiator that waited for discovery went on sending to
// all other draining targets.
#[test]
fn one_peer_reports_thousands_of_drains_within_seconds() {
    let drained = names(3_200);
    let mut reporter = DrainGossip::new(1, 2, 1, NOW);
    reporter.handle_endpoint_list(NOW, 9, draining_targets(&drained));
    reporter.set_watching(NOW, true);
    let mut receiver = DrainGossip::new(0, 2, 2, NOW);
    receiver.handle_cached_list(8);
    let (elapsed, reported) = simulate(&mut reporter, &mut receiver, &Network::default(), 0, 3 * SECOND);
    assert_eq!(reported.len(), drained.len(), "after {elapsed} us: {:?}", reporter.counters());
    assert!(elapsed < 2 * SECOND, "{elapsed} us");
    // A round may send a query while a follow-up query is open: one answer to each contains the same drains.
    let duplicates = receiver.counters().received - 3_200;
    assert!(
        duplicates <= 2 * (MAX_REPORTS_PER_QUERY * MAX_TARGETS_PER_REPORT) as u64,
        "{duplicates} drains were reported twice"
    );
}

// The newest drains are kept, and a query for drains that were dropped is answered with a gap.
#[test]
fn drains_beyond_the_log_size_are_dropped_and_reported_as_a_gap() {
    let drained = names(MAX_LOG_ENTRIES + 100);
    let mut reporter = DrainGossip::new(1, 2, 1, NOW);
    reporter.handle_cached_list(1);
    reporter.handle_endpoint_list(NOW, 2, draining_targets(&drained[..100]));
    reporter.handle_endpoint_list(NOW, 3, draining_targets(&drained[100..]));
    reporter.set_watching(NOW, true);
    let first = &reports(&mut reporter, NOW, 1, Position::after_version(1))[0];
    assert!(first.gap, "{first:?}");
    assert!(!reports(&mut reporter, NOW + SECOND, 1, Position::after_version(2))[0].gap);
    let mut receiver = DrainGossip::new(0, 2, 2, NOW);
    receiver.handle_cached_list(1);
    let (_, reported) = simulate(&mut reporter, &mut receiver, &Network::default(), 0, 10 * SECOND);
    assert_eq!(reported.len(), MAX_LOG_ENTRIES);
    assert!(receiver.counters().gaps > 0);
}

/// Percentages of datagrams that are lost, duplicated or delayed.
#[derive(Clone, Debug, Default)]
struct Network {
    lost_percent: u32,
    duplicated_percent: u32,
    delayed_percent: u32,
}

/// Simulates the gossip between a peer that reports and one that queries, for `span`. Returns the time until
/// the last drain was reported, and all that were.
fn simulate(
    reporter: &mut DrainGossip,
    receiver: &mut DrainGossip,
    network: &Network,
    seed: u64,
    span: Micros,
) -> (Micros, BTreeSet<TargetKey>) {
    const TRANSIT_TIME: Micros = 5 * MS;
    const EXTRA_DELAY: Micros = 40 * MS;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut in_transit: BTreeMap<(Micros, u64), (bool, Message)> = BTreeMap::new();
    let (mut sequence, mut last, mut reported) = (0, 0, BTreeSet::new());
    let mut now = NOW;
    while now < NOW + span {
        let arrives = in_transit.first_key_value().map(|((at, _), _)| *at);
        now = receiver.next_timeout().into_iter().chain(arrives).min().expect("a query is due").max(now);
        let mut sent: Vec<(bool, Message)> = Vec::new();
        while let Some(entry) = in_transit.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                (true, Message::Query { round, after }) => {
                    let answer = reporter.handle_query(now, 0, round, after);
                    sent.extend(answer.into_iter().map(|outgoing| (false, outgoing.message)));
                }
                (false, Message::Report(report)) => {
                    let before = reported.len();
                    reported.extend(receiver.handle_report(now, 1, &report));
                    last = if reported.len() > before { now - NOW } else { last };
                }
                other => panic!("{other:?}"),
            }
        }
        sent.extend(receiver.poll(now).into_iter().map(|outgoing| (true, outgoing.message)));
        for (to_reporter, message) in sent {
            let copies = 1 + u32::from(random.random_ratio(network.duplicated_percent, 100));
            for _ in 0..copies {
                if random.random_ratio(network.lost_percent, 100) {
                    continue;
                }
                let extra_delay =
                    if random.random_ratio(network.delayed_percent, 100) { EXTRA_DELAY } else { 0 };
                sequence += 1;
                in_transit
                    .insert((now + TRANSIT_TIME + extra_delay, sequence), (to_reporter, message.clone()));
            }
        }
    }
    (last, reported)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Up to 3,200 drains in several versions are all reported eventually, although datagrams are lost,
    // duplicated or delayed.
    #[test]
    fn all_drains_are_reported_over_an_unreliable_network(
        count in 1usize..3_200, versions in 1u64..6, seed: u64,
        lost_percent in 0u32..30, duplicated_percent in 0u32..30, delayed_percent in 0u32..50,
    ) {
        let drained = names(count);
        let mut reporter = DrainGossip::new(1, 2, 1, NOW);
        reporter.handle_cached_list(7);
        for version in 0..versions {
            let part = drained.iter().enumerate().filter(|(index, _)| *index as u64 % versions == version);
            reporter.handle_endpoint_list(NOW, 8 + version, part.map(|(_, name)| (name.as_str(), false)));
        }
        reporter.set_watching(NOW, true);
        let mut receiver = DrainGossip::new(0, 2, 2, NOW);
        receiver.handle_cached_list(7);
        let (elapsed, reported) = simulate(
            &mut reporter,
            &mut receiver,
            &Network { lost_percent, duplicated_percent, delayed_percent },
            seed,
            50 * SECOND,
        );
        prop_assert_eq!(reported.len(), count, "after {} us", elapsed);
    }

    // The bytes that an initiator sends stay within its budget at any rate of queries.
    #[test]
    fn bytes_stay_within_the_budget(queries_per_second in 1u64..200, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut reporter = DrainGossip::new(1, 300, 1, NOW);
        reporter.handle_cached_list(7);
        reporter.handle_endpoint_list(NOW, 8, draining_targets(&names(3_200)));
        reporter.set_watching(NOW, true);
        let (mut bytes, span) = (0, 5 * SECOND);
        for at in 0..queries_per_second * 5 {
            let now = NOW + at * span / (queries_per_second * 5);
            let after = Position { version: 8, key: TargetKey(random.random()) };
            let reports = reporter.handle_query(now, 0, 1, after);
            bytes += reports.iter().map(|outgoing| outgoing.message.encode().len() as u64).sum::<u64>();
        }
        prop_assert!(bytes <= MAX_BURST_BYTES + BUDGET_BYTES_PER_SECOND * span / SECOND, "{bytes} bytes");
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_yields_an_error_or_a_bounded_message(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            if let Message::Report(report) = message {
                prop_assert!(report.draining.len() <= MAX_DATAGRAM_BYTES / 8);
            }
        }
    }

    #[test]
    fn a_truncated_or_extended_datagram_is_rejected(round: u32, version: u64, cut in 1usize..8) {
        let bytes = Message::Query { round, after: Position::after_version(version) }.encode();
        prop_assert!(Message::decode(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
        prop_assert!(Message::decode(&[&bytes[..], &[0]].concat()).is_err());
        prop_assert_eq!(Message::decode(&[9, 1, 2]), Err(DecodeError::UnknownFormat(9)));
    }
}
