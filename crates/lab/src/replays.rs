//! Experiments on the replay of recorded and generated traffic.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::sink::Sink;
use crate::traces::{self, Traffic};
use rowanglade_replay::{Front, Replay, Report, pick};
use rowanglade_test_fleet::{ProcessUsage, StubSite, TargetFault};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

pub fn experiments() -> Vec<Experiment> {
    let experiment = |name, about, run| Experiment { name, about, runner: Runner::Plain(run) };
    vec![
        experiment(
            "replay-twice",
            "the sample replayed twice: equal counts, requests sent on schedule",
            replay_twice,
        ),
        experiment(
            "replay-keyed",
            "writes executed by the targets equal distinct keys, also with connection resets",
            replay_keyed,
        ),
        experiment(
            "replay-stall",
            "a target stalls for 2 s: requests stay on schedule and the stall shows in the latency",
            replay_stall,
        ),
        experiment(
            "replay-crowd",
            "more concurrent requests than descriptors: each request has a result",
            replay_crowd,
        ),
        experiment(
            "replay-fleet",
            "four initiators: requests of a volume use only the initiators of its set",
            replay_fleet,
        ),
        experiment(
            "replay-iscsi",
            "the sample over the iSCSI-style front compared with the HTTP front",
            iscsi,
        ),
        experiment("replay-rate", "the highest rate that one core replays on time", rate),
        experiment(
            "access-log",
            "the cost of the daemon's access log, and whether it is complete",
            access_log,
        ),
    ]
}

fn counts(report: &Report) -> BTreeMap<&str, (u64, u64)> {
    report.classes.iter().map(|(name, c)| (name.as_str(), (c.due, c.served))).collect()
}

fn results(report: &Report) -> u64 {
    let total = report.total();
    total.served + total.refused + total.failed + total.lost + total.unsent
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1e3
}

fn replay_twice() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = traces::import_sample(folder.path())?;
        let header = rowanglade_capture::TraceReader::open(&trace)?.header().clone();
        let mut reports = Vec::new();
        for _ in 0..2 {
            let site = StubSite::start(&vec![initiators::target_plan(12, 20, 40); 4], ZONE, 1).await?;
            let daemons = initiators::start_daemons(&site, &header, 1, |_| None)?;
            reports.push(traces::replay_all(&trace, &Replay::to(initiators::addresses(&daemons))).await?);
        }
        let (first, second) = (&reports[0], &reports[1]);
        let mut out = Outcome::default();
        for (round, report) in [("first", first), ("second", second)] {
            for (class, c) in &report.classes {
                out.figure(format!("{round}: {class} due"), c.due as f64, "");
                out.figure(format!("{round}: {class} served"), c.served as f64, "");
                out.figure(format!("{round}: {class} latency p50"), ms(c.latency.at(0.5)), "ms");
            }
            out.figure(format!("{round}: behind the schedule p50"), ms(report.drift.at(0.5)), "ms");
            out.figure(format!("{round}: behind the schedule p99"), ms(report.drift.at(0.99)), "ms");
        }
        out.claim("per-class counts, due and served, are equal", counts(first) == counts(second));
        let within = |quantile, limit| reports.iter().all(|r| ms(r.drift.at(quantile)) <= limit);
        out.claim("p50 of start times within 5 ms of the schedule", within(0.5, 5.0));
        out.claim("p99 of start times within 20 ms of the schedule", within(0.99, 20.0));
        Ok(out)
    })
}

