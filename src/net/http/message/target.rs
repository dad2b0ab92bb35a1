//! Encodes requests to targets, and decodes their responses.

use super::{
    IDEMPOTENCY_KEY, LOAD_REPORT, NOT_EXECUTED, REQUEST_ID, TIME_LEFT_MS, USED_ELSEWHERE, USED_PERCENT,
    header_number, header_text,
};
use crate::core::{AttemptResult, Request, ResponseBody};
use crate::interface::{LoadReport, Outcome};
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The path of a shallow probe.
const PROBE_PATH: &str = "/alive";
/// Largest plausible load, use in percent of a plan's rate, or units served between two responses.
const MAX_PLAUSIBLE_FIGURE: f64 = 1e5;
/// Value of a header by which a target promises something.
const YES: &str = "1";

/// The head of a request to a target. The head declares the time left until `until`, the end of the attempt.
pub fn request_head(request: &Request, addr: SocketAddr, until: Instant) -> RequestHead {
    let time_left = until.saturating_duration_since(Instant::now()).as_millis().to_string();
    let mut head = head(&request.locator, addr);
    head.method = if request.write { Method::PUT } else { Method::GET };
    let headers = [
        (REQUEST_ID, Some(&request.id)),
        (IDEMPOTENCY_KEY, request.idempotency_key.as_ref()),
        (TIME_LEFT_MS, Some(&time_left)),
    ];
    for (name, value) in headers {
        // These values were header values of the client's request, or consist of digits, so they are valid.
        if let Some(Ok(value)) = value.map(|value| HeaderValue::from_str(value)) {
            head.headers.insert(name, value);
        }
    }
    head
}

/// The head of a shallow probe of a target.
pub fn probe_head(addr: SocketAddr) -> RequestHead {
    head(PROBE_PATH, addr)
}

fn head(path: &str, addr: SocketAddr) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = Uri::try_from(path).unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        head.headers.insert(HOST, host);
    }
    head
}

/// Derives the outcome of an attempt, and the figures that a target reports, from its response.
pub fn attempt_result(code: StatusCode, headers: &HeaderMap, body: ResponseBody) -> AttemptResult {
    let outcome = outcome(code, headers);
    AttemptResult {
        outcome,
        body: if outcome == Outcome::Served { body } else { Bytes::new().into() },
        used_fraction: header_number::<f64>(headers, &USED_PERCENT)
            .filter(is_plausible)
            .map(|used| used / 100.0),
        units_elsewhere: header_number::<f64>(headers, &USED_ELSEWHERE).filter(is_plausible).unwrap_or(0.0),
        load: header_text(headers, &LOAD_REPORT).map(parse_load_report).unwrap_or_default(),
    }
}

fn outcome(code: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_executed = header_text(headers, &NOT_EXECUTED) == Some(YES);
    match code {
        StatusCode::OK => Outcome::Served,
        StatusCode::GATEWAY_TIMEOUT if not_executed => Outcome::DeadlineExceeded,
        StatusCode::SERVICE_UNAVAILABLE if not_executed => Outcome::QueueFull,
        _ => Outcome::Error,
    }
}

/// Whether a figure is in the plausible range. Others are ignored: they neither invalidate the response nor
/// change an estimate.
fn is_plausible(figure: &f64) -> bool {
    (0.0..=MAX_PLAUSIBLE_FIGURE).contains(figure)
}

/// Parses `TEXT inflight=7, queue=2, util=0.61`. Unknown names and implausible figures are ignored.
fn parse_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    let pairs = text.trim().trim_start_matches("TEXT").split(',').filter_map(|pair| pair.split_once('='));
    for (name, value) in pairs {
        let Some(value) = value.trim().parse::<f64>().ok().filter(is_plausible) else {
            continue;
        };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queued = Some(value),
            "latency_ms" => load.service_time = Some((value * 1e3) as u64),
            "util" => load.utilization = Some(value),
            _ => {}
        }
    }
    load
}
