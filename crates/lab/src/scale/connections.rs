//! Cost of client connections and of requests in flight for a real daemon.

use crate::curve::Curve;
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces;
use rowanglade_test_fleet::{Daemon, Endpoint, EndpointState, StubSite, TargetPlan};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-connections",
    about: "a daemon's memory and descriptors by client connections, idle and with a request in flight",
    runner: Runner::Plain(run),
};

const SEED: u64 = 33;
/// Numbers of idle connections; the daemon allows a twelfth of its descriptors for them.
const CONNECTIONS: [usize; 4] = [200, 400, 800, 1_600];
const REQUESTS: [usize; 4] = [100, 200, 400, 800];
/// Descriptor limit of the daemon, just under what a process on this machine may have.
const DESCRIPTORS: usize = 19_900;
/// Service time in milliseconds: longer than it takes to send all requests, and well within their latency
/// objective.
const WORK_MS: u64 = 700;
const TARGETS: usize = 40;

async fn daemon(site: &StubSite) -> Result<Daemon, Failure> {
    let adjust = |_: usize, start: &mut rowanglade_test_fleet::DaemonPlan| start.sockets = DESCRIPTORS;
    let daemon = initiators::start_daemons_with(site, &traces::standard_header(), 1, adjust)?
        .pop()
        .ok_or(Failure::Unexpected("no daemon was started"))?;
    while !is_up(&daemon).await? {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(daemon)
}

async fn is_up(daemon: &Daemon) -> Result<bool, Failure> {
    let mut stream = TcpStream::connect(daemon.http).await?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await?;
    let mut response = [0; 12];
    stream.read_exact(&mut response).await?;
    Ok(response.ends_with(b"200"))
}

fn descriptors(daemon: &Daemon) -> Result<f64, Failure> {
    Ok(std::fs::read_dir(format!("/proc/{}/fd", daemon.pid()))?.count() as f64)
}

/// Returns by how many bytes and descriptors the daemon grows for `count` connections that have each received
/// a response.
async fn idle(count: usize) -> Result<(f64, f64), Failure> {
    let site = StubSite::start(&[initiators::target_plan(1, 1, 1)], ZONE, SEED).await?;
    let daemon = daemon(&site).await?;
    let before = (daemon.usage().peak_memory_bytes as f64, descriptors(&daemon)?);
    let mut clients = Vec::with_capacity(count);
    for _ in 0..count {
        let mut stream = TcpStream::connect(daemon.http).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await?;
        clients.push(stream);
    }
    let mut response = [0; 12];
    for client in &mut clients {
        client.read_exact(&mut response).await?;
    }
    let after = (daemon.usage().peak_memory_bytes as f64, descriptors(&daemon)?);
    Ok((after.0 - before.0, after.1 - before.1))
}

/// Sends `count` requests and returns how many of them are in flight after 0.3 s, and by how many bytes the
/// daemon grows.
async fn in_flight(count: usize) -> Result<(f64, f64), Failure> {
    let plan = TargetPlan {
        queue_capacity: 100_000,
        slots: 100_000,
        ..initiators::target_plan(WORK_MS, WORK_MS, WORK_MS)
    };
    let site = StubSite::start(&vec![plan; TARGETS], ZONE, SEED).await?;
    for target in &site.targets {
        // A target that has just started would be sent few requests because of slow start.
        site.discovery.upsert(Endpoint { started_ms: 0, ..Endpoint::of(target, EndpointState::Active) });
    }
    let daemon = daemon(&site).await?;
    let before = daemon.usage().peak_memory_bytes as f64;
    let mut clients = Vec::with_capacity(count);
    for number in 0..count {
        let request = format!(
            "GET /export/{number:016x}/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: r{number}\r\n\
             X-Service-Class: export\r\nX-Qos-Policy: full\r\nX-Time-Left-Ms: 5000\r\n\
             X-Placement: units=1,shard={},hosts=1\r\n\r\n",
            number % TARGETS
        );
        let mut stream = TcpStream::connect(daemon.http).await?;
        stream.write_all(request.as_bytes()).await?;
        clients.push(stream);
    }
    sleep(Duration::from_millis(300)).await;
    let memory = daemon.usage().peak_memory_bytes as f64 - before;
    let mut in_flight = 0;
    for client in &mut clients {
        let answered = timeout(Duration::from_millis(1), client.readable()).await.is_ok();
        in_flight += usize::from(!answered);
    }
    Ok((in_flight as f64, memory))
}

fn run() -> Result<Outcome, Failure> {
    block_on(async {
        let mut out = Outcome::default();
        let (mut memory, mut files) = (Vec::new(), Vec::new());
        for count in CONNECTIONS {
            let (bytes, descriptors) = idle(count).await?;
            memory.push((count as f64, bytes / 1024.0));
            files.push((count as f64, descriptors));
        }
        let memory = Curve::new("memory of idle connections", "connections", "KiB", memory)?;
        let files = Curve::new("descriptors of idle connections", "connections", "descriptors", files)?;
        let mut requests = Vec::new();
        for count in REQUESTS {
            let (in_flight, bytes) = in_flight(count).await?;
            out.figure(format!("of {count} requests at once, held after 0.3 s"), in_flight, "");
            requests.push((count as f64, bytes / 1024.0));
        }
        let requests =
            Curve::new("memory of connections with a request each", "requests at once", "KiB", requests)?;
        out.claim("descriptors grow in proportion to connections", (0.95..1.05).contains(&files.exponent));
        out.claim("memory grows no faster than idle connections", memory.exponent <= 1.15);
        out.claim("memory grows no faster than requests in flight", requests.exponent <= 1.25);
        let connections_per_instance = 10e6 / 2_200.0;
        out.figure(
            "4,545 connections of an instance, by the fit",
            memory.at(connections_per_instance) / 1024.0,
            "MiB",
        );
        for curve in [memory, files, requests] {
            out.curve(curve);
        }
        Ok(out)
    })
}