fn replay_keyed() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = traces::import_sample(folder.path())?;
        let header = rowanglade_capture::TraceReader::open(&trace)?.header().clone();
        let keys: Vec<u64> = traces::read_records(&trace)?.iter().filter_map(|r| r.key).collect();
        let distinct = keys.iter().collect::<BTreeSet<_>>().len() as u64;
        let mut out = Outcome::default();
        out.figure("writes in the trace", keys.len() as f64, "");
        out.figure("distinct keys", distinct as f64, "");
        for (round, fault) in [
            ("calm", TargetFault::default()),
            ("resets", TargetFault { reset_share: 0.15, slowdown: 2.0, ..TargetFault::default() }),
        ] {
            let site = StubSite::start(&vec![initiators::target_plan(8, 12, 25); 4], ZONE, 2).await?;
            site.targets.iter().for_each(|target| target.inject(fault.clone()));
            let daemons = initiators::start_daemons(&site, &header, 1, |_| None)?;
            let report = traces::replay_all(&trace, &Replay::to(initiators::addresses(&daemons))).await?;
            let counters = site.counters();
            let executed = site
                .targets
                .iter()
                .map(|target| target.deduplication_scope().executed_keys())
                .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            out.figure(format!("{round}: writes that ran"), counters.writes_executed as f64, "");
            out.figure(format!("{round}: repeats dropped"), counters.writes_suppressed as f64, "");
            out.figure(format!("{round}: connections reset by boxes"), counters.resets as f64, "");
            out.figure(format!("{round}: deposits served"), report.classes["deposit"].served as f64, "");
            out.claim(
                format!("{round}: no keyed write was executed twice"),
                executed.1 == 0 && counters.writes_executed == executed.0,
            );
            if round == "calm" {
                out.claim(
                    "calm: writes executed by the targets equal distinct keys",
                    counters.writes_executed == distinct,
                );
            } else {
                out.claim("resets: more than 20 connections were reset", counters.resets > 20);
                out.claim(
                    "resets: no more writes executed than distinct keys",
                    counters.writes_executed <= distinct,
                );
            }
        }
        Ok(out)
    })
}

fn replay_stall() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic { rate: 150.0, seconds: 9.0, volumes: 30, shards: 3, hosts: 1, seed: 4 };
        traces::generate(&trace, traffic)?;
        let mut out = Outcome::default();
        let mut served = Vec::new();
        for with_stall in [false, true] {
            let site = StubSite::start(&vec![initiators::target_plan(6, 10, 20); 3], ZONE, 3).await?;
            let daemons = initiators::start_daemons(&site, &traces::standard_header(), 1, |_| None)?;
            let target = std::rc::Rc::clone(&site.targets[0]);
            let fault_task = actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_secs(4)).await;
                if with_stall {
                    let until = Some(Instant::now() + Duration::from_secs(2));
                    target.inject(TargetFault { stalled_until: until, ..TargetFault::default() });
                }
            });
            let replay_plan = Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) };
            let report = traces::replay_all(&trace, &replay_plan).await?;
            fault_task.abort();
            let round = if with_stall { "stalled" } else { "calm" };
            let total = report.total();
            out.figure(
                format!("{round}: served in time of due"),
                total.in_time as f64 / total.due as f64,
                "",
            );
            out.figure(
                format!("{round}: view latency p99"),
                ms(report.classes["view"].latency.at(0.99)),
                "ms",
            );
            out.figure(format!("{round}: behind the schedule p99"), ms(report.drift.at(0.99)), "ms");
            out.claim(format!("{round}: each request has exactly one result"), results(&report) == total.due);
            out.claim(
                format!("{round}: p99 of start times within 20 ms of the schedule"),
                ms(report.drift.at(0.99)) <= 20.0,
            );
            served.push((total.in_time, report));
        }
        let (calm, stalled) = (&served[0], &served[1]);
        let worst =
            stalled.1.classes.values().map(|c| c.latency.max().max(c.refusal.max())).max().unwrap_or(0);
        out.figure("stalled: longest time to an answer", ms(worst), "ms");
        // Two seconds of traffic to one of three targets met the stall; all other requests should be
        // unaffected.
        let lost = (calm.0 - stalled.0.min(calm.0)) as f64 / (150.0 * 2.0 / 3.0);
        out.figure("requests no longer in time, of those due to the box in its stall", lost, "");
        out.claim(
            "the stall shows: it affects more than 0.3 times the requests due to the stalled target",
            lost > 0.3,
        );
        out.claim("the stall affects fewer than twice the requests due to the stalled target", lost < 2.0);
        Ok(out)
    })
}

