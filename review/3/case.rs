//! Case 3: a crowd of clients of the iSCSI-style front that stop half way in their writes.

#[path = "../standins/common.rs"]
mod common;
#[path = "../standins/iscsi.rs"]
mod iscsi;

use common::*;
use iscsi::Session;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: u32 = 5;
/// The limit of the configuration, as on the days that are scored.
const MEMORY_MB: u64 = 192;
const LUN: u64 = 0x3_b4d6_0021;
const FRONT: &str = "iqn.2026-12.example.kingston:rowanglade";
const CLIENTS: usize = 120;
/// The commands of one client, within the window that the front's login answer grants.
const COMMANDS: u64 = 32;
/// The length of each write: the front's MaxBurstLength.
const WRITE_BYTES: usize = 64 * 1024;
const DEPOSIT: u8 = 1;
const CROWD: Duration = Duration::from_secs(12);
/// How long the use is followed once it is over the limit, before the process is killed as the platform does.
const FOLLOWED: Duration = Duration::from_millis(500);

/// A target that reads whole requests and answers them.
fn start_target(ran: &Arc<AtomicU64>) -> SocketAddr {
    let (listener, addr) = listener();
    let ran = Arc::clone(ran);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = Arc::clone(&ran);
            std::thread::spawn(move || drop(serve(stream, &ran)));
        }
    });
    addr
}

fn serve(stream: TcpStream, ran: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Some(head) = read_head(&mut reader)? {
        let length = head.length().unwrap_or(0) as u64;
        if std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink())? < length {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(4));
        ran.fetch_add(1, Ordering::SeqCst);
        out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")?;
    }
    Ok(())
}

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    sessions: AtomicU64,
    begun: AtomicU64,
    served: AtomicU64,
    over: AtomicBool,
}

/// A client. With the disruption it begins as many writes as the front allows and stops in the middle of each;
/// without it, it writes the same data, one write after another.
fn client(front: SocketAddr, number: usize, seen: &Seen) -> std::io::Result<()> {
    let mut session = Session::log_in(front, &format!("iqn.2026-12.example.museum:client-{number}"), FRONT)?;
    seen.sessions.fetch_add(1, Ordering::SeqCst);
    let data = vec![number as u8; WRITE_BYTES];
    for command in 0..COMMANDS {
        let address = (number as u64) * 10_000 + command * 128;
        if trouble() {
            session.begin_write(LUN, address, DEPOSIT, WRITE_BYTES, &data[..WRITE_BYTES - iscsi::BLOCK_BYTES])?;
            seen.begun.fetch_add(1, Ordering::SeqCst);
        } else {
            let answer = session.write(LUN, address, DEPOSIT, &data)?;
            seen.served.fetch_add(u64::from(answer.status == 0), Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(50));
        }
        if seen.over.load(Ordering::SeqCst) {
            return Ok(());
        }
    }
    // It stays.
    while !seen.over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(20));
    }
    session.log_out();
    Ok(())
}

/// The anonymous memory that a process has resident, in bytes: files that it maps do not count.
fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
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
        Ok(Err(error)) => cannot_run(&record, &error),
        Err(_) => cannot_run(&record, "the stand-ins failed"),
    }
}

fn run(root: &Path, folder: &Path, record: &Record) -> Result<(bool, String), String> {
    let ran = Arc::new(AtomicU64::new(0));
    let listed = (0..TARGETS).map(|cell| Listed {
        id: format!("s-{cell}"),
        addr: start_target(&ran),
        zone: "kingston".into(),
        cell,
        state: "active",
        started_ms: 0,
        version: 1,
    });
    let discovery = Discovery::start(listed.collect());
    let (listen, front) = (free_address(), free_address());
    let (config, operator) = (folder.join("config.json"), folder.join("operator.toml"));
    std::fs::write(&config, configuration("n1", listen, &discovery, &settings(TARGETS as usize, 1))).expect("written");
    let table = format!(
        "[iscsi]\nlisten = \"{front}\"\nname = \"{FRONT}\"\n\n[[iscsi.volume]]\nlun = \"{LUN:016x}\"\nplan = \"full\"\nhosts = 1\n"
    );
    std::fs::write(&operator, table).expect("written");
    let env = [
        ("LB_NAME", "n1".to_string()),
        ("LB_LISTEN", listen.to_string()),
        ("LB_DISCOVERY", discovery.addr.to_string()),
        ("LB_CONFIG", config.display().to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let mut program = Program::start(root, &format!("serve --operator '{}'", operator.display()), &env, &folder.join("log"));
    if !wait_until_ready(listen, Duration::from_secs(20)) {
        return Err("the initiator is not ready".into());
    }
    let pid = program.child.id();
    record.line(format!("the initiator is ready, pid {pid}, {:.1} MiB", mib(resident(pid))));
    record.line(if trouble() {
        format!("TROUBLE: {CLIENTS} clients begin {COMMANDS} writes of {WRITE_BYTES} bytes each, and stop before the last block of each")
    } else {
        format!("{CLIENTS} clients make {COMMANDS} writes of {WRITE_BYTES} bytes each, one after another")
    });
    let seen = Arc::new(Seen::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let seen = Arc::clone(&seen);
            std::thread::spawn(move || client(front, number, &seen))
        })
        .collect();
    let (begin, mut most, mut reported, mut over_since, mut killed) = (Instant::now(), 0, Instant::now(), None, None);
    while begin.elapsed() < CROWD && killed.is_none() {
        let now = resident(pid);
        most = most.max(now);
        if program.has_ended() {
            return Ok((true, "the initiator has ended".into()));
        }
        if now > MEMORY_MB << 20 {
            let since = *over_since.get_or_insert_with(|| {
                record.line(format!("the initiator has {:.1} MiB resident, over its {MEMORY_MB} MB", mib(now)));
                Instant::now()
            });
            if since.elapsed() > FOLLOWED {
                record.line(format!("the platform kills it, with {:.1} MiB resident", mib(now)));
                program.signal(SIGKILL);
                killed = Some(most);
            }
        }
        if reported.elapsed() > Duration::from_millis(250) || killed.is_some() {
            reported = Instant::now();
            let (sessions, begun) = (seen.sessions.load(Ordering::SeqCst), seen.begun.load(Ordering::SeqCst));
            let served = seen.served.load(Ordering::SeqCst);
            record.line(format!(
                "{:.1} MiB resident, at most {:.1}; {sessions} sessions, {begun} writes begun, {served} answered with GOOD, {} run",
                mib(now),
                mib(most),
                ran.load(Ordering::SeqCst)
            ));
        }
        std::thread::sleep(Duration::from_millis(3));
    }
    seen.over.store(true, Ordering::SeqCst);
    if killed.is_none() {
        clients.into_iter().for_each(|client| drop(client.join()));
    }
    if !trouble() && seen.served.load(Ordering::SeqCst) == 0 {
        return Err("no write was served".into());
    }
    Ok(match killed {
        Some(used) => (true, format!("the initiator used up to {:.1} MiB of {MEMORY_MB} MB and was killed, with all its open requests", mib(used))),
        None if over_since.is_some() => (true, format!("the initiator used up to {:.1} MiB of {MEMORY_MB} MB", mib(most))),
        None => (false, format!("at most {:.1} MiB of {MEMORY_MB} MB resident", mib(most))),
    })
}
