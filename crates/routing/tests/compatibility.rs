//! A file of routes with every key. Guards against a key that is no longer read: operators' files would be
//! rejected, or an expectation would check less than it states.

use rowanglade_routing::{
    AddressSet, ClassSettings, Front, ListedState, PlanSettings, RequestMatch, Requirement, RoutingRules,
    ServiceSettings, Source, TargetSelector, WhenUndecided, parse,
};
use std::collections::BTreeSet;

const SAMPLE: &str = include_str!("samples/routes.toml");

fn rules() -> RoutingRules {
    let settings = ServiceSettings {
        classes: vec![ClassSettings { name: "view".into(), writes: false }],
        plans: vec![PlanSettings { name: "basic".into(), max_units_per_second: None }],
        ..ServiceSettings::default()
    };
    parse(&[Source { name: "sample".into(), text: SAMPLE.into() }], &settings).expect("a valid file")
}

fn names(names: &[&str]) -> Option<BTreeSet<String>> {
    Some(names.iter().map(|name| name.to_string()).collect())
}

fn addresses(net: &str) -> Option<AddressSet> {
    let mut addresses = AddressSet::default();
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
    let targets = TargetSelector {
        names: names(&["box-1", "box-2"]),
        zones: names(&["kingston"]),
        kinds: names(&["std"]),
        shards: shards(&[1, 2]),
        addresses: addresses("10.1.0.0/16"),
    };
    assert_eq!((some.name.as_str(), &some.targets), ("some", &targets));
    assert_eq!((all.name.as_str(), &all.targets), ("all", &TargetSelector::default()));
    let [route] = table.routes() else { panic!("{:?}", table.routes()) };
    let requests = RequestMatch {
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
    let only = TargetSelector {
        names: names(&["box-1"]),
        zones: names(&["kingston"]),
        kinds: names(&["std"]),
        shards: shards(&[1]),
        addresses: addresses("10.1.0.0/16"),
    };
    let requests = RequestMatch {
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
    let negril = TargetSelector { zones: names(&["negril"]), ..TargetSelector::default() };
    let std = TargetSelector { kinds: names(&["std"]), ..TargetSelector::default() };
    let read: Vec<_> = expectations.into_iter().map(|e| (e.name, e.requirement, e.when_undecided)).collect();
    let expected = [
        ("e-only", Requirement::Only(only), WhenUndecided::Refuse),
        (
            "e-never",
            Requirement::Never { targets: negril, states: ListedState::ALL.to_vec() },
            WhenUndecided::Hold,
        ),
        ("e-some", Requirement::Some { targets: std, without: 2 }, WhenUndecided::Warn),
        ("e-refused", Requirement::Rejected, WhenUndecided::Warn),
        ("e-attempts", Requirement::MaxAttempts(4), WhenUndecided::Warn),
        ("e-drain", Requirement::MaxDrainGraceMs(1_000), WhenUndecided::Warn),
        ("e-limit", Requirement::MaxUnitsPerSecond(32.5), WhenUndecided::Warn),
        ("e-spread", Requirement::MinNewObjectTargets(3), WhenUndecided::Warn),
    ];
    assert_eq!(
        read,
        expected.map(|(name, requirement, undecided)| (name.to_string(), requirement, undecided))
    );
}
