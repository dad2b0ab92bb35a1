//! Stand-ins for the cases of the second review: targets, discovery, clients and the platform. They use the standard
//! library alone, so that they build without a network and on any kind of machine. Each connection has its own thread.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const ROLE_HELD: i32 = 0;
pub const ROLE_BROKEN: i32 = 1;
pub const ROLE_NOT_RUN: i32 = 2;

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a time of [`now_ms`].
pub fn sleep_until_ms(at: f64) {
    let left = at - now_ms();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left / 1e3));
    }
}

/// Whether the case is to cause its trouble.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    /// Writes to the file that the first argument of the program names.
    pub fn create() -> Record {
        now_ms();
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
        Record(Arc::new(Mutex::new(File::create(path).expect("record file"))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.0.lock().unwrap(), "{:9.1} ms  {}", now_ms(), text.as_ref());
    }
}

/// Ends the case: writes the verdict and exits.
pub fn verdict(record: &Record, code: i32, text: &str) -> ! {
    let word = match code {
        ROLE_HELD => "HELD",
        ROLE_BROKEN => "BROKEN",
        _ => "NOT RUN",
    };
    record.line(format!("{word}: {text}"));
    println!("{word}: {text}");
    std::process::exit(code)
}

/// A head and a body as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line, or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-correlation-id").unwrap_or("").to_string()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a stream.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// The head of the next message; `None`: the stream ended.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() && message.first.is_empty() => {}
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) if message.first.is_empty() => message.first = line,
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        message.headers.push((name.trim().to_string(), value.trim().to_string()));
                    }
                }
            }
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < bytes {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..bytes).collect()))
    }

    /// Reads the body that the head declares. Returns false if the stream ended before its end.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<bool> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else { return Ok(false) };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16).unwrap_or(0);
                if size == 0 {
                    while let Some(line) = self.line()? {
                        if line.is_empty() {
                            return Ok(true);
                        }
                    }
                    return Ok(false);
                }
                let Some(chunk) = self.take(size)? else { return Ok(false) };
                message.body.extend(chunk);
                self.line()?;
            }
        }
        if let Some(length) = message.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
            let Some(body) = self.take(length)? else { return Ok(false) };
            message.body = body;
            return Ok(true);
        }
        if is_response {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(true)
    }

    /// The next complete message; `None`: the stream ended before its end.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        Ok(self.body(&mut message, is_response)?.then_some(message))
    }
}

/// What a target does with a request that it has received completely.
pub enum Act {
    /// Runs for this many milliseconds and answers 200 with this body.
    Serve(u64, Vec<u8>),
    /// Answers at once with a status, and `X-Unprocessed: 1` if the flag is set.
    Status(u16, bool),
    /// Runs, and closes the connection without an answer after this many milliseconds.
    Close(u64),
    /// Never answers, and keeps the connection open.
    Silent,
    /// Writes these pieces, 5 ms apart, and closes the connection if the flag is set.
    Raw(Vec<Vec<u8>>, bool),
}

/// One request as a target received it.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub id: String,
    pub key: String,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// When its last byte had arrived.
    pub at: f64,
}

