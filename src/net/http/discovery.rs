//! The actor of the list: it asks discovery when the core says so, and goes on watching.

use crate::core::{Handle, ListMessage, Listed, Message, Wire};
use crate::interface::{ListKind, NodeState};
use crate::net::http::dial;
use crate::net::http::watch::{AT_ONCE, End, Next, Watch, patience};
use awc::Client;
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
    /// The newest version held; absent: none, so the whole list is asked for.
    version: Option<u64>,
}

impl Directory {
    pub fn new(
        addr: watch::Receiver<Address>,
        connect_timeout: Duration,
        core: Handle,
        version: Option<u64>,
    ) -> Directory {
        let mut directory = Directory { addr, client: None, connect_timeout, core, version };
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
        loop {
            let mut watch = Watch::default();
            let mut call = tokio::select! {
                message = asked.recv() => match message {
                    Some(ListMessage::Watch) => Some(watch.first()),
                    Some(ListMessage::Fetch) => {
                        self.version = None;
                        if matches!(self.call(AT_ONCE).await, Some(End::Silent | End::Failed)) {
                            self.failed().await;
                        }
                        None
                    }
                    None => return,
                },
                // Another address is asked at once, whatever wait the core is in after a failure at the old.
                () = changed(&mut addr) => Some(self.moved()),
            };
            while let Some(hold) = call {
                // A watch under way at the old address would bring no more news for as long as it holds.
                call = tokio::select! {
                    biased;
                    () = changed(&mut addr) => Some(self.moved()),
                    end = self.call(hold) => match end.map(|end| watch.next(end)) {
                        Some(Next::Call(hold)) => Some(hold),
                        Some(Next::Stop) => {
                            self.failed().await;
                            None
                        }
                        None => None,
                    },
                };
            }
        }
    }

    /// Another service may count its versions in its own way, so the whole list is asked for.
    fn moved(&mut self) -> Duration {
        self.turn();
        self.version = None;
        tracing::info!(addr = ?self.client.as_ref().map(|(addr, _)| addr), "discovery has moved");
        AT_ONCE
    }

    /// One call, and its news to the core. None: there is no discovery.
    async fn call(&mut self, hold: Duration) -> Option<End> {
        if self.client.is_none() {
            // What sessions tell are all the changes there are, so the core may take itself as told.
            self.tell(ListKind::Changes, Vec::new()).await;
            return None;
        }
        let end = match tokio::time::timeout(patience(hold), self.get(hold)).await {
            Ok(Ok(page)) => {
                self.version = Some(page.version);
                let kind = if page.full { ListKind::Full } else { ListKind::Changes };
                self.tell(kind, page.servers.into_iter().map(Listed::from).collect()).await;
                End::Told
            }
            Ok(Err(error)) => {
                tracing::info!(%error, "discovery call failed");
                End::Failed
            }
            Err(_) => {
                tracing::info!(?hold, "discovery has fallen silent");
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

    async fn get(&self, hold: Duration) -> Result<Page, String> {
        let path = match self.version {
            Some(version) => format!("/discovery/hosts?from={version}&hold_ms={}", hold.as_millis()),
            None => "/discovery/hosts".to_string(),
        };
        let Some((addr, client)) = &self.client else { return Err("there is none".to_string()) };
        let request = client.get(format!("http://{addr}{path}")).no_decompress();
        let mut response = request.send().await.map_err(|e| e.to_string())?;
        if response.status() != actix_http::StatusCode::OK {
            return Err(response.status().to_string());
        }
        let body = response.body().limit(LARGEST_LIST).await.map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}
