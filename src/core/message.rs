//! The messages to the core.

use crate::core::diagnostics::Step;
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::request::{AttemptResult, Request, Response};
use crate::interface::{AttemptNumber, EndpointUpdateKind, LoadReport, Micros, Outcome, RequestId, TargetId};
use rowanglade_quota_exchange::Peer;
use rowanglade_routing::TargetInfo;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A message to the core.
#[derive(Debug)]
pub enum Message {
    /// A client's request.
    Submit {
        /// The core's number of the request.
        id: RequestId,
        /// The request as decoded by its front.
        request: Request,
        /// When the front had received the entire request.
        arrived: Instant,
        /// Receives the request's one response.
        response: oneshot::Sender<Response>,
    },
    /// A request's client has disconnected.
    ClientGone(RequestId),
    /// The process is shutting down: each request that is open or still arrives has its response by this time.
    Shutdown {
        /// When the response to each request is due at the latest.
        responses_due: Instant,
    },
    /// Write a summary of the core's state to the log.
    Status,
    /// Return the listed targets.
    ListTargets(oneshot::Sender<Vec<TargetInfo>>),
    /// A datagram of the quota exchange has arrived from a peer.
    QuotaDatagram(Peer, rowanglade_quota_exchange::Message),
    /// An attempt has begun to send the streamed part of a request's body. The request cannot be sent again,
    /// and the attempt's duration depends on the client.
    BodyStarted {
        /// The attempt's request.
        id: RequestId,
        /// The attempt, by its number within the request.
        number: AttemptNumber,
    },
    /// An attempt's connection has been established. The attempt asks whether its first byte may be sent.
    MayStart {
        /// The attempt's request.
        id: RequestId,
        /// The attempt, by its number within the request.
        number: AttemptNumber,
        /// Receives the decision.
        answer: oneshot::Sender<bool>,
    },
    /// The head of an attempt's response has arrived.
    ResponseStarted {
        /// The attempt's request.
        id: RequestId,
        /// The attempt, by its number within the request.
        number: AttemptNumber,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's request.
        id: RequestId,
        /// The attempt, by its number within the request.
        number: AttemptNumber,
        /// The outcome, with the target's response if there is one.
        result: AttemptResult,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The target that was probed.
        target: TargetId,
        /// The probe's outcome.
        outcome: Outcome,
        /// Microseconds since the probe was sent.
        elapsed: Micros,
        /// The load that the target reported.
        load: LoadReport,
    },
    /// Peers report these targets as draining. The next update from discovery overrides this.
    PeersReportDraining(Vec<String>),
    /// An endpoint list, or a part of one, has arrived.
    EndpointsChanged {
        /// Which list: each protocol has its own.
        protocol: Protocol,
        /// What kind of update it is.
        kind: EndpointUpdateKind,
        /// Its entries, or the part of them that this message carries.
        entries: Vec<Endpoint>,
        /// Whether more parts of the same update follow.
        more: bool,
        /// When the update's last byte had arrived.
        received: Instant,
    },
}

impl Message {
    /// An endpoint update in one part that has just arrived.
    pub fn endpoints(protocol: Protocol, kind: EndpointUpdateKind, entries: Vec<Endpoint>) -> Message {
        Message::EndpointsChanged { protocol, kind, entries, more: false, received: Instant::now() }
    }

    /// The kind of the core step that handles this message.
    pub fn step(&self) -> Step {
        match self {
            Message::Submit { .. } => Step::Submit,
            Message::ClientGone(_) => Step::ClientGone,
            Message::Shutdown { .. } => Step::Shutdown,
            Message::Status | Message::ListTargets(_) => Step::Status,
            Message::QuotaDatagram(..) => Step::Peer,
            Message::BodyStarted { .. } | Message::MayStart { .. } | Message::ResponseStarted { .. } => {
                Step::AttemptStarts
            }
            Message::AttemptEnded { .. } => Step::AttemptEnds,
            Message::ProbeEnded { .. } => Step::Probe,
            Message::PeersReportDraining(_) => Step::DrainGossip,
            Message::EndpointsChanged { .. } => Step::Endpoints,
        }
    }
}
