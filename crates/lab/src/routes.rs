//! Experiments on routing tables: offline checks, lookup cost and reload under load.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces::{self, Traffic};
use rowanglade_replay::Replay;
use rowanglade_routing::{
    ClassSettings, Decision, Front, PlanSettings, Requirement, RouteRequest, RoutingRules, ServiceSettings,
    Source, TargetInfo, check, parse,
};
use rowanglade_test_fleet::{ProcessUsage, StubSite};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Time after which a request that was sent under the previous routing table has reached its target.
const DELIVERY_TIME: Duration = Duration::from_millis(150);

pub fn experiments() -> Vec<Experiment> {
    let experiment = |name, about, run| Experiment { name, about, runner: Runner::Plain(run) };
    vec![
        experiment(
            "routes-check",
            "10,000 collections and 2,000 expectations, checked without traffic",
            routes_check,
        ),
        experiment("routes-lookup", "the cost of a route lookup with 10 and with 10,000 routes", lookup),
        experiment(
            "routes-reload",
            "500 requests per second while the routing table is reloaded ten times",
            reload,
        ),
    ]
}

fn settings() -> ServiceSettings {
    ServiceSettings {
        classes: vec![
            ClassSettings { name: "view".into(), writes: false },
            ClassSettings { name: "deposit".into(), writes: true },
            ClassSettings { name: "export".into(), writes: false },
        ],
        plans: vec![
            PlanSettings { name: "basic".into(), max_units_per_second: Some(32.0) },
            PlanSettings { name: "full".into(), max_units_per_second: None },
        ],
        max_attempts: 3,
        drain_grace_ms: 1_000,
    }
}

fn targets(count: u32) -> Vec<TargetInfo> {
    let target_info = |i: u32| TargetInfo {
        name: format!("s-{i}"),
        zone: ZONE.into(),
        kind: "std".into(),
        shard: i,
        addr: [10, 1, 0, i as u8].into(),
    };
    (0..count).map(target_info).collect()
}

/// Generates a configuration with one route per collection to the pool of its target, plus five expectations
/// for all requests and, if `expectations` is larger, expectations for single collections.
fn configuration_text(collections: u64, expectations: u64, targets: u64) -> String {
    let mut out = String::new();
    for target in 0..targets {
        let _ = write!(out, "[[pool]]\nname = \"p{target}\"\nboxes = \"s-{target}\"\n");
    }
    for collection in 0..collections {
        let _ = write!(
            out,
            "[[route]]\nname = \"c{collection}\"\nvolume = \"{collection:x}\"\npool = \"p{}\"\n",
            collection % targets
        );
    }
    if expectations > 0 {
        let zone = format!("[[pool]]\nname = \"zone\"\nzones = \"{ZONE}\"\n");
        out += &(zone + "[[route]]\nname = \"rest\"\npool = \"zone\"\n");
    }
    for expectation in 0..expectations.saturating_sub(5) {
        let collection = expectation * collections / expectations;
        let _ = write!(
            out,
            "[[expect]]\nname = \"e{expectation}\"\nrequests = {{ volume = \"{collection:x}\" }}\nonly = {{ boxes = \"s-{}\" }}\n",
            collection % targets
        );
    }
    out += "[[expect]]\nname = \"drain\"\nnever = {}\nin_state = [\"draining\", \"gone\"]\n";
    out += "[[expect]]\nname = \"attempts\"\nattempts_at_most = 3\n";
    out += "[[expect]]\nname = \"zone\"\nrequests = { volume = \"0..ffffff\" }\nnever = { zones = \"elsewhere\" }\n";
    out += "[[expect]]\nname = \"limit\"\nrequests = { plan = \"basic\" }\nunit_limit_at_most = 32\n";
    out += "[[expect]]\nname = \"grace\"\ndrain_grace_ms_at_most = 1000\n";
    out
}

fn parse_rules(text: String) -> Result<RoutingRules, Failure> {
    Ok(parse(&[Source { name: "made".into(), text }], &settings())?)
}

