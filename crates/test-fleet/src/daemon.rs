//! A real daemon as a process of its own, on ports of its own choice, with a configuration made for it.

use rowanglade_capture::{Header, Repeat};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// A daemon that does not serve within this time does not serve.
const START: Duration = Duration::from_secs(10);
/// Lines of its log that are kept.
const LINES: usize = 200;

/// What the platform would tell an initiator of these classes and plans.
pub fn settings(header: &Header, initiators: usize, zone: &str, shards: usize) -> Value {
    let grade = |c: &rowanglade_capture::ClassTerms| {
        let mut grade = json!({
            "name": c.name, "promise": u64::from(c.aim_ms) * 1_000, "hard-limit": u64::from(c.deadline_ms) * 1_000,
            "worth": 1.0, "late-worth": 0.2, "group": "all",
            "idempotency": match c.repeat {
                Repeat::Safe => "repeatable",
                Repeat::Keyed { .. } => "by_key",
                Repeat::Once => "once",
            },
        });
        if let Repeat::Keyed { span_ms } = c.repeat {
            grade["group"] = "cell".into();
            grade["memory-span"] = (u64::from(span_ms) * 1_000).into();
        }
        grade
    };
    let plan = |p: &rowanglade_capture::PlanTerms| {
        let limit = p.limit.unwrap_or(0.0);
        json!({
            "name": p.name, "floor-rate": p.rate / 2.0, "nominal": p.rate, "weight": 1.0, "value-factor": 1.0,
            "never-over": limit, "burst": limit * 1.5, "tolerance": limit / 10.0,
        })
    };
    json!({
        "azs": [zone],
        "ceilings": {
            "cancel": true, "conn-idle": 30_000_000, "connect-timeout": 250_000, "max-attempts": 3,
            "max-retry-after": 500_000, "retry-after": true, "second-copies": true,
        },
        "discovery": "on_request",
        "family-info": {
            "cold-units": 51.0, "usual-units": 2.0, "n-shards": shards,
            "writes": header.classes.iter().map(|c| c.write).collect::<Vec<_>>(),
        },
        "grades": header.classes.iter().map(grade).collect::<Vec<_>>(),
        "policies": header.plans.iter().map(plan).collect::<Vec<_>>(),
        "report": {"fields": ["depth"]},
        "rules": {
            "cold-from": 0.28, "drain-grace": 1_000_000, "fall-multiple": 2.5, "must-ask-in": 10_000_000,
            "tip-after": 3_000_000, "warm-within": 15_000_000,
        },
        "siblings": initiators,
    })
}

/// What the platform would tell so many instances of the co-operative's own classes and plans.
///
/// # Errors
/// The mapping that the project ships cannot be read.
pub fn standard_settings(instances: usize, zone: &str, shards: usize) -> io::Result<Value> {
    let mapping = rowanglade_capture::Mapping::standard().map_err(error)?;
    let header = Header {
        base_us: 0,
        sources: Vec::new(),
        classes: mapping.classes().to_vec(),
        plans: mapping.plans().to_vec(),
        anonymised: false,
    };
    Ok(settings(&header, instances, zone, shards))
}

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    /// The program, and what comes before `serve`.
    pub program: PathBuf,
    pub args: Vec<String>,
    pub settings: Value,
    pub discovery: SocketAddr,
    /// Descriptors it may hold, and memory.
    pub sockets: usize,
    pub memory_mb: usize,
    /// The text of an operator's file, if there is one.
    pub operator: Option<String>,
    /// Where it meets a process that it replaces, or that replaces it; it then listens for operators' calls
    /// too.
    pub meeting: Option<Meeting>,
    /// Further variables of its environment.
    pub env: Vec<(String, String)>,
}

/// Where processes of one daemon meet.
#[derive(Clone, Debug)]
pub struct Meeting {
    /// The `$TMPDIR` of both.
    pub folder: PathBuf,
    /// Where the first listens; absent for the first.
    pub listen: Option<SocketAddr>,
}

/// A daemon that runs. Dropped, it is killed, and its folder removed.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Where clients connect.
    pub http: SocketAddr,
    /// Where sessions connect, if that front is on.
    pub iscsi: Option<SocketAddr>,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    folder: tempfile::TempDir,
    log: Arc<Mutex<VecDeque<String>>>,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// The most memory it held at once, in bytes.
    pub memory: u64,
    /// Processor time, in seconds.
    pub processor: f64,
    /// Descriptors that are open.
    pub descriptors: usize,
}

