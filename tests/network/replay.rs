//! Tests of replays: from a trace through an initiator to stub targets, and what both ends
//! count.

use crate::site::*;
use rowanglade_capture::{
    ClassTerms, Format, Header, Import, Mapping, PlanTerms, Record, Repeat, TraceReader, TraceWriter, import,
};
use rowanglade_replay::{Front, Replay, Report, replay};
use rowanglade_test_fleet::{StubSite, TargetFault, TargetPlan};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

fn header() -> Header {
    let class = |name: &str, write, repeat, deadline_ms| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms: 300,
        deadline_ms,
    };
    let plan = |name: &str, limit| PlanTerms { name: name.into(), rate: 8.0, limit };
    Header {
        base_us: 0,
        sources: Vec::new(),
        classes: vec![
            class("view", false, Repeat::Safe, 1_500),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }, 3_000),
        ],
        plans: vec![plan("basic", Some(32.0)), plan("full", None)],
        anonymised: false,
    }
}

fn record(at_ms: u64, class: u16, key: Option<u64>) -> Record {
    Record {
        at: at_ms * 1_000,
        class,
        plan: 1,
        volume: 0x3_b4d6_0021,
        piece: at_ms,
        units: 1.0,
        shard: Some((at_ms % 2) as u32),
        hosts: 1,
        deadline_ms: if class == 0 { 1_500 } else { 3_000 },
        bytes: 100,
        key,
        status: 200,
        took: None,
    }
}

fn trace(name: &str, records: Vec<Record>) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rowanglade-replay-{}-{name}.trace", std::process::id()));
    let mut writer = TraceWriter::create(&path, &header()).expect("created");
    records.into_iter().for_each(|r| writer.push(r).expect("written"));
    writer.finish().expect("finished");
    path
}

async fn site() -> StubSite {
    let plan = TargetPlan { default_service_time: Duration::from_millis(2), ..TargetPlan::default() };
    StubSite::start(&[plan.clone(), plan], "kingston", 3).await.expect("started")
}

async fn run(path: &Path, ask: &Replay) -> Report {
    let (_stop, stopped) = oneshot::channel();
    let (report, torn) = replay(path, ask, stopped, &mut |_| {}).await.expect("replayed");
    assert!(torn.is_none(), "{torn:?}");
    report
}

// A repeat of a deposit in a capture is a repeat at the box, not a second write; and the same trace twice
// gives the same counts.
#[test]
fn a_trace_gives_the_same_counts_twice_and_a_retried_deposit_is_deduplicated() {
    story(async {
        let mut records: Vec<Record> = (0..40).map(|i| record(i * 5, 0, None)).collect();
        // The same write of the same rack, 40 ms later.
        records.extend((0..6).map(|i| record(200 + i * 10, 1, Some(i))));
        records
            .extend((0..6).map(|i| Record { at: 260_000 + i * 1_000, ..record(200 + i * 10, 1, Some(i)) }));
        let path = trace("twice", records);
        let mut seen = Vec::new();
        for _ in 0..2 {
            let site = site().await;
            let node = start(&[], Some(site.discovery.addr()), None).await;
            let report = run(&path, &Replay::to(vec![node.http])).await;
            let counts: Vec<_> = report.classes.iter().map(|(n, c)| (n.clone(), c.due, c.served)).collect();
            let boxes = site.counters();
            seen.push((counts, boxes.writes_executed, boxes.writes_suppressed, boxes.per_class));
        }
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(seen[0], seen[1]);
        let (counts, writes, repeats, _) = &seen[0];
        assert_eq!(counts, &[("deposit".to_string(), 12, 12), ("view".to_string(), 40, 40)]);
        assert_eq!((*writes, *repeats), (6, 6));
    });
}

// The schedule does not wait for a stalled box, and what was due in the meantime shows the stall.
#[test]
fn a_target_that_stalls_shows_in_the_latency_and_not_in_the_schedule() {
    story(async {
        let site = site().await;
        let until = Instant::now() + Duration::from_millis(700);
        site.targets.iter().for_each(|b| {
            b.inject(TargetFault { stalled_until: Some(until), ..TargetFault::default() });
        });
        let node = start(&[], Some(site.discovery.addr()), None).await;
        let path = trace("stall", (0..30).map(|i| record(i * 10, 0, None)).collect());
        let report = run(&path, &Replay { retries: false, ..Replay::to(vec![node.http]) }).await;
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        assert_eq!(view.due, 30);
        assert_eq!(view.served + view.refused + view.failed + view.lost, 30);
        let longest = view.latency.max().max(view.refusal.max());
        assert!(longest > 250_000, "{longest}");
        assert!(report.drift.max() < 500_000, "the stall is 700 ms long: {}", report.drift.max());
    });
}

