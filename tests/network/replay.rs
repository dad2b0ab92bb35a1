//! Tests of replays: a trace is sent through an initiator to stub targets, and the counts of both ends are
//! compared.

use crate::harness::*;
use rowanglade_capture::{
    ClassTerms, Format, Header, Import, Mapping, PlanTerms, Record, Repeat, TraceReader, TraceWriter, import,
};
use rowanglade_replay::{Front, Replay, Report, replay};
use rowanglade_test_fleet::{StubSite, TargetFault, TargetPlan};
use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

fn trace_header() -> Header {
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

fn write_trace(name: &str, records: Vec<Record>) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rowanglade-replay-{}-{name}.trace", std::process::id()));
    let mut writer = TraceWriter::create(&path, &trace_header()).expect("created");
    records.into_iter().for_each(|r| writer.push(r).expect("written"));
    writer.finish().expect("finished");
    path
}

async fn start_stub_site() -> StubSite {
    let plan = TargetPlan { default_service_time: Duration::from_millis(2), ..TargetPlan::default() };
    StubSite::start(&[plan.clone(), plan], "kingston", 3).await.expect("started")
}

async fn run_replay(path: &Path, settings: &Replay) -> Report {
    let (_stop, stopped) = oneshot::channel();
    let (report, truncation) = replay(path, settings, stopped, &mut |_| {}).await.expect("replayed");
    assert!(truncation.is_none(), "{truncation:?}");
    report
}

// A retry of a deposit in a capture is a retry at the target and not a second write, and replaying a trace
// twice gives the same counts.
#[test]
fn a_trace_gives_the_same_counts_twice_and_a_retried_deposit_is_deduplicated() {
    run_test(async {
        let mut records: Vec<Record> = (0..40).map(|i| record(i * 5, 0, None)).collect();
        // A retry of each of these writes, 15 to 60 ms after it.
        records.extend((0..6).map(|i| record(200 + i * 10, 1, Some(i))));
        records
            .extend((0..6).map(|i| Record { at: 260_000 + i * 1_000, ..record(200 + i * 10, 1, Some(i)) }));
        let path = write_trace("twice", records);
        let mut counts_by_run = Vec::new();
        for _ in 0..2 {
            let site = start_stub_site().await;
            let initiator = start_initiator(&[], Some(site.discovery.addr()), None).await;
            let report = run_replay(&path, &Replay::to(vec![initiator.http])).await;
            let counts: Vec<_> = report.classes.iter().map(|(n, c)| (n.clone(), c.due, c.served)).collect();
            let target_counts = site.counters();
            counts_by_run.push((
                counts,
                target_counts.writes_executed,
                target_counts.writes_suppressed,
                target_counts.per_class,
            ));
        }
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(counts_by_run[0], counts_by_run[1]);
        let (counts, writes, retries, _) = &counts_by_run[0];
        assert_eq!(counts, &[("deposit".to_string(), 12, 12), ("view".to_string(), 40, 40)]);
        assert_eq!((*writes, *retries), (6, 6));
    });
}

// Guards against rejected requests: each replay gave the same correlation ids, and an initiator rejects a request
// whose id another open request has.
#[test]
fn two_replays_of_a_trace_share_no_correlation_id() {
    const REQUESTS: usize = 5;
    run_test(async {
        let path = write_trace("ids", (0..REQUESTS as u64).map(|i| record(i, 0, None)).collect());
        let mut ids = HashSet::new();
        for _ in 0..2 {
            // Takes the place of the initiator: answers `GET /up`, then the requests.
            let initiator = scripted_server(vec![ok(""); 1 + REQUESTS]).await;
            run_replay(&path, &Replay::to(vec![initiator.addr])).await;
            let heads = initiator.request_heads.borrow();
            ids.extend(heads.iter().filter_map(|head| header(head, "x-correlation-id")));
        }
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(ids.len(), 2 * REQUESTS, "{ids:?}");
    });
}

// Guards against coordinated omission: the schedule does not wait for a stalled target, and the latency of
// the requests that came due meanwhile shows the stall.
#[test]
fn a_stalled_target_raises_the_latency_and_does_not_delay_the_schedule() {
    run_test(async {
        let site = start_stub_site().await;
        let until = Instant::now() + Duration::from_millis(700);
        site.targets.iter().for_each(|b| {
            b.inject(TargetFault { stalled_until: Some(until), ..TargetFault::default() });
        });
        let initiator = start_initiator(&[], Some(site.discovery.addr()), None).await;
        let path = write_trace("stall", (0..30).map(|i| record(i * 10, 0, None)).collect());
        let report = run_replay(&path, &Replay { retries: false, ..Replay::to(vec![initiator.http]) }).await;
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        assert_eq!(view.due, 30);
        assert_eq!(view.served + view.refused + view.failed + view.lost, 30);
        let longest = view.latency.max().max(view.refusal.max());
        assert!(longest > 250_000, "{longest}");
        assert!(
            report.drift.max() < 500_000,
            "the schedule was late by {} us in a stall of 700 ms",
            report.drift.max()
        );
    });
}

