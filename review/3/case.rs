//! Case 3: a target hangs while long bodies are sent to it.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TARGETS: usize = 5;
/// The lengths of the long bodies, in MiB; the pages allow up to 32 MB. How much of a body the systems on the way
/// hold differs from machine to machine. A shorter body fits into the connection to the target and is answered in
/// time; the end of a longer one does not reach the initiator's machine, and the request does not count as taken.
const BODY_MIB: [f64; 11] = [2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 6.0, 8.0, 11.0, 14.0, 18.0];
/// How long the client waits, counted from the last byte of its request.
const TIME_LEFT: Duration = Duration::from_millis(1_500);
/// The latest final answer: `answer-slack` of 8 ms, 50 ms on sockets, and the half second in which an answer only
/// earns nothing.
const SLACK: Duration = Duration::from_millis(8 + 50 + 500);
/// How long the target hangs.
const HANG: Duration = Duration::from_secs(6);
/// The clients stay connected for this long after their last byte, so that a late answer is seen too.
const WATCHED: Duration = Duration::from_millis(4_000);

/// A target that serves requests, unless it hangs: then it neither reads nor writes.
struct Target {
    cell: u32,
    hangs: AtomicBool,
}

impl Target {
    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(64 * 1024, stream);
        while let Some(head) = read_head(&mut reader)? {
            self.wait_while_hanging();
            let (id, length) = (head.header("x-correlation-id").unwrap_or("-").to_string(), head.length());
            if length.unwrap_or(0) > 64 * 1024 {
                record.line(format!("target {}: head of {id} has come, its body has {length:?} bytes", self.cell));
            }
            if head.is_chunked() {
                read_body(&mut reader, &head)?;
            } else {
                let mut left = length.unwrap_or(0);
                let mut buffer = vec![0; 64 * 1024];
                while left > 0 {
                    self.wait_while_hanging();
                    let part = left.min(buffer.len());
                    let read = reader.read(&mut buffer[..part])?;
                    if read == 0 {
                        record.line(format!("target {}: {id} ended {left} bytes before its end", self.cell));
                        return Ok(());
                    }
                    left -= read;
                }
            }
            self.wait_while_hanging();
            // The work of a deposit.
            std::thread::sleep(Duration::from_millis(5));
            self.wait_while_hanging();
            record.line(format!("target {}: ran {id}", self.cell));
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")?;
        }
        Ok(())
    }
}

fn start_target(cell: u32, record: &Record) -> (Arc<Target>, SocketAddr) {
    let (listener, addr) = listener();
    let target = Arc::new(Target { cell, hangs: AtomicBool::new(false) });
    let (shared, record) = (Arc::clone(&target), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (target, record) = (Arc::clone(&shared), record.clone());
            std::thread::spawn(move || {
                let _ = target.serve(stream, &record);
            });
        }
    });
    (target, addr)
}

/// What became of one request. Its fields are written to the record.
#[derive(Debug)]
#[allow(dead_code)]
enum End {
    /// The last byte never came to the initiator's machine: the request was not taken.
    NotTaken,
    /// A whole answer, this long after the request's last byte.
    Answered(u16, Duration),
    /// The initiator ended the connection without a whole answer.
    Ended(Duration),
    /// No whole answer while the client watched.
    NoAnswer,
}

