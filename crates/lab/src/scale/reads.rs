//! Whole lists from one discovery that serves calls one after another, in simulated time: what no number of
//! sockets on one machine holds.

use super::cost::{SIZES, Size, probe, thread_time};
use super::hollow;
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
    about: "whole lists and news of one change from one discovery, by instances, in simulated time",
    runner: Runner::Plain(run),
};

const SEED: u64 = 33;
/// Seconds that a call waits for its answer, as `rowanglade_discovery_polling` has it for one that does not
/// hold.
const PATIENCE: f64 = 5.0;
/// Each instance's first call, and the next after one that failed, come within this span, as the module has
/// it where the list must be asked for every 10 s: a tenth of a second for each instance of the fleet, at
/// most those 10 s.
const TURN: f64 = 0.1;
const LONGEST_TURN: f64 = 10.0;
/// Seconds that are simulated at most.
const END: f64 = 600.0;
/// Calls that a service time is the mean of.
const CALLS: u32 = 20;
/// A change of the configuration must be in force after this long.
const IN_FORCE: f64 = 14.0;

/// A call that comes to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    at: f64,
    instance: u32,
}

impl Eq for Call {}

impl Ord for Call {
    fn cmp(&self, other: &Call) -> Ordering {
        self.at.total_cmp(&other.at).then(self.instance.cmp(&other.instance))
    }
}

impl PartialOrd for Call {
    fn partial_cmp(&self, other: &Call) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Seconds until so many instances of a fleet that start at once each have an answer, where a call takes
/// `service` seconds. None: some have none when the simulation ends.
pub fn all_served(starting: u32, fleet: u32, service: f64) -> Option<f64> {
    let mut chance = Pcg64Mcg::seed_from_u64(SEED);
    let turn = (TURN * f64::from(fleet)).min(LONGEST_TURN);
    let mut first = |instance| Reverse(Call { at: turn * chance.random::<f64>(), instance });
    let mut calls: BinaryHeap<Reverse<Call>> = (0..starting).map(&mut first).collect();
    let (mut free, mut last) = (0.0f64, 0.0f64);
    while let Some(Reverse(call)) = calls.pop() {
        if call.at > END {
            return None;
        }
        // Discovery does not know that a caller has given up, and serves the call all the same.
        free = free.max(call.at) + service;
        if free <= call.at + PATIENCE {
            last = last.max(free);
            continue;
        }
        let at = call.at + PATIENCE + turn * chance.random_range(0.5..1.5);
        calls.push(Reverse(Call { at, ..call }));
    }
    Some(last)
}

/// Reads answers, one after another, on one connection.
fn ask(discovery: SocketAddr, query: &str) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(discovery)?;
    let mut answer = Vec::new();
    let mut bytes = 0;
    for _ in 0..CALLS {
        stream.write_all(format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
        answer.clear();
        let mut chunk = [0; 64 << 10];
        // The page's last bytes are the list's end.
        while !answer.ends_with(b"}") || !balanced(&answer) {
            let read = stream.read(&mut chunk)?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            answer.extend_from_slice(&chunk[..read]);
        }
        bytes = answer.len();
    }
    Ok(bytes)
}

/// Whether the answer has as many bytes as its head says.
fn balanced(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(&answer[..answer.len().min(256)]);
    let length =
        text.split("Content-Length: ").nth(1).and_then(|l| l.split('\r').next()?.parse::<usize>().ok());
    let head = memchr::memmem::find(answer, b"\r\n\r\n").map(|at| at + 4);
    length.zip(head).is_some_and(|(length, head)| answer.len() >= head + length)
}

/// Seconds of processor time that the stand-in takes for a call, and the bytes of its answer.
pub fn service(targets: usize, query: &'static str) -> Result<(f64, f64), Failure> {
    block_on(async {
        let site = hollow::listed(targets).await?;
        let addr = site.discovery.addr();
        let begun = thread_time();
        let bytes = tokio::task::spawn_blocking(move || ask(addr, query)).await??;
        Ok(((thread_time() - begun) / f64::from(CALLS), bytes as f64))
    })
}

/// Seconds that a change takes until the last of so many watches is answered, one after another.
fn all_told(instances: u32, service: f64) -> f64 {
    f64::from(instances) * service
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
    let Size { instances: fleet, targets } = SIZES[SIZES.len() - 1];
    let whole = times.at(targets as f64) / 1e3;
    // The stand-in's first version is 1, and each target adds one: this asks for the last change alone.
    let (news, _) = service(targets, "?from=3500&hold_ms=1")?;
    let least = probe("list-encode", SIZES[SIZES.len() - 1])?.processor;
    out.figure("the stand-in's time for a whole list of 3,500", whole * 1e3, "ms");
    out.figure("the least time, that of its encoding", least * 1e3, "ms");
    out.figure("the stand-in's time for the news of one change", news * 1e6, "us");
    let mut lines = Vec::new();
    for (name, seconds) in [("the stand-in's time", whole), ("the least time", least)] {
        let mut line = Vec::new();
        for Size { instances, .. } in SIZES {
            let last = all_served(instances, instances, seconds).unwrap_or(END);
            out.figure(format!("{instances} start at once, {name}: the last has its list"), last, "s");
            line.push((f64::from(instances), last));
        }
        let tenth = all_served(fleet / 10, fleet, seconds).unwrap_or(END);
        out.figure(format!("a tenth of {fleet} starts, {name}: the last has its list"), tenth, "s");
        out.figure(format!("{fleet} whole lists, {name}"), f64::from(fleet) * seconds, "s of processor");
        lines.push((name, line));
    }
    out.plot(
        format!("instances that start at once until the last has its list ({END:.0} s: not within these)"),
        lines,
    );
    let told = SIZES.map(|size| (f64::from(size.instances), all_told(size.instances, news)));
    let told = Curve::new("one change told to all watchers", "instances", "s", told.to_vec())?;
    out.claim("a whole list's bytes grow in step with targets", (0.95..1.05).contains(&bytes.exponent));
    out.claim("a call's time grows no faster than the list", times.exponent <= 1.25);
    out.claim("one change is told to 2,200 watchers within 14 s", told.at(f64::from(fleet)) <= IN_FORCE);
    for curve in [times, bytes, told] {
        out.curve(curve);
    }
    Ok(out)
}
