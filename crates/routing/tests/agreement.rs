//! Compares the checker with a brute-force evaluation on small random configurations, for all requests and
//! endpoint lists.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rowanglade_routing::{
    AddressSet, ClassSettings, Expectation, Front, ListedState, Origin, PlanSettings, Pool, RequestMatch,
    Requirement, Route, RouteRequest, RouteTable, ServiceSettings, TargetInfo, TargetSelector, Verdict,
    WhenUndecided, check,
};
use std::collections::BTreeSet;
use std::net::IpAddr;

const ZONES: [&str; 3] = ["a", "b", "elsewhere"];
const SHARDS: [u32; 3] = [0, 1, 9];
const ADDRESSES: [[u8; 4]; 3] = [[10, 1, 0, 1], [10, 2, 0, 1], [11, 0, 0, 1]];
const NETWORKS: [&str; 3] = ["10.0.0.0/8", "10.1.0.0/16", "11.0.0.0/8"];
const NAMES: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// A target whose name no selector contains.
const UNNAMED_TARGET: &str = "fresh";

fn optional<T: std::fmt::Debug + Clone + 'static>(
    value: impl Strategy<Value = T> + 'static,
) -> BoxedStrategy<Option<T>> {
    prop_oneof![2 => Just(None), 1 => value.prop_map(Some)].boxed()
}

fn networks() -> impl Strategy<Value = AddressSet> {
    (0..NETWORKS.len()).prop_map(|i| {
        let mut set = AddressSet::default();
        set.insert(NETWORKS[i].parse().expect("a network"));
        set
    })
}

fn names() -> impl Strategy<Value = BTreeSet<String>> {
    proptest::collection::btree_set((0..NAMES.len()).prop_map(|i| NAMES[i].to_string()), 1..3)
}

fn shards() -> impl Strategy<Value = BTreeSet<u32>> {
    proptest::collection::btree_set(0..2u32, 1..3)
}

fn selector() -> impl Strategy<Value = TargetSelector> {
    let zones = (0..2usize).prop_map(|z| [ZONES[z].to_string()].into());
    (optional(names()), optional(zones), optional(shards()), optional(networks())).prop_map(
        |(names, zones, shards, addresses)| TargetSelector { names, zones, kinds: None, shards, addresses },
    )
}

fn requests() -> impl Strategy<Value = RequestMatch> {
    let classes = (0..2usize).prop_map(|c| [["view", "deposit"][c].to_string()].into());
    let volumes = (1..4u64, 0..2u64).prop_map(|(from, more)| vec![(from, from + more)]);
    let front = (0..2usize).prop_map(|f| vec![[Front::Http, Front::Iscsi][f]]);
    (
        optional(front),
        optional(networks()),
        optional(classes),
        optional(volumes),
        optional(shards()),
        optional(any::<bool>()),
    )
        .prop_map(|(fronts, clients, classes, volumes, shards, write)| RequestMatch {
            fronts,
            clients,
            classes,
            volumes,
            shards,
            write,
            ..RequestMatch::default()
        })
}

fn targets() -> impl Strategy<Value = Vec<TargetInfo>> {
    proptest::collection::vec((0..2usize, 0..2u32, 0..3usize), 0..3).prop_map(|targets| {
        let info = |(i, (zone, shard, addr)): (usize, (usize, u32, usize))| TargetInfo {
            name: NAMES[i].into(),
            zone: ZONES[zone].into(),
            kind: "std".into(),
            shard,
            addr: ADDRESSES[addr].into(),
        };
        targets.into_iter().enumerate().map(info).collect()
    })
}

fn requirement() -> impl Strategy<Value = Requirement> {
    prop_oneof![
        selector().prop_map(Requirement::Only),
        selector().prop_map(|s| Requirement::Never { targets: s, states: ListedState::ALL.to_vec() }),
        (selector(), 0..3usize).prop_map(|(targets, without)| Requirement::Some { targets, without }),
        Just(Requirement::Rejected),
        (0..4usize).prop_map(Requirement::MinNewObjectTargets),
    ]
}

fn table() -> impl Strategy<Value = RouteTable> {
    let route = (requests(), 0..2usize, optional(0..2usize));
    (proptest::collection::vec(selector(), 2..=2), proptest::collection::vec(route, 0..4)).prop_map(
        |(pools, routes)| {
            let pool = |targets| Pool { name: String::new(), targets, origin: Origin::default() };
            let route = |(requests, pool, fallback)| Route {
                name: String::new(),
                requests,
                pool,
                fallback,
                origin: Origin::default(),
            };
            RouteTable::new(routes.into_iter().map(route).collect(), pools.into_iter().map(pool).collect())
        },
    )
}

fn settings() -> ServiceSettings {
    ServiceSettings {
        classes: vec![
            ClassSettings { name: "view".into(), writes: false },
            ClassSettings { name: "deposit".into(), writes: true },
        ],
        plans: vec![PlanSettings { name: "basic".into(), max_units_per_second: None }],
        max_attempts: 3,
        drain_grace_ms: 1_000,
    }
}

fn all_requests() -> Vec<RouteRequest<'static>> {
    let mut requests = Vec::new();
    let clients: [Option<IpAddr>; 4] =
        [None, Some(ADDRESSES[0].into()), Some(ADDRESSES[1].into()), Some(ADDRESSES[2].into())];
    for front in [Front::Http, Front::Iscsi] {
        for client in clients {
            for (class, write) in [("view", false), ("deposit", true)] {
                for volume in 1..7 {
                    for shard in [None, Some(0), Some(1), Some(9)] {
                        let plan = Some("basic");
                        requests.push(RouteRequest { front, client, class, plan, write, volume, shard });
                    }
                }
            }
        }
    }
    requests
}