fn routes_check() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let targets = targets(14);
    let mut times = Vec::new();
    for (collections, expectations) in [(1_000, 200), (10_000, 2_000)] {
        let text = configuration_text(collections, expectations, 14);
        let started_at = Instant::now();
        let rules = parse_rules(text)?;
        let parse_seconds = started_at.elapsed().as_secs_f64();
        let report = check(&rules.table, &rules.expectations, &settings(), &targets);
        let total_seconds = started_at.elapsed().as_secs_f64();
        let holds = report.decision(&rules.expectations) == Decision::Load
            && report.lines(&rules.expectations).is_empty();
        out.figure(format!("{collections} collections: read"), parse_seconds, "s");
        out.figure(format!("{collections} collections: read and checked"), total_seconds, "s");
        out.claim(format!("{collections} collections: all {expectations} expectations hold"), holds);
        // A single wrong expectation must be found among the others.
        let mut broken = rules.expectations.clone();
        if let Some(e) = broken.iter_mut().find(|e| e.name == "e7") {
            e.requirement = Requirement::Rejected;
        }
        let decision = check(&rules.table, &broken, &settings(), &targets).decision(&broken);
        out.claim(
            format!("{collections} collections: one wrong expectation is found"),
            decision == Decision::Refuse,
        );
        times.push(total_seconds);
    }
    let memory = ProcessUsage::of("self").peak_memory_bytes as f64 / 1e6;
    out.figure("memory at most", memory, "MB");
    out.figure("ten times as many take", times[1] / times[0].max(1e-6), "times as long");
    out.claim("10,000 collections and 2,000 expectations are read and checked in under 2 s", times[1] < 2.0);
    out.claim("the peak memory of reading and checking is under 200 MB", memory < 200.0);
    out.claim(
        "about linear: ten times as many collections take less than 20 times as long",
        times[1] < 20.0 * times[0],
    );
    Ok(out)
}

fn lookup() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let mut costs = Vec::new();
    for routes in [10u64, 10_000] {
        let rules = parse_rules(configuration_text(routes, 0, 10))?;
        let lookups = 2_000_000u64;
        let started_at = Instant::now();
        let mut found = 0u64;
        for i in 0..lookups {
            let request = RouteRequest {
                front: Front::Http,
                client: None,
                class: "view",
                plan: Some("basic"),
                write: false,
                volume: i.wrapping_mul(0x9e37_79b9) % (2 * routes),
                shard: Some(3),
            };
            found += u64::from(rules.table.route(&request).is_some());
        }
        let cost = started_at.elapsed().as_secs_f64() * 1e9 / lookups as f64;
        out.figure(format!("{routes} routes: a look-up"), cost, "ns");
        out.claim(
            format!("{routes} routes: about half of the volumes have a route"),
            found.abs_diff(lookups / 2) < lookups / 20,
        );
        costs.push(cost);
    }
    out.figure("at 10,000 over at 10", costs[1] / costs[0], "times");
    out.claim(
        "a lookup among a thousand times as many routes costs less than ten times as much",
        costs[1] < 10.0 * costs[0],
    );
    Ok(out)
}

/// Generates version `number` of the configuration: new objects of half of the volumes go to one target,
/// which changes with each version; those of the other volumes go to all targets but target 0.
fn configuration(number: usize) -> String {
    let target = 1 + number % 3;
    format!(
        "[access_log]\npath = \"access.log\"\n[[pool]]\nname = \"target\"\nboxes = \"box-{target}\"\n\
         [[pool]]\nname = \"rest\"\nboxes = [\"box-1\", \"box-2\", \"box-3\"]\n\
         [[route]]\nname = \"moved\"\nnew = true\nvolume = \"0..14\"\npool = \"target\"\n\
         [[route]]\nname = \"others\"\nnew = true\npool = \"rest\"\n\
         [[expect]]\nname = \"box 0 takes no new object\"\nrequests = {{ new = true }}\nnever = {{ boxes = \"box-0\" }}\n"
    )
}

