//! The messages that come to the core.

use crate::core::diagnostics::Step;
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::request::{AttemptResult, Request, Response};
use crate::interface::{AttemptNumber, EndpointUpdateKind, LoadReport, Micros, Outcome, RequestId, TargetId};
use rowanglade_quota_exchange::Peer;
use rowanglade_routing::TargetInfo;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What comes to the core.
#[derive(Debug)]
pub enum Message {
    /// A client's request.
    Submit {
        /// Its number.
        id: RequestId,
        /// What is asked.
        request: Request,
        /// When the front had the request whole.
        arrived: Instant,
        /// Where its one response goes.
        response: oneshot::Sender<Response>,
    },
    /// The client has gone.
    ClientGone(RequestId),
    /// The program is about to end: whatever is open fails.
    Shutdown,
    /// Write a summary of the core's state to the log.
    Status,
    /// Tell which targets are listed.
    ListTargets(oneshot::Sender<Vec<TargetInfo>>),
    /// A datagram of the quota exchange came from a peer.
    QuotaDatagram(Peer, rowanglade_quota_exchange::Message),
    /// An attempt has begun to send the streamed part of a request's body: the request cannot be sent again,
    /// and the attempt lasts as long as its client takes.
    BodyStarted {
        /// The attempt's request.
        id: RequestId,
        /// The attempt.
        number: AttemptNumber,
    },
    /// An attempt's connection is up: whether its first byte may go out.
    MayStart {
        /// The attempt's request.
        id: RequestId,
        /// The attempt.
        number: AttemptNumber,
        /// Where the answer goes.
        answer: oneshot::Sender<bool>,
    },
    /// The head of an attempt's response has come.
    ResponseStarted {
        /// The attempt's request.
        id: RequestId,
        /// The attempt.
        number: AttemptNumber,
    },
    /// An attempt has its outcome.
    AttemptEnded {
        /// The attempt's request.
        id: RequestId,
        /// The attempt.
        number: AttemptNumber,
        /// How it ended.
        result: AttemptResult,
    },
    /// A probe has its outcome.
    ProbeEnded {
        /// The target that was probed.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Microseconds since it was sent.
        elapsed: Micros,
        /// The load that the target reported.
        load: LoadReport,
    },
    /// Peers report that these targets drain. The next update from discovery overrides it.
    PeersReportDraining(Vec<String>),
    /// A list, or a part of one, has come.
    EndpointsChanged {
        /// Which list: each protocol has its own.
        protocol: Protocol,
        /// What kind of update it is.
        kind: EndpointUpdateKind,
        /// Its entries, or the part of them that this message carries.
        entries: Vec<Endpoint>,
        /// More of the same update follows.
        more: bool,
        /// When its last byte had come.
        received: Instant,
    },
}

impl Message {
    /// A short endpoint update that has come just now.
    pub fn endpoints(protocol: Protocol, kind: EndpointUpdateKind, entries: Vec<Endpoint>) -> Message {
        Message::EndpointsChanged { protocol, kind, entries, more: false, received: Instant::now() }
    }

    /// What a step of the core that handles it is for.
    pub fn step(&self) -> Step {
        match self {
            Message::Submit { .. } => Step::Submit,
            Message::ClientGone(_) => Step::ClientGone,
            Message::Shutdown => Step::Shutdown,
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
