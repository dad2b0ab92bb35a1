//! The core's mailbox, the handle by which fronts submit requests, and the guarantee that the core learns of
//! a client that has gone.

use crate::core::access_log::{AccessLog, LogEntry};
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::message::Message;
use crate::core::open_requests::ClientIds;
use crate::core::request::{Request, Response};
use crate::core::validation::{InvalidRequest, RequestConstraints};
use crate::interface::{EndpointUpdateKind, RequestId};
use crate::settings::Settings;
use rowanglade_routing::TargetInfo;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Places in the core's mailbox: two for each descriptor's request and four for its attempts' starts and
/// ends.
const MAILBOX_CAPACITY: usize = 8_192;

/// Entries of an endpoint list that the core, or whoever reads a list, handles in one step: a fraction of a
/// millisecond.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// The core's end of its mailbox.
#[derive(Debug)]
pub struct CoreMailbox {
    pub(super) receiver: mpsc::Receiver<Message>,
    /// Weak, so that the core ends when all others have let go of its mailbox.
    pub(super) sender: mpsc::WeakSender<Message>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) unanswered: Rc<Cell<usize>>,
    pub(super) client_ids: ClientIds,
    pub(super) revision: watch::Sender<u64>,
}

/// Makes the core's mailbox, for requests as the settings have them. Each gets a line of `log`.
pub fn mailbox(settings: &Settings, log: Option<AccessLog>) -> (CoreMailbox, CoreHandle) {
    let client_ids = ClientIds::default();
    let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let (ready_sender, ready) = watch::channel(false);
    let unanswered = Rc::new(Cell::new(0));
    let (revision_sender, revision) = watch::channel(0);
    let mailbox = CoreMailbox {
        receiver,
        sender: sender.downgrade(),
        ready: ready_sender,
        unanswered: Rc::clone(&unanswered),
        client_ids: Rc::clone(&client_ids),
        revision: revision_sender,
    };
    let handle = CoreHandle {
        sender,
        next_id: Rc::new(Cell::new(1)),
        ready,
        unanswered,
        client_ids,
        constraints: Rc::new(RequestConstraints::of(settings)),
        log,
        revision,
    };
    (mailbox, handle)
}

/// The core's mailbox, as fronts and discovery hold it.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    sender: mpsc::Sender<Message>,
    next_id: Rc<Cell<u64>>,
    ready: watch::Receiver<bool>,
    unanswered: Rc<Cell<usize>>,
    client_ids: ClientIds,
    constraints: Rc<RequestConstraints>,
    log: Option<AccessLog>,
    revision: watch::Receiver<u64>,
}

impl CoreHandle {
    /// Checks a request against the settings and the open requests.
    ///
    /// # Errors
    /// The settings have no such request, or another has its id: served, it would get a response made for
    /// something else.
    pub fn validate(&self, request: &Request) -> Result<(), InvalidRequest> {
        self.constraints.check(request)?;
        if self.client_ids.borrow().contains(&request.id) {
            return Err(InvalidRequest::DuplicateId);
        }
        Ok(())
    }

    /// Submits a request. The mailbox place for the message that its client has gone is reserved beforehand,
    /// so that a full mailbox cannot lose it. Cancelled while it waits for places, it leaves nothing behind.
    ///
    /// # Errors
    /// The request is not valid; see [`validate`](Self::validate).
    pub async fn submit(&self, request: Request) -> Result<PendingResponse, InvalidRequest> {
        let arrived = Instant::now();
        let permits = self.two_permits().await;
        // Another request of its id may have come meanwhile.
        self.validate(&request)?;
        self.client_ids.borrow_mut().insert(request.id.clone());
        let (response, receiver) = oneshot::channel();
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let log = self.log.as_ref().map(|log| log.begin(&request));
        let mut pending = PendingResponse { receiver, gone: None, log };
        if let Some((submit, gone)) = permits {
            submit.send(Message::Submit { id, request, arrived, response });
            pending.gone = Some((id, gone));
        }
        Ok(pending)
    }

    /// Two places in the core's mailbox. `None`: the core has ended.
    async fn two_permits(&self) -> Option<(OwnedPermit<Message>, OwnedPermit<Message>)> {
        let first = self.sender.clone().reserve_owned().await.ok()?;
        Some((first, self.sender.clone().reserve_owned().await.ok()?))
    }

    /// Sends a message, once there is room for it.
    pub async fn send(&self, message: Message) {
        // A core that has ended needs none.
        let _ = self.sender.send(message).await;
    }

    /// Sends an endpoint update that came at `received`, in parts: between two of them requests have their
    /// turn.
    pub async fn send_endpoints(
        &self,
        protocol: Protocol,
        kind: EndpointUpdateKind,
        mut entries: Vec<Endpoint>,
        received: Instant,
    ) {
        loop {
            let rest = entries.split_off(entries.len().min(MAX_ENTRIES_PER_STEP));
            let more = !rest.is_empty();
            self.send(Message::EndpointsChanged { protocol, kind, entries, more, received }).await;
            if !more {
                return;
            }
            tokio::task::yield_now().await;
            entries = rest;
        }
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Tells when requests can be served.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// A number that grows with every change of targets that takes effect.
    pub fn endpoint_revision(&self) -> watch::Receiver<u64> {
        self.revision.clone()
    }

    /// The targets that are listed; none where the core has ended.
    pub async fn targets(&self) -> Vec<TargetInfo> {
        let (answer, targets) = oneshot::channel();
        self.send(Message::ListTargets(answer)).await;
        targets.await.unwrap_or_default()
    }

    /// How many requests have no response yet.
    pub fn open_requests(&self) -> usize {
        self.unanswered.get()
    }
}

/// The response to a submitted request. Dropped before it has come, it informs the core that the client has
/// gone.
#[derive(Debug)]
pub struct PendingResponse {
    receiver: oneshot::Receiver<Response>,
    /// The place for that message.
    gone: Option<(RequestId, OwnedPermit<Message>)>,
    log: Option<LogEntry>,
}

impl PendingResponse {
    /// Waits for the response. One whose core has ended is failed.
    pub async fn response(mut self) -> Response {
        let response = (&mut self.receiver).await.unwrap_or(Response::Failed);
        self.gone = None;
        if let Some(log) = self.log.take() {
            log.finish(&response);
        }
        response
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if let Some((id, gone)) = self.gone.take() {
            gone.send(Message::ClientGone(id));
        }
    }
}
