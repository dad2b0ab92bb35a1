//! Requests and responses in the core, in no wire's words.

use crate::core::body::{ResponseBody, Upload};
use crate::core::endpoint::Protocol;
use crate::interface::{LoadReport, Outcome};
use bytes::Bytes;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Through which front a request came, and from where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The front's protocol.
    pub front: Protocol,
    /// The client's address; absent: not known.
    pub client: Option<IpAddr>,
    /// The client's port, which tells its connections apart in the log.
    pub connection: Option<u16>,
}

/// A client's request. A front decodes it once; a target encodes it once.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where it came from.
    pub origin: RequestOrigin,
    /// The client's own name for it.
    pub id: String,
    /// The name of its request class.
    pub class: String,
    /// The name of its QoS plan; absent: none.
    pub plan: Option<String>,
    /// Whether it writes.
    pub write: bool,
    /// The volume that it reads or writes.
    pub volume: u64,
    /// The object that it reads or writes.
    pub object: u64,
    /// What a client of a hierarchical wire called the object; it reaches a target unchanged.
    pub locator: String,
    /// The key by which targets drop a repeat.
    pub idempotency_key: Option<String>,
    /// Its size, as the platform counts it.
    pub units: f64,
    /// The shard that has the object; absent: a new object.
    pub shard: Option<u32>,
    /// Through how many initiators the volume's requests come. 0: not known.
    pub initiators: u32,
    /// The bytes that a read asks for. 0: not known.
    pub length: u32,
    /// All of its body, or the first bytes of a long one.
    pub body: Bytes,
    /// The rest of a long body, which is streamed.
    pub body_rest: Option<Rc<Upload>>,
    /// How long the client waits, from now, or from the last byte of a long body.
    pub time_left: Duration,
}

/// The one final response.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// What a target made for it.
    Served(ResponseBody),
    /// It had no effect. Sending it again does no harm.
    Rejected {
        /// How long the client should wait before that.
        retry_after: Duration,
    },
    /// The same, since the site that has its data is lost.
    SiteUnavailable {
        /// The site's name.
        site: Rc<str>,
        /// How long the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// It may have had an effect.
    Failed,
}

impl Response {
    /// Its kind, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Response::Served(_) => "served",
            Response::Rejected { .. } => "rejected",
            Response::SiteUnavailable { .. } => "site unavailable",
            Response::Failed => "failed",
        }
    }
}

/// How an attempt ended, and what the target's response reported.
#[derive(Debug, PartialEq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Of a served attempt.
    pub body: ResponseBody,
    /// Units served for the volume everywhere in a finished period, as a part of the plan's rate.
    pub used_fraction: Option<f64>,
    /// Units that the shard served for the volume through other initiators.
    pub units_elsewhere: f64,
    /// The target's load.
    pub load: LoadReport,
}

impl AttemptResult {
    /// An end without a response of the target.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: Bytes::new().into(),
            used_fraction: None,
            units_elsewhere: 0.0,
            load: LoadReport::default(),
        }
    }
}
