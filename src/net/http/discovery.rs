//! The actor of the list: it asks discovery when the core says so, and goes on watching.

use crate::core::{Handle, ListMessage, Listed, Message, Wire};
use crate::interface::{ListKind, NodeState};
use crate::net::http::dial;
use crate::net::http::watch::{Call, End, Next, Watch};
use awc::Client;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rowanglade_routing::BoxInfo;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

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

impl From<Line> for Listed {
    fn from(line: Line) -> Listed {
        Listed {
            name: line.id,
            wire: Wire::Http,
            addr: line.addr,
            zone: line.zone,
            kind: line.kind,
            shard: line.cell,
            state: match line.state {
                State::Active => NodeState::In,
                State::Leaving => NodeState::Draining,
                State::Left => NodeState::Gone,
            },
            started: (line.started_ms > 0).then(|| line.started_ms.saturating_mul(1_000)),
        }
    }
}

impl From<Listed> for Line {
    fn from(listed: Listed) -> Line {
        Line {
            id: listed.name,
            addr: listed.addr,
            zone: listed.zone,
            kind: listed.kind,
            cell: listed.shard,
            state: match listed.state {
                NodeState::In => State::Active,
                NodeState::Draining => State::Leaving,
                NodeState::Gone => State::Left,
            },
            started_ms: listed.started.unwrap_or(0) / 1_000,
        }
    }
}

/// The list as this initiator last held it: perhaps stale.
pub fn remembered(page: Page) -> Message {
    let entries = page.servers.into_iter().map(Listed::from).collect();
    Message::List { wire: Wire::Http, kind: ListKind::Remembered, entries }
}

impl Page {
    /// The whole list, as another process of this initiator holds it. Its version is not known.
    pub fn of(list: Vec<Listed>) -> Page {
        Page { version: 0, full: true, servers: list.into_iter().map(Line::from).collect() }
    }

