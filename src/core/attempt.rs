//! Attempts and probes on their way to a target's actor, and the promises that the core will hear how they
//! ended.

use crate::core::clock::Clock;
use crate::core::message::{AttemptResult, Endpoint, Message, Request};
use crate::interface::{AttemptNumber, LoadReport, Micros, Outcome, RequestId, TargetId};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt, as its target's actor gets it.
#[derive(Debug)]
pub struct Attempt {
    pub request: Rc<Request>,
    /// When the initiator stops waiting.
    pub until: Instant,
    /// Resolves, or breaks, when the core gives the attempt up.
    pub cancel: oneshot::Receiver<()>,
    pub report: Report,
}

/// A check of a target.
#[derive(Debug)]
pub struct Probe {
    pub until: Instant,
    pub report: ProbeReport,
}

/// What a target's actor is asked.
#[derive(Debug)]
pub enum TargetMessage {
    Attempt(Box<Attempt>),
    Probe(Probe),
    /// From now on it is left out, or is not any more. Left out, its connections end once they carry nothing.
    Rest(bool),
}

/// Makes the actor of a target, which lives as long as its mailbox is held.
pub type Connect = Box<dyn Fn(&Endpoint) -> mpsc::Sender<TargetMessage>>;

/// The duty to ask before an attempt's first byte, and to tell how it ended. Dropped untold, it counts as
/// broken if it had started: it may have run.
#[derive(Debug)]
pub struct Report {
    to: Option<(RequestId, AttemptNumber, OwnedPermit<Message>)>,
    /// The place for the question whether it may start.
    start: RefCell<Option<OwnedPermit<Message>>>,
    /// Of a long body: the place for the news that its rest is being taken.
    begun: RefCell<Option<OwnedPermit<Message>>>,
    /// The place for the news that an answer's head has come. Without one the core takes its end for that.
    heard: RefCell<Option<OwnedPermit<Message>>>,
}

impl Report {
    pub(super) fn new(
        id: RequestId,
        number: AttemptNumber,
        start: OwnedPermit<Message>,
        place: OwnedPermit<Message>,
        begun: Option<OwnedPermit<Message>>,
        heard: Option<OwnedPermit<Message>>,
    ) -> Report {
        Report {
            to: Some((id, number, place)),
            start: RefCell::new(Some(start)),
            begun: RefCell::new(begun),
            heard: RefCell::new(heard),
        }
    }

    /// Whether the first byte may go out. It is asked once, when nothing else is left to wait for; false: it
    /// ends as never sent.
    pub async fn may_start(&self) -> bool {
        let (Some((id, number, _)), Some(place)) = (&self.to, self.start.take()) else { return false };
        let (answer, told) = oneshot::channel();
        place.send(Message::MayStart { id: *id, number: *number, answer });
        told.await.unwrap_or(false)
    }

    /// The head of an answer has come.
    pub fn heard(&self) {
        if let (Some((id, number, _)), Some(place)) = (&self.to, self.heard.take()) {
            place.send(Message::ResponseStarted { id: *id, number: *number });
        }
    }

    /// The rest of a long body is being taken.
    pub fn begun(&self) {
        if let (Some((id, number, _)), Some(place)) = (&self.to, self.begun.take()) {
            place.send(Message::BodyStarted { id: *id, number: *number });
        }
    }

    pub fn tell(mut self, reply: AttemptResult) {
        self.send(reply);
    }

    /// Nothing was sent, and the core knows.
    pub(super) fn forget(mut self) {
        self.to = None;
    }

    fn send(&mut self, reply: AttemptResult) {
        if let Some((id, number, place)) = self.to.take() {
            place.send(Message::AttemptEnded { id, number, result: reply });
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        self.send(AttemptResult::without_response(Outcome::Broken));
    }
}

/// The duty to tell how a probe ended. Dropped untold, it was not sent.
#[derive(Debug)]
pub struct ProbeReport {
    node: TargetId,
    sent: Micros,
    clock: Clock,
    place: Option<OwnedPermit<Message>>,
}

impl ProbeReport {
    pub(super) fn new(
        node: TargetId,
        sent: Micros,
        clock: Clock,
        place: OwnedPermit<Message>,
    ) -> ProbeReport {
        ProbeReport { node, sent, clock, place: Some(place) }
    }

    pub fn tell(mut self, outcome: Outcome, load: LoadReport) {
        self.send(outcome, load);
    }

    fn send(&mut self, outcome: Outcome, load: LoadReport) {
        if let Some(place) = self.place.take() {
            let took = self.clock.now().saturating_sub(self.sent);
            place.send(Message::ProbeEnded { target: self.node, outcome, took, load });
        }
    }
}

impl Drop for ProbeReport {
    fn drop(&mut self) {
        self.send(Outcome::NotSent, LoadReport::default());
    }
}
