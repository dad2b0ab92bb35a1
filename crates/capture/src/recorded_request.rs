//! A request as its source recorded it, before the mapping determines which store request it stands for.

use std::borrow::Cow;
use std::net::IpAddr;

/// A recorded request and its response.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest<'a> {
    /// The recorded time, in microseconds of Unix time.
    pub at: i64,
    /// Whether the source records times in whole seconds only.
    pub whole_second: bool,
    /// The HTTP method.
    pub method: Cow<'a, str>,
    /// The path, without the query.
    pub path: Cow<'a, str>,
    /// The query, without the question mark; absent if the URL has none.
    pub query: Option<Cow<'a, str>>,
    /// The address of the client; absent if the source doesn't record it.
    pub client: Option<IpAddr>,
    /// The HTTP status of the response; 0 if there was none.
    pub status: u16,
    /// Bytes of the request's body; 0 if the source doesn't record them.
    pub sent: u64,
    /// Bytes of the response's body; 0 if the source doesn't record them.
    pub received: u64,
    /// Time from the request to the response, in microseconds; absent if the source doesn't record it.
    pub took: Option<u64>,
    /// The idempotency key; absent if the source doesn't record it.
    pub key: Option<Cow<'a, str>>,
    /// The further fields of the daemon's own access log; absent for other sources.
    pub logged: Option<LoggedFields<'a>>,
}

/// The fields that only the daemon's own access log has.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedFields<'a> {
    /// The name of the request class.
    pub class: Cow<'a, str>,
    /// The name of the QoS plan; absent if the request had none.
    pub plan: Option<Cow<'a, str>>,
    /// The number of the volume.
    pub volume: u64,
    /// The number of the object.
    pub piece: u64,
    /// The size of the request, in units.
    pub units: f64,
    /// The shard of the object; absent if the request created a new object.
    pub shard: Option<u32>,
    /// How many initiators sent requests for the volume.
    pub hosts: u32,
    /// Time until the client's deadline when the request arrived, in milliseconds.
    pub deadline_ms: u32,
}

impl RecordedRequest<'_> {
    /// Bytes that the request transferred: those of the larger of its two bodies.
    pub fn bytes(&self) -> u64 {
        self.sent.max(self.received)
    }

    /// Whether the request had no response, or one with an error status.
    pub fn failed(&self) -> bool {
        self.status >= 400 || self.status == 0
    }
}