    /// The boxes in it that have not left, as routes see them.
    pub fn boxes(&self) -> Vec<BoxInfo> {
        let here = self.servers.iter().filter(|l| l.state != State::Left);
        here.map(|l| BoxInfo {
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
}

/// Where discovery is; absent: there is none.
pub type Address = Option<SocketAddr>;

/// Resolves with the next change. Where nobody is left to change it, that is never.
async fn changed(addr: &mut watch::Receiver<Address>) {
    if addr.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// The actor's state.
pub struct Directory {
    addr: watch::Receiver<Address>,
    /// To the present address.
    client: Option<(SocketAddr, Client)>,
    connect_timeout: Duration,
    core: Handle,
    watch: Watch,
    /// The newest version held; absent: none, so the whole list is asked for.
    version: Option<u64>,
}

impl Directory {
    pub fn new(
        addr: watch::Receiver<Address>,
        connect_timeout: Duration,
        core: Handle,
        watch: Watch,
        version: Option<u64>,
    ) -> Directory {
        let mut directory = Directory { addr, client: None, connect_timeout, core, watch, version };
        directory.turn();
        directory
    }

    /// Turns to the present address.
    fn turn(&mut self) {
        let addr = *self.addr.borrow_and_update();
        let connect_timeout = self.connect_timeout.max(CONNECT);
        self.client = addr.map(|addr| (addr, dial::client(addr, connect_timeout, IDLE)));
    }

    /// Runs until the core lets go of the mailbox.
    pub async fn run(mut self, mut asked: mpsc::Receiver<ListMessage>) {
        let mut addr = self.addr.clone();
        // Nobody asks for a list that is pushed, and what is pushed counts as told from the start on.
        let mut call = self.watch.is_pushed().then(|| self.watch.first());
        loop {
            while let Some(present) = call {
                // A watch under way at the old address would bring no more news for as long as it holds.
                call = tokio::select! {
                    biased;
                    () = changed(&mut addr) => Some(self.moved()),
                    next = self.step(present) => next,
                };
            }
            self.watch.again();
            call = tokio::select! {
                message = asked.recv() => match message {
                    Some(ListMessage::Watch) => Some(self.watch.first()),
                    Some(ListMessage::Fetch) => {
                        self.version = None;
                        if self.call(Call::at_once()).await.is_some_and(|end| end != End::Told) {
                            self.failed().await;
                        }
                        None
                    }
                    None => return,
                },
                // Another address is asked at once, whatever wait the core is in after a failure at the old.
                () = changed(&mut addr) => Some(self.moved()),
            };
        }
    }

    /// One call and the wait behind it. None: the core says when the next is due.
    async fn step(&mut self, present: Call) -> Option<Call> {
        let end = self.call(present).await?;
        match self.watch.next(end) {
            Next::Call(next) => Some(next),
            Next::After(pause, next) => {
                tokio::time::sleep(pause).await;
                Some(next)
            }
            Next::Stop => {
                self.failed().await;
                None
            }
        }
    }

    /// Another service may count its versions in its own way, so the whole list is asked for.
    fn moved(&mut self) -> Call {
        self.turn();
        self.version = None;
        self.watch.again();
        tracing::info!(addr = ?self.client.as_ref().map(|(addr, _)| addr), "discovery is asked anew");
        self.watch.first()
    }

    /// One call, and its news to the core. None: there is no discovery.
    async fn call(&mut self, call: Call) -> Option<End> {
        let Some((addr, client)) = self.client.clone() else {
            // What sessions tell are all the changes there are, so the core may take itself as told.
            self.tell(ListKind::Changes, Vec::new()).await;
            return None;
        };
        let version = self.version;
        let asked = async {
            let mut calls = FuturesUnordered::from_iter([get(&client, addr, version, call.hold)]);
            loop {
                tokio::select! {
                    // The first to answer tells all that there is; the others are dropped.
                    Some(page) = calls.next() => return page,
                    () = tokio::time::sleep(call.beside), if calls.len() < call.most => {
                        calls.push(get(&client, addr, version, call.hold));
                    }
                }
            }
        };
        let end = match tokio::time::timeout(call.patience, asked).await {
            Ok(Ok(page)) => {
                self.version = Some(page.version);
                let kind = if page.full { ListKind::Full } else { ListKind::Changes };
                self.tell(kind, page.servers.into_iter().map(Listed::from).collect()).await;
                End::Told
            }
            Ok(Err(Failed::Status(status))) => {
                tracing::info!(%status, "discovery refused a call");
                End::Refused
            }
            Ok(Err(Failed::Broken(error))) => {
                tracing::info!(%error, "a discovery call broke");
                End::Broken
            }
            Err(_) => {
                tracing::info!(hold = ?call.hold, "discovery has fallen silent");
                End::Silent
            }
        };
        Some(end)
    }

    async fn failed(&self) {
        self.tell(ListKind::Failed, Vec::new()).await;
    }

    async fn tell(&self, kind: ListKind, entries: Vec<Listed>) {
        self.core.tell(Message::List { wire: Wire::Http, kind, entries }).await;
    }
}

/// Why a call brought no list.
enum Failed {
    Status(actix_http::StatusCode),
    Broken(String),
}

async fn get(
    client: &Client,
    addr: SocketAddr,
    version: Option<u64>,
    hold: Duration,
) -> Result<Page, Failed> {
    let path = match version {
        Some(version) => format!("/discovery/hosts?from={version}&hold_ms={}", hold.as_millis()),
        None => "/discovery/hosts".to_string(),
    };
    let broken = |error: &dyn std::fmt::Display| Failed::Broken(error.to_string());
    let request = client.get(format!("http://{addr}{path}")).no_decompress();
    let mut response = request.send().await.map_err(|e| broken(&e))?;
    if response.status() != actix_http::StatusCode::OK {
        return Err(Failed::Status(response.status()));
    }
    let body = response.body().limit(LARGEST_LIST).await.map_err(|e| broken(&e))?;
    serde_json::from_slice(&body).map_err(|e| broken(&e))
}
