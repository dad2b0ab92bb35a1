//! `rowanglade replay`: replays traces and compares the reports.

use super::{Failure, progress};
use lexopt::prelude::*;
use rowanglade_replay::compare::compare;
use rowanglade_replay::{Front, Replay, Report, page, replay};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::oneshot;

/// What `rowanglade help replay` prints.
pub const HELP: &str = "\
usage: rowanglade replay TRACE --to ADDR[,ADDR...] [--speed TIMES] [--no-retries] [--most N] [--seed N]
                         [--iscsi TARGET [--blocks-per-unit N]] [--json FILE] [--html FILE]
       rowanglade replay compare BEFORE.json AFTER.json [--json]
       rowanglade try [--html FILE] [--json FILE]

replay sends the requests of a trace to initiators at their recorded times, whatever the outcome of earlier requests,
and reports the outcomes by request class. Latency counts from the time at which a request was due. Clients retry at
most once, as the request class permits. --most (512) limits the attempts in flight; each takes a file descriptor
over HTTP. With --iscsi requests are sent over the iSCSI-style front to that target; volumes are its LUNs. Ctrl-C
stops the replay and prints the report.
compare prints the differences between two reports, and whether they are significant; exit code 1 if any is.
try needs no configuration: it starts four stub targets, a discovery service and one initiator on loopback, and
replays the sample capture to the initiator.

  rowanglade replay monday.trace --to 127.0.0.1:7070 --speed 2 --json monday.json --html monday.html
";

/// Files that a report is written to, in addition to standard output.
#[derive(Default)]
pub(super) struct Outputs {
    /// Path of the JSON report.
    pub(super) json: Option<PathBuf>,
    /// Path of the HTML page.
    pub(super) html: Option<PathBuf>,
}

impl Outputs {
    /// Writes the report to the files that were given.
    pub(super) fn write(&self, report: &Report) -> Result<(), Failure> {
        let write = |path: &Path, text: String| {
            std::fs::write(path, text)
                .map_err(|error| Failure::Running(format!("{}: {error}", path.display())))
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

/// Default logical blocks per unit; the same as the default of the iSCSI-style front.
const DEFAULT_BLOCKS_PER_UNIT: u32 = 8;

/// Runs `rowanglade replay`.
///
/// # Errors
/// The usage is wrong, a file cannot be used, or the replay failed.
pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut trace = None;
    let mut to = Vec::new();
    let mut outputs = Outputs::default();
    let mut target = None;
    let mut blocks_per_unit = DEFAULT_BLOCKS_PER_UNIT;
    let mut options = Replay::to(Vec::new());
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) if trace.is_none() && word == "compare" => return run_compare(parser),
            Long("to") => to.extend(parse_addresses(&parser.value()?.string()?)?),
            Long("speed") => options.speed = parser.value()?.parse()?,
            Long("no-retries") => options.retries = false,
            Long("most") => options.max_in_flight = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
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
    options.to = to;
    if let Some(target) = target {
        options.front = Front::Iscsi { target, blocks_per_unit };
    }
    let report = actix_rt::System::new().block_on(replay_with_progress(&trace, &options))?;
    print!("{report}");
    outputs.write(&report)
}

/// Parses addresses of initiators, separated by commas.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    let parse = |addr: &str| {
        let parsed = addr.trim().parse();
        parsed.map_err(|error| Failure::Usage(format!("--to {addr:?}: {error}")))
    };
    text.split(',').map(parse).collect()
}

/// Runs a replay with a progress line. The first SIGINT stops it, and the report covers what was sent; a
/// second one exits at once with code 130.
pub(super) async fn replay_with_progress(trace: &Path, options: &Replay) -> Result<Report, Failure> {
    let (stop, stopped) = oneshot::channel();
    let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())
        .map_err(Failure::running)?;
    let interrupt_task = actix_rt::spawn(async move {
        interrupt.recv().await;
        let _ = stop.send(());
        // A second SIGINT exits without waiting for the attempts in flight.
        interrupt.recv().await;
        std::process::exit(130);
    });
    let mut line = progress::Line::new();
    let result = replay(trace, options, stopped, &mut |p| {
        let seconds = p.elapsed.as_secs_f64();
        line.show(|| {
            format!("{seconds:.1} s  {} completed, {} served, {} in flight", p.due, p.served, p.in_flight)
        });
    })
    .await;
    drop(line);
    interrupt_task.abort();
    let (report, trace_error) = result.map_err(Failure::usage)?;
    if let Some(trace_error) = trace_error {
        eprintln!("rowanglade: {trace_error}");
    }
    Ok(report)
}

fn run_compare(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut files = Vec::new();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => json = true,
            Value(value) if files.len() < 2 => files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let read = |path: &PathBuf| {
        let file_error = |error: String| Failure::Usage(format!("{}: {error}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
        Report::parse(&text).map_err(|error| file_error(error.to_string()))
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
        true => Err(Failure::running("significant differences between the two reports")),
        false => Ok(()),
    }
}
