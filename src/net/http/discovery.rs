//! The discovery client: makes the calls for the list that its schedule asks for, and tells the core what
//! they bring. When to call is decided by [`Schedule`] alone.

use crate::core::{Clock, CoreHandle, Endpoint, MAX_ENTRIES_PER_STEP, Message, Protocol};
use crate::interface::{EndpointUpdateKind, Micros, TargetState};
use crate::net::http::dial;
use crate::net::peers::PeerLink;
use awc::Client;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rowanglade_discovery_polling::{Call, CallId, Command, End, Schedule};
use rowanglade_routing::TargetInfo;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The shortest wait that a call can ask for: discovery answers it at once, with what has changed.
const SHORTEST_HOLD_MS: Micros = 1;
/// A connection may take this long to come up at least, and stand idle this long.
const CONNECT: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(5);
/// Far above the list of any fleet.
const LARGEST_LIST: usize = 4 << 20;

/// A list as discovery and the configuration word it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    version: u64,
    full: bool,
    servers: Vec<Line>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: u32,
    state: State,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl From<Line> for Endpoint {
    fn from(line: Line) -> Endpoint {
        Endpoint {
            name: line.id,
            protocol: Protocol::Http,
            addr: line.addr,
            zone: line.zone,
            kind: line.kind,
            shard: line.cell,
            state: match line.state {
                State::Active => TargetState::Active,
                State::Leaving => TargetState::Draining,
                State::Left => TargetState::Removed,
            },
            started: (line.started_ms > 0).then(|| line.started_ms.saturating_mul(1_000)),
        }
    }
}

impl From<Endpoint> for Line {
    fn from(listed: Endpoint) -> Line {
        Line {
            id: listed.name,
            addr: listed.addr,
            zone: listed.zone,
            kind: listed.kind,
            cell: listed.shard,
            state: match listed.state {
                TargetState::Active => State::Active,
                TargetState::Draining => State::Leaving,
                TargetState::Removed => State::Left,
            },
            started_ms: listed.started.unwrap_or(0) / 1_000,
        }
    }
}

/// Tells the core of the list as this initiator last held it: perhaps stale.
pub async fn remember(core: &CoreHandle, page: Page) {
    let lines = page.servers.into_iter().map(Endpoint::from).collect();
    core.send_endpoints(Protocol::Http, EndpointUpdateKind::Cached, lines, Instant::now()).await;
}

/// A list as it is written, its lines not read yet.
#[derive(Deserialize)]
struct UnreadPage<'a> {
    version: u64,
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// Reads a list in steps, between which others have their turn.
///
/// # Errors
/// It is none, with the line and column at fault.
async fn read_page(text: &[u8]) -> Result<Page, serde_json::Error> {
    let unread: UnreadPage<'_> = serde_json::from_slice(text)?;
    let mut servers = Vec::with_capacity(unread.servers.len());
    for part in unread.servers.chunks(MAX_ENTRIES_PER_STEP) {
        for line in part {
            match serde_json::from_str(line.get()) {
                Ok(line) => servers.push(line),
                // Read as a whole, it tells where in the list the fault is.
                Err(_) => return serde_json::from_slice(text),
            }
        }
        tokio::task::yield_now().await;
    }
    Ok(Page { version: unread.version, full: unread.full, servers })
}

impl Page {
    /// The whole list, as another process of this initiator holds it. Its version is not known.
    pub fn of(list: Vec<Endpoint>) -> Page {
        Page { version: 0, full: true, servers: list.into_iter().map(Line::from).collect() }
    }