/// A target on a loopback address.
pub struct Target {
    pub name: String,
    pub cell: u32,
    pub addr: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Target {
    pub fn start(
        name: &str,
        cell: u32,
        record: &Record,
        handler: impl Fn(&Run) -> Act + Send + Sync + 'static,
    ) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").expect("target listener");
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (handler, shared, record, own) =
            (Arc::new(handler), Arc::clone(&runs), record.clone(), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, shared, record, own) =
                    (Arc::clone(&handler), Arc::clone(&shared), record.clone(), own.clone());
                std::thread::spawn(move || {
                    let _ = serve_target(stream, &own, &record, &shared, &*handler);
                });
            }
        });
        Target { name: name.to_string(), cell, addr, runs }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve_target(
    stream: TcpStream,
    name: &str,
    record: &Record,
    runs: &Mutex<Vec<Run>>,
    handler: &(dyn Fn(&Run) -> Act + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream);
    while let Some(message) = reader.message(false)? {
        if message.path() == "/alive" {
            reader.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let run = Run {
            target: name.to_string(),
            id: message.id(),
            key: message.header("idempotency-key").unwrap_or("").to_string(),
            method: message.method().to_string(),
            path: message.path().to_string(),
            body: message.body.clone(),
            at: now_ms(),
        };
        let left = message.header("x-time-left-ms").unwrap_or("-");
        record.line(format!("target {name} received {} {} id={} time left {left} ms", run.method, run.path, run.id));
        runs.lock().unwrap().push(run.clone());
        let answer = match handler(&run) {
            Act::Serve(ms, body) => {
                sleep_ms(ms);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                [head.into_bytes(), body].concat()
            }
            Act::Status(status, unprocessed) => {
                let mark = if unprocessed { "X-Unprocessed: 1\r\n" } else { "" };
                format!("HTTP/1.1 {status} -\r\n{mark}Content-Length: 0\r\n\r\n").into_bytes()
            }
            Act::Close(ms) => {
                sleep_ms(ms);
                record.line(format!("target {name} ran id={} and closed without an answer", run.id));
                let _ = reader.stream.shutdown(Shutdown::Both);
                return Ok(());
            }
            Act::Raw(pieces, close) => {
                for piece in &pieces {
                    reader.stream.write_all(piece)?;
                    sleep_ms(5);
                }
                if close {
                    let _ = reader.stream.shutdown(Shutdown::Both);
                    return Ok(());
                }
                Vec::new()
            }
            Act::Silent => {
                record.line(format!("target {name} ran id={} and stays silent", run.id));
                let mut rest = [0; 1024];
                while reader.stream.read(&mut rest)? > 0 {}
                return Ok(());
            }
        };
        reader.stream.write_all(&answer)?;
        record.line(format!("target {name} answered id={}", run.id));
    }
    Ok(())
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    pub started_ms: u64,
    /// The version in which it last changed; set by discovery.
    pub version: u64,
}

impl Entry {
    pub fn of(target: &Target) -> Entry {
        Entry { id: target.name.clone(), addr: target.addr, cell: target.cell, state: "active", started_ms: 0, version: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"kingston","kind":"std-box","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.addr, self.cell, self.state, self.started_ms
        )
    }
}

#[derive(Default)]
struct List {
    version: u64,
    /// Discovery is down: each call ends with a closed connection and no answer.
    down: bool,
    /// When the last call came, by [`now_ms`], and how many have come.
    last_call: f64,
    calls: u64,
    entries: BTreeMap<String, Entry>,
}

/// Discovery: serves the list and watches.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
    /// Set once discovery has moved to another address.
    moved: Flag,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let list: Arc<(Mutex<List>, Condvar)> = Arc::default();
        list.0.lock().unwrap().version = 1;
        Discovery::listen(list, record.clone())
    }

    fn listen(list: Arc<(Mutex<List>, Condvar)>, record: Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listener");
        let addr = listener.local_addr().unwrap();
        let moved = Flag::default();
        let (shared, log, gone) = (Arc::clone(&list), record.clone(), moved.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if gone.is_set() {
                    return;
                }
                let (shared, log, gone) = (Arc::clone(&shared), log.clone(), gone.clone());
                std::thread::spawn(move || {
                    let _ = serve_discovery(stream, &shared, &log, &gone);
                });
            }
        });
        Discovery { addr, list, record, moved }
    }

    /// Moves to a new address: the old one accepts no new connection, and ends open ones 1.5 s later.
    pub fn move_address(&mut self) {
        let next = Discovery::listen(Arc::clone(&self.list), self.record.clone());
        let old = std::mem::replace(self, next);
        std::thread::spawn(move || {
            old.moved.set();
            let _ = TcpStream::connect(old.addr);
            sleep_ms(1_500);
            old.list.1.notify_all();
        });
    }

    /// Adds or changes entries, in one version.
    pub fn put(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut list = self.list.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        for mut entry in entries {
            entry.version = version;
            list.entries.insert(entry.id.clone(), entry);
        }
        self.list.1.notify_all();
    }

    /// Takes discovery down: open watches end, and each call ends without an answer.
    pub fn set_down(&self, down: bool) {
        self.list.0.lock().unwrap().down = down;
        self.list.1.notify_all();
    }

    /// When the last call came, and how many have come.
    pub fn calls(&self) -> (f64, u64) {
        let list = self.list.0.lock().unwrap();
        (list.last_call, list.calls)
    }

    /// The whole list, as the platform keeps it in `known`.
    pub fn known(&self) -> String {
        let list = self.list.0.lock().unwrap();
        page(&list, None)
    }
}

