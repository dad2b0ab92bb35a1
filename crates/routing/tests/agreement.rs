//! The checker and brute force: on small random configurations they agree, request by request and list by
//! list.

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
const NETS: [&str; 3] = ["10.0.0.0/8", "10.1.0.0/16", "11.0.0.0/8"];
const NAMES: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// A box that nobody names.
const FRESH: &str = "fresh";

fn some<T: std::fmt::Debug + Clone + 'static>(
    value: impl Strategy<Value = T> + 'static,
) -> BoxedStrategy<Option<T>> {
    prop_oneof![2 => Just(None), 1 => value.prop_map(Some)].boxed()
}

fn nets() -> impl Strategy<Value = AddressSet> {
    (0..NETS.len()).prop_map(|i| {
        let mut set = AddressSet::default();
        set.insert(NETS[i].parse().expect("a network"));
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
    (some(names()), some(zones), some(shards()), some(nets())).prop_map(
        |(names, zones, shards, addresses)| TargetSelector { names, zones, kinds: None, shards, addresses },
    )
}

fn requests() -> impl Strategy<Value = RequestMatch> {
    let classes = (0..2usize).prop_map(|c| [["view", "deposit"][c].to_string()].into());
    let volumes = (1..4u64, 0..2u64).prop_map(|(from, more)| vec![(from, from + more)]);
    let front = (0..2usize).prop_map(|f| vec![[Front::Http, Front::Iscsi][f]]);
    (some(front), some(nets()), some(classes), some(volumes), some(shards()), some(any::<bool>())).prop_map(
        |(fronts, clients, classes, volumes, shards, write)| RequestMatch {
            fronts,
            clients,
            classes,
            volumes,
            shards,
            write,
            ..RequestMatch::default()
        },
    )
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
    let route = (requests(), 0..2usize, some(0..2usize));
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
    let mut out = Vec::new();
    let clients: [Option<IpAddr>; 4] =
        [None, Some(ADDRESSES[0].into()), Some(ADDRESSES[1].into()), Some(ADDRESSES[2].into())];
    for front in [Front::Http, Front::Iscsi] {
        for client in clients {
            for (class, write) in [("view", false), ("deposit", true)] {
                for volume in 1..7 {
                    for shard in [None, Some(0), Some(1), Some(9)] {
                        let plan = Some("basic");
                        out.push(RouteRequest { front, client, class, plan, write, volume, shard });
                    }
                }
            }
        }
    }
    out
}

/// Whether it is broken by listed boxes or one that nobody names, and whether by one that is named and not
/// listed.
fn brute(table: &RouteTable, e: &Expectation, listed: &[TargetInfo]) -> (bool, bool) {
    let (mut plainly, mut by_named) = (false, false);
    let reach = |request: &RouteRequest<'_>, targets: &[(&TargetInfo, ListedState)]| -> Vec<TargetInfo> {
        let targets = targets.iter().map(|(b, s)| (*b, *s, (*b).clone()));
        table.reachable(table.route(request), request.shard, targets)
    };
    let named_shards: BTreeSet<u32> =
        listed.iter().map(|b| b.shard).chain(e.requests.shards.iter().flatten().copied()).collect();
    let mut newcomers = Vec::new();
    for name in NAMES.iter().chain([&FRESH]).filter(|n| !listed.iter().any(|b| b.name == **n)) {
        for zone in ZONES {
            for shard in SHARDS {
                for addr in ADDRESSES {
                    let (name, zone, kind) = (name.to_string(), zone.into(), "std".into());
                    newcomers.push(TargetInfo { name, zone, kind, shard, addr: addr.into() });
                }
            }
        }
    }
    for request in all_requests().iter().filter(|r| e.requests.matches(r)) {
        let wrong = |b: &TargetInfo| match &e.requirement {
            Requirement::Only(wanted) => !wanted.selects(b),
            Requirement::Never { targets: banned, .. } => banned.selects(b),
            _ => false,
        };
        let active: Vec<(&TargetInfo, ListedState)> =
            listed.iter().map(|b| (b, ListedState::Active)).collect();
        match &e.requirement {
            Requirement::Only(_) | Requirement::Never { .. } => {
                // Alone it is reached wherever it could be; beside all others the fallback does not count.
                for b in listed.iter().chain(&newcomers) {
                    let alone = reach(request, &[(b, ListedState::WarmingUp)]);
                    let mut beside = active.clone();
                    beside.push((b, ListedState::Active));
                    if alone.iter().chain(&reach(request, &beside)).any(wrong) {
                        match listed.contains(b) || b.name == FRESH {
                            true => plainly = true,
                            false => by_named = true,
                        }
                    }
                }
            }
            _ if request.shard.is_some_and(|s| !named_shards.contains(&s)) => {}
            Requirement::Some { targets, without } => {
                for gone in 0..1u32 << listed.len() {
                    if gone.count_ones() as usize <= *without {
                        let left = listed.iter().enumerate().map(|(i, b)| {
                            (b, if gone >> i & 1 == 1 { ListedState::Removed } else { ListedState::Active })
                        });
                        let reached = reach(request, &left.collect::<Vec<_>>());
                        plainly |= !reached.iter().any(|b| targets.selects(b));
                    }
                }
            }
            // Some of the first pool may go, and the second then serves.
            Requirement::Rejected => plainly |= active.iter().any(|b| !reach(request, &[*b]).is_empty()),
            Requirement::MinNewObjectTargets(least) => {
                plainly |= request.shard.is_none() && reach(request, &active).len() < *least;
            }
            _ => {}
        }
    }
    (plainly, by_named)
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
        let e = Expectation {
            name: String::new(),
            requests,
            requirement,
            when_undecided: WhenUndecided::Warn,
            origin: Origin::default(),
        };
        let report = check(&table, std::slice::from_ref(&e), &settings(), &listed);
        let verdict = &report.findings[0].verdict;
        let (plainly, by_named) = brute(&table, &e, &listed);
        match verdict {
            Verdict::Holds => prop_assert!(!plainly && !by_named, "held, and brute force breaks it"),
            Verdict::Broken { .. } => prop_assert!(plainly || by_named, "{verdict:?}, and brute force does not"),
            Verdict::Undecided { .. } => {
                // Boxes that may come can mend what is short, or break what is forbidden.
                let short = matches!(e.requirement, Requirement::Some { .. } | Requirement::MinNewObjectTargets(_) | Requirement::Rejected);
                prop_assert!(short || by_named, "{verdict:?}, and no box that may come breaks it");
                prop_assert!(short || !plainly, "{verdict:?}, and brute force breaks it as it is");
            }
        }
    }
}
