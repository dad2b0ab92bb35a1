//! Tests of one client that sends small or unsound requests on one connection at full speed, beside others.

use crate::harness::{request, run_test, send_request, send_request_on};
use crate::processes::{start_daemon, start_stub_site};
use rowanglade_test_fleet::TargetPlan;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// The pages' slack: a response this long after its time is lost.
const LATEST: Duration = Duration::from_millis(500);
/// Requests that the flood writes at a time.
const BATCH: u64 = 500;

/// A client that sends these requests as fast as they are read, and connects again when its connection is closed.
struct Flood {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    fn start(addr: SocketAddr, text: fn(u64) -> String) -> Flood {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stopped);
        let thread = std::thread::spawn(move || {
            let mut number = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok(mut stream) = BlockingStream::connect(addr) else { continue };
                let mut responses = stream.try_clone().expect("a second handle");
                let reading = std::thread::spawn(move || {
                    let mut scratch = vec![0; 1 << 16];
                    while responses.read(&mut scratch).is_ok_and(|read| read > 0) {}
                });
                loop {
                    let batch: String = (number..number + BATCH).map(text).collect();
                    number += BATCH;
                    if is_stopped.load(Ordering::Relaxed) || stream.write_all(batch.as_bytes()).is_err() {
                        break;
                    }
                }
                // The connection may be closed already.
                let _ = stream.shutdown(std::net::Shutdown::Both);
                reading.join().expect("joined");
            }
        });
        Flood { stopped, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has failed the test already.
            let _ = thread.join();
        }
    }
}

/// A read whose method does not match its class, with a body that nobody reads.
fn mismatched_write(number: u64) -> String {
    request("view", &format!("m{number}"), 0, "x").replace("GET ", "PUT ")
}

fn unknown_path(_: u64) -> String {
    "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".into()
}

fn blank_lines(_: u64) -> String {
    "\r\n".repeat(100)
}

fn read_of_new_volume(number: u64) -> String {
    request("view", &format!("v{number}"), 0, "").replace("00000003b4d60021", &format!("{number:016x}"))
}

// Guards against one client that hinders all others: what it sent at full speed behind a refused request was discarded
// without a pause, and for seconds nobody else was answered.
#[test]
fn a_flood_on_one_connection_does_not_delay_the_responses_to_others() {
    for text in [mismatched_write, unknown_path, blank_lines, read_of_new_volume] {
        run_test(async move {
            let site = start_stub_site(&[TargetPlan::default()]).await;
            let daemon = start_daemon(&site, |_| {});
            while send_request(daemon.http, &request("view", "up", 0, "")).await.starts_with("503") {}
            let mut other = TcpStream::connect(daemon.http).await.expect("connected");
            let flood = Flood::start(daemon.http, text);
            let until = Instant::now() + FLOOD_TIME;
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let sent_at = Instant::now();
                let answer =
                    send_request_on(&mut other, &request("view", &format!("o{number}"), 0, "")).await;
                let elapsed = sent_at.elapsed();
                assert!(answer.starts_with("200") || answer.starts_with("503"), "{}: {answer}", text(0));
                assert!(elapsed < LATEST, "{}: {answer} after {elapsed:?}", text(0));
            }
            drop(flood);
        });
    }
}

// Guards against memory that grows without end: the state of each new volume was kept for long after its only request, and
// a client may name a new one with every request.
#[test]
fn requests_of_ever_new_volumes_do_not_make_memory_grow() {
    const CLIENTS: u64 = 10;
    const REQUESTS: u64 = 1_000;
    /// A quarter of the least memory that operators give a process.
    const GROWTH_BYTES: u64 = 8 << 20;
    run_test(async {
        let site = start_stub_site(&[TargetPlan { slots: 64, ..TargetPlan::default() }]).await;
        let daemon = start_daemon(&site, |_| {});
        while send_request(daemon.http, &request("view", "up", 0, "")).await.starts_with("503") {}
        let before = daemon.usage().memory_bytes;
        let clients = (0..CLIENTS).map(async |client| {
            let mut stream = TcpStream::connect(daemon.http).await.expect("connected");
            for number in 0..REQUESTS {
                let answer =
                    send_request_on(&mut stream, &read_of_new_volume(client * REQUESTS + number)).await;
                assert!(answer.starts_with("200") || answer.starts_with("503"), "{answer}");
            }
        });
        futures_util::future::join_all(clients).await;
        let growth = daemon.usage().memory_bytes.saturating_sub(before);
        assert!(growth <= GROWTH_BYTES, "{} KB more", growth >> 10);
    });
}
