//! Two handovers to a successor process under load.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces;
use rowanglade_capture::{Record, TraceWriter};
use rowanglade_replay::Replay;
use rowanglade_test_fleet::{
    Daemon, DaemonPlan, HandoverPaths, ProcessUsage, Signal, StubSite, TargetPlan, settings,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub fn experiments() -> Vec<Experiment> {
    let about = "two handovers to a successor under load: requests lost, units over the limit, descriptors and memory";
    vec![Experiment { name: "replace", about, runner: Runner::Plain(hand_over_twice) }]
}

const SECONDS: f64 = 12.0;
/// Rate in units per second and slack of the QoS plan `basic` in [`rowanglade_test_fleet::settings`].
const LIMIT: f64 = 32.0;
const SLACK: f64 = 3.2;
const SOCKETS: usize = 256;

/// Writes a trace with requests of many volumes without a limit, every fourth of them a write, and of one
/// volume whose load is about twice its limit.
fn write_trace(path: &Path) -> Result<u64, Failure> {
    let mut writer = TraceWriter::create(path, &traces::standard_header())?;
    let rate = 220.0;
    for i in 0..(rate * SECONDS) as u64 {
        let limited = i % 11 < 3;
        let write = !limited && i % 4 == 0;
        writer.push(Record {
            at: (i as f64 / rate * 1e6) as u64,
            class: u16::from(write),
            plan: u16::from(!limited),
            volume: if limited { 7 } else { 100 + i % 50 },
            piece: i,
            units: 1.0,
            shard: Some(u32::from(!limited)),
            hosts: 1,
            deadline_ms: if write { 3_000 } else { 1_500 },
            bytes: 1_000,
            key: write.then_some(i + 1),
            status: 200,
            took: None,
        })?;
    }
    Ok(writer.finish()?)
}

async fn wait_until_ready(admin: SocketAddr) -> Result<(), Failure> {
    for _ in 0..2_000 {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        if response.starts_with(b"HTTP/1.1 200") {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(Failure::Unexpected("the daemon did not become ready"))
}

fn hand_over_twice() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        write_trace(&trace)?;
        let keep_requests = |plan| TargetPlan { keeps_requests: true, ..plan };
        let plans = [
            keep_requests(initiators::target_plan(2, 3, 5)),
            keep_requests(initiators::target_plan(2, 3, 5)),
        ];
        let site = StubSite::start(&plans, ZONE, 5).await?;
        let start = |listen: Option<SocketAddr>| -> Result<Daemon, Failure> {
            Ok(Daemon::start(&DaemonPlan {
                name: "lab".into(),
                program: std::env::current_exe()?,
                args: vec!["rowanglade".into()],
                settings: settings(&traces::standard_header(), 1, ZONE, 2),
                discovery: site.discovery.addr(),
                sockets: SOCKETS,
                memory_mb: 192,
                operator: None,
                handover: Some(HandoverPaths { folder: folder.path().to_path_buf(), listen }),
                env: Vec::new(),
            })?)
        };
        let first_start = tokio::time::Instant::now();
        let first = start(None)?;
        let addr = first.http;
        wait_until_ready(first.admin.ok_or(Failure::Unexpected("the daemon has no admin address"))?).await?;
        let processes = Rc::new(RefCell::new(vec![first.pid()]));
        let peak = Rc::new(Cell::new((0, 0)));
        let monitor = {
            let (processes, peak) = (Rc::clone(&processes), Rc::clone(&peak));
            actix_rt::spawn(async move {
                loop {
                    let all = processes.borrow().clone();
                    let usage: Vec<_> = all.iter().map(|p| ProcessUsage::of(&p.to_string())).collect();
                    let descriptors = usage.iter().map(|usage| usage.descriptors).sum::<usize>();
                    let bytes = usage.iter().map(|usage| usage.memory_bytes).sum::<u64>();
                    let (most, largest) = peak.get();
                    peak.set((descriptors.max(most), bytes.max(largest)));
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        };
        let handovers = async {
            let (mut serving, mut ready_times_ms, mut ended) = (first, Vec::new(), 0);
            for wait in [3.0, 2.0] {
                tokio::time::sleep(Duration::from_secs_f64(wait)).await;
                let handover_start = tokio::time::Instant::now();
                let next = start(Some(addr))?;
                processes.borrow_mut().push(next.pid());
                wait_until_ready(next.admin.ok_or(Failure::Unexpected("the daemon has no admin address"))?)
                    .await?;
                ready_times_ms.push(handover_start.elapsed().as_secs_f64() * 1e3);
                serving.signal(Signal::SIGTERM)?;
                for _ in 0..500 {
                    if serving.has_ended() {
                        ended += 1;
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                processes.borrow_mut().remove(0);
                serving = next;
            }
            Ok::<_, Failure>((ready_times_ms, ended, serving))
        };
        let replay_plan = Replay { retries: false, ..Replay::to(vec![addr]) };
        let (report, handed_over) = tokio::join!(traces::replay_all(&trace, &replay_plan), handovers);
        let (report, (ready_times_ms, ended, _serving)) = (report?, handed_over?);
        monitor.abort();

        let total = report.total();
        // Only the limited volume uses this target. Its token bucket is empty when the first process starts,
        // so at any time the units received must not exceed the refill since then plus the slack.
        let arrival_times: Vec<f64> = {
            let arrival_times = site.targets[0].received();
            arrival_times.iter().map(|(at, _)| at.duration_since(first_start).as_secs_f64()).collect()
        };
        let excess = arrival_times.iter().enumerate().map(|(i, at)| (i + 1) as f64 - LIMIT * at - SLACK);
        let excess = excess.fold(f64::MIN, f64::max);
        let (descriptors, bytes) = peak.get();
        let mut out = Outcome::default();
        out.figure("requests", total.due as f64, "");
        out.figure("served", total.served as f64, "");
        out.figure("refused", total.refused as f64, "");
        out.figure("failed", total.failed as f64, "");
        out.figure("lost, or without a connection", (total.lost + total.unsent) as f64, "");
        out.figure("until the first successor served", ready_times_ms[0], "ms");
        out.figure("until the second successor served", ready_times_ms[1], "ms");
        out.figure("limited units at the box a second", arrival_times.len() as f64 / SECONDS, "units/s");
        out.figure("limited units beyond filling and slack, at worst", excess, "units");
        out.figure("descriptors of both, at most", descriptors as f64, "");
        out.figure("memory of both, at most", bytes as f64 / 1e6, "MB");
        out.claim("no request is lost, unsent or failed", total.lost + total.unsent + total.failed == 0);
        out.claim("no unit beyond the limit and its slack reaches the target", excess <= 0.0);
        out.claim(
            "at least 90% of the limit is used across the handovers",
            arrival_times.len() as f64 >= 0.9 * LIMIT * SECONDS,
        );
        out.claim(
            "predecessor and successor together stay within the descriptor limit of one process",
            descriptors <= SOCKETS,
        );
        out.claim("both predecessors exit after SIGTERM", ended == 2);
        Ok(out)
    })
}
