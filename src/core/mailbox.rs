//! The way to the core, and the promises that it will hear how everything ended.

use crate::core::clock::Clock;
use crate::core::message::{Answer, Message, Order, Reply};
use crate::interface::{Attempt, Load, Micros, NodeId, Outcome, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::{oneshot, watch};

/// Places in the core's mailbox: two for each descriptor's request and four for its attempts' ends.
const MAILBOX: usize = 8_192;

/// The core's end of its mailbox.
#[derive(Debug)]
pub struct Inbox {
    pub(super) rx: mpsc::Receiver<Message>,
    /// Weak, so that the core ends when all others have let go of its mailbox.
    pub(super) tx: mpsc::WeakSender<Message>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) open: Rc<Cell<usize>>,
}

/// Makes the core's mailbox.
pub fn mailbox() -> (Inbox, Handle) {
    let (tx, rx) = mpsc::channel(MAILBOX);
    let (ready, readiness) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let inbox = Inbox { rx, tx: tx.downgrade(), ready, open: Rc::clone(&open) };
    (inbox, Handle { tx, next: Rc::new(Cell::new(1)), ready: readiness, open })
}

/// The core's mailbox, as fronts and the list hold it.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) tx: mpsc::Sender<Message>,
    pub(super) next: Rc<Cell<u64>>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) open: Rc<Cell<usize>>,
}

impl Handle {
    /// Hands a request over. The place for the news that its client has gone is taken beforehand, so that a
    /// full mailbox cannot lose it.
    pub async fn submit(&self, order: Order) -> Pending {
        let (answer, rx) = oneshot::channel();
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        let mut pending = Pending { rx, gone: None };
        if let Ok(gone) = self.tx.clone().reserve_owned().await
            && self.tx.send(Message::Submit { id, order, answer }).await.is_ok()
        {
            pending.gone = Some((id, gone));
        }
        pending
    }

    pub async fn tell(&self, message: Message) {
        // A core that has ended needs no news.
        let _ = self.tx.send(message).await;
    }

    /// Whether requests can be served.
    pub fn ready(&self) -> bool {
        *self.ready.borrow()
    }

    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// A request handed over. Dropped before its answer, it tells the core that the client has gone.
#[derive(Debug)]
pub struct Pending {
    rx: oneshot::Receiver<Answer>,
    gone: Option<(RequestId, OwnedPermit<Message>)>,
}

impl Pending {
    pub async fn answer(mut self) -> Answer {
        let answer = (&mut self.rx).await;
        self.gone = None;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some((id, gone)) = self.gone.take() {
            gone.send(Message::Gone(id));
        }
    }
}

/// The duty to tell how an attempt ended. Dropped untold, it counts as broken: it may have run.
#[derive(Debug)]
pub struct Report {
    to: Option<(RequestId, Attempt, OwnedPermit<Message>)>,
}

impl Report {
    pub(super) fn new(id: RequestId, number: Attempt, place: OwnedPermit<Message>) -> Report {
        Report { to: Some((id, number, place)) }
    }

    pub fn tell(mut self, reply: Reply) {
        self.send(reply);
    }

    /// Nothing was sent, and the core knows.
    pub(super) fn forget(mut self) {
        self.to = None;
    }

    fn send(&mut self, reply: Reply) {
        if let Some((id, number, place)) = self.to.take() {
            place.send(Message::Ended { id, number, reply });
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        self.send(Reply::bare(Outcome::Broken));
    }
}

/// The duty to tell how a probe ended. Dropped untold, it was not sent.
#[derive(Debug)]
pub struct ProbeReport {
    node: NodeId,
    sent: Micros,
    clock: Clock,
    place: Option<OwnedPermit<Message>>,
}

impl ProbeReport {
    pub(super) fn new(node: NodeId, sent: Micros, clock: Clock, place: OwnedPermit<Message>) -> ProbeReport {
        ProbeReport { node, sent, clock, place: Some(place) }
    }

    pub fn tell(mut self, outcome: Outcome, load: Load) {
        self.send(outcome, load);
    }

    fn send(&mut self, outcome: Outcome, load: Load) {
        if let Some(place) = self.place.take() {
            let took = self.clock.now().saturating_sub(self.sent);
            place.send(Message::Probed { node: self.node, outcome, took, load });
        }
    }
}

impl Drop for ProbeReport {
    fn drop(&mut self) {
        self.send(Outcome::NotSent, Load::default());
    }
}
