//! Tests of the reach sets that requests take from a routing table.

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

fn loaded(version: u64, text: &str) -> Arc<LoadedRoutes> {
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

fn line(i: u32, state: TargetState) -> (TargetId, Endpoint) {
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

fn list(routes: &mut Routes, first: TargetState) {
    let lines = [line(0, first), line(1, TargetState::Active)];
    routes.apply_changes(lines.iter().map(|(n, l)| (*n, l)));
}

fn told(routes: &mut Routes) -> Vec<(u32, Option<Vec<u32>>)> {
    let one = |e: Event| match e {
        Event::TargetSetChanged { set: target_set, targets } => {
            (target_set.0, targets.map(|n| n.iter().map(|n| n.0).collect()))
        }
        other => panic!("{other:?}"),
    };
    routes.take_events().into_iter().map(one).collect()
}

#[test]
fn a_set_follows_the_list_and_falls_back_where_its_pool_has_nobody() {
    let mut routes = Routes::new(loaded(1, TABLE));
    list(&mut routes, TargetState::Active);
    assert_eq!(routes.acquire(&request(8, Some(0))), None, "no route");
    let reach = routes.acquire(&request(7, Some(0)));
    assert_eq!(routes.acquire(&request(7, Some(0))), reach, "one set for the same");
    assert_eq!(told(&mut routes), [(0, Some(vec![0]))]);
    list(&mut routes, TargetState::Draining);
    assert_eq!(told(&mut routes), [(0, Some(vec![1]))]);
    list(&mut routes, TargetState::Draining);
    assert_eq!(told(&mut routes), [], "nothing has changed");
    assert!(routes.acquire(&request(7, Some(5))).is_some());
    assert_eq!(told(&mut routes), [(1, Some(vec![]))], "no box holds that shard");
}

// A request keeps the table it began with, and the table goes with its last request.
#[test]
fn an_old_table_lasts_as_long_as_its_requests() {
    let mut routes = Routes::new(loaded(1, TABLE));
    list(&mut routes, TargetState::Active);
    let old = routes.acquire(&request(7, Some(0))).expect("a set");
    routes.load(loaded(2, &TABLE.replace("pool = \"first\"", "pool = \"second\"")));
    let new = routes.acquire(&request(7, Some(0))).expect("a set");
    assert!(new != old && routes.versions() == [1, 2]);
    assert_eq!(told(&mut routes), [(0, Some(vec![0])), (1, Some(vec![1]))]);
    list(&mut routes, TargetState::Removed);
    assert_eq!(told(&mut routes), [(0, Some(vec![1]))], "the old one follows the list too");
    routes.release(old);
    assert_eq!(told(&mut routes), [(0, None)]);
    assert_eq!(routes.versions(), [2]);
    routes.release(new);
    assert_eq!(told(&mut routes), [], "the present one's sets are kept for the next");
}
