//! Experiments that run real daemons against stub services on loopback, print measured figures and fail when
//! a stated claim does not hold.
#![forbid(unsafe_code)]

mod capture;
mod cold;
mod curve;
mod experiment;
mod failure;
mod fleet;
mod initiators;
mod many_targets;
mod memory;
mod outcome;
mod plot;
mod replays;
mod restart;
mod routes;
mod runtime;
mod scale;
mod sink;
mod sites;
mod soak;
mod subsets;
mod traces;
mod upgrade;

use experiment::{Experiment, Runner, Seeds};
use lexopt::prelude::*;
use outcome::Outcome;
use std::ffi::OsString;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
usage: cargo run --release -p rowanglade-lab -- list
       cargo run --release -p rowanglade-lab -- run NAME|all [--json FILE] [--html FILE] [--svg FOLDER]
           [--seeds A..B] [--minutes M]    for seeded experiments; no new seed starts after M minutes

Each experiment takes at most one minute and uses loopback addresses only. Exit codes: 0 every claim holds; 1 a claim
does not hold or an experiment failed; 2 wrong usage.
";

/// All experiments, in the order in which `list` prints them.
fn experiments() -> Vec<Experiment> {
    let all = [replays::experiments(), capture::experiments(), routes::experiments(), fleet::experiments()];
    let more = [
        upgrade::experiments(),
        sites::experiments(),
        subsets::experiments(),
        cold::experiments(),
        many_targets::experiments(),
        soak::experiments(),
        restart::experiments(),
        memory::experiments(),
        scale::experiments(),
    ];
    [all.concat(), more.concat()].concat()
}

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let rest: Vec<OsString> = args.collect();
    match command.to_str() {
        Some("list") => {
            for e in experiments() {
                println!("{:<16} {}", e.name, e.about);
            }
            ExitCode::SUCCESS
        }
        Some("run") => run(rest),
        // Subcommands that experiments spawn this program with: the daemon's command line, the same followed
        // by its resource usage as JSON, a stub target that responds immediately, a cost probe, and a process
        // of several idle initiators.
        Some("rowanglade") => rowanglade::cli::run(rest),
        Some("measured") => {
            let code = rowanglade::cli::run(rest);
            let usage = rowanglade_test_fleet::ProcessUsage::of("self");
            println!(
                "{}",
                serde_json::json!({"memory": usage.peak_memory_bytes, "processor": usage.processor_seconds})
            );
            code
        }
        Some("box") => sink::run_sink(),
        Some("probe") => scale::run_probe(&rest),
        Some("hollow") => scale::run_idle_initiators(&rest),
        Some("help" | "--help" | "-h") => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("{HELP}");
            ExitCode::from(2)
        }
    }
}

fn run(args: Vec<OsString>) -> ExitCode {
    let RunOptions { names, json, html, svg, seeds } = match parse(args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("rowanglade-lab: {error}");
            return ExitCode::from(2);
        }
    };
    let known = experiments();
    let all = names.iter().any(|n| n == "all");
    if let Some(unknown) = names.iter().find(|n| *n != "all" && !known.iter().any(|e| e.name == **n)) {
        eprintln!("rowanglade-lab: unknown experiment {unknown:?}; see `list`");
        return ExitCode::from(2);
    }
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut failed = false;
    for experiment in known.iter().filter(|e| all || names.iter().any(|n| n == e.name)) {
        eprintln!("{} ...", experiment.name);
        let run = match experiment.runner {
            Runner::Plain(run) => run(),
            Runner::Seeded(run) => run(&seeds),
        };
        match run {
            Ok(mut outcome) => {
                outcome.name = experiment.name.to_string();
                outcome.about = experiment.about.to_string();
                print!("{outcome}");
                failed |= !outcome.holds();
                outcomes.push(outcome);
            }
            Err(error) => {
                eprintln!("{}: failed: {error}", experiment.name);
                failed = true;
            }
        }
    }
    let write = |path: Option<PathBuf>, text: String| match path.map(|p| (std::fs::write(&p, text), p)) {
        Some((Err(error), path)) => {
            eprintln!("rowanglade-lab: {}: {error}", path.display());
            true
        }
        _ => false,
    };
    failed |= write(json, serde_json::to_string_pretty(&outcomes).unwrap_or_default());
    failed |= write(html, outcome::page(&outcomes));
    if let Some(folder) = svg {
        failed |= draw(&folder, &outcomes).inspect_err(|error| eprintln!("rowanglade-lab: {error}")).is_err();
    }
    ExitCode::from(u8::from(failed))
}

/// Writes each curve to its own SVG file.
fn draw(folder: &Path, outcomes: &[Outcome]) -> Result<(), failure::Failure> {
    std::fs::create_dir_all(folder)?;
    for outcome in outcomes {
        for (name, svg) in outcome.drawings()? {
            std::fs::write(folder.join(name), svg)?;
        }
    }
    Ok(())
}

/// Options of the `run` command.
#[derive(Default)]
struct RunOptions {
    names: Vec<String>,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    svg: Option<PathBuf>,
    seeds: Seeds,
}

/// Parses an inclusive range of seeds, written as `A..B`.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, lexopt::Error> {
    let range = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..=b.parse().ok()?));
    range.ok_or_else(|| format!("--seeds {text:?}: expected two numbers as A..B").into())
}

fn parse(args: Vec<OsString>) -> Result<RunOptions, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut options = RunOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => options.json = Some(PathBuf::from(parser.value()?)),
            Long("html") => options.html = Some(PathBuf::from(parser.value()?)),
            Long("svg") => options.svg = Some(PathBuf::from(parser.value()?)),
            Long("seeds") => options.seeds.range = Some(seeds(&parser.value()?.string()?)?),
            Long("minutes") => {
                options.seeds.time_limit = Duration::from_secs(60 * parser.value()?.parse::<u64>()?)
            }
            Value(name) => options.names.push(name.string()?),
            other => return Err(other.unexpected()),
        }
    }
    if options.names.is_empty() {
        return Err("run needs the NAME of an experiment, or `all`".into());
    }
    Ok(options)
}
