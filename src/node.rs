//! Puts an initiator together and runs it until it is told to end.

use crate::config::{Config, ConfigError};
use crate::core::{Clock, Core};
use crate::names::Names;
use crate::net::http;
use crate::rules::Gateway;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How long after SIGTERM new connections are accepted. The platform sends them for up to 0.4 s.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// When idle connections are closed: later than any request that must be answered whenever it comes.
const CLOSE_IDLE: Duration = Duration::from_millis(750);
/// The program ends this long before SIGKILL can come.
const SPARE: Duration = Duration::from_millis(150);
/// The platform counts the longest deadline as this at most, and adds `AFTER`, before SIGKILL.
const LONGEST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_millis(700);

/// Why the program could not serve.
#[derive(Debug)]
pub enum Error {
    Config(ConfigError),
    Io(std::io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Config(e) => e.fmt(f),
            Error::Io(e) => write!(f, "serve: {e}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Error {
        Error::Io(e)
    }
}

/// Serves until SIGTERM or SIGINT, then finishes what is held.
pub async fn serve(config: Config) -> Result<(), Error> {
    let clock = Clock::start();
    let mut names = Names::default();
    let settings = config.settings.translate(&mut names);
    let gateway = settings
        .and_then(|s| Gateway::new(s, config.seed))
        .map_err(|e| Error::Config(ConfigError::new(format!("settings.{}", e.field), e.problem)))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(config.listen).await?;

    let (ask, asked) = mpsc::channel(4);
    let pool = http::Pool {
        connect_timeout: config.settings.connect_timeout(),
        idle: config.settings.conn_idle() / 2,
    };
    let (core, handle) =
        Core::new(gateway, names, clock, ask, Box::new(move |line| http::connect(line, pool)));
    actix_rt::spawn(core.run());
    let version = config.known.as_ref().map(http::Page::version);
    if let Some(known) = config.known {
        handle.tell(http::remembered(known)).await;
    }
    if let Some(addr) = config.discovery {
        let directory = http::Directory::new(addr, pool.connect_timeout, handle.clone(), version);
        actix_rt::spawn(directory.run(asked));
    }

    let (ending, ending_rx) = watch::channel(false);
    let (closing, closing_rx) = watch::channel(false);
    let connections = Rc::new(Cell::new(0));
    let front = http::Front {
        core: handle.clone(),
        ending: ending_rx,
        closing: closing_rx,
        connections: Rc::clone(&connections),
    };
    let mut front = Box::pin(http::serve(listener, front));
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    tokio::select! {
        end = &mut front => return end.map_err(Error::Io),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }

    let told = Instant::now();
    let last = told + config.settings.longest_deadline().min(LONGEST) + AFTER - SPARE;
    tracing::info!(open = handle.open(), "ending");
    ending.send_replace(true);
    // Clients still come for a while; the listener ends with the future that holds it.
    let _ = tokio::time::timeout_at(told + ACCEPT_ON, &mut front).await;
    drop(front);
    tokio::time::sleep_until(told + CLOSE_IDLE).await;
    closing.send_replace(true);
    while connections.get() > 0 && Instant::now() < last {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tracing::info!(open = handle.open(), connections = connections.get(), "ended");
    Ok(())
}
