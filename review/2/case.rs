//! Case 2: writes through the iSCSI-style front around a planned restart of the initiator.

#[path = "../standins/common.rs"]
mod common;
#[path = "../standins/iscsi.rs"]
mod iscsi;

use common::*;
use iscsi::{Answer, Session, BLOCK_BYTES};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TARGETS: u32 = 4;
const LUN: u64 = 0x3_b4d6_0021;
const FRONT: &str = "iqn.2026-12.example.kingston:rowanglade";
const CLIENT: &str = "iqn.2026-12.example.museum:catalogue";
/// The group numbers are the indexes of the classes.
const VIEW: u8 = 0;
const DEPOSIT: u8 = 1;
/// For how long a target drops a repeat of a key (`memory-span`).
const MEMORY: Duration = Duration::from_secs(3);

/// What a target holds: the pieces of data by path, and when it ran which key.
#[derive(Default)]
struct Data {
    pieces: HashMap<String, Vec<u8>>,
    keys: HashMap<String, Instant>,
}

/// A target: keeps what is written, and drops a repeat of a key for [`MEMORY`].
fn start_target(cell: u32, record: &Record) -> SocketAddr {
    let (listener, addr) = listener();
    let (data, record) = (Arc::new(Mutex::new(Data::default())), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (data, record) = (Arc::clone(&data), record.clone());
            std::thread::spawn(move || {
                let _ = serve(cell, stream, &data, &record);
            });
        }
    });
    addr
}

fn serve(cell: u32, stream: TcpStream, data: &Mutex<Data>, record: &Record) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head)?;
        let (method, path) = head.method_and_path();
        // The class, the volume and the piece; the class is not part of where the data lies.
        let piece = path.splitn(3, '/').nth(2).unwrap_or("").to_string();
        let id = head.header("x-correlation-id").unwrap_or("-");
        std::thread::sleep(Duration::from_millis(4));
        let answer = {
            let mut data = data.lock().unwrap();
            if method == "PUT" {
                let key = head.header("idempotency-key").unwrap_or("").to_string();
                let ran = data.keys.get(&key).filter(|at| at.elapsed() < MEMORY);
                if let Some(at) = ran {
                    record.line(format!("target {cell}: drops PUT {path}, id {id}, key {key}: it ran this key {:?} ago", at.elapsed()));
                } else {
                    record.line(format!("target {cell}: runs PUT {path}, id {id}, key {key}, first byte {:?}", body.first()));
                    data.keys.insert(key, Instant::now());
                    data.pieces.insert(piece, body);
                }
                b"kept".to_vec()
            } else {
                record.line(format!("target {cell}: runs GET {path}, id {id}"));
                data.pieces.get(&piece).cloned().unwrap_or_else(|| vec![0; BLOCK_BYTES])
            }
        };
        out.write_all(&[format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len()).as_bytes(), &answer].concat())?;
    }
    Ok(())
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

/// Logs in, and tries again while the front is not up.
fn log_in(front: SocketAddr, record: &Record) -> Result<Session, String> {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        match Session::log_in(front, CLIENT, FRONT) {
            Ok(session) => {
                record.line("client: logged in");
                return Ok(session);
            }
            Err(error) if Instant::now() > until => return Err(format!("login: {error}")),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

fn write(session: &mut Session, address: u64, byte: u8, record: &Record) -> Result<Answer, String> {
    record.line(format!("client: WRITE of block {address}, all bytes {byte}"));
    let answer = session.write(LUN, address, DEPOSIT, &[byte; BLOCK_BYTES]).map_err(|error| error.to_string())?;
    record.line(format!("client: WRITE of block {address}: status {}", answer.status));
    Ok(answer)
}

fn run(root: &Path, folder: &Path, record: &Record) -> Result<(bool, String), String> {
    let listed = (0..TARGETS).map(|cell| Listed {
        id: format!("s-{cell}"),
        addr: start_target(cell, record),
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
        "[iscsi]\nlisten = \"{front}\"\nname = \"{FRONT}\"\n\n[[iscsi.volume]]\nlun = \"{LUN:016x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n"
    );
    std::fs::write(&operator, table).expect("written");
    let start = || {
        let env = [
            ("LB_NAME", "n1".to_string()),
            ("LB_LISTEN", listen.to_string()),
            ("LB_DISCOVERY", discovery.addr.to_string()),
            ("LB_CONFIG", config.display().to_string()),
            ("TMPDIR", folder.display().to_string()),
        ];
        let program = Program::start(root, &format!("serve --operator '{}'", operator.display()), &env, &folder.join("log"));
        let ready = wait_until_ready(listen, Duration::from_secs(20));
        record.line(format!("the initiator is ready: {ready}, pid {}", program.child.id()));
        ready.then_some(program).ok_or("the initiator is not ready")
    };
    let mut program = start()?;
    let mut session = log_in(front, record)?;
    // The client has been quiet for a while when it writes.
    std::thread::sleep(Duration::from_secs(4));
    let mut expected = HashMap::new();
    for (address, byte) in [(1, 11), (2, 12)] {
        if write(&mut session, address, byte, record)?.status == 0 {
            expected.insert(address, byte);
        }
    }
    if trouble() {
        record.line("TROUBLE: planned restart, SIGTERM");
        program.signal(SIGTERM);
        let asked = session.wait_for_logout_request(Duration::from_secs(2));
        record.line(format!("client: asked to log out: {asked}"));
        session.log_out();
        if !program.wait(Duration::from_secs(5)) {
            return Err("the initiator did not end".into());
        }
        record.line("the initiator has ended, and is started again");
        program = start()?;
    } else {
        session.log_out();
    }
    let mut session = log_in(front, record)?;
    for (address, byte) in [(3, 13), (4, 14)] {
        if write(&mut session, address, byte, record)?.status == 0 {
            expected.insert(address, byte);
        }
    }
    // Beyond the memory of the targets, so that nothing that is still under way is missed.
    std::thread::sleep(Duration::from_secs(4));
    let mut lost = Vec::new();
    let mut addresses: Vec<_> = expected.into_iter().collect();
    addresses.sort_unstable();
    for (address, byte) in &addresses {
        let answer = session.read(LUN, *address, VIEW).map_err(|error| error.to_string())?;
        let kept = answer.data.iter().all(|read| read == byte) && answer.data.len() == BLOCK_BYTES;
        record.line(format!("client: READ of block {address}: status {}, first byte {:?}, expected {byte}", answer.status, answer.data.first()));
        if answer.status != 0 {
            return Err("a read was not served".into());
        }
        if !kept {
            lost.push(*address);
        }
    }
    session.log_out();
    if program.has_ended() {
        return Err("the initiator has ended".into());
    }
    let text = format!("{} of {} writes that were answered with GOOD are not stored: blocks {lost:?}", lost.len(), addresses.len());
    Ok((!lost.is_empty(), text))
}