    /// The boxes in it that have not left, as routes see them.
    pub fn boxes(&self) -> Vec<TargetInfo> {
        let here = self.servers.iter().filter(|l| l.state != State::Left);
        here.map(|l| TargetInfo {
            name: l.id.clone(),
            zone: l.zone.clone(),
            kind: l.kind.clone(),
            shard: l.cell,
            addr: l.addr.ip(),
        })
        .collect()
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The names of its targets, and whether they are in use.
    fn uses(&self) -> impl Iterator<Item = (&str, bool)> + Clone {
        self.servers.iter().map(|line| (line.id.as_str(), line.state == State::Active))
    }

    /// Whether it can be used by one who holds the list of `held`; none: no list.
    fn check(&self, held: Option<u64>) -> Result<(), CallError> {
        if let Some(held) = held.filter(|held| self.version < *held) {
            return Err(CallError::OlderVersion { held, told: self.version });
        }
        let mut names = HashSet::with_capacity(self.servers.len());
        match self.servers.iter().find(|line| !names.insert(line.id.as_str())) {
            Some(line) => Err(CallError::RepeatedTarget(line.id.clone())),
            None => Ok(()),
        }
    }
}

/// Where discovery is; absent: there is none.
pub type Address = Option<SocketAddr>;

/// Resolves with the next change. Where nobody is left to change it, that is never.
async fn changed(addr: &mut watch::Receiver<Address>) {
    if addr.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Why a call brought no list that can be used.
#[derive(Debug)]
enum CallError {
    /// Discovery answered with another status than 200.
    Status(actix_http::StatusCode),
    /// The connection failed, or the answer cannot be read.
    Broken(String),
    /// A target stands in the list more than once.
    RepeatedTarget(String),
    /// The list is older than the one that is held.
    OlderVersion { held: u64, told: u64 },
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Status(status) => write!(f, "discovery answered {status}"),
            CallError::Broken(problem) => f.write_str(problem),
            CallError::RepeatedTarget(name) => write!(f, "the list names target {name} more than once"),
            CallError::OlderVersion { held, told } => {
                write!(f, "the list is of version {told}, and version {held} is held")
            }
        }
    }
}

impl CallError {
    fn end(&self) -> End {
        match self {
            CallError::Status(_) => End::Refused,
            _ => End::Broken,
        }
    }
}

/// A call in flight, or that it was dropped.
type PendingCall = Abortable<LocalBoxFuture<'static, (CallId, Result<Received, CallError>)>>;

/// A list, and when its last byte had come.
struct Received {
    page: Page,
    at: Instant,
}

/// The actor that keeps the core's list up to date.
pub struct Directory {
    addr: watch::Receiver<Address>,
    /// Of the present address.
    client: Option<(SocketAddr, Client)>,
    connect_timeout: Duration,
    core: CoreHandle,
    clock: Clock,
    schedule: Schedule,
    /// The newest version held; absent: none, so the whole list is asked for.
    version: Option<u64>,
    calls: FuturesUnordered<PendingCall>,
    aborts: BTreeMap<CallId, AbortHandle>,
    /// None where instances do not talk to each other.
    peers: Option<PeerLink>,
}

impl Directory {
    /// `schedule` starts a new schedule at a time of `clock`; `known` is the list that is held until discovery answers.
    pub fn new(
        addr: watch::Receiver<Address>,
        connect_timeout: Duration,
        core: CoreHandle,
        clock: Clock,
        schedule: impl FnOnce(Micros) -> Schedule,
        known: Option<&Page>,
        mut peers: Option<PeerLink>,
    ) -> Directory {
        let schedule = schedule(clock.now());
        if let (Some(peers), Some(known)) = (&mut peers, known) {
            peers.remembers(known.version(), known.uses());
        }
        let mut directory = Directory {
            addr,
            client: None,
            connect_timeout,
            core,
            clock,
            schedule,
            version: known.map(Page::version),
            calls: FuturesUnordered::new(),
            aborts: BTreeMap::new(),
            peers,
        };
        directory.connect();
        directory
    }