fn page(list: &List, from: Option<u64>) -> String {
    let entries = list.entries.values().filter(|entry| match from {
        Some(from) => entry.version > from,
        None => entry.state != "left",
    });
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!(r#"{{"version":{},"full":{},"servers":[{}]}}"#, list.version, from.is_none(), entries.join(","))
}

fn serve_discovery(stream: TcpStream, shared: &(Mutex<List>, Condvar), record: &Record, moved: &Flag) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream);
    while let Some(message) = reader.message(false)? {
        if moved.is_set() {
            return Ok(());
        }
        let query = message.path().split_once('?').map_or("", |(_, query)| query).to_string();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let from = number("from");
        let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
        let mut list = shared.0.lock().unwrap();
        (list.last_call, list.calls) = (now_ms(), list.calls + 1);
        while !list.down && from.is_some_and(|from| list.version <= from) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            list = shared.1.wait_timeout(list, left).unwrap().0;
        }
        if list.down {
            drop(list);
            record.line("discovery is down: a call ends without an answer");
            let _ = reader.stream.shutdown(Shutdown::Both);
            return Ok(());
        }
        let (body, version) = (page(&list, from), list.version);
        drop(list);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        reader.stream.write_all(format!("{head}{body}").as_bytes())?;
        if from != Some(version) {
            record.line(format!("discovery told version {version} (asked from {from:?})"));
        }
    }
    Ok(())
}

/// A request class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// `repeatable`, `once`, or `by_key`.
    pub effect: &'static str,
    pub group: &'static str,
    pub window_ms: u64,
    pub writes: bool,
}

/// The classes of kingston-store.
pub fn kingston_classes() -> Vec<Class> {
    let class = |name, aim_ms, deadline_ms, effect, group, window_ms, writes| Class {
        name, aim_ms, deadline_ms, effect, group, window_ms, writes,
    };
    vec![
        class("view", 300, 1500, "repeatable", "all", 5000, false),
        class("deposit", 400, 3000, "by_key", "cell", 3000, true),
        class("export", 1500, 5000, "repeatable", "all", 5000, false),
    ]
}

