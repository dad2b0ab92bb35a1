//! A file of routes with every key. Guards against a key that is no longer read: operators' files would be
//! refused, or an expectation would hold less than it says.

use rowanglade_routing::expect::Undecided;
use rowanglade_routing::{Addresses, BoxState, Front, Match, Must, Rules, Selector, Source, Terms, parse};
use std::collections::BTreeSet;

const SAMPLE: &str = include_str!("samples/routes.toml");

fn rules() -> Rules {
    let terms = Terms {
        classes: vec![("view".into(), false)],
        plans: vec![("basic".into(), None)],
        ..Terms::default()
    };
    parse(&[Source { name: "sample".into(), text: SAMPLE.into() }], &terms).expect("usable")
}

fn names(names: &[&str]) -> Option<BTreeSet<String>> {
    Some(names.iter().map(|name| name.to_string()).collect())
}

fn addresses(net: &str) -> Option<Addresses> {
    let mut addresses = Addresses::default();
    addresses.insert(net.parse().expect("a network"));
    Some(addresses)
}

fn shards(shards: &[u32]) -> Option<BTreeSet<u32>> {
    Some(shards.iter().copied().collect())
}

#[test]
fn every_key_of_pools_and_routes_is_read() {
    let table = rules().table;
    let [some, all] = table.pools() else { panic!("{:?}", table.pools()) };
    let boxes = Selector {
        names: names(&["box-1", "box-2"]),
        zones: names(&["kingston"]),
        kinds: names(&["std"]),
        shards: shards(&[1, 2]),
        addresses: addresses("10.1.0.0/16"),
    };
    assert_eq!((some.name.as_str(), &some.boxes), ("some", &boxes));
    assert_eq!((all.name.as_str(), &all.boxes), ("all", &Selector::default()));
    let [route] = table.routes() else { panic!("{:?}", table.routes()) };
    let requests = Match {
        fronts: Some(vec![Front::Http, Front::Iscsi]),
        clients: addresses("10.20.0.0/16"),
        classes: names(&["view"]),
        plans: names(&["basic"]),
        volumes: Some(vec![(10, 10), (16, 31)]),
        shards: shards(&[3]),
        write: Some(false),
        new: Some(false),
    };
    assert_eq!((route.name.as_str(), route.pool, route.fallback), ("r-1", 0, Some(1)));
    assert_eq!(route.requests, requests);
}

#[test]
fn every_key_of_expectations_is_read() {
    let expectations = rules().expectations;
    let only = Selector {
        names: names(&["box-1"]),
        zones: names(&["kingston"]),
        kinds: names(&["std"]),
        shards: shards(&[1]),
        addresses: addresses("10.1.0.0/16"),
    };
    let requests = Match {
        fronts: Some(vec![Front::Iscsi]),
        clients: addresses("10.20.0.0/16"),
        classes: names(&["view"]),
        plans: names(&["basic"]),
        volumes: Some(vec![(10, 10)]),
        shards: shards(&[3]),
        write: Some(true),
        new: Some(false),
    };
    assert_eq!(expectations[0].requests, requests);
    let negril = Selector { zones: names(&["negril"]), ..Selector::default() };
    let std = Selector { kinds: names(&["std"]), ..Selector::default() };
    let read: Vec<_> = expectations.into_iter().map(|e| (e.name, e.must, e.undecided)).collect();
    let expected = [
        ("e-only", Must::Only(only), Undecided::Refuse),
        ("e-never", Must::Never(negril, BoxState::ALL.to_vec()), Undecided::Hold),
        ("e-some", Must::Some { boxes: std, without: 2 }, Undecided::Warn),
        ("e-refused", Must::Refused, Undecided::Warn),
        ("e-attempts", Must::Attempts(4), Undecided::Warn),
        ("e-drain", Must::DrainGrace(1_000), Undecided::Warn),
        ("e-limit", Must::UnitLimit(32.5), Undecided::Warn),
        ("e-spread", Must::Spread(3), Undecided::Warn),
    ];
    assert_eq!(read, expected.map(|(name, must, undecided)| (name.to_string(), must, undecided)));
}
