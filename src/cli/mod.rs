//! The command line: parses the arguments and runs the command that they name.

mod capture;
mod progress;
mod replay;
mod routes;
mod try_out;

use crate::config::{Config, Reload, RouteEvaluation};
use crate::initiator;
use lexopt::prelude::*;
use rowanglade_routing::Decision;
use std::backtrace::Backtrace;
use std::ffi::OsString;
use std::panic::PanicHookInfo;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
rowanglade: an I/O initiator that orders and paces the I/O of many volumes

usage: rowanglade [serve] [--operator FILE]... serve until SIGTERM or SIGINT
       rowanglade check [--operator FILE]...  validate the configuration and report errors
       rowanglade load FILE                   summarize the load in a HAR file or an access log
       rowanglade try                         replay a sample capture on loopback; needs no configuration
       rowanglade capture import|inspect|cut  create and examine traces of recorded traffic
       rowanglade replay TRACE --to ADDR      send the requests of a trace again and report the outcomes
       rowanglade replay compare A B          compare two reports of replays
       rowanglade routes test|explain|diff    test routes and their expectations
       rowanglade version
       rowanglade help [COMMAND]

The configuration is the JSON file that LB_CONFIG names; LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_ADMIN override it.
Its `admin` is the address for the operators' commands. A process that starts with the same TMPDIR as a serving one
takes over from it.
SIGHUP reloads the files: the discovery address and the routes are applied if every expectation holds; all other
settings are applied at the next start.
SIGUSR1 logs the status: the numbers of open requests and of targets, and the versions of the routes in use.
An operator's file (TOML) configures the iSCSI-style front, the access log and routes; without one all are off.
LOG sets the lowest level of log lines: error, warn, info, debug or trace.
Exit codes: 0 done; 1 failed while running; 2 wrong usage, configuration or file.
";

/// Exit code of a command that failed while running.
const EXIT_RUNNING: u8 = 1;
/// Exit code for wrong usage, a wrong configuration or a file that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Why a command failed, which decides the exit code.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// Wrong usage, a wrong configuration or a file that cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The command failed while running.
    #[error("{0}")]
    Running(String),
}

impl Failure {
    fn usage(error: impl std::fmt::Display) -> Failure {
        Failure::Usage(error.to_string())
    }

    fn running(error: impl std::fmt::Display) -> Failure {
        Failure::Running(error.to_string())
    }

    fn exit_code(&self) -> u8 {
        match self {
            Failure::Usage(_) => EXIT_USAGE,
            Failure::Running(_) => EXIT_RUNNING,
        }
    }
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Failure {
        Failure::Usage(error.to_string())
    }
}

/// Runs the command that the arguments name, prints its error on standard error, and returns its exit code.
/// The arguments don't include the program's name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match dispatch(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("rowanglade: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn dispatch(args: impl IntoIterator<Item = OsString>) -> Result<(), Failure> {
    let mut args = args.into_iter().peekable();
    // The default command is `serve`: no argument, or an option first.
    let command = match args.peek().map(|arg| arg.to_string_lossy().into_owned()) {
        Some(word) if !word.starts_with('-') => {
            args.next();
            word
        }
        Some(word) if matches!(word.as_str(), "-h" | "--help") => "help".into(),
        Some(word) if matches!(word.as_str(), "-V" | "--version") => "version".into(),
        _ => "serve".into(),
    };
    let parser = lexopt::Parser::from_args(args);
    match command.as_str() {
        "serve" => serve(parser),
        "check" => check(parser),
        "load" => load(parser),
        "capture" => capture::run(parser),
        "replay" => replay::run(parser),
        "try" => try_out::run(parser),
        "routes" => routes::run(parser),
        "version" => {
            println!("rowanglade {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        "help" => help(parser),
        other => Err(Failure::Usage(format!("unknown command {other:?}; see `rowanglade help`"))),
    }
}

fn help(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let command = match parser.next() {
        Ok(Some(Value(word))) => word.to_string_lossy().into_owned(),
        _ => String::new(),
    };
    print!(
        "{}",
        match command.as_str() {
            "capture" => capture::HELP,
            "replay" | "try" => replay::HELP,
            "routes" => routes::HELP,
            _ => HELP,
        }
    );
    Ok(())
}

/// Parses the arguments of `serve` and `check`, which accept operator's files only.
fn operator_files(mut parser: lexopt::Parser) -> Result<Vec<PathBuf>, Failure> {
    let mut operator = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("operator") => operator.push(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(operator)
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn check(parser: lexopt::Parser) -> Result<(), Failure> {
    let operator = operator_files(parser)?;
    let config = Config::load(variable, &operator).map_err(Failure::usage)?;
    println!("{config}");
    let targets = config.cached_list.as_ref().map(|list| list.routable_targets()).unwrap_or_default();
    let RouteEvaluation { decision, lines, .. } = config.routing.evaluate(&targets);
    lines.iter().for_each(|line| println!("{line}"));
    if !config.routing.rules.expectations.is_empty() {
        println!("{decision}");
    }
    match decision {
        Decision::Refuse => Err(Failure::usage("route expectations do not hold")),
        _ => Ok(()),
    }
}

fn serve(parser: lexopt::Parser) -> Result<(), Failure> {
    let operator = operator_files(parser)?;
    let config = Config::load(variable, &operator).map_err(Failure::usage)?;
    start_log();
    // A runtime of one thread, which the HTTP libraries require.
    let reload = move || Reload::load(variable, &operator);
    let served = actix_rt::System::new().block_on(initiator::serve(config, reload));
    match served {
        Ok(()) => tracing::info!("exited"),
        Err(ref error) => tracing::error!(%error, "exited with an error"),
    }
    served.map_err(|error| match error {
        initiator::Error::Config(_) => Failure::usage(error),
        _ => Failure::running(error),
    })
}

fn load(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| Failure::usage("load needs a FILE"))?;
    capture::load(&file)
}

/// Starts logging to standard error. At the default level nothing is logged per request.
fn start_log() {
    let level = variable("LOG").and_then(|level| level.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    std::panic::set_hook(Box::new(log_panic));
}

/// Logs a panic with its place, so that the end of a task or of the process can be explained. The backtrace is part of
/// the line where `RUST_BACKTRACE` asks for one.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let message = panic.payload_as_str().unwrap_or("no message");
    let location = panic.location().map(ToString::to_string);
    let backtrace = Backtrace::capture();
    tracing::error!(message, location, %backtrace, "panicked");
}

#[cfg(test)]
mod tests;
