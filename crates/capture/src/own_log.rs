//! The daemon's own access log: one line of JSON per request. The daemon and the import use the same type.

use crate::entry_error::EntryError;
use crate::recorded_request::{LoggedFields, RecordedRequest};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::IpAddr;

/// The version of the lines that this program writes and reads.
pub const VERSION: u32 = 1;
/// The first bytes of each line, by which the format is detected.
pub const PREFIX: &str = "{\"rowanglade\":";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The response was successful.
    Served,
    /// The request was rejected, with the guarantee that it had no effect.
    Refused,
    /// The request failed and may have run.
    Failed,
    /// The client closed its connection before the response.
    Gone,
}

/// A line of the log. Names of fields with durations end in their unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccessLine<'a> {
    /// The version. It is the first field, so that the first bytes of a file identify the format.
    pub rowanglade: u32,
    /// Arrival time of the request, in microseconds of Unix time.
    pub at_us: i64,
    /// The protocol of the front that the request arrived at.
    #[serde(borrow)]
    pub front: Cow<'a, str>,
    /// The address of the client; absent if it has none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub client: Option<IpAddr>,
    /// The id of the request.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The name of the request class.
    #[serde(borrow)]
    pub class: Cow<'a, str>,
    /// The name of the QoS plan; absent if the request has none.
    #[serde(borrow, skip_serializing_if = "Option::is_none", default)]
    pub plan: Option<Cow<'a, str>>,
    /// Whether the request is a write.
    pub write: bool,
    /// The number of the volume, as 16 hex digits.
    #[serde(borrow)]
    pub volume: Cow<'a, str>,
    /// The number of the object, as 16 hex digits.
    #[serde(borrow)]
    pub piece: Cow<'a, str>,
    /// The size of the request, in units.
    pub units: f64,
    /// The shard of the object; absent if the request creates a new object.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub shard: Option<u32>,
    /// How many initiators send requests for the volume.
    pub hosts: u32,
    /// The idempotency key; absent if the request has none.
    #[serde(borrow, skip_serializing_if = "Option::is_none", default)]
    pub key: Option<Cow<'a, str>>,
    /// Time until the client's deadline when the request arrived.
    pub left_ms: u64,
    /// Bytes of the request's body.
    pub sent: u64,
    /// How the request ended.
    pub end: End,
    /// Bytes of the response's body.
    pub received: u64,
    /// Time from the request's arrival to its end.
    pub took_us: u64,
    /// The Retry-After of a rejected request; absent if it has none.
    #[serde(skip_serializing_if = "is_zero", default)]
    pub wait_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Parses a line; `None` for an empty line.
///
/// # Errors
/// The line is not valid or has another version. The error names the key.
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
