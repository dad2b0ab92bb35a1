//! The exchange between instances whose datagrams may be lost, doubled or late, in simulated time.

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
fn reports(exchange: &mut Exchange, now: Micros, number: u32, after: Position) -> Vec<Report> {
    let answer = exchange.query(now, 1, number, after).into_iter();
    let report = answer.map(|outgoing| match outgoing.message {
        Message::Report(report) => report,
        Message::Query { .. } => panic!("a query for an answer"),
    });
    report.collect()
}

/// What instance 1 gets for one query, of instances that have heard these departures.
fn answers(fleet: &mut [Exchange], now: Micros, query: &Outgoing) -> Vec<TargetKey> {
    let Message::Query { number, after } = query.message else { panic!("no query") };
    reports(&mut fleet[query.to], now, number, after).into_iter().flat_map(|report| report.departed).collect()
}

// Asking alone, the last of 300 instances heard 6 s and more after discovery's return; by then it had sent to
// what left.
#[test]
fn who_has_no_watch_hears_of_departures_within_a_second_of_any_part_that_has_one() {
    const INSTANCES: usize = 300;
    let gone = names(17);
    for (part, within) in [(10, 4 * SECOND), (4, 2 * SECOND), (2, SECOND)] {
        let mut fleet: Vec<Exchange> =
            (0..INSTANCES).map(|i| Exchange::new(i, INSTANCES, i as u64, NOW)).collect();
        for exchange in fleet.iter_mut().step_by(part) {
            exchange.listed(NOW, 42, leaving(&gone));
            exchange.watching(NOW, true);
        }
        let mut informed = 0;
        let waiting: Vec<usize> = (0..INSTANCES).filter(|i| i % part != 0).collect();
        for place in &waiting {
            let mut now = NOW;
            while now < NOW + within {
                now = fleet[*place].next_poll().expect("it asks");
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
    let mut exchange = Exchange::new(0, 3, 1, NOW);
    assert!(exchange.next_poll().is_some_and(|at| at <= NOW + 50 * MS), "a start asks at once");
    exchange.listed(NOW, 9, leaving(&gone));
    assert_eq!(exchange.query(NOW, 2, 1, Position::default()), Vec::new(), "its list may be old");
    exchange.watching(NOW, true);
    assert_eq!(exchange.next_poll(), None);
    assert_eq!(exchange.poll(NOW + SECOND), Vec::new());
    let [report] = &reports(&mut exchange, NOW, 7, Position::default())[..] else { panic!("one datagram") };
    assert_eq!((report.number, report.more, report.departed.len()), (7, false, 3));
    assert!(gone.iter().all(|name| report.departed.contains(&TargetKey::of(name))));
    let holder = Position::after_version(9);
    assert_eq!(reports(&mut exchange, NOW, 7, holder), [], "who holds that version knows");
    exchange.listed(NOW, 10, [(gone[0].as_str(), true)].into_iter());
    let [report] = &reports(&mut exchange, NOW, 7, Position::after_version(8))[..] else {
        panic!("one datagram")
    };
    assert_eq!(report.departed.len(), 2, "one is back");
    exchange.listed(NOW + 61 * SECOND, 11, std::iter::empty());
    assert_eq!(reports(&mut exchange, NOW, 7, Position::default()), [], "nothing is kept for ever");
}

#[test]
fn a_lone_instance_asks_nobody() {
    let mut exchange = Exchange::new(0, 1, 1, NOW);
    assert_eq!((exchange.next_poll(), exchange.poll(NOW + SECOND)), (None, Vec::new()));
}

#[test]
fn asking_costs_little_however_long_discovery_is_away() {
    let mut exchange = Exchange::new(5, 1_024, 3, NOW);
    let (mut bytes, mut now) = (0, NOW);
    while now < NOW + 60 * SECOND {
        now = exchange.next_poll().expect("it asks");
        bytes += exchange.poll(now).iter().map(|query| query.message.encode().len()).sum::<usize>();
    }
    assert!(bytes / 60 < 100, "{} bytes a second", bytes / 60);
}

/// A report that is the answer to the query of this number.
fn report_of(number: u32, gone: &[String]) -> Report {
    let departed = gone.iter().map(|name| TargetKey::of(name)).collect();
    let through = Position::after_version(9);
    Report { number, after: Position::default(), through, gap: false, more: false, departed }
}

#[test]
fn reports_are_taken_for_queries_of_the_last_rounds_only() {
    let gone = names(1);
    let mut exchange = Exchange::new(0, 4, 1, NOW);
    let taken = |exchange: &mut Exchange, number| exchange.report(NOW, 1, &report_of(number, &gone)).len();
    assert_eq!(taken(&mut exchange, 7), 0, "nothing was asked");
    let mut now = NOW;
    for round in 1..=6 {
        now = exchange.next_poll().expect("it asks");
        exchange.poll(now);
        assert_eq!(taken(&mut exchange, round), 1);
    }
    assert_eq!([1, 7, 3].map(|number| taken(&mut exchange, number)), [0, 0, 1]);
    exchange.watching(now, true);
    assert_eq!(taken(&mut exchange, 6), 0, "discovery itself is heard");
    assert_eq!(exchange.counters().not_asked, 4);
}

#[test]
fn long_lists_are_told_in_several_datagrams_that_fit() {
    let mut exchange = Exchange::new(0, 2, 1, NOW);
    exchange.listed(NOW, u64::MAX, leaving(&names(200)));
    exchange.watching(NOW, true);
    let reports = exchange.query(NOW, 1, u32::MAX, Position::default());
    assert!(reports.len() > 1 && reports.len() <= PAGE);
    for report in &reports {
        let bytes = report.message.encode();
        assert!(bytes.len() <= LONGEST, "{} bytes", bytes.len());
        assert_eq!(Message::decode(&bytes).as_ref(), Ok(&report.message));
    }
}

// Each answer named the first 232 departures, again and again: an instance that waited for discovery went on
// sending to all others.
#[test]
fn thousands_of_departures_are_all_told_in_seconds_by_one_peer() {
    let gone = names(3_200);
    let mut teller = Exchange::new(1, 2, 1, NOW);
    teller.listed(NOW, 9, leaving(&gone));
    teller.watching(NOW, true);
    let mut asker = Exchange::new(0, 2, 2, NOW);
    asker.remembers(8);
    let (took, told) = play(&mut teller, &mut asker, &Network::default(), 0, 3 * SECOND);
    assert_eq!(told.len(), gone.len(), "after {took} us: {:?}", teller.counters());
    assert!(took < 2 * SECOND, "{took} us");
    // A round may ask beside a query that goes on: a page of each is told twice.
    let twice = asker.counters().heard - 3_200;
    assert!(twice <= 2 * (PAGE * MOST_TARGETS) as u64, "{twice} are told twice");
}

// The newest stay, and who asks for what was forgotten is told that there is a gap.
#[test]
fn beyond_the_bound_the_oldest_are_forgotten_and_that_is_told() {
    let gone = names(MOST_KEPT + 100);
    let mut teller = Exchange::new(1, 2, 1, NOW);
    teller.remembers(1);
    teller.listed(NOW, 2, leaving(&gone[..100]));
    teller.listed(NOW, 3, leaving(&gone[100..]));
    teller.watching(NOW, true);
    let first = &reports(&mut teller, NOW, 1, Position::after_version(1))[0];
    assert!(first.gap, "{first:?}");
    assert!(!reports(&mut teller, NOW + SECOND, 1, Position::after_version(2))[0].gap);
    let mut asker = Exchange::new(0, 2, 2, NOW);
    asker.remembers(1);
    let (_, told) = play(&mut teller, &mut asker, &Network::default(), 0, 10 * SECOND);
    assert_eq!(told.len(), MOST_KEPT);
    assert!(asker.counters().gaps > 0);
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
    teller: &mut Exchange,
    asker: &mut Exchange,
    network: &Network,
    seed: u64,
    span: Micros,
) -> (Micros, BTreeSet<TargetKey>) {
    const ON_THE_WAY: Micros = 5 * MS;
    const LATE: Micros = 40 * MS;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut on_the_way: BTreeMap<(Micros, u64), (bool, Message)> = BTreeMap::new();
    let (mut number, mut last, mut told) = (0, 0, BTreeSet::new());
    let mut now = NOW;
    while now < NOW + span {
        let arrives = on_the_way.first_key_value().map(|((at, _), _)| *at);
        now = asker.next_poll().into_iter().chain(arrives).min().expect("it asks").max(now);
        let mut sent: Vec<(bool, Message)> = Vec::new();
        while let Some(entry) = on_the_way.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                (true, Message::Query { number, after }) => {
                    let answer = teller.query(now, 0, number, after);
                    sent.extend(answer.into_iter().map(|outgoing| (false, outgoing.message)));
                }
                (false, Message::Report(report)) => {
                    let before = told.len();
                    told.extend(asker.report(now, 1, &report));
                    last = if told.len() > before { now - NOW } else { last };
                }
                other => panic!("{other:?}"),
            }
        }
        sent.extend(asker.poll(now).into_iter().map(|outgoing| (true, outgoing.message)));
        for (to_teller, message) in sent {
            let copies = 1 + u32::from(random.random_ratio(network.doubled, 100));
            for _ in 0..copies {
                if random.random_ratio(network.lost, 100) {
                    continue;
                }
                let late = if random.random_ratio(network.late, 100) { LATE } else { 0 };
                number += 1;
                on_the_way.insert((now + ON_THE_WAY + late, number), (to_teller, message.clone()));
            }
        }
    }
    (last, told)
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
        let mut teller = Exchange::new(1, 2, 1, NOW);
        teller.remembers(7);
        for version in 0..versions {
            let part = gone.iter().enumerate().filter(|(place, _)| *place as u64 % versions == version);
            teller.listed(NOW, 8 + version, part.map(|(_, name)| (name.as_str(), false)));
        }
        teller.watching(NOW, true);
        let mut asker = Exchange::new(0, 2, 2, NOW);
        asker.remembers(7);
        let (took, told) = play(&mut teller, &mut asker, &Network { lost, doubled, late }, seed, 50 * SECOND);
        prop_assert_eq!(told.len(), count, "after {} us", took);
    }

    // What an instance tells in any second stays within its budget, however much is asked.
    #[test]
    fn bytes_stay_within_the_budget(askers in 1u64..200, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut teller = Exchange::new(1, 300, 1, NOW);
        teller.remembers(7);
        teller.listed(NOW, 8, leaving(&names(3_200)));
        teller.watching(NOW, true);
        let (mut bytes, span) = (0, 5 * SECOND);
        for at in 0..askers * 5 {
            let now = NOW + at * span / (askers * 5);
            let after = Position { version: 8, key: TargetKey(random.random()) };
            let reports = teller.query(now, 0, 1, after);
            bytes += reports.iter().map(|outgoing| outgoing.message.encode().len() as u64).sum::<u64>();
        }
        prop_assert!(bytes <= BURST + BYTES_PER_SECOND * span / SECOND, "{bytes} bytes");
    }
}

proptest! {
    #[test]
    fn no_datagram_can_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert!(bytes.len() <= LONGEST);
            if let Message::Report(report) = message {
                prop_assert!(report.departed.len() <= LONGEST / 8);
            }
        }
    }

    #[test]
    fn a_torn_or_longer_datagram_is_not_read(number: u32, version: u64, cut in 1usize..8) {
        let bytes = Message::Query { number, after: Position::after_version(version) }.encode();
        prop_assert!(Message::decode(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
        prop_assert!(Message::decode(&[&bytes[..], &[0]].concat()).is_err());
        prop_assert_eq!(Message::decode(&[9, 1, 2]), Err(Malformed::Format(9)));
    }
}
