//! `rowanglade replay` and `rowanglade try`: traces sent again, and what became of them.

use super::{Failure, progress};
use lexopt::prelude::*;
use rowanglade_capture::{Import, Mapping, TraceReader, import};
use rowanglade_replay::compare::compare;
use rowanglade_replay::{Front, Replay, Report, page, replay};
use rowanglade_test_fleet::{Daemon, DaemonPlan, StubSite, TargetPlan, settings};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::oneshot;

pub const HELP: &str = "\
usage: rowanglade replay TRACE --to ADDR[,ADDR...] [--speed TIMES] [--no-retries] [--most TRIES] [--seed N]
                         [--iscsi TARGET [--blocks-per-unit N]] [--json FILE] [--html FILE]
       rowanglade replay compare BEFORE.json AFTER.json [--json]
       rowanglade try [--html FILE] [--json FILE]

replay sends a trace's requests to initiators when they are due, whatever became of those before them, and reports
what became of each class. Latency counts from the moment a request was due. Clients try again once at most, as
their class permits; --most (512) bounds the tries that are out at once, each a descriptor over HTTP. With --iscsi
requests go over the iSCSI-style front to that target; volumes are its LUNs. Ctrl-C ends it with a report.
compare tells what changed from one report to another, and whether it is beyond noise; exit 1 if it is.
try needs nothing: it starts four stand-in boxes, discovery and one initiator on loopback, and replays the sample
capture to it.

  rowanglade replay monday.trace --to 127.0.0.1:7070 --speed 2 --json monday.json --html monday.html
";

/// The capture that is shipped, for `try`.
const SAMPLE: &[u8] = include_bytes!("../../samples/viewers.har.gz");

/// Where a report goes beside the terminal.
#[derive(Default)]
struct Outputs {
    json: Option<PathBuf>,
    html: Option<PathBuf>,
}

impl Outputs {
    fn write(&self, report: &Report) -> Result<(), Failure> {
        let write = |path: &Path, text: String| {
            std::fs::write(path, text).map_err(|e| Failure::Running(format!("{}: {e}", path.display())))
        };
        if let Some(path) = &self.json {
            write(path, serde_json::to_string_pretty(report).map_err(Failure::running)?)?;
        }
        if let Some(path) = &self.html {
            write(path, page::page(report).map_err(Failure::running)?)?;
        }
        Ok(())
    }
}

pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let (mut trace, mut to, mut outputs) = (None, Vec::new(), Outputs::default());
    let (mut target, mut blocks_per_unit) = (None, 8);
    let mut ask = Replay::to(Vec::new());
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) if trace.is_none() && word == "compare" => return run_compare(parser),
            Long("to") => {
                let text = parser.value()?.string()?;
                for addr in text.split(',') {
                    let addr: SocketAddr =
                        addr.trim().parse().map_err(|e| Failure::Usage(format!("--to {addr:?}: {e}")))?;
                    to.push(addr);
                }
            }
            Long("speed") => ask.speed = parser.value()?.parse()?,
            Long("no-retries") => ask.retries = false,
            Long("most") => ask.most_out = parser.value()?.parse()?,
            Long("seed") => ask.seed = parser.value()?.parse()?,
            Long("iscsi") => target = Some(parser.value()?.string()?),
            Long("blocks-per-unit") => blocks_per_unit = parser.value()?.parse()?,
            Long("json") => outputs.json = Some(PathBuf::from(parser.value()?)),
            Long("html") => outputs.html = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Value(value) if trace.is_none() => trace = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let trace = trace.ok_or_else(|| Failure::usage("replay needs a TRACE"))?;
    if to.is_empty() {
        return Err(Failure::usage("replay needs --to ADDR"));
    }
    ask.to = to;
    if let Some(target) = target {
        ask.front = Front::Iscsi { target, blocks_per_unit };
    }
    let report = actix_rt::System::new().block_on(replay_shown(&trace, &ask))?;
    print!("{report}");
    outputs.write(&report)
}

