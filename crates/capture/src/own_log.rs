//! The daemon's own access log: a line of JSON a request, written and read through one type.

use crate::entry_error::EntryError;
use crate::recorded_request::{LoggedFields, RecordedRequest};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::IpAddr;

/// The version of the lines that this program writes.
pub const VERSION: u32 = 1;
/// What every line begins with.
pub const PREFIX: &str = "{\"rowanglade\":";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// It was answered with success.
    Served,
    /// It was rejected, with the promise of no effect.
    Refused,
    /// It failed, and may have run.
    Failed,
    /// Its client went away before its answer.
    Gone,
}

/// A line. Times are microseconds of Unix time, spans say their unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccessLine<'a> {
    /// The version; it stands first, so that a reader knows the file by its first bytes.
    pub rowanglade: u32,
    /// When it came.
    pub at_us: i64,
    /// The protocol that it came by.
    #[serde(borrow)]
    pub front: Cow<'a, str>,
    /// The address of the client.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub client: Option<IpAddr>,
    /// The id of the request.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The request class.
    #[serde(borrow)]
    pub class: Cow<'a, str>,
    /// The QoS plan.
    #[serde(borrow, skip_serializing_if = "Option::is_none", default)]
    pub plan: Option<Cow<'a, str>>,
    /// It is a write.
    pub write: bool,
    /// 16 hex digits.
    #[serde(borrow)]
    pub volume: Cow<'a, str>,
    /// 16 hex digits.
    #[serde(borrow)]
    pub piece: Cow<'a, str>,
    /// The size of the request.
    pub units: f64,
    /// Absent: a new object.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub shard: Option<u32>,
    /// How many initiators its volume comes through.
    pub hosts: u32,
    /// The idempotency key.
    #[serde(borrow, skip_serializing_if = "Option::is_none", default)]
    pub key: Option<Cow<'a, str>>,
    /// How long the client would wait.
    pub left_ms: u64,
    /// Bytes of the request's body.
    pub sent: u64,
    /// How it ended.
    pub end: End,
    /// Bytes of the answer's body.
    pub received: u64,
    /// From its arrival to its end.
    pub took_us: u64,
    /// How long a refused client was asked to wait.
    #[serde(skip_serializing_if = "is_zero", default)]
    pub wait_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// The request of a line; none for an empty one.
///
/// # Errors
/// The line is not one of this version; the error names the key.
pub fn parse(line: &[u8]) -> Result<Option<RecordedRequest<'_>>, EntryError> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let line: AccessLine = serde_json::from_slice(line)?;
    if line.rowanglade != VERSION {
        return Err(EntryError::Version { found: line.rowanglade, expected: VERSION });
    }
    let hex = |key: &'static str, text: &str| {
        let value = u64::from_str_radix(text, 16);
        value.map_err(|source| EntryError::Hexadecimal { key, value: text.to_string(), source })
    };
    let (volume, piece) = (hex("volume", &line.volume)?, hex("piece", &line.piece)?);
    if !(line.units > 0.0 && line.units <= 1e6) {
        return Err(EntryError::Units(line.units));
    }
    Ok(Some(RecordedRequest {
        at: line.at_us,
        whole_second: false,
        method: Cow::Borrowed(if line.write { "PUT" } else { "GET" }),
        path: Cow::Owned(format!("/{}/{volume:016x}/{piece:016x}", line.class)),
        query: None,
        client: line.client,
        status: match line.end {
            End::Served => 200,
            End::Refused => 503,
            End::Failed => 500,
            End::Gone => 0,
        },
        sent: line.sent,
        received: line.received,
        took: Some(line.took_us),
        key: line.key,
        logged: Some(LoggedFields {
            class: line.class,
            plan: line.plan,
            volume,
            piece,
            units: line.units,
            shard: line.shard,
            hosts: line.hosts,
            deadline_ms: u32::try_from(line.left_ms).unwrap_or(u32::MAX),
        }),
    }))
}
