//! The core's mailbox, and the handle by which fronts submit requests. The handle guarantees that the core is
//! notified when a client disconnects.

use crate::core::access_log::{AccessLog, LogEntry};
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::message::Message;
use crate::core::request::{Request, Response};
use crate::core::request_ids::RequestIds;
use crate::core::validation::{InvalidRequest, RequestConstraints};
use crate::interface::{EndpointUpdateKind, RequestId};
use crate::settings::Settings;
use rowanglade_routing::TargetInfo;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Capacity of the core's mailbox, in messages: two for each descriptor's request and four for the starts and
/// ends of its attempts.
const MAILBOX_CAPACITY: usize = 8_192;

/// Entries of an endpoint list that the core, or a reader of a list, handles in one step, which then takes a
/// fraction of a millisecond.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// The core's end of its mailbox.
#[derive(Debug)]
pub struct CoreMailbox {
    pub(super) receiver: mpsc::Receiver<Message>,
    /// Weak, so that the core stops once all [`CoreHandle`]s are dropped.
    pub(super) sender: mpsc::WeakSender<Message>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) unanswered: Rc<Cell<usize>>,
    pub(super) request_ids: RequestIds,
    pub(super) revision: watch::Sender<u64>,
}

/// Creates the core's mailbox. Requests are validated against the settings; each gets a line in `log`.
pub fn mailbox(settings: &Settings, log: Option<AccessLog>) -> (CoreMailbox, CoreHandle) {
    let request_ids = RequestIds::default();
    let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let (ready_sender, ready) = watch::channel(false);
    let unanswered = Rc::new(Cell::new(0));
    let (revision_sender, revision) = watch::channel(0);
    let mailbox = CoreMailbox {
        receiver,
        sender: sender.downgrade(),
        ready: ready_sender,
        unanswered: Rc::clone(&unanswered),
        request_ids: request_ids.clone(),
        revision: revision_sender,
    };
    let handle = CoreHandle {
        sender,
        next_id: Rc::new(Cell::new(1)),
        ready,
        unanswered,
        request_ids,
        constraints: Rc::new(RequestConstraints::from_settings(settings)),
        log,
        revision,
    };
    (mailbox, handle)
}

/// A handle to the core's mailbox, for fronts and discovery.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    sender: mpsc::Sender<Message>,
    next_id: Rc<Cell<u64>>,
    ready: watch::Receiver<bool>,
    unanswered: Rc<Cell<usize>>,
    request_ids: RequestIds,
    constraints: Rc<RequestConstraints>,
    log: Option<AccessLog>,
    revision: watch::Receiver<u64>,
}

impl CoreHandle {
    /// Checks a request against the settings and the open requests.
    ///
    /// # Errors
    /// The settings do not allow the request, or another request has the same id and is open or may have run.
    pub fn validate(&self, request: &Request) -> Result<(), InvalidRequest> {
        self.constraints.check(request)?;
        if self.request_ids.is_open(&request.id) {
            return Err(InvalidRequest::DuplicateId);
        }
        if self.request_ids.is_used(&request.id) {
            return Err(InvalidRequest::UsedId);
        }
        Ok(())
    }

    /// Submits a request. The mailbox permit for the notification that its client has disconnected is
    /// reserved in advance, so that a full mailbox cannot lose it. Cancel safe: cancelled while it waits for
    /// permits, it has no effect.
    ///
    /// # Errors
    /// The request is invalid; see [`validate`](Self::validate).
    pub async fn submit(&self, request: Request) -> Result<PendingResponse, InvalidRequest> {
        let arrived = Instant::now();
        let permits = self.reserve_two_permits().await;
        // Another request with the same id may have arrived in the meantime.
        self.validate(&request)?;
        self.request_ids.open(&request.id);
        let (response, receiver) = oneshot::channel();
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let log = self.log.as_ref().map(|log| log.begin(&request));
        let mut pending = PendingResponse { receiver, client_gone: None, log };
        if let Some((submit, client_gone)) = permits {
            submit.send(Message::Submit { id, request, arrived, response });
            pending.client_gone = Some((id, client_gone));
        }
        Ok(pending)
    }

    /// Reserves two mailbox permits. `None`: the core has stopped.
    async fn reserve_two_permits(&self) -> Option<(OwnedPermit<Message>, OwnedPermit<Message>)> {
        let first = self.sender.clone().reserve_owned().await.ok()?;
        Some((first, self.sender.clone().reserve_owned().await.ok()?))
    }

    /// Sends a message, waiting for room in the mailbox. Has no effect once the core has stopped.
    pub async fn send(&self, message: Message) {
        let _ = self.sender.send(message).await;
    }

    /// Sends an endpoint update that arrived at `received`. Long updates are split into parts, so that
    /// requests are handled between them.
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

    /// Notifies of changes of [`is_ready`](Self::is_ready).
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// A revision that is incremented with every change of targets that takes effect.
    pub fn endpoint_revision(&self) -> watch::Receiver<u64> {
        self.revision.clone()
    }

    /// The listed targets; empty if the core has stopped.
    pub async fn targets(&self) -> Vec<TargetInfo> {
        let (answer, targets) = oneshot::channel();
        self.send(Message::ListTargets(answer)).await;
        targets.await.unwrap_or_default()
    }

    /// The number of requests that have no response yet.
    pub fn open_requests(&self) -> usize {
        self.unanswered.get()
    }
}

/// The response to a submitted request. If dropped before the response has arrived, the core is notified that
/// the client has disconnected.
#[derive(Debug)]
pub struct PendingResponse {
    receiver: oneshot::Receiver<Response>,
    /// The permit for that notification; absent once the response has arrived.
    client_gone: Option<(RequestId, OwnedPermit<Message>)>,
    log: Option<LogEntry>,
}

impl PendingResponse {
    /// Waits for the response. It is [`Response::Failed`] if the core has stopped.
    pub async fn response(mut self) -> Response {
        let response = (&mut self.receiver).await.unwrap_or(Response::Failed);
        self.client_gone = None;
        if let Some(log) = self.log.take() {
            log.finish(&response);
        }
        response
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if let Some((id, client_gone)) = self.client_gone.take() {
            client_gone.send(Message::ClientGone(id));
        }
    }
}
