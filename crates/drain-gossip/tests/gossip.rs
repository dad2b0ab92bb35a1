//! The exchange between initiators whose datagrams may be lost, doubled or late, in simulated time.

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

fn leaving(names: &[String]) -> impl Iterator<Item = (&str, bool)> {
    names.iter().map(|name| (name.as_str(), false))
}

/// What is answered to a query.
fn reports(gossip: &mut DrainGossip, now: Micros, round: u32, after: Position) -> Vec<Report> {
    let answer = gossip.handle_query(now, 1, round, after).into_iter();
    let report = answer.map(|outgoing| match outgoing.message {
        Message::Report(report) => report,
        Message::Query { .. } => panic!("a query for an answer"),
    });
    report.collect()
}

/// What initiator 1 gets for one query, of initiators that have heard these departures.
fn answers(fleet: &mut [DrainGossip], now: Micros, query: &Outgoing) -> Vec<TargetKey> {
    let Message::Query { round, after } = query.message else { panic!("no query") };
    reports(&mut fleet[query.to], now, round, after).into_iter().flat_map(|report| report.draining).collect()
}

// Asking alone, the last of 300 initiators heard 6 s and more after discovery's return; by then it had sent to
// what left.
#[test]
fn who_has_no_watch_hears_of_departures_within_a_second_of_any_part_that_has_one() {
    const INSTANCES: usize = 300;
    let gone = names(17);
    for (part, within) in [(10, 4 * SECOND), (4, 2 * SECOND), (2, SECOND)] {
        let mut fleet: Vec<DrainGossip> =
            (0..INSTANCES).map(|i| DrainGossip::new(i, INSTANCES, i as u64, NOW)).collect();
        for gossip in fleet.iter_mut().step_by(part) {
            gossip.handle_endpoint_list(NOW, 42, leaving(&gone));
            gossip.set_watching(NOW, true);
        }
        let mut informed = 0;
        let waiting: Vec<usize> = (0..INSTANCES).filter(|i| i % part != 0).collect();
        for place in &waiting {
            let mut now = NOW;
            while now < NOW + within {
                now = fleet[*place].next_timeout().expect("it queries");
                let queries = fleet[*place].poll(now);
                assert!(queries.iter().all(|query| query.to != *place && query.to < INSTANCES));
                if queries.iter().any(|query| answers(&mut fleet, now, query).len() == gone.len()) {
                    informed += 1;
                    break;
                }
            }
        }
        assert!(informed * 100 >= waiting.len() * 85, "1 in {part} watch: {informed} of {}", waiting.len());
    }
}

#[test]
fn only_those_without_a_watch_ask_and_only_those_with_one_answer() {
    let gone = names(3);
    let mut gossip = DrainGossip::new(0, 3, 1, NOW);
    assert!(gossip.next_timeout().is_some_and(|at| at <= NOW + 50 * MS), "a start asks at once");
    gossip.handle_endpoint_list(NOW, 9, leaving(&gone));
    assert_eq!(gossip.handle_query(NOW, 2, 1, Position::default()), Vec::new(), "its list may be old");
    gossip.set_watching(NOW, true);
    assert_eq!(gossip.next_timeout(), None);
    assert_eq!(gossip.poll(NOW + SECOND), Vec::new());
    let [report] = &reports(&mut gossip, NOW, 7, Position::default())[..] else { panic!("one datagram") };
    assert_eq!((report.round, report.more, report.draining.len()), (7, false, 3));
    assert!(gone.iter().all(|name| report.draining.contains(&TargetKey::of(name))));
    let holder = Position::after_version(9);
    assert_eq!(reports(&mut gossip, NOW, 7, holder), [], "who holds that version knows");
    gossip.handle_endpoint_list(NOW, 10, [(gone[0].as_str(), true)].into_iter());
    let [report] = &reports(&mut gossip, NOW, 7, Position::after_version(8))[..] else {
        panic!("one datagram")
    };
    assert_eq!(report.draining.len(), 2, "one is back");
    gossip.handle_endpoint_list(NOW + 61 * SECOND, 11, std::iter::empty());
    assert_eq!(reports(&mut gossip, NOW, 7, Position::default()), [], "nothing is kept for ever");
}

#[test]
fn a_lone_instance_asks_nobody() {
    let mut gossip = DrainGossip::new(0, 1, 1, NOW);
    assert_eq!((gossip.next_timeout(), gossip.poll(NOW + SECOND)), (None, Vec::new()));
}