    /// Turns to the present address.
    fn connect(&mut self) {
        let addr = *self.addr.borrow_and_update();
        let connect_timeout = self.connect_timeout.max(CONNECT);
        self.client = addr.map(|addr| (addr, dial::client(addr, connect_timeout, IDLE)));
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        let mut addr = self.addr.clone();
        loop {
            if self.client.is_none() {
                // There is nothing to wait for: what is known of other sources is all there is.
                self.tell(EndpointUpdateKind::Delta, Vec::new(), Instant::now()).await;
                changed(&mut addr).await;
                self.moved();
                continue;
            }
            while let Some(command) = self.schedule.poll(self.clock.now()) {
                self.carry_out(command);
            }
            let now = self.clock.now();
            if let Some(peers) = &mut self.peers {
                peers.watching(now, self.schedule.is_watching());
                peers.poll(now).await;
            }
            let ask_peers = self.peers.as_ref().and_then(PeerLink::next_poll);
            let next_poll = self.schedule.next_poll().into_iter().chain(ask_peers).min();
            let clock = self.clock;
            let pause = async {
                match next_poll {
                    Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            let peers = &mut self.peers;
            let report = async {
                match peers {
                    Some(peers) => peers.receive(clock).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = changed(&mut addr) => self.moved(),
                Some(ended) = self.calls.next() => self.ended(ended).await,
                departed = report => self.departed(departed).await,
                () = pause => {}
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Start(call) => self.start(call),
            Command::Abandon(id) => {
                if let Some(abort) = self.aborts.remove(&id) {
                    abort.abort();
                    tracing::info!(call = id.0, "a call for the list has no answer");
                }
            }
        }
    }

    fn start(&mut self, call: Call) {
        let Some((addr, client)) = self.client.clone() else { return };
        let version = self.version;
        let (abort, registration) = AbortHandle::new_pair();
        let pending: LocalBoxFuture<'static, _> =
            Box::pin(async move { (call.id, get(&client, addr, version, call.hold).await) });
        self.aborts.insert(call.id, abort);
        self.calls.push(Abortable::new(pending, registration));
        tracing::debug!(call = call.id.0, hold_us = call.hold, version, "asking for the list");
    }

    async fn ended(&mut self, ended: Result<(CallId, Result<Received, CallError>), Aborted>) {
        let Ok((id, result)) = ended else { return };
        if self.aborts.remove(&id).is_none() {
            return;
        }
        let end = match result {
            Ok(Received { page, at }) => self.take(id, page, at).await,
            Err(error) => {
                tracing::info!(call = id.0, %error, "a call for the list failed");
                error.end()
            }
        };
        self.schedule.ended(self.clock.now(), id, end);
    }

    /// Tells the core of a list, if it can be used. The last good list stays otherwise, and the whole list is
    /// asked for next.
    async fn take(&mut self, id: CallId, page: Page, received: Instant) -> End {
        if let Err(error) = page.check(self.version) {
            tracing::error!(call = id.0, %error, "a list was not used; the one before goes on");
            self.version = None;
            return error.end();
        }
        tracing::debug!(
            call = id.0,
            version = page.version,
            lines = page.servers.len(),
            "the list was heard"
        );
        self.version = Some(page.version);
        if let Some(peers) = &mut self.peers {
            peers.listed(self.clock.now(), page.version, page.full, page.uses());
        }
        let kind = if page.full { EndpointUpdateKind::Snapshot } else { EndpointUpdateKind::Delta };
        self.tell(kind, page.servers.into_iter().map(Endpoint::from).collect(), received).await;
        End::Answered
    }

    /// Tells the core of targets that peers say have left.
    async fn departed(&mut self, names: Vec<String>) {
        if !names.is_empty() {
            tracing::info!(targets = names.len(), "peers tell of targets that leave");
            self.core.send(Message::PeersReportDraining(names)).await;
        }
    }

    /// Another service may count its versions in its own way, so the whole list is asked for.
    fn moved(&mut self) {
        self.connect();
        self.version = None;
        self.calls.clear();
        self.aborts.clear();
        self.schedule.moved(self.clock.now());
        if let Some(peers) = &mut self.peers {
            peers.moved();
        }
        tracing::info!(addr = ?self.client.as_ref().map(|(addr, _)| addr), "discovery is asked anew");
    }

    async fn tell(&self, kind: EndpointUpdateKind, entries: Vec<Endpoint>, received: Instant) {
        self.core.send_endpoints(Protocol::Http, kind, entries, received).await;
    }
}

/// Asks for what has changed since `version`, or for the whole list. `hold`: how long discovery may wait for
/// news.
async fn get(
    client: &Client,
    addr: SocketAddr,
    version: Option<u64>,
    hold: Micros,
) -> Result<Received, CallError> {
    let path = match version {
        Some(version) => {
            let hold_ms = (hold / 1_000).max(SHORTEST_HOLD_MS);
            format!("/discovery/hosts?from={version}&hold_ms={hold_ms}")
        }
        None => "/discovery/hosts".to_string(),
    };
    let broken = |error: &dyn fmt::Display| CallError::Broken(error.to_string());
    let request = client.get(format!("http://{addr}{path}")).no_decompress();
    let mut response = request.send().await.map_err(|e| broken(&e))?;
    if response.status() != actix_http::StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    let body = response.body().limit(LARGEST_LIST).await.map_err(|e| broken(&e))?;
    let at = Instant::now();
    let page = read_page(&body).await.map_err(|e| broken(&e))?;
    Ok(Received { page, at })
}
