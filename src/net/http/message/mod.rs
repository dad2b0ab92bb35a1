//! Messages of the platform's HTTP protocol. Each is decoded once into a type of the core and encoded once.
//! Only this module maps the platform's header names to this project's terms.

mod request;
mod response;
mod target;

pub use request::decode_request;
pub use response::{empty_response, encode_response};
pub use target::{attempt_result, probe_head, request_head};

use actix_http::header::{HeaderMap, HeaderName};
use std::str::FromStr;

/// Largest body in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-time-left-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const CLASS: HeaderName = HeaderName::from_static("x-service-class");
const PLAN: HeaderName = HeaderName::from_static("x-qos-policy");
const PLACEMENT: HeaderName = HeaderName::from_static("x-placement");
/// Response header by which a target promises that the request had no effect.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-unprocessed");
const REJECTION_REASON: HeaderName = HeaderName::from_static("x-refused");
/// Use of a volume's limit, in percent.
const USED_PERCENT: HeaderName = HeaderName::from_static("x-iops-used");
/// Units that were served to other initiators between two responses.
const USED_ELSEWHERE: HeaderName = HeaderName::from_static("x-rho");
const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");

/// The value of a header; `None` if it is absent, repeated, or not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name);
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

/// The value of a header as a number; `None` also if it cannot be parsed.
fn header_number<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(headers, name).and_then(|text| text.parse().ok())
}
