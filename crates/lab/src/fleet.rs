//! Experiments on fleets of initiators.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces;
use rowanglade_capture::{Record, TraceWriter};
use rowanglade_replay::Replay;
use rowanglade_test_fleet::{StubSite, TargetPlan};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;

pub fn experiments() -> Vec<Experiment> {
    let about = "a limited volume served by one of three initiators: share of the limit used, quota exchange against even split";
    vec![Experiment { name: "fleet-share", about, runner: Runner::Plain(compare_share) }]
}

/// Rate in units per second, burst and slack of the QoS plan `basic` in [`rowanglade_test_fleet::settings`].
const LIMIT: f64 = 32.0;
const BURST: f64 = 48.0;
const SLACK: f64 = 3.2;

/// Returns local addresses whose UDP ports were free when they were probed.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Failure> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    Ok(sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?)
}

/// Writes a trace of evenly spaced one-unit requests for one volume on QoS plan `basic`. Their deadline is
/// too short for a second attempt.
fn write_trace(path: &Path, rate: f64, seconds: f64) -> Result<u64, Failure> {
    let mut writer = TraceWriter::create(path, &traces::standard_header())?;
    for i in 0..(rate * seconds) as u64 {
        writer.push(Record {
            at: (i as f64 / rate * 1e6) as u64,
            class: 0,
            plan: 0,
            volume: 7,
            piece: i,
            units: 1.0,
            shard: Some(0),
            hosts: 3,
            deadline_ms: 400,
            bytes: 100,
            key: None,
            status: 200,
            took: None,
        })?;
    }
    Ok(writer.finish()?)
}

fn compare_share() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let (trace, warm_up_trace) = (folder.path().join("made.trace"), folder.path().join("warm.trace"));
        let seconds = 14.0;
        write_trace(&trace, 80.0, seconds)?;
        // A little traffic through all three initiators, so that each of them tracks the volume.
        write_trace(&warm_up_trace, 2.0, 2.0)?;
        let key = folder.path().join("fleet.key");
        std::fs::write(&key, "5a".repeat(32))?;
        let mut out = Outcome::default();
        let mut used_fractions = Vec::new();
        for exchange in [false, true] {
            let plan = TargetPlan { keeps_requests: true, ..initiators::target_plan(2, 2, 2) };
            let site = StubSite::start(&[plan], ZONE, 5).await?;
            let peers = free_addresses(3)?;
            let peer_list: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
            let daemons = initiators::start_daemons(&site, &traces::standard_header(), 3, |me| {
                let (peers, key) = (peer_list.join(", "), key.display());
                exchange.then(|| format!("[fleet]\npeers = [{peers}]\nme = {me}\nkey_file = \"{key}\"\n"))
            })?;
            let all = initiators::addresses(&daemons);
            for addr in &all {
                traces::replay_all(&warm_up_trace, &Replay { retries: false, ..Replay::to(vec![*addr]) })
                    .await?;
            }
            let before = site.targets[0].received().len();
            // Sends the whole trace through the first initiator.
            let report =
                traces::replay_all(&trace, &Replay { retries: false, ..Replay::to(vec![all[0]]) }).await?;
            let arrival_times: Vec<f64> = {
                let arrival_times = site.targets[0].received();
                let first = arrival_times[0].0;
                arrival_times.iter().map(|(at, _)| at.duration_since(first).as_secs_f64()).collect()
            };
            // In any window the units that reach the target may exceed the burst plus the refill of that
            // window by the slack at most.
            let mut worst_excess = f64::MIN;
            for (i, from) in arrival_times.iter().enumerate() {
                for (j, until) in arrival_times.iter().enumerate().skip(i) {
                    worst_excess = worst_excess.max((j - i + 1) as f64 - BURST - LIMIT * (until - from));
                }
            }
            // Only the last ten seconds count: by then the initial burst is spent.
            let end = arrival_times.last().copied().unwrap_or(0.0);
            let served_rate =
                arrival_times.iter().skip(before).filter(|at| **at > end - 10.0).count() as f64 / 10.0;
            let variant = if exchange { "exchange" } else { "even split" };
            out.figure(format!("{variant}: asked"), 80.0, "units/s");
            out.figure(format!("{variant}: served in the last ten seconds"), served_rate, "units/s");
            out.figure(format!("{variant}: of the limit"), served_rate / LIMIT, "");
            out.figure(format!("{variant}: refused"), report.total().refused as f64, "");
            out.figure(format!("{variant}: units beyond store and filling, at worst"), worst_excess, "");
            out.claim(
                format!("{variant}: units stay within the limit and its slack in every window"),
                worst_excess <= SLACK,
            );
            let total = report.total();
            let results = total.served + total.refused + total.failed + total.lost + total.unsent;
            out.claim(format!("{variant}: each request has exactly one result"), results == total.due);
            used_fractions.push(served_rate / LIMIT);
        }
        out.claim("the even split leaves more than half of the limit unused", used_fractions[0] < 0.5);
        out.claim("the quota exchange uses at least 0.9 of the limit", used_fractions[1] >= 0.9);
        Ok(out)
    })
}
