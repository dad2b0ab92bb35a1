//! Requests and responses in the core's representation, independent of any wire format.

use crate::core::body::ResponseBody;
use crate::core::endpoint::Protocol;
use crate::core::upload::Upload;
use crate::interface::{LoadReport, Outcome};
use bytes::Bytes;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// The origin of a request: the front, and the client's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The front's protocol.
    pub front: Protocol,
    /// The client's address; absent if not known.
    pub client: Option<IpAddr>,
    /// The client's port, which distinguishes its connections in the log; absent if not known.
    pub connection: Option<u16>,
}

/// A client's request. It is decoded once by a front and encoded once by a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where the request came from.
    pub origin: RequestOrigin,
    /// The id that the client assigned to it.
    pub id: String,
    /// The name of its request class.
    pub class: String,
    /// The name of its QoS plan; absent if it has none.
    pub plan: Option<String>,
    /// Whether the request writes.
    pub write: bool,
    /// The number of the volume that it reads or writes.
    pub volume: u64,
    /// The number of the object that it reads or writes.
    pub object: u64,
    /// The client's name of the object, where the front's protocol is hierarchical; sent to targets
    /// unchanged.
    pub locator: String,
    /// The key by which targets recognize a repeated request.
    pub idempotency_key: Option<String>,
    /// Its size in the platform's units.
    pub units: f64,
    /// The shard that holds the object; absent for a new object.
    pub shard: Option<u32>,
    /// The number of initiators that receive requests for the volume; 0 if not known.
    pub initiators: u32,
    /// The number of bytes that a read requests; 0 if not known.
    pub length: u32,
    /// The entire body, or the first bytes of a long one.
    pub body: Bytes,
    /// The rest of a long body, which is streamed; absent if `body` is entire.
    pub body_rest: Option<Rc<Upload>>,
    /// How long the client waits, counted from now, or from the last byte of a long body.
    pub time_left: Duration,
}

/// The final response to a request.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// A target served the request.
    Served(ResponseBody),
    /// The request had no effect and can be sent again safely.
    Rejected {
        /// How long the client should wait before sending the request again.
        retry_after: Duration,
    },
    /// As [`Rejected`](Self::Rejected), because the site that holds its data is lost.
    SiteUnavailable {
        /// The site's name.
        site: Rc<str>,
        /// How long the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// The request may have had an effect.
    Failed,
}

impl Response {
    /// The name of the variant, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Response::Served(_) => "served",
            Response::Rejected { .. } => "rejected",
            Response::SiteUnavailable { .. } => "site unavailable",
            Response::Failed => "failed",
        }
    }
}

/// The outcome of an attempt, and what the target's response reported.
#[derive(Debug, PartialEq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The response body of a served attempt; empty otherwise.
    pub body: ResponseBody,
    /// Units served for the volume by all targets in a completed period, as a fraction of the plan's rate;
    /// absent if not reported.
    pub used_fraction: Option<f64>,
    /// Units that the shard served for the volume through other initiators.
    pub units_elsewhere: f64,
    /// The load that the target reported.
    pub load: LoadReport,
}

impl AttemptResult {
    /// The result of an attempt that ended without a response from the target.
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
