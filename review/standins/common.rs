//! What the cases share: starting the program, a stand-in of discovery, small HTTP helpers and the record.
//! Only the standard library is used; the system calls that it lacks are declared here.

#![allow(dead_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64) -> i32;
    fn ioctl(fd: i32, request: u64, out: *mut i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The lines of `record.txt`, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt can be written")))))
    }

    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }

    /// Adds a line, and prints it.
    pub fn line(&self, text: impl AsRef<str>) {
        print!("{}", self.quiet_line(text));
    }

    /// Adds a line without printing it, where there are thousands.
    pub fn quiet_line(&self, text: impl AsRef<str>) -> String {
        let line = format!("{:9.1} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
        line
    }
}

/// Whether the disruption takes place (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(format!("RESULT: the case could not run: {why}"));
    std::process::exit(2);
}

/// Ends the case with its verdict.
pub fn verdict(record: &Record, broken: bool, text: &str) -> ! {
    record.line(format!("RESULT: {}: {text}", if broken { "rule broken" } else { "rule held" }));
    std::process::exit(i32::from(broken));
}

/// A loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// A listener on a free loopback port.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

/// The `run` command of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("`run` is a string").to_string()
}

/// A process of the program. It is killed when this is dropped, or when the case's own process ends.
pub struct Program {
    pub child: Child,
}

impl Program {
    /// Starts the deploy file's `run` command from the root. `arguments` follow it.
    pub fn start(root: &Path, arguments: &str, env: &[(&str, String)], log: &Path) -> Program {
        let run = run_command(root);
        let out = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} {arguments}")).current_dir(root);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_CONFIG", "LOG", "TMPDIR"] {
            command.env_remove(name);
        }
        for (name, value) in env {
            command.env(name, value);
        }
        command.stdin(Stdio::null()).stdout(out.try_clone().expect("a log file")).stderr(out);
        // PR_SET_PDEATHSIG: no process outlives the case, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        Program { child: command.spawn().expect("the program starts") }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process. Returns whether it came in time.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.has_ended() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder for the files of one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let base = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".into());
        let path = PathBuf::from(base).join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ends the whole case if it takes too long.
pub fn limit_time(record: &Record, limit: Duration) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        cannot_run(&record, "it took too long");
    });
}

/// Waits until `GET /up` is answered with 200.
pub fn wait_until_ready(addr: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let answer = TcpStream::connect(addr).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")?;
            read_response(&mut BufReader::new(stream))
        });
        if matches!(answer, Ok(Response { status: 200, .. })) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// The head of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length").and_then(|length| length.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    /// The method and the path of a request.
    pub fn method_and_path(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// Reads the head of a message. `None`: the stream ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.first.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// A whole response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads a response to its declared end. An error: there is no whole response.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        if (100..200).contains(&status) {
            continue;
        }
        return Ok(Response { status, body: read_body(reader, &head)? });
    }
}

/// Reads a body to its declared end.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            io::Read::read_exact(reader, &mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    body.resize(head.length().unwrap_or(0), 0);
    io::Read::read_exact(reader, &mut body)?;
    Ok(body)
}

/// Bytes that this side has written and the other side's system has not acknowledged (SIOCOUTQ).
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    let mut bytes = 0;
    unsafe { ioctl(stream.as_raw_fd(), 0x5411, &mut bytes) };
    bytes
}

/// Makes the close of a socket reset its connection (SO_LINGER with zero seconds).
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0i32];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// A target as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: &'static str,
    pub started_ms: u64,
    /// The version of the list in which it last changed.
    pub version: u64,
}

impl Listed {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std-box","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.addr, self.zone, self.cell, self.state, self.started_ms
        )
    }
}

/// A stand-in of discovery: whole lists, and watches that answer with the changes or, at their end, with none.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Listed>)>>,
}