#[test]
fn asking_costs_little_however_long_discovery_is_away() {
    let mut gossip = DrainGossip::new(5, 1_024, 3, NOW);
    let (mut bytes, mut now) = (0, NOW);
    while now < NOW + 60 * SECOND {
        now = gossip.next_timeout().expect("it queries");
        bytes += gossip.poll(now).iter().map(|query| query.message.encode().len()).sum::<usize>();
    }
    assert!(bytes / 60 < 100, "{} bytes a second", bytes / 60);
}

/// A report that is the answer to the query of this number.
fn report_of(round: u32, gone: &[String]) -> Report {
    let draining = gone.iter().map(|name| TargetKey::of(name)).collect();
    let through = Position::after_version(9);
    Report { round, after: Position::default(), through, gap: false, more: false, draining }
}

#[test]
fn reports_are_taken_for_queries_of_the_last_rounds_only() {
    let gone = names(1);
    let mut gossip = DrainGossip::new(0, 4, 1, NOW);
    let taken =
        |gossip: &mut DrainGossip, round| gossip.handle_report(NOW, 1, &report_of(round, &gone)).len();
    assert_eq!(taken(&mut gossip, 7), 0, "nothing was asked");
    let mut now = NOW;
    for round in 1..=6 {
        now = gossip.next_timeout().expect("it queries");
        gossip.poll(now);
        assert_eq!(taken(&mut gossip, round), 1);
    }
    assert_eq!([1, 7, 3].map(|round| taken(&mut gossip, round)), [0, 0, 1]);
    gossip.set_watching(now, true);
    assert_eq!(taken(&mut gossip, 6), 0, "discovery itself is heard");
    assert_eq!(gossip.counters().unsolicited, 4);
}

#[test]
fn long_lists_are_told_in_several_datagrams_that_fit() {
    let mut gossip = DrainGossip::new(0, 2, 1, NOW);
    gossip.handle_endpoint_list(NOW, u64::MAX, leaving(&names(200)));
    gossip.set_watching(NOW, true);
    let reports = gossip.handle_query(NOW, 1, u32::MAX, Position::default());
    assert!(reports.len() > 1 && reports.len() <= MAX_REPORTS_PER_QUERY);
    for report in &reports {
        let bytes = report.message.encode();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes).as_ref(), Ok(&report.message));
    }
}

// Each answer named the first 232 departures, again and again: an initiator that waited for discovery went on
// sending to all others.
#[test]
fn thousands_of_departures_are_all_told_in_seconds_by_one_peer() {
    let gone = names(3_200);
    let mut reporter = DrainGossip::new(1, 2, 1, NOW);
    reporter.handle_endpoint_list(NOW, 9, leaving(&gone));
    reporter.set_watching(NOW, true);
    let mut receiver = DrainGossip::new(0, 2, 2, NOW);
    receiver.handle_cached_list(8);
    let (took, reported) = play(&mut reporter, &mut receiver, &Network::default(), 0, 3 * SECOND);
    assert_eq!(reported.len(), gone.len(), "after {took} us: {:?}", reporter.counters());
    assert!(took < 2 * SECOND, "{took} us");
    // A round may ask beside a query that goes on: a page of each is told twice.
    let twice = receiver.counters().received - 3_200;
    assert!(twice <= 2 * (MAX_REPORTS_PER_QUERY * MAX_TARGETS_PER_REPORT) as u64, "{twice} are told twice");
}

// The newest stay, and who asks for what was forgotten is told that there is a gap.
#[test]
fn beyond_the_bound_the_oldest_are_forgotten_and_that_is_told() {
    let gone = names(MAX_LOG_ENTRIES + 100);
    let mut reporter = DrainGossip::new(1, 2, 1, NOW);
    reporter.handle_cached_list(1);
    reporter.handle_endpoint_list(NOW, 2, leaving(&gone[..100]));
    reporter.handle_endpoint_list(NOW, 3, leaving(&gone[100..]));
    reporter.set_watching(NOW, true);
    let first = &reports(&mut reporter, NOW, 1, Position::after_version(1))[0];
    assert!(first.gap, "{first:?}");
    assert!(!reports(&mut reporter, NOW + SECOND, 1, Position::after_version(2))[0].gap);
    let mut receiver = DrainGossip::new(0, 2, 2, NOW);
    receiver.handle_cached_list(1);
    let (_, reported) = play(&mut reporter, &mut receiver, &Network::default(), 0, 10 * SECOND);
    assert_eq!(reported.len(), MAX_LOG_ENTRIES);
    assert!(receiver.counters().gaps > 0);
}