/// Replays, shows how far it is, and ends it at Ctrl-C.
async fn replay_shown(trace: &Path, ask: &Replay) -> Result<Report, Failure> {
    let (stop, stopped) = oneshot::channel();
    let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())
        .map_err(Failure::running)?;
    let watch = actix_rt::spawn(async move {
        interrupt.recv().await;
        let _ = stop.send(());
        // A second one ends it without waiting for what is out.
        interrupt.recv().await;
        std::process::exit(130);
    });
    let mut line = progress::Line::new();
    let result = replay(trace, ask, stopped, &mut |p| {
        let seconds = p.elapsed.as_secs_f64();
        line.show(|| format!("{seconds:.1} s  {} ended, {} served, {} out", p.due, p.served, p.out));
    })
    .await;
    drop(line);
    watch.abort();
    let (report, torn) = result.map_err(Failure::usage)?;
    if let Some(torn) = torn {
        eprintln!("rowanglade: {torn}");
    }
    Ok(report)
}

fn run_compare(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let (mut files, mut json) = (Vec::new(), false);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => json = true,
            Value(value) if files.len() < 2 => files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let read = |path: &PathBuf| {
        let named = |e: String| Failure::Usage(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        Report::parse(&text).map_err(|error| named(error.to_string()))
    };
    let [before, after] = files.as_slice() else {
        return Err(Failure::usage("replay compare needs BEFORE.json and AFTER.json"));
    };
    let comparison = compare(&read(before)?, &read(after)?);
    if json {
        println!("{}", serde_json::to_string_pretty(&comparison).map_err(Failure::running)?);
    } else {
        print!("{comparison}");
    }
    match comparison.changed() {
        true => Err(Failure::running("the two differ by more than noise")),
        false => Ok(()),
    }
}

/// One command for a newcomer: everything on loopback, nothing to set up.
pub fn run_try(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut outputs = Outputs::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => outputs.json = Some(PathBuf::from(parser.value()?)),
            Long("html") => outputs.html = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let report = actix_rt::System::new().block_on(try_it())?;
    print!("{report}");
    outputs.write(&report)
}

async fn try_it() -> Result<Report, Failure> {
    let folder = tempfile::tempdir().map_err(Failure::running)?;
    let (har, trace) = (folder.path().join("viewers.har.gz"), folder.path().join("viewers.trace"));
    std::fs::write(&har, SAMPLE).map_err(Failure::running)?;
    let mapping = Mapping::standard().map_err(Failure::running)?;
    let ask = Import::new(std::slice::from_ref(&har), &trace);
    let imported = import(&mapping, &ask, &mut |_, _| {}).map_err(|(e, _)| Failure::running(e))?;
    eprintln!("the sample capture: {} requests over {:.1} s", imported.records, imported.span as f64 / 1e6);
    let work = [("view", 12), ("deposit", 20), ("export", 40)];
    let plan = TargetPlan {
        service_times: work.map(|(class, ms)| (class.to_string(), Duration::from_millis(ms))).into(),
        ..TargetPlan::default()
    };
    let site = StubSite::start(&vec![plan; 4], "kingston", 1).await.map_err(Failure::running)?;
    let header = TraceReader::open(&trace).map_err(Failure::running)?.header().clone();
    let start = DaemonPlan {
        name: "try".into(),
        program: std::env::current_exe().map_err(Failure::running)?,
        args: Vec::new(),
        settings: settings(&header, 1, "kingston", site.targets.len()),
        discovery: site.discovery.addr(),
        sockets: 1_024,
        memory_mb: 192,
        operator: None,
        handover: None,
        env: Vec::new(),
    };
    let daemon = Daemon::start(&start).map_err(Failure::running)?;
    eprintln!("one initiator on {}, 4 stand-in boxes; replaying", daemon.http);
    let report = replay_shown(&trace, &Replay::to(vec![daemon.http])).await;
    if report.is_err() {
        eprintln!("the initiator's log:\n{}", daemon.log().join("\n"));
    }
    let report = report?;
    let seen = site.counters();
    eprintln!("the boxes ran {} writes and dropped {} repeats", seen.writes_executed, seen.writes_suppressed);
    Ok(report)
}