fn replay_crowd() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic { rate: 600.0, seconds: 5.0, volumes: 30, shards: 2, hosts: 1, seed: 5 };
        let due = traces::generate(&trace, traffic)?;
        let site = StubSite::start(&vec![initiators::target_plan(15, 25, 40); 2], ZONE, 3).await?;
        let daemons = initiators::start_daemons(&site, &traces::standard_header(), 1, |_| None)?;
        let replay_plan = Replay { max_in_flight: 48, ..Replay::to(initiators::addresses(&daemons)) };
        let report = traces::replay_all(&trace, &replay_plan).await?;
        let total = report.total();
        let mut out = Outcome::default();
        out.figure("requests due", due as f64, "");
        out.figure("served", total.served as f64, "");
        out.figure("refused", total.refused as f64, "");
        out.figure("unsent, their time being up before there was room", total.unsent as f64, "");
        out.figure("held for room", report.held as f64, "");
        out.claim("each request has exactly one result", results(&report) == due && total.due == due);
        out.claim("more than 100 requests waited for a free slot", report.held > 100);
        out.figure("most tries out at once", report.most_out as f64, "");
        out.claim("no more than 48 attempts are in flight, as configured", report.most_out <= 48);
        Ok(out)
    })
}

fn replay_fleet() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic { rate: 300.0, seconds: 6.0, volumes: 40, shards: 6, hosts: 2, seed: 6 };
        let due = traces::generate(&trace, traffic)?;
        let site = StubSite::start(&vec![initiators::target_plan(4, 6, 12); 6], ZONE, 3).await?;
        let daemons =
            initiators::start_daemons(&site, &traces::standard_header(), 4, |_| Some(access_log_settings()))?;
        let replay_plan = Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) };
        let report = traces::replay_all(&trace, &replay_plan).await?;
        let mut out = Outcome::default();
        let mut misrouted = 0;
        for (number, daemon) in daemons.iter().enumerate() {
            let lines = initiators::access_log(daemon, 0).await?;
            out.figure(format!("requests through initiator {number}"), lines.len() as f64, "");
            for (volume, _) in &lines {
                misrouted +=
                    usize::from(!pick::initiator_set(replay_plan.seed, *volume, 2, 4).contains(&number));
            }
        }
        let total = report.total();
        out.figure("requests due", due as f64, "");
        out.figure("served", total.served as f64, "");
        out.figure("behind the schedule p99", ms(report.drift.at(0.99)), "ms");
        out.claim("no request went through an initiator outside its volume's set", misrouted == 0);
        out.claim("each request has exactly one result", results(&report) == due);
        out.claim("at least 98% of the requests are served", total.served as f64 >= 0.98 * due as f64);
        Ok(out)
    })
}

/// Operator's file that enables nothing but the access log.
fn access_log_settings() -> String {
    "[access_log]\npath = \"access.log\"\nqueue = 16384\n".into()
}

fn iscsi() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = traces::import_sample(folder.path())?;
        let header = rowanglade_capture::TraceReader::open(&trace)?.header().clone();
        let target = "iqn.2026-12.example.kingston:lab";
        let mut operator = format!("[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"{target}\"\n");
        let luns: BTreeMap<u64, Option<u32>> =
            traces::read_records(&trace)?.iter().map(|r| (r.volume, r.shard)).collect();
        for (lun, shard) in &luns {
            let shard = shard.map_or(String::new(), |s| format!("shard = {s}\n"));
            operator +=
                &format!("[[iscsi.volume]]\nlun = \"{lun:016x}\"\nplan = \"basic\"\nhosts = 1\n{shard}");
        }
        let mut out = Outcome::default();
        let mut reports = Vec::new();
        for over_iscsi in [false, true] {
            let site = StubSite::start(&vec![initiators::target_plan(12, 20, 40); 4], ZONE, 1).await?;
            let daemons = initiators::start_daemons(&site, &header, 1, |_| Some(operator.clone()))?;
            let mut replay_plan = Replay::to(initiators::addresses(&daemons));
            // The HTTP front's readiness covers both fronts, so an empty trace is replayed over it first.
            let empty_trace = folder.path().join("none.trace");
            rowanglade_capture::TraceWriter::create(&empty_trace, &header)?.finish()?;
            traces::replay_all(&empty_trace, &replay_plan).await?;
            if over_iscsi {
                replay_plan.front = Front::Iscsi { target: target.into(), blocks_per_unit: 8 };
                replay_plan.to = vec![
                    daemons[0].iscsi.ok_or(Failure::Unexpected("the iSCSI-style front is not enabled"))?,
                ];
            }
            let report = traces::replay_all(&trace, &replay_plan).await?;
            let front = report.front.clone();
            for (class, c) in &report.classes {
                out.figure(format!("{front}: {class} served of {}", c.due), c.served as f64, "");
                out.figure(format!("{front}: {class} latency p50"), ms(c.latency.at(0.5)), "ms");
            }
            reports.push(report);
        }
        let due = |r: &Report| counts(r).into_iter().map(|(n, c)| (n.to_string(), c.0)).collect::<Vec<_>>();
        out.claim("the same requests are due on both fronts", due(&reports[0]) == due(&reports[1]));
        let all = |r: &Report| r.total().served == r.total().due;
        out.claim("all requests are served on both fronts", reports.iter().all(all));
        Ok(out)
    })
}