/// What happens to datagrams on their way, as parts of a hundred.
#[derive(Clone, Debug, Default)]
struct Network {
    lost: u32,
    doubled: u32,
    late: u32,
}

/// Plays the exchange of one that tells and one that asks, until all is told or the time is up: when the last
/// departure was heard, and all that were.
fn play(
    reporter: &mut DrainGossip,
    receiver: &mut DrainGossip,
    network: &Network,
    seed: u64,
    span: Micros,
) -> (Micros, BTreeSet<TargetKey>) {
    const ON_THE_WAY: Micros = 5 * MS;
    const LATE: Micros = 40 * MS;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut on_the_way: BTreeMap<(Micros, u64), (bool, Message)> = BTreeMap::new();
    let (mut round, mut last, mut reported) = (0, 0, BTreeSet::new());
    let mut now = NOW;
    while now < NOW + span {
        let arrives = on_the_way.first_key_value().map(|((at, _), _)| *at);
        now = receiver.next_timeout().into_iter().chain(arrives).min().expect("it queries").max(now);
        let mut sent: Vec<(bool, Message)> = Vec::new();
        while let Some(entry) = on_the_way.first_entry().filter(|entry| entry.key().0 <= now) {
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
            let copies = 1 + u32::from(random.random_ratio(network.doubled, 100));
            for _ in 0..copies {
                if random.random_ratio(network.lost, 100) {
                    continue;
                }
                let late = if random.random_ratio(network.late, 100) { LATE } else { 0 };
                round += 1;
                on_the_way.insert((now + ON_THE_WAY + late, round), (to_reporter, message.clone()));
            }
        }
    }
    (last, reported)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Whatever is lost, doubled or late, all of up to 3,200 departures in some versions are told in the end.
    #[test]
    fn all_departures_are_told_through_a_bad_network(
        count in 1usize..3_200, versions in 1u64..6, seed: u64,
        lost in 0u32..30, doubled in 0u32..30, late in 0u32..50,
    ) {
        let gone = names(count);
        let mut reporter = DrainGossip::new(1, 2, 1, NOW);
        reporter.handle_cached_list(7);
        for version in 0..versions {
            let part = gone.iter().enumerate().filter(|(place, _)| *place as u64 % versions == version);
            reporter.handle_endpoint_list(NOW, 8 + version, part.map(|(_, name)| (name.as_str(), false)));
        }
        reporter.set_watching(NOW, true);
        let mut receiver = DrainGossip::new(0, 2, 2, NOW);
        receiver.handle_cached_list(7);
        let (took, reported) = play(&mut reporter, &mut receiver, &Network { lost, doubled, late }, seed, 50 * SECOND);
        prop_assert_eq!(reported.len(), count, "after {} us", took);
    }

    // What an initiator tells in any second stays within its budget, however much is asked.
    #[test]
    fn bytes_stay_within_the_budget(askers in 1u64..200, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut reporter = DrainGossip::new(1, 300, 1, NOW);
        reporter.handle_cached_list(7);
        reporter.handle_endpoint_list(NOW, 8, leaving(&names(3_200)));
        reporter.set_watching(NOW, true);
        let (mut bytes, span) = (0, 5 * SECOND);
        for at in 0..askers * 5 {
            let now = NOW + at * span / (askers * 5);
            let after = Position { version: 8, key: TargetKey(random.random()) };
            let reports = reporter.handle_query(now, 0, 1, after);
            bytes += reports.iter().map(|outgoing| outgoing.message.encode().len() as u64).sum::<u64>();
        }
        prop_assert!(bytes <= MAX_BURST_BYTES + BUDGET_BYTES_PER_SECOND * span / SECOND, "{bytes} bytes");
    }
}

proptest! {
    #[test]
    fn no_datagram_can_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            if let Message::Report(report) = message {
                prop_assert!(report.draining.len() <= MAX_DATAGRAM_BYTES / 8);
            }
        }
    }

    #[test]
    fn a_torn_or_longer_datagram_is_not_read(round: u32, version: u64, cut in 1usize..8) {
        let bytes = Message::Query { round, after: Position::after_version(version) }.encode();
        prop_assert!(Message::decode(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
        prop_assert!(Message::decode(&[&bytes[..], &[0]].concat()).is_err());
        prop_assert_eq!(Message::decode(&[9, 1, 2]), Err(DecodeError::UnknownFormat(9)));
    }
}
