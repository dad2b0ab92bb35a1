//! Reads of the whole endpoint list from one discovery server that serves polls one after another, in
//! simulated time: the fleets need more sockets than one machine has.

use super::cost::{SIZES, Size, probe, thread_time};
use super::idle_initiators;
use crate::curve::Curve;
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::runtime::block_on;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-reads",
    about: "endpoint list snapshots and a change of one target from one discovery server, by initiators, in simulated time",
    runner: Runner::Plain(run),
};

const SEED: u64 = 33;
/// Seconds that an initiator waits for the response to a poll that discovery does not hold, as in
/// `rowanglade_discovery_polling`.
const POLL_TIMEOUT: f64 = 5.0;
/// An initiator's first poll, and the next poll after a failed one, are spread over a span that grows with
/// the fleet: 0.1 s for each of its initiators, at most 10 s. The scheduler uses the same span if the list
/// has to be polled every 10 s.
const SPREAD_PER_INITIATOR: f64 = 0.1;
const MAX_SPREAD: f64 = 10.0;
/// Maximum number of simulated seconds.
const MAX_SECONDS: f64 = 600.0;
/// Number of polls that the mean service time is computed from.
const POLLS: u32 = 20;
/// Seconds after which a change of the configuration must be in force.
const MAX_DELAY: f64 = 14.0;

/// A poll that arrives at discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Poll {
    at: f64,
    initiator: u32,
}

impl Eq for Poll {}

impl Ord for Poll {
    fn cmp(&self, other: &Poll) -> Ordering {
        self.at.total_cmp(&other.at).then(self.initiator.cmp(&other.initiator))
    }
}

impl PartialOrd for Poll {
    fn partial_cmp(&self, other: &Poll) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Seconds until each of `starting` initiators, which start at once in a fleet of `fleet`, has received a
/// response, if discovery takes `service` seconds per poll. `None` if some have none at the end of the
/// simulation.
pub fn all_served(starting: u32, fleet: u32, service: f64) -> Option<f64> {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let spread = (SPREAD_PER_INITIATOR * f64::from(fleet)).min(MAX_SPREAD);
    let mut first_poll = |initiator| Reverse(Poll { at: spread * random.random::<f64>(), initiator });
    let mut polls: BinaryHeap<Reverse<Poll>> = (0..starting).map(&mut first_poll).collect();
    let (mut idle_at, mut last) = (0.0f64, 0.0f64);
    while let Some(Reverse(poll)) = polls.pop() {
        if poll.at > MAX_SECONDS {
            return None;
        }
        // Discovery does not notice that an initiator has timed out, and processes the poll nevertheless.
        idle_at = idle_at.max(poll.at) + service;
        if idle_at <= poll.at + POLL_TIMEOUT {
            last = last.max(idle_at);
            continue;
        }
        let at = poll.at + POLL_TIMEOUT + spread * random.random_range(0.5..1.5);
        polls.push(Reverse(Poll { at, ..poll }));
    }
    Some(last)
}

/// Sends polls one after another on one connection and returns the length of the last response in bytes.
fn send_polls(discovery: SocketAddr, query: &str) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(discovery)?;
    let mut response = Vec::new();
    let mut bytes = 0;
    for _ in 0..POLLS {
        stream.write_all(format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
        response.clear();
        let mut chunk = [0; 64 << 10];
        // A response body ends with the closing brace of the list.
        while !response.ends_with(b"}") || !is_complete(&response) {
            let read = stream.read(&mut chunk)?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            response.extend_from_slice(&chunk[..read]);
        }
        bytes = response.len();
    }
    Ok(bytes)
}

/// Whether the response is as long as its Content-Length header states.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(&response[..response.len().min(256)]);
    let length =
        text.split("Content-Length: ").nth(1).and_then(|l| l.split('\r').next()?.parse::<usize>().ok());
    let head = memchr::memmem::find(response, b"\r\n\r\n").map(|at| at + 4);
    length.zip(head).is_some_and(|(length, head)| response.len() >= head + length)
}

/// Measures the processor seconds of stub discovery per poll, and the length of its response in bytes.
pub fn service(targets: usize, query: &'static str) -> Result<(f64, f64), Failure> {
    block_on(async {
        let site = idle_initiators::site_with_targets(targets).await?;
        let addr = site.discovery.addr();
        let started_at = thread_time();
        let bytes = tokio::task::spawn_blocking(move || send_polls(addr, query)).await??;
        Ok(((thread_time() - started_at) / f64::from(POLLS), bytes as f64))
    })
}

/// Seconds until the last of the watches is answered, if discovery answers them one after another.
fn all_notified_after(initiators: u32, service: f64) -> f64 {
    f64::from(initiators) * service
}

fn run() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let (mut times, mut bytes) = (Vec::new(), Vec::new());
    for Size { targets, .. } in SIZES {
        let (seconds, length) = service(targets, "")?;
        times.push((targets as f64, seconds * 1e3));
        bytes.push((targets as f64, length / 1024.0));
    }
    let times = Curve::new("a whole list at the stand-in", "targets", "ms of processor", times)?;
    let bytes = Curve::new("a whole list on the wire", "targets", "KiB", bytes)?;
    let Size { initiators: fleet, targets } = SIZES[SIZES.len() - 1];
    let snapshot_time = times.at(targets as f64) / 1e3;
    // Stub discovery starts at version 1 and each target adds one, so this poll asks for the last change
    // only.
    let (change_time, _) = service(targets, "?from=3500&hold_ms=1")?;
    let encoding_time = probe("list-encode", SIZES[SIZES.len() - 1])?.processor;
    out.figure("the stand-in's time for a whole list of 3,500", snapshot_time * 1e3, "ms");
    out.figure("the least time, that of its encoding", encoding_time * 1e3, "ms");
    out.figure("the stand-in's time for the news of one change", change_time * 1e6, "us");
    let mut lines = Vec::new();
    for (name, seconds) in [("the stand-in's time", snapshot_time), ("the least time", encoding_time)] {
        let mut line = Vec::new();
        for Size { initiators, .. } in SIZES {
            let last = all_served(initiators, initiators, seconds).unwrap_or(MAX_SECONDS);
            out.figure(format!("{initiators} start at once, {name}: the last has its list"), last, "s");
            line.push((f64::from(initiators), last));
        }
        let tenth = all_served(fleet / 10, fleet, seconds).unwrap_or(MAX_SECONDS);
        out.figure(format!("a tenth of {fleet} starts, {name}: the last has its list"), tenth, "s");
        out.figure(format!("{fleet} whole lists, {name}"), f64::from(fleet) * seconds, "s of processor");
        lines.push((name, line));
    }
    out.plot(
        format!(
            "instances that start at once until the last has its list ({MAX_SECONDS:.0} s: not within these)"
        ),
        lines,
    );
    let notified =
        SIZES.map(|size| (f64::from(size.initiators), all_notified_after(size.initiators, change_time)));
    let notified = Curve::new("one change told to all watchers", "instances", "s", notified.to_vec())?;
    out.claim(
        "the bytes of a snapshot grow in proportion to the targets",
        (0.95..1.05).contains(&bytes.exponent),
    );
    out.claim("the processor time of a poll grows no faster than the list", times.exponent <= 1.25);
    out.claim(
        "2,200 watchers are notified of one change within 14 s",
        notified.at(f64::from(fleet)) <= MAX_DELAY,
    );
    for curve in [times, bytes, notified] {
        out.curve(curve);
    }
    Ok(out)
}