/// Whether an expectation is broken by listed targets or by one that no selector names, and whether it is
/// broken by a target that a selector names and the list does not contain.
fn brute_force(table: &RouteTable, expectation: &Expectation, listed: &[TargetInfo]) -> (bool, bool) {
    let (mut broken_by_list, mut broken_by_unlisted) = (false, false);
    let reach = |request: &RouteRequest<'_>, targets: &[(&TargetInfo, ListedState)]| -> Vec<TargetInfo> {
        let targets = targets.iter().map(|(target, s)| (*target, *s, (*target).clone()));
        table.reachable(table.route(request), request.shard, targets)
    };
    let named_shards: BTreeSet<u32> = listed
        .iter()
        .map(|target| target.shard)
        .chain(expectation.requests.shards.iter().flatten().copied())
        .collect();
    let mut unlisted_targets = Vec::new();
    for name in
        NAMES.iter().chain([&UNNAMED_TARGET]).filter(|n| !listed.iter().any(|target| target.name == **n))
    {
        for zone in ZONES {
            for shard in SHARDS {
                for addr in ADDRESSES {
                    let (name, zone, kind) = (name.to_string(), zone.into(), "std".into());
                    unlisted_targets.push(TargetInfo { name, zone, kind, shard, addr: addr.into() });
                }
            }
        }
    }
    for request in all_requests().iter().filter(|r| expectation.requests.matches(r)) {
        let violates = |target: &TargetInfo| match &expectation.requirement {
            Requirement::Only(wanted) => !wanted.selects(target),
            Requirement::Never { targets: forbidden, .. } => forbidden.selects(target),
            _ => false,
        };
        let active: Vec<(&TargetInfo, ListedState)> =
            listed.iter().map(|target| (target, ListedState::Active)).collect();
        match &expectation.requirement {
            Requirement::Only(_) | Requirement::Never { .. } => {
                // A target that is alone in the list is reached through any pool that contains it. If all
                // listed targets are active as well, the fallback is used only for a first pool without
                // targets.
                for target in listed.iter().chain(&unlisted_targets) {
                    let alone = reach(request, &[(target, ListedState::WarmingUp)]);
                    let mut with_others = active.clone();
                    with_others.push((target, ListedState::Active));
                    if alone.iter().chain(&reach(request, &with_others)).any(violates) {
                        match listed.contains(target) || target.name == UNNAMED_TARGET {
                            true => broken_by_list = true,
                            false => broken_by_unlisted = true,
                        }
                    }
                }
            }
            _ if request.shard.is_some_and(|s| !named_shards.contains(&s)) => {}
            Requirement::Some { targets, without } => {
                for removed_mask in 0..1u32 << listed.len() {
                    if removed_mask.count_ones() as usize <= *without {
                        let remaining = listed.iter().enumerate().map(|(i, target)| {
                            (
                                target,
                                if removed_mask >> i & 1 == 1 {
                                    ListedState::Removed
                                } else {
                                    ListedState::Active
                                },
                            )
                        });
                        let reached = reach(request, &remaining.collect::<Vec<_>>());
                        broken_by_list |= !reached.iter().any(|target| targets.selects(target));
                    }
                }
            }
            // Targets of the first pool may be missing, and the fallback serves then.
            Requirement::Rejected => {
                broken_by_list |= active.iter().any(|target| !reach(request, &[*target]).is_empty())
            }
            Requirement::MinNewObjectTargets(min) => {
                broken_by_list |= request.shard.is_none() && reach(request, &active).len() < *min;
            }
            _ => {}
        }
    }
    (broken_by_list, broken_by_unlisted)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_500,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_checker_agrees_with_brute_force(table in table(), requests in requests(), requirement in requirement(), listed in targets()) {
        let expectation = Expectation {
            name: String::new(),
            requests,
            requirement,
            when_undecided: WhenUndecided::Warn,
            origin: Origin::default(),
        };
        let report = check(&table, std::slice::from_ref(&expectation), &settings(), &listed);
        let verdict = &report.findings[0].verdict;
        let (broken_by_list, broken_by_unlisted) = brute_force(&table, &expectation, &listed);
        match verdict {
            Verdict::Holds => prop_assert!(
                !broken_by_list && !broken_by_unlisted,
                "the checker passes it, but brute force breaks it"
            ),
            Verdict::Broken { .. } => prop_assert!(
                broken_by_list || broken_by_unlisted,
                "{verdict:?}, but brute force does not break it"
            ),
            Verdict::Undecided { .. } => {
                // Targets that are listed later can add what is missing, or break what is forbidden.
                let too_few_is_undecided = matches!(
                    expectation.requirement,
                    Requirement::Some { .. } | Requirement::MinNewObjectTargets(_) | Requirement::Rejected
                );
                prop_assert!(
                    too_few_is_undecided || broken_by_unlisted,
                    "{verdict:?}, but no unlisted target breaks it"
                );
                prop_assert!(
                    too_few_is_undecided || !broken_by_list,
                    "{verdict:?}, but brute force breaks it with the present list"
                );
            }
        }
    }
}
