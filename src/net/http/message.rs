//! The platform's messages: each is decoded once into a value of the core's and encoded once.

use crate::core::{AttemptResult, Protocol, Request, RequestOrigin, Response, ResponseBody};
use crate::interface::{LoadReport, Outcome};
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, RequestHead, Response as HttpResponse, StatusCode, Uri};
use bytes::Bytes;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

/// The most that a body holds.
pub const LARGEST_BODY: u64 = 32 << 20;

const ID: HeaderName = HeaderName::from_static("x-correlation-id");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const REPEAT_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const CLASS: HeaderName = HeaderName::from_static("x-service-class");
const PLAN: HeaderName = HeaderName::from_static("x-qos-policy");
const PLACEMENT: HeaderName = HeaderName::from_static("x-placement");
const NOT_RUN: HeaderName = HeaderName::from_static("x-unprocessed");
const REASON: HeaderName = HeaderName::from_static("x-refused");
const USED: HeaderName = HeaderName::from_static("x-iops-used");
const ELSEWHERE: HeaderName = HeaderName::from_static("x-rho");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Far above any request's size and any fleet: what is larger would leave the range of the module's times.
const MOST_UNITS: f64 = 1e6;
const MOST_HOSTS: u32 = 65_536;

/// Far above any load, any use in percent of a plan's rate, and any units served between two answers.
const MOST_TOLD: f64 = 1e5;

/// What is wrong with a request, by its part.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// The one value of a header; what comes twice says nothing.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name);
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

fn number<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name).and_then(|t| t.parse().ok())
}

/// A client's request, without its body.
pub fn decode(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    client: Option<SocketAddr>,
) -> Result<Request, Malformed> {
    let write = match *method {
        Method::GET => false,
        Method::PUT => true,
        _ => return Err(Malformed("method")),
    };
    let mut parts = uri.path().split('/').skip(1);
    let (class, volume, piece) = match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(class), Some(volume), Some(piece), None) if !class.is_empty() => (class, volume, piece),
        _ => return Err(Malformed("path")),
    };
    if text(headers, &CLASS) != Some(class) {
        return Err(Malformed("x-service-class"));
    }
    let hex = |part: &str, name| {
        let digits = part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
        digits.then(|| u64::from_str_radix(part, 16).ok()).flatten().ok_or(Malformed(name))
    };
    let (units, shard, hosts) = placement(text(headers, &PLACEMENT).ok_or(Malformed("x-placement"))?)?;
    let id = text(headers, &ID).filter(|id| !id.is_empty()).ok_or(Malformed("x-correlation-id"))?;
    let time_left = number(headers, &TIME_LEFT).ok_or(Malformed("x-time-left-ms"))?;
    Ok(Request {
        origin: RequestOrigin {
            front: Protocol::Http,
            client: client.map(|client| client.ip()),
            connection: client.map(|client| client.port()),
        },
        id: id.to_string(),
        class: class.to_string(),
        plan: Some(text(headers, &PLAN).ok_or(Malformed("x-qos-policy"))?.to_string()),
        write,
        volume: hex(volume, "volume")?,
        object: hex(piece, "piece")?,
        locator: uri.path_and_query().map_or(uri.path(), |p| p.as_str()).to_string(),
        idempotency_key: text(headers, &REPEAT_KEY).map(str::to_string),
        units,
        shard,
        initiators: hosts,
        length: 0,
        body: Bytes::new(),
        body_rest: None,
        time_left: Duration::from_millis(time_left),
    })
}

