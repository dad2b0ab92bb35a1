//! The command line.

use crate::config::{Config, Reload};
use crate::{load, node};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
rowanglade: an I/O initiator that orders and paces the I/O of many volumes

usage: rowanglade [serve] [--operator FILE]   serve until SIGTERM or SIGINT
       rowanglade check [--operator FILE]     read the configuration and say what is wrong with it
       rowanglade load FILE                   sum up the load that a HAR file or an access log offers
       rowanglade version
       rowanglade help

The configuration comes from LB_CONFIG, a JSON file; LB_NAME, LB_LISTEN and LB_DISCOVERY win over it.
SIGHUP has the file read again: its discovery address is taken over, all else waits for the next start.
An operator's file (TOML) sets up the iSCSI-style front; without one that front is off.
LOG sets the least level of log lines: error, warn, info, debug or trace.
Exit codes: 0 done; 1 it failed while running; 2 wrong usage, configuration or file.
";

#[derive(Debug, PartialEq)]
enum Command {
    Serve { operator: Option<PathBuf> },
    Check { operator: Option<PathBuf> },
    Load { file: PathBuf },
    Version,
    Help,
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let (mut word, mut operator, mut file) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("operator") => operator = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(value) if word.is_none() => word = Some(value.string()?),
            Value(value) if word.as_deref() == Some("load") && file.is_none() => {
                file = Some(PathBuf::from(value))
            }
            other => return Err(other.unexpected()),
        }
    }
    let word = word.as_deref().unwrap_or("serve");
    if operator.is_some() && !matches!(word, "serve" | "check") {
        return Err(format!("{word} takes no --operator").into());
    }
    match word {
        "serve" => Ok(Command::Serve { operator }),
        "check" => Ok(Command::Check { operator }),
        "load" => file.map(|file| Command::Load { file }).ok_or("load needs a FILE".into()),
        "version" => Ok(Command::Version),
        "help" => Ok(Command::Help),
        other => Err(format!("unknown command {other:?}; see `rowanglade help`").into()),
    }
}

/// Runs the command that the arguments name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(args) {
        Ok(command) => command,
        Err(error) => return fail(2, &error),
    };
    let config =
        |operator: Option<PathBuf>| Config::load(|name| std::env::var(name).ok(), operator.as_deref());
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("rowanglade {}", env!("CARGO_PKG_VERSION")),
        Command::Load { file } => match load::summarize_file(&file) {
            Ok(summary) => print!("{summary}"),
            Err(error) => return fail(2, &error),
        },
        Command::Check { operator } => match config(operator) {
            Ok(config) => println!("{config}"),
            Err(error) => return fail(2, &error),
        },
        Command::Serve { operator } => {
            let config = match config(operator.clone()) {
                Ok(config) => config,
                Err(error) => return fail(2, &error),
            };
            start_log();
            // The runtime of the HTTP libraries: one thread.
            let reload = move || Reload::load(|name| std::env::var(name).ok(), operator.as_deref());
            match actix_rt::System::new().block_on(node::serve(config, reload)) {
                Ok(()) => {}
                Err(error @ node::Error::Config(_)) => return fail(2, &error),
                Err(error) => return fail(1, &error),
            }
        }
    }
    ExitCode::SUCCESS
}

fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("rowanglade: {error}");
    ExitCode::from(code)
}

/// Nothing is written per request at the default level.
fn start_log() {
    let level = std::env::var("LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(words: &[&str]) -> Result<Command, String> {
        parse(words.iter().map(OsString::from)).map_err(|e| e.to_string())
    }

    #[test]
    fn the_bare_program_serves_and_wrong_words_are_named() {
        assert_eq!(of(&[]), Ok(Command::Serve { operator: None }));
        assert_eq!(of(&["check", "--operator", "x"]), Ok(Command::Check { operator: Some("x".into()) }));
        assert_eq!(of(&["load", "f.har"]), Ok(Command::Load { file: "f.har".into() }));
        assert!(of(&["load"]).unwrap_err().contains("FILE"));
        assert!(of(&["version", "--operator", "x"]).unwrap_err().contains("--operator"));
        assert!(of(&["sevre"]).unwrap_err().contains("sevre"));
        assert!(of(&["serve", "now"]).unwrap_err().contains("now"));
    }
}