fn send(front: SocketAddr, id: &str, shard: u32, bytes: usize, record: &Record) -> End {
    let Ok(mut stream) = TcpStream::connect(front) else { return End::NotTaken };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let head = format!(
        "PUT /deposit/00000003b4d60021/{:016x} HTTP/1.1\r\nHost: store\r\nX-Correlation-Id: {id}\r\nX-Service-Class: deposit\r\n\
         X-Qos-Policy: full\r\nX-Time-Left-Ms: {}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {bytes}\r\n\
         X-Placement: units=2,shard={shard},hosts=1\r\n\r\n",
        id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())),
        TIME_LEFT.as_millis(),
    );
    record.line(format!("client: sends {id} ({bytes} bytes) for shard {shard}"));
    let message = [head.as_bytes(), &vec![b'x'; bytes][..]].concat();
    if stream.write_all(&message).is_err() {
        record.line(format!("client: {id} could not be written"));
        return End::NotTaken;
    }
    // The request counts once the initiator's machine has acknowledged its last byte.
    let until = Instant::now() + Duration::from_secs(3);
    while unacknowledged(&stream) > 0 {
        if Instant::now() > until {
            record.line(format!("client: {} bytes of {id} did not reach the initiator's machine", unacknowledged(&stream)));
            return End::NotTaken;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let taken = Instant::now();
    record.line(format!("client: the last byte of {id} has reached the initiator's machine"));
    let _ = stream.set_read_timeout(Some(WATCHED));
    let end = match read_response(&mut BufReader::new(&stream)) {
        Ok(response) => End::Answered(response.status, taken.elapsed()),
        Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => End::NoAnswer,
        Err(_) => End::Ended(taken.elapsed()),
    };
    record.line(format!("client: {id}: {end:?}"));
    end
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (root, case) = (arguments.next().expect("the root"), arguments.next().expect("the case's folder"));
    let record = Record::create(&case.join("record.txt"));
    limit_time(&record, Duration::from_secs(100));
    let folder = Folder::create();
    let code = std::panic::catch_unwind(|| run(&root, &folder.0, &record));
    drop(folder);
    match code {
        Ok(Ok((broken, text))) => verdict(&record, broken, &text),
        Ok(Err(error)) => cannot_run(&record, error),
        Err(_) => cannot_run(&record, "the stand-ins failed"),
    }
}

fn run(root: &Path, folder: &Path, record: &Record) -> Result<(bool, String), &'static str> {
    let targets: Vec<(Arc<Target>, SocketAddr)> = (0..TARGETS as u32).map(|cell| start_target(cell, record)).collect();
    let listed = targets.iter().map(|(target, addr)| Listed {
        id: format!("s-{}", target.cell),
        addr: *addr,
        zone: "kingston".into(),
        cell: target.cell,
        state: "active",
        started_ms: 0,
        version: 1,
    });
    let discovery = Discovery::start(listed.collect());
    let listen = free_address();
    let config = folder.join("config.json");
    std::fs::write(&config, configuration("n1", listen, &discovery, &settings(TARGETS, 1))).expect("written");
    let env = [
        ("LB_NAME", "n1".to_string()),
        ("LB_LISTEN", listen.to_string()),
        ("LB_DISCOVERY", discovery.addr.to_string()),
        ("LB_CONFIG", config.display().to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let mut program = Program::start(root, "", &env, &folder.join("log"));
    if !wait_until_ready(listen, Duration::from_secs(20)) {
        return Err("the initiator is not ready");
    }
    record.line(format!("the initiator is ready at {listen}, pid {}", program.child.id()));
    // Short requests first, so that the initiator knows all targets.
    for n in 0..20 {
        send(listen, &format!("warm-{n}"), n % TARGETS as u32, 200, record);
    }
    if trouble() {
        record.line(format!("TROUBLE: target 0 hangs, for {HANG:?}"));
        targets[0].0.hangs.store(true, Ordering::SeqCst);
        let (target, record) = (Arc::clone(&targets[0].0), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(HANG);
            record.line("target 0 goes on");
            target.hangs.store(false, Ordering::SeqCst);
        });
    }
    let ends: Arc<Mutex<Vec<(String, End)>>> = Arc::default();
    let clients: Vec<_> = BODY_MIB
        .into_iter()
        .enumerate()
        .map(|(n, mib)| {
            let (ends, record) = (Arc::clone(&ends), record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(100 * n as u64));
                let id = format!("long-{n}");
                let end = send(listen, &id, 0, (mib * f64::from(1 << 20)) as usize, &record);
                ends.lock().unwrap().push((id, end));
            })
        })
        .collect();
    // A short request to the same target, and one to another, for comparison.
    for (n, shard) in [0, 1].into_iter().enumerate() {
        let id = format!("short-{n}");
        let end = send(listen, &id, shard, 200, record);
        ends.lock().unwrap().push((id, end));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if program.has_ended() {
        return Ok((true, "the initiator has ended".into()));
    }
    let ends = ends.lock().unwrap();
    let taken = ends.iter().filter(|(_, end)| !matches!(end, End::NotTaken)).count();
    let is_lost = |end: &End| match end {
        End::NotTaken => false,
        End::Answered(_, after) => *after > TIME_LEFT + SLACK,
        End::Ended(_) | End::NoAnswer => true,
    };
    let lost: Vec<&str> = ends.iter().filter(|(_, end)| is_lost(end)).map(|(id, _)| id.as_str()).collect();
    if !ends.iter().any(|(id, end)| id.starts_with("long") && !matches!(end, End::NotTaken)) {
        return Err("no long request came to the initiator's machine as a whole");
    }
    let text = format!("{} of {taken} taken requests had no final answer in time: {lost:?}", lost.len());
    Ok((!lost.is_empty(), text))
}