impl Discovery {
    pub fn start(targets: Vec<Listed>) -> Discovery {
        let (listener, addr) = listener();
        let discovery = Discovery { addr, list: Arc::new(Mutex::new((1, targets))) };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    /// Changes entries of the list.
    pub fn change(&self, change: impl Fn(&mut Listed)) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        let version = list.0;
        for entry in &mut list.1 {
            let before = entry.json();
            change(entry);
            if entry.json() != before {
                entry.version = version;
            }
        }
    }

    pub fn whole(&self) -> String {
        let list = self.list.lock().unwrap();
        let entries: Vec<String> = list.1.iter().filter(|e| e.state != "left").map(Listed::json).collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, list.0, entries.join(","))
    }

    fn changes(&self, from: u64) -> (u64, String) {
        let list = self.list.lock().unwrap();
        let entries: Vec<String> = list.1.iter().filter(|e| e.version > from).map(Listed::json).collect();
        (list.0, format!(r#"{{"version":{},"full":false,"servers":[{}]}}"#, list.0, entries.join(",")))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let path = head.method_and_path().1.to_string();
            let number = |name: &str| {
                let query = path.split_once('?').map_or("", |(_, query)| query);
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u64>().ok())
            };
            let body = match number("from") {
                None => self.whole(),
                Some(from) => {
                    let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
                    loop {
                        let (version, changes) = self.changes(from);
                        if version > from || Instant::now() >= until {
                            break changes;
                        }
                        std::thread::sleep(Duration::from_millis(2));
                    }
                }
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The settings of a small deployment: three classes, two plans, `shards` targets.
pub fn settings(shards: usize, initiators: usize) -> String {
    format!(
        r#"{{
 "azs": ["kingston"], "my-zone": "kingston", "my-number": 0, "siblings": {initiators},
 "callers": {{"marks-retry": false}},
 "ceilings": {{"cancel": true, "conn-idle": 30000000, "connect-timeout": 250000, "max-attempts": 3,
   "max-retry-after": 500000, "peer-messages": false, "probes": true, "retry-after": true, "second-copies": true}},
 "discovery": "on_request",
 "family-info": {{"cold-units": 51.0, "idle-worth": 0.05, "meter-period": 1000000, "n-shards": {shards},
   "tells-elsewhere": true, "units-top": 6, "usual-units": 2.06, "within-share": 0.3, "writes": [false, true, false]}},
 "grades": [
  {{"group": "all", "hard-limit": 1500000, "idempotency": "repeatable", "late-worth": 0.1, "memory-span": 5000000,
    "name": "view", "promise": 300000, "streaming": false, "worth": 2.0}},
  {{"group": "cell", "hard-limit": 3000000, "idempotency": "by_key", "late-worth": 0.15, "memory-span": 3000000,
    "name": "deposit", "promise": 400000, "streaming": false, "worth": 2.0}},
  {{"group": "all", "hard-limit": 5000000, "idempotency": "repeatable", "late-worth": 0.3, "memory-span": 5000000,
    "name": "export", "promise": 1500000, "streaming": false, "worth": 1.0}}],
 "policies": [
  {{"burst": 53.0, "floor-rate": 2.0, "name": "basic", "never-over": 33.0, "nominal": 4.1, "tolerance": 6.0,
    "value-factor": 0.96, "weight": 1.0}},
  {{"burst": 0.0, "floor-rate": 8.2, "name": "full", "never-over": 0.0, "nominal": 8.2, "tolerance": 0.0,
    "value-factor": 0.9, "weight": 2.0}}],
 "report": {{"fields": ["depth"], "how": "answers"}},
 "rules": {{"answer-slack": 8000, "cold-from": 0.28, "drain-grace": 1000000, "fall-multiple": 2.5,
   "must-ask-in": 10000000, "tip-after": 3000000, "warm-within": 15000000}},
 "weights": "nominal"}}"#
    )
}

/// The platform's configuration of one initiator.
pub fn configuration(name: &str, listen: SocketAddr, discovery: &Discovery, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        discovery.addr,
        discovery.whole()
    )
}