/// `units=2,shard=5,hosts=3`. A part of another name is passed over.
fn placement(text: &str) -> Result<(f64, Option<u32>, u32), Malformed> {
    let (mut units, mut shard, mut hosts) = (None, None, 0);
    for (name, value) in text.split(',').filter_map(|part| part.split_once('=')) {
        let value = value.trim();
        match name.trim() {
            "units" => units = value.parse().ok().filter(|u: &f64| *u > 0.0 && *u <= MOST_UNITS),
            "shard" => shard = value.parse::<i64>().ok(),
            "hosts" => {
                let told = value.parse().ok().filter(|hosts| *hosts <= MOST_HOSTS);
                hosts = told.ok_or(Malformed("x-placement"))?;
            }
            _ => {}
        }
    }
    match (units, shard) {
        (Some(units), Some(-1)) => Ok((units, None, hosts)),
        (Some(units), Some(shard)) => {
            Ok((units, Some(u32::try_from(shard).map_err(|_| Malformed("x-placement"))?), hosts))
        }
        _ => Err(Malformed("x-placement")),
    }
}

/// The final answer to a client.
pub fn encode(answer: Response) -> HttpResponse<ResponseBody> {
    match answer {
        Response::Served(content) => HttpResponse::with_body(StatusCode::OK, content),
        Response::Rejected { retry_after } => refused(retry_after),
        Response::SiteUnavailable { site, retry_after } => {
            let mut response = refused(retry_after);
            if let Ok(value) = HeaderValue::from_str(&format!("site {site} is lost")) {
                response.headers_mut().insert(REASON, value);
            }
            response
        }
        Response::Failed => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refused(wait: Duration) -> HttpResponse<ResponseBody> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    if !wait.is_zero() {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// An answer without a body.
pub fn status(code: StatusCode) -> HttpResponse<ResponseBody> {
    HttpResponse::with_body(code, Bytes::new().into())
}

/// A request to a target.
pub fn request_head(request: &Request, addr: SocketAddr, until: Instant) -> RequestHead {
    let left = until.saturating_duration_since(Instant::now()).as_millis().to_string();
    let mut head = head(&request.locator, addr);
    head.method = if request.write { Method::PUT } else { Method::GET };
    // What came as a header's text, or is made of digits, is fit for a header.
    let told =
        [(ID, Some(&request.id)), (REPEAT_KEY, request.idempotency_key.as_ref()), (TIME_LEFT, Some(&left))];
    for (name, value) in told {
        if let Some(Ok(value)) = value.map(|v| HeaderValue::from_str(v)) {
            head.headers.insert(name, value);
        }
    }
    head
}

/// A shallow probe of a target.
pub fn probe(addr: SocketAddr) -> RequestHead {
    head("/alive", addr)
}

fn head(path: &str, addr: SocketAddr) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = Uri::try_from(path).unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        head.headers.insert(HOST, host);
    }
    head
}

/// What a target's answer says of the outcome, and tells beside it.
pub fn reply(code: StatusCode, headers: &HeaderMap, body: ResponseBody) -> AttemptResult {
    let unseen = matches!(code, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && text(headers, &NOT_RUN) == Some("1");
    let outcome = match code {
        StatusCode::OK => Outcome::Served,
        StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::DeadlineExceeded,
        _ if unseen => Outcome::QueueFull,
        _ => Outcome::Error,
    };
    AttemptResult {
        outcome,
        body: if outcome == Outcome::Served { body } else { Bytes::new().into() },
        used: number::<f64>(headers, &USED).filter(likely).map(|u| u / 100.0),
        elsewhere: number::<f64>(headers, &ELSEWHERE).filter(likely).unwrap_or(0.0),
        load: text(headers, &LOAD).map(load).unwrap_or_default(),
    }
}

/// Whether a figure could be meant. One that cannot must neither spoil its answer nor move an estimate.
fn likely(figure: &f64) -> bool {
    (0.0..=MOST_TOLD).contains(figure)
}

/// `TEXT inflight=7, queue=2, util=0.61`
pub fn load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    let pairs = text.trim().trim_start_matches("TEXT").split(',').filter_map(|p| p.split_once('='));
    for (name, value) in pairs {
        let Some(value) = value.trim().parse::<f64>().ok().filter(likely) else {
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
