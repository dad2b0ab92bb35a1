//! Attempts and probes as they are sent to a target's actor, and the reporters that guarantee that the core
//! is notified of the outcome of each.

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

/// An attempt, as sent to its target's actor.
#[derive(Debug)]
pub struct Attempt {
    /// The request to send.
    pub request: Rc<Request>,
    /// When the attempt times out.
    pub until: Instant,
    /// Whether the attempt is given up for a retry if its response begins and then stalls.
    pub gives_up_stalled_response: bool,
    /// Resolves, with a value or an error, when the core cancels the attempt.
    pub cancel: oneshot::Receiver<()>,
    /// Reports the attempt's progress and outcome to the core.
    pub report: AttemptReporter,
}

/// A health check of a target.
#[derive(Debug)]
pub struct Probe {
    /// When the probe times out.
    pub until: Instant,
    /// Reports the probe's outcome to the core.
    pub report: ProbeReporter,
}

/// A message to a target's actor.
#[derive(Debug)]
pub enum TargetMessage {
    /// Send a request.
    Attempt(Box<Attempt>),
    /// Check the target.
    Probe(Probe),
    /// Whether new requests are kept away from the target, by maintenance or because its site is lost. While
    /// suspended, its connections are closed once they are idle.
    SetSuspended(bool),
}

/// Starts the actor of a target and returns its mailbox. The actor ends when the mailbox is dropped.
pub type Connect = Box<dyn Fn(&Endpoint) -> mpsc::Sender<TargetMessage>>;

/// The core mailbox permits that an attempt reserves before it is sent, so that none of its messages is lost
/// to a full mailbox.
#[derive(Debug)]
pub(super) struct AttemptPermits {
    /// For [`Message::MayStart`].
    pub(super) start: OwnedPermit<Message>,
    /// For [`Message::AttemptEnded`].
    pub(super) end: OwnedPermit<Message>,
    /// For [`Message::BodyStarted`]; absent if the request body is not streamed.
    pub(super) body_started: Option<OwnedPermit<Message>>,
    /// For [`Message::ResponseStarted`]. If absent, the core uses the time of the attempt's end instead.
    pub(super) response_started: Option<OwnedPermit<Message>>,
}

/// Reports an attempt's progress and outcome to the core, and asks for permission before its first byte. If
/// dropped without a result, the attempt counts as broken if it had started, since it may have been executed.
#[derive(Debug)]
pub struct AttemptReporter {
    id: RequestId,
    number: AttemptNumber,
    start: RefCell<Option<OwnedPermit<Message>>>,
    body_started: RefCell<Option<OwnedPermit<Message>>>,
    response_started: RefCell<Option<OwnedPermit<Message>>>,
    /// Absent once the outcome has been reported.
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

    /// Asks the core whether the first byte may be sent. Called once, when the attempt has nothing else to
    /// wait for. If false, the attempt ends as not sent.
    pub async fn may_start(&self) -> bool {
        let Some(permit) = self.start.take() else { return false };
        let (answer, allowed) = oneshot::channel();
        permit.send(Message::MayStart { id: self.id, number: self.number, answer });
        allowed.await.unwrap_or(false)
    }

    /// Reports that the head of a response has arrived.
    pub fn response_started(&self) {
        if let Some(permit) = self.response_started.take() {
            permit.send(Message::ResponseStarted { id: self.id, number: self.number });
        }
    }

    /// Reports that the streamed part of the request's body is being sent.
    pub fn body_started(&self) {
        if let Some(permit) = self.body_started.take() {
            permit.send(Message::BodyStarted { id: self.id, number: self.number });
        }
    }

    /// Reports the outcome of the attempt.
    pub fn finish(mut self, result: AttemptResult) {
        self.send(result);
    }

    /// Suppresses the report on drop: nothing was sent, and the core has already recorded that.
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

/// Reports the outcome of a probe. If dropped without one, the probe counts as not sent.
#[derive(Debug)]
pub struct ProbeReporter {
    target: TargetId,
    sent: Micros,
    clock: Clock,
    /// Absent once the outcome has been reported.
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

    /// Reports the outcome of the probe, and the load that the target reported with it.
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
