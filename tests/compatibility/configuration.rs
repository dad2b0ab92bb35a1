//! The platform's file and an operator's file, with every key set to a value other than its default. Guards
//! against a key that is no longer read: most keys have defaults, so a process would start and silently use
//! the wrong value.

use rowanglade::config::Config;
use rowanglade::interface::{DeduplicationScope, Idempotency};
use rowanglade::names::Names;
use rowanglade_discovery_polling::Delivery;
use rowanglade_subset::{Subset, SubsetConfig};
use std::net::SocketAddr;
use std::time::Duration;

const PLATFORM: &str = include_str!("samples/platform.json");
const OPERATOR: &str = include_str!("samples/operator.toml");

fn load() -> Config {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        path
    };
    let platform = write("config.json", PLATFORM).display().to_string();
    let key = write("fleet.key", &"07".repeat(32)).display().to_string();
    let operator = write("operator.toml", &OPERATOR.replace("KEY_FILE", &key));
    Config::load(|name| (name == "LB_CONFIG").then(|| platform.clone()), &[operator]).expect("usable")
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn every_key_beside_the_settings_is_read() {
    let config = load();
    assert_eq!((config.name.as_str(), config.listen, config.seed), ("n1", addr(7070), 0xab));
    assert_eq!((config.discovery, config.admin), (Some(addr(7071)), Some(addr(7072))));
    assert_eq!((config.limits.memory_mb, config.limits.sockets), (300, 2_000));
    let peers = config.gossip_peers.expect("peers");
    assert_eq!((peers.listen, peers.own_index), (addr(7073), 1));
    assert_eq!(peers.all, [addr(7073), addr(7074), addr(7075)]);
    let known = serde_json::to_value(config.cached_list.expect("a list")).expect("JSON");
    let sample: serde_json::Value = serde_json::from_str(PLATFORM).expect("JSON");
    assert_eq!(known, sample["known"]);
}

#[test]
fn every_key_of_the_settings_that_the_program_itself_uses_is_read() {
    let settings = load().settings;
    assert_eq!(settings.connection_idle_timeout(), Duration::from_secs(31));
    assert_eq!(settings.connect_timeout(), Duration::from_millis(260));
    assert_eq!(settings.zones(), ["kingston", "negril"]);
    assert_eq!(settings.delivery(), Delivery::Polled { max_poll_interval: 10_000_000 });
    assert!(settings.peer_messages_allowed());
    assert_eq!((settings.initiator_number_and_count(), settings.initiator_number()), ((1, 3), Some(1)));
    assert_eq!((settings.shard_count(), settings.max_retry_after()), (Some(8), Duration::from_millis(500)));
    assert_eq!(settings.plans().collect::<Vec<_>>(), ["basic"]);
    let classes: Vec<_> = settings.classes().map(|class| (class.name, class.writes, class.keyed)).collect();
    assert_eq!(
        classes,
        [
            ("view", false, true),
            ("deposit", true, true),
            ("keep", true, true),
            ("look", false, false),
            ("move", false, false),
        ]
    );
}