fn reload() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic { rate: 500.0, seconds: 12.0, volumes: 40, shards: 0, hosts: 1, seed: 9 };
        let due = traces::generate(&trace, traffic)?;
        let plan =
            rowanglade_test_fleet::TargetPlan { keeps_requests: true, ..initiators::target_plan(3, 4, 6) };
        let site = StubSite::start(&vec![plan; 4], ZONE, 5).await?;
        let daemons =
            initiators::start_daemons(&site, &traces::standard_header(), 1, |_| Some(configuration(0)))?;
        let file = daemons[0].folder().join("operator.toml");
        let replay_plan = Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) };
        let in_force = || daemons[0].log().iter().filter(|l| l.contains("routes loaded")).count();
        let reloads = async {
            // Spans in which exactly one version was in force, each with the number of the version.
            let (mut spans, mut current, mut since) = (Vec::new(), 0, tokio::time::Instant::now());
            for number in 1..=10usize {
                tokio::time::sleep(Duration::from_millis(1_000)).await;
                // The third file is truncated; the seventh violates its expectation.
                let text = match number {
                    3 => configuration(number)[..120].to_string(),
                    7 => configuration(number).replace("[\"box-1\", ", "[\"box-0\", \"box-1\", "),
                    _ => configuration(number),
                };
                let new_file = file.with_extension("new");
                std::fs::write(&new_file, text)?;
                std::fs::rename(&new_file, &file)?;
                let before = in_force();
                let signalled_at = tokio::time::Instant::now();
                daemons[0].signal(rowanglade_test_fleet::Signal::SIGHUP)?;
                if number != 3 && number != 7 {
                    while in_force() == before && signalled_at.elapsed() < Duration::from_millis(800) {
                        tokio::time::sleep(Duration::from_millis(2)).await;
                    }
                    spans.push((since + DELIVERY_TIME, signalled_at, current));
                    (current, since) = (number, tokio::time::Instant::now());
                }
            }
            Ok::<_, Failure>(spans)
        };
        let (report, reloaded) = tokio::join!(traces::replay_all(&trace, &replay_plan), reloads);
        let (report, spans) = (report?, reloaded?);
        let total = report.total();
        let log = daemons[0].log();
        let count_lines = |words: &str| log.iter().filter(|l| l.contains(words)).count();
        let (loaded, unreadable, refused) = (
            count_lines("routes loaded"),
            count_lines("configuration not reloaded"),
            count_lines("configuration rejected"),
        );
        let mut out = Outcome::default();
        out.figure("requests due", due as f64, "");
        out.figure("served", total.served as f64, "");
        out.figure("tables put in force", loaded as f64, "");
        out.figure("files not read", unreadable as f64, "");
        out.figure("files refused", refused as f64, "");
        for (i, stub) in site.targets.iter().enumerate() {
            out.figure(format!("requests at box {i}"), stub.counters().received as f64, "");
        }
        // While a single version is in force, new objects of the moved volumes go to its target only.
        let (mut checked, mut misrouted) = (0, 0);
        for (i, stub) in site.targets.iter().enumerate() {
            for (at, path) in stub.received() {
                let volume = path.split('/').nth(2).and_then(|v| u64::from_str_radix(v, 16).ok());
                let moved = volume.is_some_and(|v| v <= 0x14);
                let span = spans.iter().find(|(from, until, _)| (*from..*until).contains(&at));
                if let Some((.., number)) = span.filter(|_| moved) {
                    checked += 1;
                    misrouted += usize::from(i != 1 + number % 3);
                }
            }
        }
        out.figure("requests of moved volumes within one version's span", checked as f64, "");
        out.claim(
            "of more than 1,000 requests of moved volumes none went to a target that the version forbids",
            checked > 1_000 && misrouted == 0,
        );
        let lines = initiators::access_log(&daemons[0], due).await?.len() as u64;
        out.claim("each request has one result and one access log line", total.due == due && lines == due);
        out.claim("no request is lost, failed or unsent", total.lost + total.failed + total.unsent == 0);
        out.claim("at least 98% of the requests are served", total.served as f64 >= 0.98 * due as f64);
        out.claim(
            "no request went to the target that every version forbids",
            site.targets[0].counters().received == 0,
        );
        out.claim(
            "eight tables were put in force, two files were not",
            (loaded, unreadable + refused) == (8, 2),
        );
        Ok(out)
    })
}