/// The settings of a small deployment, as JSON. The plan `basic` has a limit that the cases stay far below.
pub fn settings(classes: &[Class], shards: u32, initiators: u32, drain_grace_ms: u64) -> String {
    let grades: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                r#"{{"group":"{}","hard-limit":{},"idempotency":"{}","late-worth":0.1,"memory-span":{},"name":"{}","promise":{},"streaming":false,"worth":2.0}}"#,
                c.group, c.deadline_ms * 1000, c.effect, c.window_ms * 1000, c.name, c.aim_ms * 1000
            )
        })
        .collect();
    let writes: Vec<String> = classes.iter().map(|c| c.writes.to_string()).collect();
    format!(
        r#"{{"azs":["kingston"],"callers":{{"marks-retry":false}},"ceilings":{{"cancel":true,"conn-idle":30000000,"connect-timeout":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":326071,"max-attempts":3,"max-retry-after":500000,"most-held":21738,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":true,"streams-per-conn":1}},"discovery":"on_request","family-info":{{"cold-units":51.0,"idle-worth":0.05,"meter-period":0,"n-shards":{shards},"tells-elsewhere":false,"units-top":6,"usual-units":2.0,"within-share":0.3,"writes":[{}]}},"goal":{{"whole":0.7,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.2}},"grades":[{}],"my-number":0,"my-zone":"kingston","policies":[{{"burst":0.0,"floor-rate":8.0,"name":"full","never-over":0.0,"nominal":8.0,"tolerance":0.0,"value-factor":0.9,"weight":2.0}}],"report":{{"fields":[],"how":"none"}},"rules":{{"answer-slack":8000,"cold-from":0.28,"drain-grace":{},"fall-multiple":2.5,"must-ask-in":10000000,"tip-after":3000000,"warm-within":15000000}},"service-type":"stores","shapes":["std-box"],"siblings":{initiators},"tick":2000,"tier":0,"tiers":["image-store"],"weights":"rough"}}"#,
        writes.join(","),
        grades.join(","),
        drain_grace_ms * 1000
    )
}

/// A loopback address that is free now, below the ports that systems give out by themselves: connections of other
/// programs don't take it before the process does.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) * 7;
        let port = 10_000 + (std::process::id() as usize * 131 + step) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The folder of a case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let name = format!("rowanglade-review-{}-{}-{nanos}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("folder of the case");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the platform tells an initiator.
pub struct Plan {
    pub name: &'static str,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Plan {
    pub fn new(discovery: &Discovery, settings: String) -> Plan {
        Plan {
            name: "n1",
            listen: free_addr(),
            admin: None,
            discovery: discovery.addr,
            known: discovery.known(),
            settings,
            memory_mb: 192,
            sockets: 1024,
        }
    }

    pub fn write(&self, path: &Path) {
        let admin = self.admin.map_or(String::new(), |admin| format!(r#""admin":"{admin}","#));
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let text = format!(
            r#"{{"name":"{}","listen":"{}",{admin}"discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.name, self.listen, self.discovery, nanos, self.memory_mb, self.sockets, self.known, self.settings
        );
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(&temporary, path).unwrap();
    }
}

/// The root of the repository: the folder two levels above the case's.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").expect("REPOSITORY names the root of the repository"))
}

/// The command of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("run in the deploy file");
    line.split('"').nth(1).expect("command of run").to_string()
}

/// A process of the initiator.
pub struct Daemon {
    pub child: Child,
    ended: bool,
}

impl Daemon {
    /// Starts `run` of the deploy file from the root of the repository.
    pub fn start(plan: &Plan, folder: &Path, file: &str, log: &str) -> Daemon {
        let config = folder.join(file);
        plan.write(&config);
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let log = File::create(folder.join(log)).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root()).env_clear();
        command.env("PATH", std::env::var("PATH").unwrap_or_default());
        command.env("LB_NAME", plan.name).env("LB_LISTEN", plan.listen.to_string());
        command.env("LB_DISCOVERY", plan.discovery.to_string()).env("LB_CONFIG", &config).env("TMPDIR", &tmp);
        if let Some(admin) = plan.admin {
            command.env("LB_ADMIN", admin.to_string());
        }
        if let Ok(level) = std::env::var("CASE_LOG") {
            command.env("LOG", level);
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log).spawn().expect("run");
        Daemon { child, ended: false }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Whether the process has ended, and with which code.
    pub fn exit(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        self.ended = true;
        Some(status.to_string())
    }

    /// Waits up to this long for the end of the process.
    pub fn wait(&mut self, ms: u64) -> Option<String> {
        let until = now_ms() + ms as f64;
        loop {
            if let Some(status) = self.exit() {
                return Some(status);
            }
            if now_ms() >= until {
                return None;
            }
            sleep_ms(1);
        }
    }

    pub fn kill(&mut self) {
        if !self.ended {
            let _ = self.child.kill();
            let _ = self.child.wait();
            self.ended = true;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal by its name to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// How an exchange of a client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer.
    Answer(u16, Vec<u8>),
    /// The initiator's machine refused the connection, or the request could not be written whole.
    NotTaken(String),
    /// The connection ended without a whole answer after the request's last byte was written.
    Closed(String),
    /// No answer until the client stopped waiting.
    Nothing,
}

/// One request of a client.
#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub method: &'static str,
    pub volume: u64,
    pub object: u64,
    pub time_left_ms: u64,
    pub shard: i64,
    pub units: u32,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

impl Ask {
    pub fn get(id: &str, class: &'static str, object: u64, shard: i64, time_left_ms: u64) -> Ask {
        Ask {
            id: id.to_string(), class, method: "GET", volume: 0x3b4d60021, object, time_left_ms, shard, units: 2,
            key: None, body: Vec::new(),
        }
    }

    pub fn put(id: &str, class: &'static str, object: u64, shard: i64, time_left_ms: u64, body: Vec<u8>) -> Ask {
        Ask { method: "PUT", key: Some(format!("key-{id}")), body, ..Ask::get(id, class, object, shard, time_left_ms) }
    }

    pub fn head(&self) -> String {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let length = if self.method == "PUT" { format!("Content-Length: {}\r\n", self.body.len()) } else { String::new() };
        format!(
            "{} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {}\r\nX-Service-Class: {}\r\nX-Qos-Policy: full\r\nX-Time-Left-Ms: {}\r\n{key}{length}X-Placement: units={},shard={},hosts=1\r\n\r\n",
            self.method, self.class, self.volume, self.object, self.id, self.class, self.time_left_ms, self.units, self.shard
        )
    }

    pub fn bytes(&self) -> Vec<u8> {
        [self.head().into_bytes(), self.body.clone()].concat()
    }
}

pub fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(1000))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one answer on a connection, for at most this long.
pub fn read_answer(stream: TcpStream, wait_ms: u64) -> (End, Option<Reader>) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms.max(1))));
    let mut reader = Reader::new(stream);
    loop {
        let answer = reader.message(true);
        return match answer {
            Ok(Some(message)) if (100..200).contains(&message.status()) => continue,
            Ok(Some(message)) => (End::Answer(message.status(), message.body), Some(reader)),
            Ok(None) => (End::Closed("end of the stream".into()), None),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                (End::Nothing, None)
            }
            Err(error) => (End::Closed(error.to_string()), None),
        };
    }
}