#[test]
fn every_key_of_the_settings_reaches_the_scheduler() {
    let mut names = Names::default();
    let settings = load().settings.translate(&mut names).expect("usable");
    assert_eq!(names.load_report_fields, ["depth", "mean_ms"]);
    assert_eq!(settings.initiators, 3);
    let figures = (
        settings.mean_request_units,
        settings.weight_within_share,
        settings.weight_beyond_share,
        settings.meter_period,
    );
    assert_eq!(figures, (2.5, 0.375, 0.125, 70_000));
    let may = [settings.reports_usage_elsewhere, settings.may_probe, settings.may_cancel, settings.may_hedge];
    assert_eq!((may, settings.max_retry_after), ([true; 4], 500_000));
    let rules = settings.rules;
    assert_eq!(
        (rules.slow_start_capacity, rules.slow_start_units, rules.slow_start_duration),
        (0.28, 51.0, 15_000_000)
    );
    assert_eq!(
        (rules.drain_grace, rules.overload_window, rules.overload_multiple),
        (1_000_000, 3_000_000, 2.5)
    );
    assert_eq!((rules.key_quiet_period, rules.max_attempts), (90_000, 4));
    let budget = rules.retry_budget.expect("a budget");
    assert_eq!((budget.minimum, budget.ratio, budget.window), (6.5, 0.1, 8_000_000));
    let plan = &settings.plans[0];
    assert_eq!((plan.nominal, plan.reserve, plan.weight, plan.price), (4.5, 2.25, 1.5, 0.75));
    let limit = plan.limit.expect("a limit");
    assert_eq!((limit.rate, limit.burst, limit.debt_limit), (32.25, 50.5, 5.5));
    let classes: Vec<_> = settings
        .classes
        .iter()
        .map(|c| {
            (c.latency_objective, c.deadline, c.ordered_by_key, c.write, c.priority_weight, c.late_weight)
        })
        .collect();
    assert_eq!(
        classes,
        [
            (300_000, 1_500_000, true, false, 2.5, 0.25),
            (400_000, 1_600_000, false, true, 3.5, 0.5),
            (500_000, 1_700_000, false, true, 1.0, 0.0),
            (600_000, 1_800_000, false, false, 1.0, 0.0),
            (700_000, 1_900_000, false, false, 1.0, 0.0),
        ]
    );
    let repeats: Vec<Idempotency> = settings.classes.iter().map(|c| c.idempotency).collect();
    assert_eq!(
        repeats,
        [
            Idempotency::KeyedWithin { scope: DeduplicationScope::All, window: 5_000_000 },
            Idempotency::KeyedWithin { scope: DeduplicationScope::Shard, window: 6_000_000 },
            Idempotency::KeyedWithin { scope: DeduplicationScope::Zone, window: 7_000_000 },
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
        ]
    );
}

#[test]
fn every_key_of_the_operators_tables_is_read() {
    let config = load();
    let log = config.access_log.expect("a log");
    assert_eq!((log.path.to_str(), log.queue), (Some("access.log"), 100));
    let iscsi = config.iscsi.expect("a front");
    assert_eq!((iscsi.listen, iscsi.blocks_per_unit), (addr(3260), 16));
    assert_eq!(iscsi.name, "iqn.2026-12.example.kingston:rowanglade");
    assert_eq!(iscsi.login_timeout, Duration::from_millis(600));
    assert_eq!(iscsi.silence_timeout, Duration::from_millis(700));
    let lun = &iscsi.luns[&0x3_b4d6_0021];
    assert_eq!((lun.plan.as_deref(), lun.shard, lun.initiators), (Some("basic"), Some(3), 2));
    let target = &iscsi.targets[0];
    assert_eq!(target.name, "iqn.2026-12.example.kingston:box-0");
    assert_eq!((target.addr, target.zone.as_str(), target.shard), (addr(3261), "kingston", 4));
    let fleet = config.quota_peers.expect("a fleet");
    assert_eq!((fleet.own.0, fleet.key), (1, [7; 32]));
    assert_eq!(fleet.addrs, [addr(7946), addr(7947)]);
    let sites = config.sites.expect("sites");
    assert_eq!(sites.names.iter().collect::<Vec<_>>(), ["negril"]);
    let rules = sites.rules;
    assert_eq!((rules.evidence_window, rules.quorum, rules.ejection_time), (1_100_000, 0.875, 5_100_000));
    assert_eq!(
        (rules.max_ejection_time, rules.probe_interval, rules.slow_factor),
        (61_000_000, 510_000, 3.5)
    );
    let routes = config.routing.rules;
    assert_eq!(
        (routes.table.pools().len(), routes.table.routes().len(), routes.expectations.len()),
        (1, 1, 1)
    );
}

// The fields are private, so the debug output is compared with that of a subset with the same parameters.
#[test]
fn every_key_of_the_subset_is_read() {
    let expected = Subset::new(SubsetConfig { size: 2, spread: 1.5 }, 1, 3);
    assert_eq!(format!("{:?}", load().subset.expect("a subset")), format!("{expected:?}"));
}
