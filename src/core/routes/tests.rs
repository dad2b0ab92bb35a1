//! Tests of the target sets that requests acquire from a routing table.

use super::*;
use crate::core::request::RequestOrigin;
use bytes::Bytes;
use rowanglade_routing::{ClassSettings, ServiceSettings, Source, parse};
use std::time::Duration;

const TABLE: &str = r#"
[[pool]]
name = "first"
boxes = "s-0"
[[pool]]
name = "second"
boxes = "s-1"
[[route]]
name = "r"
volume = "7"
pool = "first"
fallback = "second"
"#;

fn load_table(version: u64, text: &str) -> Arc<LoadedRoutes> {
    let settings = ServiceSettings {
        classes: vec![ClassSettings { name: "view".into(), writes: false }],
        ..ServiceSettings::default()
    };
    let source = Source { name: "t".into(), text: text.into() };
    Arc::new(LoadedRoutes { version, table: parse(&[source], &settings).expect("usable").table })
}

fn request(volume: u64, shard: Option<u32>) -> Request {
    Request {
        origin: RequestOrigin { front: Protocol::Http, client: None, connection: None },
        id: "a".into(),
        class: "view".into(),
        plan: None,
        write: false,
        volume,
        object: 0,
        locator: String::new(),
        idempotency_key: None,
        units: 1.0,
        shard,
        initiators: 1,
        length: 0,
        body: Bytes::new(),
        body_rest: None,
        time_left: Duration::from_secs(1),
    }
}

fn listed_target(i: u32, state: TargetState) -> (TargetId, Endpoint) {
    let listed = Endpoint {
        name: format!("s-{i}"),
        protocol: Protocol::Http,
        addr: ([127, 0, 0, 1], 9).into(),
        zone: String::new(),
        kind: String::new(),
        shard: 0,
        state,
        started: None,
    };
    (TargetId(i), listed)
}

fn apply_list(routes: &mut Routes, first: TargetState) {
    let entries = [listed_target(0, first), listed_target(1, TargetState::Active)];
    routes.apply_changes(entries.iter().map(|(id, endpoint)| (*id, endpoint)));
}

fn changed_sets(routes: &mut Routes) -> Vec<(u32, Option<Vec<u32>>)> {
    let describe = |e: Event| match e {
        Event::TargetSetChanged { set: target_set, targets } => {
            (target_set.0, targets.map(|n| n.iter().map(|n| n.0).collect()))
        }
        other => panic!("{other:?}"),
    };
    routes.take_events().into_iter().map(describe).collect()
}

#[test]
fn a_target_set_follows_the_list_and_uses_the_fallback_if_its_pool_has_no_target() {
    let mut routes = Routes::new(load_table(1, TABLE));
    apply_list(&mut routes, TargetState::Active);
    assert_eq!(routes.acquire(&request(8, Some(0))), None, "no route matches");
    let set = routes.acquire(&request(7, Some(0)));
    assert_eq!(routes.acquire(&request(7, Some(0))), set, "the same route and shard share a set");
    assert_eq!(changed_sets(&mut routes), [(0, Some(vec![0]))]);
    apply_list(&mut routes, TargetState::Draining);
    assert_eq!(changed_sets(&mut routes), [(0, Some(vec![1]))]);
    apply_list(&mut routes, TargetState::Draining);
    assert_eq!(changed_sets(&mut routes), [], "the list has not changed");
    assert!(routes.acquire(&request(7, Some(5))).is_some());
    assert_eq!(changed_sets(&mut routes), [(1, Some(vec![]))], "no target holds that shard");
}

// A request keeps the table it arrived under, and the table is dropped with its last request.
#[test]
fn an_old_table_is_kept_until_its_last_request_ends() {
    let mut routes = Routes::new(load_table(1, TABLE));
    apply_list(&mut routes, TargetState::Active);
    let old = routes.acquire(&request(7, Some(0))).expect("a set");
    routes.load(load_table(2, &TABLE.replace("pool = \"first\"", "pool = \"second\"")));
    let new = routes.acquire(&request(7, Some(0))).expect("a set");
    assert!(new != old && routes.versions() == [1, 2]);
    assert_eq!(changed_sets(&mut routes), [(0, Some(vec![0])), (1, Some(vec![1]))]);
    apply_list(&mut routes, TargetState::Removed);
    assert_eq!(changed_sets(&mut routes), [(0, Some(vec![1]))], "the old set follows the list too");
    routes.release(old);
    assert_eq!(changed_sets(&mut routes), [(0, None)]);
    assert_eq!(routes.versions(), [2]);
    routes.release(new);
    assert_eq!(changed_sets(&mut routes), [], "sets of the table in force are kept for later requests");
}