/// Sends a request on a new connection and waits for its answer.
pub fn exchange(addr: SocketAddr, ask: &Ask, wait_ms: u64) -> End {
    let mut stream = match connect(addr) {
        Ok(stream) => stream,
        Err(error) => return End::NotTaken(error.to_string()),
    };
    if let Err(error) = stream.write_all(&ask.bytes()) {
        return End::NotTaken(error.to_string());
    }
    read_answer(stream, wait_ms).0
}

/// Calls an initiator's plain HTTP address. Returns the status; 0: no answer.
pub fn call(addr: SocketAddr, method: &str, path: &str, wait_ms: u64) -> u16 {
    let Ok(mut stream) = connect(addr) else { return 0 };
    let request = format!("{method} {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    let request = if method == "GET" { request.replace("Content-Length: 0\r\n", "") } else { request };
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    match read_answer(stream, wait_ms).0 {
        End::Answer(status, _) => status,
        _ => 0,
    }
}

/// Waits until the initiator answers 200 to `GET /up`. Returns false if it takes over 30 s.
pub fn wait_up(addr: SocketAddr) -> bool {
    let until = now_ms() + 30_000.0;
    while now_ms() < until {
        if call(addr, "GET", "/up", 1000) == 200 {
            return true;
        }
        sleep_ms(20);
    }
    false
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Whether the other side has closed or reset the connection, or has sent something.
pub fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