fn rate() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let sink = Sink::start()?;
        let mut out = Outcome::default();
        let (mut best, mut tried) = (0.0, 0.0);
        for step in 0..8 {
            let per_second = 1_000.0 * 2f64.powi(step);
            let trace = folder.path().join(format!("{step}.trace"));
            let traffic =
                Traffic { rate: per_second, seconds: 3.0, volumes: 200, shards: 1, hosts: 1, seed: 7 };
            let due = traces::generate(&trace, traffic)?;
            let replay_plan = Replay { max_in_flight: 800, ..Replay::to(vec![sink.addr]) };
            let before = ProcessUsage::of("self").processor_seconds;
            let report = traces::replay_all(&trace, &replay_plan).await?;
            let busy = (ProcessUsage::of("self").processor_seconds - before) / report.seconds;
            let total = report.total();
            out.figure(format!("{per_second} a second: behind p50"), ms(report.drift.at(0.5)), "ms");
            out.figure(format!("{per_second} a second: behind p99"), ms(report.drift.at(0.99)), "ms");
            out.figure(format!("{per_second} a second: served of due"), total.served as f64 / due as f64, "");
            out.figure(format!("{per_second} a second: of a core"), busy, "");
            tried = per_second;
            if report.drift.at(0.99) > 10_000 || total.served < due {
                break;
            }
            best = per_second;
        }
        out.figure("highest rate with p99 within 10 ms and all served", best, "requests/s");
        out.figure("highest rate tried", tried, "requests/s");
        out.claim("at least 4,000 requests per second", best >= 4_000.0);
        Ok(out)
    })
}

fn access_log() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic = Traffic { rate: 600.0, seconds: 8.0, volumes: 60, shards: 8, hosts: 1, seed: 8 };
        let due = traces::generate(&trace, traffic)?;
        let mut out = Outcome::default();
        let mut cost = Vec::new();
        for on in [false, true] {
            let site = StubSite::start(&vec![initiators::target_plan(3, 4, 6); 8], ZONE, 3).await?;
            let daemons = initiators::start_daemons(&site, &traces::standard_header(), 1, |_| {
                on.then(access_log_settings)
            })?;
            let report = traces::replay_all(
                &trace,
                &Replay { retries: false, ..Replay::to(initiators::addresses(&daemons)) },
            )
            .await?;
            let round = if on { "with" } else { "without" };
            let usage = daemons[0].usage();
            out.figure(
                format!("{round} the log: processor time a request"),
                usage.processor_seconds * 1e6 / due as f64,
                "us",
            );
            out.figure(
                format!("{round} the log: memory at most"),
                usage.peak_memory_bytes as f64 / 1e6,
                "MB",
            );
            out.figure(
                format!("{round} the log: view latency p99"),
                ms(report.classes["view"].latency.at(0.99)),
                "ms",
            );
            cost.push(usage.processor_seconds);
            if on {
                let lines = initiators::access_log(&daemons[0], due).await?;
                let served = lines.iter().filter(|(_, status)| *status == 200).count() as u64;
                out.claim("the access log has a line for each request", lines.len() as u64 == due);
                out.claim(
                    "the access log has as many served requests as the clients",
                    served == report.total().served,
                );
            }
        }
        out.figure("processor time with the log over without", cost[1] / cost[0].max(0.01), "times");
        out.claim("the log adds less than half to the processor time", cost[1] < 1.5 * cost[0].max(0.01));
        Ok(out)
    })
}
