//! The way to the core, and the promises that it will hear how everything ended.

use crate::core::access_log::{AccessLog, Ticket};
use crate::core::message::{Endpoint, Message, Protocol, Request, Response};
use crate::interface::{EndpointUpdateKind, RequestId};
use crate::settings::Settings;
use rowanglade_routing::TargetInfo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Places in the core's mailbox: two for each descriptor's request and four for its attempts' starts and
/// ends.
const MAILBOX: usize = 8_192;

/// Lines of a list that the core, or whoever reads a list, takes in one step: a fraction of a millisecond.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// The core's end of its mailbox.
#[derive(Debug)]
pub struct CoreMailbox {
    pub(super) rx: mpsc::Receiver<Message>,
    /// Weak, so that the core ends when all others have let go of its mailbox.
    pub(super) tx: mpsc::WeakSender<Message>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) open: Rc<Cell<usize>>,
    pub(super) ids: Ids,
    pub(super) revision: watch::Sender<u64>,
}

/// The clients' ids of the requests that are not over, or have an attempt without an end.
pub(super) type Ids = Rc<RefCell<HashSet<String>>>;

/// What the settings say of requests.
#[derive(Debug)]
struct Terms {
    /// Each class's name, whether it writes, and whether it carries a key.
    classes: Vec<(String, bool, bool)>,
    plans: Vec<String>,
    /// Absent: not told.
    shards: Option<u32>,
}

/// Why a request is none that the settings have, or not to be told from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    Class,
    Plan,
    Shard,
    /// It reads where its class writes, or the other way round.
    Method,
    NoKey,
    /// A request of this id is open.
    Id,
}

impl std::fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            InvalidRequest::Class => "an unknown class",
            InvalidRequest::Plan => "an unknown plan",
            InvalidRequest::Shard => "an unknown shard",
            InvalidRequest::Method => "not what its class does",
            InvalidRequest::NoKey => "no key",
            InvalidRequest::Id => "the id of an open request",
        })
    }
}

/// Makes the core's mailbox, for requests as the settings have them, which `log` tells of.
pub fn mailbox(settings: &Settings, log: Option<AccessLog>) -> (CoreMailbox, CoreHandle) {
    let terms = Terms {
        classes: settings
            .classes()
            .map(|class| (class.name.to_string(), class.writes, class.keyed))
            .collect(),
        plans: settings.plans().map(str::to_string).collect(),
        shards: settings.shard_count(),
    };
    let ids = Ids::default();
    let (tx, rx) = mpsc::channel(MAILBOX);
    let (ready, readiness) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let (revision, listed) = watch::channel(0);
    let inbox =
        CoreMailbox { rx, tx: tx.downgrade(), ready, open: Rc::clone(&open), ids: Rc::clone(&ids), revision };
    let (next, terms) = (Rc::new(Cell::new(1)), Rc::new(terms));
    (inbox, CoreHandle { tx, next, ready: readiness, open, ids, terms, log, listed })
}

/// The core's mailbox, as fronts and the list hold it.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    pub(super) tx: mpsc::Sender<Message>,
    pub(super) next: Rc<Cell<u64>>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) open: Rc<Cell<usize>>,
    ids: Ids,
    terms: Rc<Terms>,
    log: Option<AccessLog>,
    listed: watch::Receiver<u64>,
}

impl CoreHandle {
    /// Whether the settings have such a request, and no other goes by its id. Served, it would be an answer
    /// made for something else.
    pub fn validate(&self, request: &Request) -> Result<(), InvalidRequest> {
        let class = self.terms.classes.iter().find(|(name, ..)| *name == request.class);
        let (_, write, keyed) = class.ok_or(InvalidRequest::Class)?;
        if request.write != *write {
            return Err(InvalidRequest::Method);
        }
        if *keyed && request.idempotency_key.as_ref().is_none_or(String::is_empty) {
            return Err(InvalidRequest::NoKey);
        }
        if request.plan.as_ref().is_some_and(|plan| !self.terms.plans.contains(plan)) {
            return Err(InvalidRequest::Plan);
        }
        if request.shard.is_some_and(|shard| self.terms.shards.is_some_and(|shards| shard >= shards)) {
            return Err(InvalidRequest::Shard);
        }
        if self.ids.borrow().contains(&request.id) { Err(InvalidRequest::Id) } else { Ok(()) }
    }

    /// Hands a fit request over. The place for the news that its client has gone is taken beforehand, so that
    /// a full mailbox cannot lose it. Cancelled while it waits for places, it leaves nothing behind.
    pub async fn submit(&self, request: Request) -> Result<Pending, InvalidRequest> {
        let arrived = Instant::now();
        let places = self.two_places().await;
        // Another request of its id may have come meanwhile.
        self.validate(&request)?;
        self.ids.borrow_mut().insert(request.id.clone());
        let (answer, rx) = oneshot::channel();
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        let log = self.log.as_ref().map(|log| log.begin(&request));
        let mut pending = Pending { rx, gone: None, log };
        if let Some((submit, gone)) = places {
            submit.send(Message::Submit { id, request, arrived, response: answer });
            pending.gone = Some((id, gone));
        }
        Ok(pending)
    }

    /// Two places in the core's mailbox. None: the core has ended.
    async fn two_places(&self) -> Option<(OwnedPermit<Message>, OwnedPermit<Message>)> {
        let first = self.tx.clone().reserve_owned().await.ok()?;
        Some((first, self.tx.clone().reserve_owned().await.ok()?))
    }

    pub async fn send(&self, message: Message) {
        // A core that has ended needs no news.
        let _ = self.tx.send(message).await;
    }

    /// Tells the core of a list that came at `received`, in parts: between two of them requests have their
    /// turn.
    pub async fn send_endpoints(
        &self,
        wire: Protocol,
        kind: EndpointUpdateKind,
        mut lines: Vec<Endpoint>,
        received: Instant,
    ) {
        loop {
            let rest = lines.split_off(lines.len().min(MAX_ENTRIES_PER_STEP));
            let more = !rest.is_empty();
            self.send(Message::EndpointsChanged { protocol: wire, kind, entries: lines, more, received })
                .await;
            if !more {
                return;
            }
            tokio::task::yield_now().await;
            lines = rest;
        }
    }

    /// Whether requests can be served.
    pub fn ready(&self) -> bool {
        *self.ready.borrow()
    }

    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// A number that grows with every change of the list that is in force.
    pub fn endpoint_revision(&self) -> watch::Receiver<u64> {
        self.listed.clone()
    }

    /// The boxes that are listed; none where the core has ended.
    pub async fn targets(&self) -> Vec<TargetInfo> {
        let (answer, boxes) = oneshot::channel();
        self.send(Message::ListTargets(answer)).await;
        boxes.await.unwrap_or_default()
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }
}

/// A request handed over. Dropped before its answer, it tells the core that the client has gone.
#[derive(Debug)]
pub struct Pending {
    rx: oneshot::Receiver<Response>,
    gone: Option<(RequestId, OwnedPermit<Message>)>,
    log: Option<Ticket>,
}

impl Pending {
    pub async fn response(mut self) -> Response {
        let answer = (&mut self.rx).await.unwrap_or(Response::Failed);
        self.gone = None;
        if let Some(log) = self.log.take() {
            log.end(&answer);
        }
        answer
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some((id, gone)) = self.gone.take() {
            gone.send(Message::ClientGone(id));
        }
    }
}
