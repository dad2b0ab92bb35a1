//! What experiments are made of: traces, boxes, and daemons as processes.

use crate::outcome::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::own_log;
use rowanglade_capture::{
    ClassTerms, Header, Import, Mapping, PlanTerms, Record, Repeat, Tolerance, TraceReader, TraceWriter,
    import,
};
use rowanglade_replay::{Replay, Report, replay};
use rowanglade_test_fleet::{
    Daemon, DaemonPlan, DeduplicationScope, StubSite, StubTarget, TargetPlan, settings,
};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

const SAMPLE: &[u8] = include_bytes!("../../../samples/viewers.har.gz");
pub const ZONE: &str = "kingston";

/// Runs an experiment on the daemon's own kind of runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// The shipped sample as a trace in a folder.
pub fn sample(folder: &Path) -> Result<PathBuf, Failure> {
    let (har, trace) = (folder.join("viewers.har.gz"), folder.join("viewers.trace"));
    std::fs::write(&har, SAMPLE)?;
    let ask = Import {
        files: std::slice::from_ref(&har),
        format: None,
        tolerance: Tolerance::default(),
        window: 5_000_000,
        to: &trace,
    };
    import(&Mapping::standard()?, &ask, &mut |_, _| {}).map_err(|(error, _)| error)?;
    Ok(trace)
}

/// Classes and plans as the co-operative has them.
pub fn header() -> Header {
    let class = |name: &str, write, repeat, aim_ms, deadline_ms| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms,
        deadline_ms,
    };
    let plan = |name: &str, rate, limit| PlanTerms { name: name.into(), rate, limit };
    Header {
        base_us: 0,
        sources: vec!["made".into()],
        classes: vec![
            class("view", false, Repeat::Safe, 300, 1_500),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }, 400, 3_000),
            class("export", false, Repeat::Safe, 1_500, 5_000),
        ],
        plans: vec![plan("basic", 4.0, Some(32.0)), plan("full", 8.0, None)],
        anonymised: false,
    }
}

/// Traffic to be made up.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Requests a second, at random times.
    pub rate: f64,
    pub seconds: f64,
    pub volumes: u64,
    /// 0: all are new objects.
    pub shards: u32,
    pub hosts: u32,
    pub seed: u64,
}

/// Makes a trace of the co-operative's mix, all on the plan without a limit.
pub fn make(path: &Path, traffic: Traffic) -> Result<u64, Failure> {
    let mut chance = Pcg64Mcg::seed_from_u64(traffic.seed);
    let mut writer = TraceWriter::create(path, &header())?;
    let mut at = 0.0;
    loop {
        at += -chance.random_range(f64::MIN_POSITIVE..1.0).ln() / traffic.rate;
        if at >= traffic.seconds {
            return Ok(writer.finish()?);
        }
        let class: u16 = match chance.random_range(0..100) {
            0..55 => 0,
            55..85 => 1,
            _ => 2,
        };
        let volume = 1 + chance.random_range(0..traffic.volumes);
        writer.push(Record {
            at: (at * 1e6) as u64,
            class,
            plan: 1,
            volume,
            piece: chance.random(),
            units: 1.0,
            shard: (traffic.shards > 0).then(|| (volume % u64::from(traffic.shards)) as u32),
            hosts: traffic.hosts,
            deadline_ms: [1_500, 3_000, 5_000][usize::from(class)],
            bytes: 1_024,
            key: (class == 1).then(|| chance.random()),
            status: 200,
            took: None,
        })?;
    }
}

/// A box whose requests take so many milliseconds each, by class.
pub fn plan(view: u64, deposit: u64, export: u64) -> TargetPlan {
    let work = [("view", view), ("deposit", deposit), ("export", export)];
    TargetPlan {
        service_times: work.map(|(class, ms)| (class.to_string(), Duration::from_millis(ms))).into(),
        ..TargetPlan::default()
    }
}

/// Starts daemons over a site's boxes. `operator` makes the text of an operator's file for each.
pub fn daemons(
    site: &StubSite,
    header: &Header,
    count: usize,
    operator: impl Fn(usize) -> Option<String>,
) -> Result<Vec<Daemon>, Failure> {
    shaped(site, header, count, |number, start| start.operator = operator(number))
}

/// The same, with what they are started with changed.
pub fn shaped(
    site: &StubSite,
    header: &Header,
    count: usize,
    shape: impl Fn(usize, &mut DaemonPlan),
) -> Result<Vec<Daemon>, Failure> {
    let settings = settings(header, count, ZONE, site.targets.len());
    let mut made = Vec::new();
    for number in 0..count {
        let mut start = DaemonPlan {
            name: format!("lab-{number}"),
            program: std::env::current_exe()?,
            args: vec!["rowanglade".into()],
            settings: settings.clone(),
            discovery: site.discovery.addr(),
            sockets: 1_024,
            memory_mb: 192,
            operator: None,
            handover: None,
            env: Vec::new(),
        };
        start.settings["my-number"] = number.into();
        shape(number, &mut start);
        made.push(Daemon::start(&start)?);
    }
    Ok(made)
}

pub fn addresses(daemons: &[Daemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|d| d.http).collect()
}

/// Replays a whole trace.
pub async fn run(trace: &Path, ask: &Replay) -> Result<Report, Failure> {
    let (_stop, stopped) = oneshot::channel();
    let (report, torn) = replay(trace, ask, stopped, &mut |_| {}).await?;
    match torn {
        Some(error) => Err(error.into()),
        None => Ok(report),
    }
}

/// The records of a trace.
pub fn records(trace: &Path) -> Result<Vec<Record>, Failure> {
    Ok(TraceReader::open(trace)?.collect::<Result<_, _>>()?)
}

/// The volumes and statuses in a daemon's access log, once it holds that many lines (or after a while).
pub async fn logged(daemon: &Daemon, least: u64) -> Result<Vec<(u64, u16)>, Failure> {
    let path = daemon.folder().join("access.log");
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        let text = std::fs::read(&path)?;
        let lines: Vec<&[u8]> = text.split_inclusive(|b| *b == b'\n').collect();
        if lines.len() as u64 >= least || Instant::now() >= until {
            let parse = |line: &&[u8]| -> Result<(u64, u16), Failure> {
                let offer = own_log::parse(line)?.ok_or("an empty line")?;
                let known = offer.known.as_ref().ok_or("a line without its volume")?;
                Ok((known.volume, offer.status))
            };
            return lines.iter().map(parse).collect();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A box in a process of its own, which answers everything at once.
pub struct Sink {
    child: Child,
    pub addr: SocketAddr,
}

impl Sink {
    pub fn start() -> Result<Sink, Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        let mut child = command.arg("box").stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        match line.trim().parse() {
            Ok(addr) => Ok(Sink { child, addr }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(format!("the box did not start: {error}").into())
            }
        }
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The life of a [`Sink`]'s process: until its standard input ends.
pub fn run_box() -> ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    block_on(async {
        let plan = TargetPlan {
            slots: 100_000,
            queue_capacity: 100_000,
            service_times: HashMap::new(),
            default_service_time: Duration::ZERO,
            ..TargetPlan::default()
        };
        let rack = DeduplicationScope::new(Duration::from_secs(3));
        match StubTarget::start("sink".into(), 0, plan, rack, 1).await {
            Ok(made) => println!("{}", made.addr()),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
        std::future::pending::<ExitCode>().await
    })
}