// More requests at once than descriptors: none is forgotten, and no more are out than allowed.
#[test]
fn a_replayed_burst_beyond_capacity_gets_all_final_responses() {
    story(async {
        let site = site().await;
        let node = start(&[], Some(site.discovery.addr()), None).await;
        let path = trace("burst", (0..200).map(|_| record(0, 0, None)).collect());
        let ask = Replay { max_in_flight: 4, retries: false, ..Replay::to(vec![node.http]) };
        let report = run(&path, &ask).await;
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        let words = view.served + view.refused + view.failed + view.lost + view.unsent;
        assert_eq!((view.due, words), (200, 200));
        assert!(report.held > 100, "{}", report.held);
        let most = site.targets.iter().map(|b| b.counters().max_in_flight).sum::<u64>();
        assert!(most <= 8, "{most}");
    });
}

#[test]
fn the_iscsi_style_front_takes_the_same_trace() {
    story(async {
        let site = site().await;
        let operator = "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
                        [[iscsi.volume]]\nlun = \"00000003b4d60021\"\nplan = \"full\"\nshard = 0\nhosts = 1\n";
        let node = start(&[], Some(site.discovery.addr()), Some(operator)).await;
        let mut records: Vec<Record> = (0..20).map(|i| record(i * 5, 0, None)).collect();
        records.extend((0..8).map(|i| record(100 + i * 5, 1, Some(i))));
        let path = trace("iscsi", records);
        // The list is there once the other front says so.
        let none = trace("none", Vec::new());
        run(&none, &Replay::to(vec![node.http])).await;
        std::fs::remove_file(&none).expect("removed");
        let front = Front::Iscsi { target: "iqn.test:front".into(), blocks_per_unit: 8 };
        let ask = Replay { front, ..Replay::to(vec![node.iscsi.expect("on")]) };
        let report = run(&path, &ask).await;
        std::fs::remove_file(&path).expect("removed");
        let served: Vec<u64> = report.classes.values().map(|c| c.served).collect();
        assert_eq!(served, [8, 20], "{report}");
        assert_eq!(site.counters().writes_executed, 8);
    });
}

// What the daemon logs of its requests is a source of load like any other.
#[test]
fn the_daemons_own_log_becomes_a_trace_again() {
    story(async {
        let site = site().await;
        let log = std::env::temp_dir().join(format!("rowanglade-replay-{}-own.log", std::process::id()));
        let _ = std::fs::remove_file(&log);
        let operator = format!("[access_log]\npath = {:?}\n", log.display().to_string());
        let node = start(&[], Some(site.discovery.addr()), Some(&operator)).await;
        let mut records: Vec<Record> = (0..10).map(|i| record(i * 5, 0, None)).collect();
        records.push(record(60, 1, Some(77)));
        let path = trace("own", records.clone());
        run(&path, &Replay::to(vec![node.http])).await;
        // Its last lines are written before it ends.
        node.end.send(()).expect("it runs");
        node.run.await.expect("joined").expect("ended");
        let ask = Import::new(std::slice::from_ref(&log), &path);
        let imported = import(&Mapping::standard().expect("usable"), &ask, &mut |_, _| {}).expect("imported");
        assert_eq!((imported.files[0].1.format, imported.records), (Format::Own, 11));
        let again: Vec<Record> =
            TraceReader::open(&path).expect("a trace").map(|r| r.expect("whole")).collect();
        let short = |r: &Record| (r.class, r.volume, r.piece, r.units as u32, r.shard, r.key);
        assert_eq!(
            again.iter().map(short).collect::<Vec<_>>(),
            records.iter().map(short).collect::<Vec<_>>()
        );
        assert!(again.iter().all(|r| r.status == 200 && r.took.is_some()));
        [log, path].iter().for_each(|f| std::fs::remove_file(f).expect("removed"));
    });
}

// Ctrl-C must end a replay with a report in which nothing is missing.
#[test]
fn a_replay_that_is_stopped_reports_all_that_came_due() {
    story(async {
        let site = site().await;
        site.targets.iter().for_each(|b| b.inject(TargetFault { silent: true, ..TargetFault::default() }));
        let node = start(&[], Some(site.discovery.addr()), None).await;
        let mut records: Vec<Record> = (0..10).map(|_| record(0, 0, None)).collect();
        records.push(record(60_000, 0, None));
        let path = trace("stop", records);
        let (stop, stopped) = oneshot::channel();
        let ask = Replay { max_in_flight: 6, ..Replay::to(vec![node.http]) };
        let mut stop = Some(stop);
        let end = &mut |p: rowanglade_replay::drive::Progress| {
            if p.in_flight == 6 {
                stop.take().map(|s| s.send(()));
            }
        };
        let (report, _) = replay(&path, &ask, stopped, end).await.expect("replayed");
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        let words = view.served + view.refused + view.failed + view.lost + view.unsent;
        assert!(report.stopped);
        assert_eq!((view.due, words, report.unfinished), (10, 10, 0), "{report}");
        assert!(view.unsent >= 4, "{report}");
    });
}
