//! What passes between the core and its neighbours, in no wire's words.

use crate::core::body::{Content, Upload};
use crate::core::diagnostics::Step;
use crate::interface::{
    AttemptNumber, EndpointUpdateKind, LoadReport, Micros, Outcome, RequestId, TargetId, TargetState,
};
use crate::upgrade::HandoverState;
use bytes::Bytes;
use rowanglade_object_locations::{ObjectKey, Observation};
use rowanglade_quota_exchange::Peer;
use rowanglade_routing::TargetInfo;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Through which front a request came, and from where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    pub front: Protocol,
    /// Absent: not told.
    pub client: Option<IpAddr>,
    /// The client's port, which tells its connections apart in the log.
    pub connection: Option<u16>,
}

/// A client's request. A front decodes it once; a target encodes it once.
#[derive(Clone, Debug)]
pub struct Request {
    pub origin: RequestOrigin,
    /// The client's own name for it.
    pub id: String,
    pub class: String,
    pub plan: Option<String>,
    pub write: bool,
    pub volume: u64,
    /// The piece of data.
    pub object: u64,
    /// What a client of a hierarchical wire called the piece; it reaches a target unchanged.
    pub locator: String,
    /// The key by which targets drop a repeat.
    pub idempotency_key: Option<String>,
    pub units: f64,
    /// Absent: a new object.
    pub shard: Option<u32>,
    /// Through how many initiators the volume's requests come. 0: not told.
    pub initiators: u32,
    /// The bytes that a read asks for. 0: not told.
    pub length: u32,
    /// All of its body, or the first bytes of a long one.
    pub body: Bytes,
    /// The rest of a long body.
    pub more: Option<Rc<Upload>>,
    /// How long the client waits, from now, or from the last byte of a long body.
    pub time_left: Duration,
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// What a target made for it.
    Served(Content),
    /// A new try does no harm, after `wait`.
    Rejected {
        retry_after: Duration,
    },
    /// The same, since the site that has its data is lost.
    SiteUnavailable {
        site: Rc<str>,
        retry_after: Duration,
    },
    Failed,
}

impl Message {
    /// A short list that has come just now.
    pub fn list(protocol: Protocol, kind: EndpointUpdateKind, entries: Vec<Endpoint>) -> Message {
        Message::EndpointsChanged { protocol, kind, entries, more: false, received: Instant::now() }
    }

    /// What a step that takes it is for.
    pub fn step(&self) -> Step {
        match self {
            Message::Submit { .. } => Step::Submit,
            Message::ClientGone(_) => Step::ClientGone,
            Message::Shutdown => Step::End,
            Message::Status | Message::ListTargets(_) => Step::Status,
            Message::Peer(..) => Step::Peer,
            Message::BodyStarted { .. } | Message::MayStart { .. } | Message::ResponseStarted { .. } => {
                Step::AttemptStarts
            }
            Message::AttemptEnded { .. } => Step::AttemptEnds,
            Message::ProbeEnded { .. } => Step::Probe,
            Message::PeersReportDraining(_) => Step::Departures,
            Message::EndpointsChanged { .. } => Step::List,
        }
    }
}

impl Response {
    /// Its kind, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Response::Served(_) => "served",
            Response::Rejected { .. } => "refused",
            Response::SiteUnavailable { .. } => "away",
            Response::Failed => "failed",
        }
    }
}

/// How an attempt ended, and what the target's answer told.
#[derive(Debug, PartialEq)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// Of a served attempt.
    pub body: Content,
    /// Units served for the volume everywhere in a finished period, as a part of the plan's rate.
    pub used: Option<f64>,
    /// Units that the shard served for the volume through other initiators.
    pub elsewhere: f64,
    pub load: LoadReport,
}

impl AttemptResult {
    /// An end without an answer of the target's.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: Bytes::new().into(),
            used: None,
            elsewhere: 0.0,
            load: LoadReport::default(),
        }
    }
}

/// Which protocol a front or a target speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Http,
    Iscsi,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub protocol: Protocol,
    pub addr: SocketAddr,
    pub zone: String,
    /// The kind of machine; empty: not told.
    pub kind: String,
    pub shard: u32,
    pub state: TargetState,
    /// Unix time; absent: long ago.
    pub started: Option<Micros>,
}

/// What operators ask of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminCommand {
    /// It is to be left out.
    Maint(String),
    /// It may serve again.
    Ready(String),
}

/// An operator's call. Its answer comes once what it asks for holds; false: nobody has such a target.
#[derive(Debug)]
pub struct AdminRequest {
    pub call: AdminCommand,
    pub done: oneshot::Sender<bool>,
}

/// What replacing the process asks of the core.
#[derive(Debug)]
pub enum HandoverRequest {
    /// The time, and the list as discovery told it.
    Describe(oneshot::Sender<(Micros, Vec<Endpoint>)>),
    /// To spend nothing that is owned from now on, and to tell all of it.
    Freeze(oneshot::Sender<Box<HandoverState>>),
    /// To spend it again.
    Resume(oneshot::Sender<()>),
    /// To go on from nothing: another had what is owned.
    Restart(oneshot::Sender<()>),
    /// To go on with what another process owned.
    Take(Box<HandoverState>, oneshot::Sender<()>),
    /// An operator's call came to the other process.
    AdminCommand(AdminCommand),
    /// The other process saw where an object is, or is not.
    Seen(ObjectKey, Observation),
}

/// What comes to the core.
#[derive(Debug)]
pub enum Message {
    Submit {
        id: RequestId,
        request: Request,
        /// When the front had the request whole.
        arrived: Instant,
        response: oneshot::Sender<Response>,
    },
    /// The client has gone.
    ClientGone(RequestId),
    /// The program is about to end: whatever is open fails.
    Shutdown,
    /// What the core is at goes to the log.
    Status,
    /// Which boxes are listed.
    ListTargets(oneshot::Sender<Vec<TargetInfo>>),
    /// Another instance said something.
    Peer(Peer, rowanglade_quota_exchange::Message),
    /// An attempt takes the rest of a long body: it cannot be made again, and lasts as long as its client
    /// takes.
    BodyStarted {
        id: RequestId,
        number: AttemptNumber,
    },
    /// An attempt's connection is up: whether its first byte may go out.
    MayStart {
        id: RequestId,
        number: AttemptNumber,
        answer: oneshot::Sender<bool>,
    },
    /// The head of an attempt's answer has come.
    ResponseStarted {
        id: RequestId,
        number: AttemptNumber,
    },
    AttemptEnded {
        id: RequestId,
        number: AttemptNumber,
        result: AttemptResult,
    },
    ProbeEnded {
        target: TargetId,
        outcome: Outcome,
        took: Micros,
        load: LoadReport,
    },
    /// Other instances say that these targets leave. Discovery's next word on them holds again.
    PeersReportDraining(Vec<String>),
    EndpointsChanged {
        protocol: Protocol,
        kind: EndpointUpdateKind,
        entries: Vec<Endpoint>,
        /// More of the same list follows.
        more: bool,
        /// When its last byte had come.
        received: Instant,
    },
}