impl Usage {
    /// Of a process of this machine, by its number; `self` for this one.
    pub fn of(process: &str) -> Usage {
        let read =
            |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let status = read("status");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|l| l.trim().split(' ').next()).and_then(|n| n.parse::<u64>().ok());
        // Fields 14 and 15, counted behind the name, which may hold spaces; in ticks of a hundredth of a
        // second.
        let stat = read("stat");
        let fields: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_ascii_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count());
        Usage { memory: kib.unwrap_or(0) << 10, processor: (ticks(11) + ticks(12)) / 100.0, descriptors }
    }
}

fn error(problem: impl std::fmt::Display) -> io::Error {
    io::Error::other(problem.to_string())
}

/// The value of `key=` in a line of the log.
fn logged_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let from = line.find(key)? + key.len();
    line[from..].split(' ').next().map(|v| v.trim_matches('"'))
}

/// Of a daemon's random numbers: the same for the same name, and another for every other, as on the platform.
fn seed(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    ///
    /// # Errors
    /// It cannot be started, or ends before it listens: the error holds what it said.
    pub fn start(start: &Start) -> io::Result<Daemon> {
        Daemon::start_with(start, |_| {})
    }

    /// The same, with what the platform tells it changed in other places than [`Start`] has.
    ///
    /// # Errors
    /// It cannot be started, or ends before it listens: the error holds what it said.
    pub fn start_with(start: &Start, change: impl FnOnce(&mut Value)) -> io::Result<Daemon> {
        let folder = tempfile::Builder::new().prefix("rowanglade-").tempdir()?;
        let config = folder.path().join("config.json");
        let listen = start.meeting.as_ref().and_then(|m| m.listen);
        let listen = listen.map_or("127.0.0.1:0".to_string(), |l| l.to_string());
        let mut text = json!({
            "name": start.name, "listen": listen, "discovery": start.discovery.to_string(),
            "seed": format!("{:016x}", seed(&start.name)), "limits": {"memory_mb": start.memory_mb, "sockets": start.sockets},
            "settings": start.settings,
        });
        let mut command = Command::new(&start.program);
        if let Some(meeting) = &start.meeting {
            text["admin"] = "127.0.0.1:0".into();
            command.env("TMPDIR", &meeting.folder);
        }
        change(&mut text);
        std::fs::write(&config, text.to_string())?;
        command.args(&start.args).arg("serve");
        if let Some(operator) = &start.operator {
            let path = folder.path().join("operator.toml");
            std::fs::write(&path, operator)?;
            command.arg("--operator").arg(path);
        }
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LOG"] {
            command.env_remove(name);
        }
        command.env("LB_CONFIG", &config).current_dir(folder.path());
        command.envs(start.env.iter().map(|(name, value)| (name, value)));
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (tell, listens) = mpsc::channel();
        if let Some(stderr) = child.stderr.take() {
            let log = Arc::clone(&log);
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if line.contains("serving") {
                        let addr = |key| logged_value(&line, key).and_then(|a| a.parse().ok());
                        let _ = tell.send((addr("listen="), addr("iscsi="), addr("admin=")));
                    }
                    // A thread that panicked while it held the lock left whole lines.
                    let mut log = log.lock().unwrap_or_else(|e| e.into_inner());
                    if log.len() == LINES {
                        log.pop_front();
                    }
                    log.push_back(line);
                }
            });
        }
        let heard: Result<(Option<SocketAddr>, _, _), _> = listens.recv_timeout(START);
        let lines = || -> String {
            let log = log.lock().unwrap_or_else(|e| e.into_inner());
            log.iter().map(String::as_str).collect::<Vec<_>>().join("\n")
        };
        match heard {
            Ok((Some(http), iscsi, admin)) => Ok(Daemon { child, http, iscsi, admin, folder, log }),
            _ => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error(format!("the daemon does not serve:\n{}", lines())))
            }
        }
    }

    /// The folder that it runs in.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The last lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(|e| e.into_inner()).iter().cloned().collect()
    }

    /// Its number as a process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn usage(&self) -> Usage {
        Usage::of(&self.child.id().to_string())
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, signal: nix::sys::signal::Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(error)?;
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).map_err(io::Error::from)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