// Guards against a replay that loses requests, or exceeds its limit on requests in flight, when more of them
// come due at once than the limit allows.
#[test]
fn a_replayed_burst_beyond_capacity_gets_all_final_responses() {
    run_test(async {
        let site = start_stub_site().await;
        let initiator = start_initiator(&[], Some(site.discovery.addr()), None).await;
        let path = write_trace("burst", (0..200).map(|_| record(0, 0, None)).collect());
        let settings = Replay { max_in_flight: 4, retries: false, ..Replay::to(vec![initiator.http]) };
        let report = run_replay(&path, &settings).await;
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        let final_responses = view.served + view.refused + view.failed + view.lost + view.unsent;
        assert_eq!((view.due, final_responses), (200, 200));
        assert!(report.held > 100, "{}", report.held);
        let max_in_flight = site.targets.iter().map(|target| target.counters().max_in_flight).sum::<u64>();
        assert!(max_in_flight <= 8, "{max_in_flight}");
    });
}

#[test]
fn the_iscsi_style_front_serves_the_same_trace() {
    run_test(async {
        let site = start_stub_site().await;
        let operator = "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
                        [[iscsi.volume]]\nlun = \"00000003b4d60021\"\nplan = \"full\"\nshard = 0\nhosts = 1\n";
        let initiator = start_initiator(&[], Some(site.discovery.addr()), Some(operator)).await;
        let mut records: Vec<Record> = (0..20).map(|i| record(i * 5, 0, None)).collect();
        records.extend((0..8).map(|i| record(100 + i * 5, 1, Some(i))));
        let path = write_trace("iscsi", records);
        // The endpoint list has arrived once the HTTP front is ready, which an empty replay waits for.
        let empty = write_trace("none", Vec::new());
        run_replay(&empty, &Replay::to(vec![initiator.http])).await;
        std::fs::remove_file(&empty).expect("removed");
        let front = Front::Iscsi { target: "iqn.test:front".into(), blocks_per_unit: 8 };
        let settings = Replay { front, ..Replay::to(vec![initiator.iscsi.expect("the iSCSI front is on")]) };
        let report = run_replay(&path, &settings).await;
        std::fs::remove_file(&path).expect("removed");
        let served: Vec<u64> = report.classes.values().map(|c| c.served).collect();
        assert_eq!(served, [8, 20], "{report}");
        assert_eq!(site.counters().writes_executed, 8);
    });
}

#[test]
fn the_daemons_access_log_can_be_imported_as_a_trace() {
    run_test(async {
        let site = start_stub_site().await;
        let log = std::env::temp_dir().join(format!("rowanglade-replay-{}-own.log", std::process::id()));
        let _ = std::fs::remove_file(&log);
        let operator = format!("[access_log]\npath = {:?}\n", log.display().to_string());
        let initiator = start_initiator(&[], Some(site.discovery.addr()), Some(&operator)).await;
        let mut records: Vec<Record> = (0..10).map(|i| record(i * 5, 0, None)).collect();
        records.push(record(60, 1, Some(77)));
        let path = write_trace("own", records.clone());
        run_replay(&path, &Replay::to(vec![initiator.http])).await;
        // The daemon flushes its access log when it stops.
        initiator.shutdown.send(()).expect("the initiator runs");
        initiator.task.await.expect("joined").expect("ended");
        let settings = Import::new(std::slice::from_ref(&log), &path);
        let imported =
            import(&Mapping::standard().expect("valid"), &settings, &mut |_, _| {}).expect("imported");
        assert_eq!((imported.files[0].1.format, imported.records), (Format::Own, 11));
        let imported_records: Vec<Record> =
            TraceReader::open(&path).expect("a trace").map(|r| r.expect("complete")).collect();
        let key_fields = |r: &Record| (r.class, r.volume, r.piece, r.units as u32, r.shard, r.key);
        assert_eq!(
            imported_records.iter().map(key_fields).collect::<Vec<_>>(),
            records.iter().map(key_fields).collect::<Vec<_>>()
        );
        assert!(imported_records.iter().all(|r| r.status == 200 && r.took.is_some()));
        [log, path].iter().for_each(|f| std::fs::remove_file(f).expect("removed"));
    });
}

// Guards against incomplete reports when a replay is interrupted with Ctrl-C.
#[test]
fn a_stopped_replay_reports_all_requests_that_came_due() {
    run_test(async {
        let site = start_stub_site().await;
        site.targets
            .iter()
            .for_each(|target| target.inject(TargetFault { silent: true, ..TargetFault::default() }));
        let initiator = start_initiator(&[], Some(site.discovery.addr()), None).await;
        let mut records: Vec<Record> = (0..10).map(|_| record(0, 0, None)).collect();
        records.push(record(60_000, 0, None));
        let path = write_trace("stop", records);
        let (stop_sender, stopped) = oneshot::channel();
        let settings = Replay { max_in_flight: 6, ..Replay::to(vec![initiator.http]) };
        let mut stop_sender = Some(stop_sender);
        let on_progress = &mut |p: rowanglade_replay::drive::Progress| {
            if p.in_flight == 6 {
                stop_sender.take().map(|s| s.send(()));
            }
        };
        let (report, _) = replay(&path, &settings, stopped, on_progress).await.expect("replayed");
        std::fs::remove_file(&path).expect("removed");
        let view = &report.classes["view"];
        let final_responses = view.served + view.refused + view.failed + view.lost + view.unsent;
        assert!(report.stopped);
        assert_eq!((view.due, final_responses, report.unfinished), (10, 10, 0), "{report}");
        assert!(view.unsent >= 4, "{report}");
    });
}
