//! A request as some source recorded it, before anything says what it means to the store.

use std::borrow::Cow;
use std::net::IpAddr;

/// One recorded request.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest<'a> {
    /// When it was made, in microseconds of Unix time.
    pub at: i64,
    /// The source tells no more of the time than its second.
    pub whole_second: bool,
    /// The method of HTTP.
    pub method: Cow<'a, str>,
    /// The path, without a query.
    pub path: Cow<'a, str>,
    /// The query, without its question mark.
    pub query: Option<Cow<'a, str>>,
    /// The address of the client.
    pub client: Option<IpAddr>,
    /// 0 where no answer came.
    pub status: u16,
    /// Bytes of the request's body; 0 where the source does not tell.
    pub sent: u64,
    /// Bytes of the answer's body.
    pub received: u64,
    /// How long the answer took, in microseconds, where the source tells.
    pub took: Option<u64>,
    /// The key by which a repeat is known, where the source tells.
    pub key: Option<Cow<'a, str>>,
    /// What the daemon's own log tells beyond that.
    pub logged: Option<LoggedFields<'a>>,
}

/// What the daemon knew of a request that it logged.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedFields<'a> {
    /// The request class.
    pub class: Cow<'a, str>,
    /// The QoS plan.
    pub plan: Option<Cow<'a, str>>,
    /// The volume.
    pub volume: u64,
    /// The object.
    pub piece: u64,
    /// The size of the request.
    pub units: f64,
    /// Absent: a new object.
    pub shard: Option<u32>,
    /// How many initiators its volume came through.
    pub hosts: u32,
    /// How long the client would wait.
    pub deadline_ms: u32,
}

impl RecordedRequest<'_> {
    /// The larger of the two bodies, in bytes: what the request moved.
    pub fn bytes(&self) -> u64 {
        self.sent.max(self.received)
    }

    /// Whether it had no answer, or one that tells of an error.
    pub fn failed(&self) -> bool {
        self.status >= 400 || self.status == 0
    }
}
