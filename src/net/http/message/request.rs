//! Decodes clients' requests.

use super::{CLASS, IDEMPOTENCY_KEY, PLACEMENT, PLAN, REQUEST_ID, TIME_LEFT_MS, header_number, header_text};
use crate::core::{Protocol, Request, RequestOrigin};
use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// Far above the size of any request; a larger one would exceed the range of the scheduler's times.
const MAX_UNITS: f64 = 1e6;
/// Far above the number of initiators of any fleet.
const MAX_INITIATORS: u32 = 65_536;
/// Number of hex digits of a volume or an object in a path.
const HEX_DIGITS: usize = 16;
/// Shard number that stands for an object that does not exist yet.
const NO_SHARD: i64 = -1;

/// A request that cannot be decoded. Holds the part that is missing or invalid: a header, or a part of the
/// path.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("missing or invalid {0}")]
pub struct MalformedRequest(pub &'static str);

/// Decodes a client's request, without its body.
///
/// # Errors
/// A part of the request is missing or invalid.
pub fn decode_request(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    client: Option<SocketAddr>,
) -> Result<Request, MalformedRequest> {
    let write = match *method {
        Method::GET => false,
        Method::PUT => true,
        _ => return Err(MalformedRequest("method")),
    };
    let (class, volume, object) = split_path(uri.path())?;
    if header_text(headers, &CLASS) != Some(class) {
        return Err(MalformedRequest("x-service-class"));
    }
    let placement = header_text(headers, &PLACEMENT).ok_or(MalformedRequest("x-placement"))?;
    let placement = Placement::parse(placement)?;
    let id = header_text(headers, &REQUEST_ID).filter(|id| !id.is_empty());
    let id = id.ok_or(MalformedRequest("x-correlation-id"))?;
    let time_left = header_number(headers, &TIME_LEFT_MS).ok_or(MalformedRequest("x-time-left-ms"))?;
    let plan = header_text(headers, &PLAN).ok_or(MalformedRequest("x-qos-policy"))?;
    Ok(Request {
        origin: RequestOrigin {
            front: Protocol::Http,
            client: client.map(|client| client.ip()),
            connection: client.map(|client| client.port()),
        },
        id: id.to_string(),
        class: class.to_string(),
        plan: Some(plan.to_string()),
        write,
        volume: parse_hex(volume, "volume")?,
        object: parse_hex(object, "piece")?,
        locator: uri.path_and_query().map_or(uri.path(), |path| path.as_str()).to_string(),
        idempotency_key: header_text(headers, &IDEMPOTENCY_KEY).map(str::to_string),
        units: placement.units,
        shard: placement.shard,
        initiators: placement.initiators,
        length: 0,
        body: Bytes::new(),
        body_rest: None,
        time_left: Duration::from_millis(time_left),
    })
}

/// The class, volume and object of `/CLASS/VOLUME/OBJECT`.
fn split_path(path: &str) -> Result<(&str, &str, &str), MalformedRequest> {
    let mut parts = path.split('/').skip(1);
    match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(class), Some(volume), Some(object), None) if !class.is_empty() => Ok((class, volume, object)),
        _ => Err(MalformedRequest("path")),
    }
}

fn parse_hex(digits: &str, part: &'static str) -> Result<u64, MalformedRequest> {
    if digits.len() != HEX_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(MalformedRequest(part));
    }
    u64::from_str_radix(digits, 16).map_err(|_| MalformedRequest(part))
}

/// The `x-placement` header: a request's size, the shard of its object, and how many initiators share its
/// volume.
struct Placement {
    units: f64,
    /// `None`: the object is new.
    shard: Option<u32>,
    initiators: u32,
}

impl Placement {
    /// Parses `units=2,shard=5,hosts=3`. Parts with other names are ignored.
    fn parse(text: &str) -> Result<Placement, MalformedRequest> {
        const MALFORMED: MalformedRequest = MalformedRequest("x-placement");
        let mut units = None;
        let mut shard = None;
        let mut initiators = 0;
        for (name, value) in text.split(',').filter_map(|part| part.split_once('=')) {
            let value = value.trim();
            match name.trim() {
                "units" => units = value.parse().ok().filter(|units| *units > 0.0 && *units <= MAX_UNITS),
                "shard" => shard = value.parse::<i64>().ok(),
                "hosts" => {
                    let count = value.parse().ok().filter(|count| *count <= MAX_INITIATORS);
                    initiators = count.ok_or(MALFORMED)?;
                }
                _ => {}
            }
        }
        let units = units.ok_or(MALFORMED)?;
        let shard = match shard.ok_or(MALFORMED)? {
            NO_SHARD => None,
            shard => Some(u32::try_from(shard).map_err(|_| MALFORMED)?),
        };
        Ok(Placement { units, shard, initiators })
    }
}
