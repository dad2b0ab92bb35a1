//! Attempts and probes on their way to a target's actor, and the reporters that guarantee that the core
//! learns how each of them ended.

use crate::core::clock::Clock;
use crate::core::endpoint::Endpoint;
use crate::core::message::Message;
use crate::core::request::{AttemptResult, Request};
use crate::interface::{AttemptNumber, LoadReport, Micros, Outcome, RequestId, TargetId};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt, as its target's actor gets it.
#[derive(Debug)]
pub struct Attempt {
    /// What to send.
    pub request: Rc<Request>,
    /// When the initiator stops waiting.
    pub until: Instant,
    /// Resolves, or breaks, when the core gives the attempt up.
    pub cancel: oneshot::Receiver<()>,
    /// Must hear of the attempt's start and end.
    pub report: AttemptReporter,
}

/// A health check of a target.
#[derive(Debug)]
pub struct Probe {
    /// When the initiator stops waiting.
    pub until: Instant,
    /// Must hear of the probe's end.
    pub report: ProbeReporter,
}

/// What a target's actor is asked.
#[derive(Debug)]
pub enum TargetMessage {
    /// Send a request.
    Attempt(Box<Attempt>),
    /// Check the target.
    Probe(Probe),
    /// Whether operators or a lost site keep new requests from the target. While they do, its connections end
    /// once they carry nothing.
    SetSuspended(bool),
}

/// Makes the actor of a target, which lives as long as its mailbox is held.
pub type Connect = Box<dyn Fn(&Endpoint) -> mpsc::Sender<TargetMessage>>;

/// The mailbox places that an attempt reserves before it is sent, so that a full mailbox loses none of its
/// messages.
#[derive(Debug)]
pub(super) struct AttemptPermits {
    /// For the question whether its first byte may go out.
    pub(super) start: OwnedPermit<Message>,
    /// For its end.
    pub(super) end: OwnedPermit<Message>,
    /// For the start of a streamed request body.
    pub(super) body_started: Option<OwnedPermit<Message>>,
    /// For the head of its response. Without one the core takes its end for that.
    pub(super) response_started: Option<OwnedPermit<Message>>,
}

/// The duty to ask before an attempt's first byte, and to report how the attempt ended. Dropped without a
/// result, the attempt counts as broken if it had started: it may have run.
#[derive(Debug)]
pub struct AttemptReporter {
    id: RequestId,
    number: AttemptNumber,
    start: RefCell<Option<OwnedPermit<Message>>>,
    body_started: RefCell<Option<OwnedPermit<Message>>>,
    response_started: RefCell<Option<OwnedPermit<Message>>>,
    /// Absent once the end was reported.
    end: Option<OwnedPermit<Message>>,
}

impl AttemptReporter {
    pub(super) fn new(id: RequestId, number: AttemptNumber, permits: AttemptPermits) -> AttemptReporter {
        AttemptReporter {
            id,
            number,
            start: RefCell::new(Some(permits.start)),
            body_started: RefCell::new(permits.body_started),
            response_started: RefCell::new(permits.response_started),
            end: Some(permits.end),
        }
    }

    /// Whether the first byte may go out. It is asked once, when nothing else is left to wait for; false: the
    /// attempt ends as not sent.
    pub async fn may_start(&self) -> bool {
        let Some(permit) = self.start.take() else { return false };
        let (answer, allowed) = oneshot::channel();
        permit.send(Message::MayStart { id: self.id, number: self.number, answer });
        allowed.await.unwrap_or(false)
    }

    /// The head of a response has come.
    pub fn response_started(&self) {
        if let Some(permit) = self.response_started.take() {
            permit.send(Message::ResponseStarted { id: self.id, number: self.number });
        }
    }

    /// The streamed part of the request's body is being sent.
    pub fn body_started(&self) {
        if let Some(permit) = self.body_started.take() {
            permit.send(Message::BodyStarted { id: self.id, number: self.number });
        }
    }

    /// Reports how the attempt ended.
    pub fn finish(mut self, result: AttemptResult) {
        self.send(result);
    }

    /// Nothing was sent, and the core knows.
    pub(super) fn disarm(mut self) {
        self.end = None;
    }

    fn send(&mut self, result: AttemptResult) {
        if let Some(permit) = self.end.take() {
            permit.send(Message::AttemptEnded { id: self.id, number: self.number, result });
        }
    }
}

impl Drop for AttemptReporter {
    fn drop(&mut self) {
        self.send(AttemptResult::without_response(Outcome::Broken));
    }
}

/// The duty to report how a probe ended. Dropped without an outcome, the probe was not sent.
#[derive(Debug)]
pub struct ProbeReporter {
    target: TargetId,
    sent: Micros,
    clock: Clock,
    /// Absent once the end was reported.
    end: Option<OwnedPermit<Message>>,
}

impl ProbeReporter {
    pub(super) fn new(
        target: TargetId,
        sent: Micros,
        clock: Clock,
        end: OwnedPermit<Message>,
    ) -> ProbeReporter {
        ProbeReporter { target, sent, clock, end: Some(end) }
    }

    /// Reports how the probe ended, and the load that the target reported with it.
    pub fn finish(mut self, outcome: Outcome, load: LoadReport) {
        self.send(outcome, load);
    }

    fn send(&mut self, outcome: Outcome, load: LoadReport) {
        if let Some(permit) = self.end.take() {
            let elapsed = self.clock.now().saturating_sub(self.sent);
            permit.send(Message::ProbeEnded { target: self.target, outcome, elapsed, load });
        }
    }
}

impl Drop for ProbeReporter {
    fn drop(&mut self) {
        self.send(Outcome::NotSent, LoadReport::default());
    }
}
