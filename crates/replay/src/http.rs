//! Client of the HTTP front: HTTP/1.1 with one request at a time on a connection. Connections are kept open,
//! and more are opened when all are in use.

use crate::drive::{Outgoing, Transport};
use crate::plan::AttemptOutcome;
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use rowanglade_http_exchange::{CompleteResponse, ConnectionPool, ExchangeError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Upper limit of a request or response body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Initiators close idle connections after 2 s, so connections that were idle for longer than this are not
/// reused.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connections to several initiators, shared by all simulated clients.
#[derive(Clone, Debug)]
pub struct Http {
    initiators: Vec<SocketAddr>,
    connections: ConnectionPool,
    body: Bytes,
}

impl Http {
    /// Creates a client that holds at most `max_connections` connections to all initiators together.
    pub fn new(initiators: Vec<SocketAddr>, max_connections: usize) -> Http {
        let connections =
            ConnectionPool::new(max_connections, IDLE_TIMEOUT, Duration::from_secs(60), Duration::ZERO);
        Http { initiators, connections, body: Bytes::from(vec![b'*'; MAX_BODY_BYTES]) }
    }

    /// Polls `GET /up` of an initiator until it responds with status 200. Returns false if it has not done so
    /// by the deadline.
    pub async fn wait_until_ready(&self, initiator: usize, deadline: Instant) -> bool {
        let Some(addr) = self.initiators.get(initiator).copied() else { return false };
        let poll = async {
            loop {
                if let Ok(mut connection) = self.connections.check_out(addr, CONNECT_TIMEOUT).await {
                    let response = connection.exchange(request_head("/up", addr), None, MAX_BODY_BYTES).await;
                    if response.is_ok_and(|r| r.status == StatusCode::OK) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout_at(deadline, poll).await.is_ok()
    }
}

fn request_head(path: &str, addr: SocketAddr) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = Uri::try_from(path).unwrap_or_default();
    insert_header(&mut head.headers, HOST, addr.to_string());
    head
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: String) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.insert(name, value);
    }
}

fn encode_head(outgoing: &Outgoing, addr: SocketAddr) -> RequestHead {
    let Outgoing { class, record, .. } = outgoing;
    let mut head =
        request_head(&format!("/{}/{:016x}/{:016x}", class.name, record.volume, record.piece), addr);
    head.method = if class.write { Method::PUT } else { Method::GET };
    let left = outgoing.deadline.saturating_duration_since(Instant::now()).as_millis();
    let shard = record.shard.map_or("-1".to_string(), |s| s.to_string());
    let headers = &mut head.headers;
    let mut set = |name: &'static str, value| insert_header(headers, HeaderName::from_static(name), value);
    set("x-correlation-id", format!("{:016x}", outgoing.id));
    set("x-service-class", class.name.clone());
    set("x-qos-policy", outgoing.plan.clone());
    set("x-time-left-ms", left.to_string());
    set("x-placement", format!("units={},shard={shard},hosts={}", record.units, record.hosts));
    if let Some(key) = record.key {
        set("idempotency-key", format!("{key:016x}"));
    }
    if outgoing.is_retry {
        set("x-repeat", "1".into());
    }
    head
}

/// The outcome that a response stands for, by its status and `Retry-After` header.
fn outcome(response: &CompleteResponse) -> AttemptOutcome {
    match response.status {
        StatusCode::OK => AttemptOutcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let retry_after = response.headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok());
            let seconds = retry_after.and_then(|v| v.trim().parse::<f64>().ok());
            let seconds = seconds.filter(|s| s.is_finite() && (0.0..3_600.0).contains(s)).unwrap_or(0.0);
            AttemptOutcome::Refused { retry_after: (seconds * 1e6) as u64 }
        }
        _ => AttemptOutcome::Failed,
    }
}

impl Transport for Http {
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, AttemptOutcome> {
        let this = self.clone();
        Box::pin(async move {
            let Some(addr) = this.initiators.get(initiator).copied() else {
                return AttemptOutcome::Unreachable;
            };
            let body = outgoing
                .class
                .write
                .then(|| this.body.slice(..(outgoing.record.bytes as usize).clamp(1, MAX_BODY_BYTES)));
            let exchange = async {
                loop {
                    let Ok(mut connection) = this.connections.check_out(addr, CONNECT_TIMEOUT).await else {
                        return AttemptOutcome::Unreachable;
                    };
                    let unused = connection.is_unused();
                    match connection
                        .exchange(encode_head(&outgoing, addr), body.as_ref(), MAX_BODY_BYTES)
                        .await
                    {
                        Ok(response) => {
                            this.connections.check_in(connection);
                            return outcome(&response);
                        }
                        // The initiator closed the idle connection while the request was sent: it is sent
                        // again on another.
                        Err(ExchangeError::NotWritten | ExchangeError::NoResponse) if !unused => {}
                        Err(ExchangeError::NotWritten) => return AttemptOutcome::Unreachable,
                        Err(ExchangeError::NoResponse | ExchangeError::Broken) => {
                            return AttemptOutcome::Lost;
                        }
                    }
                }
            };
            timeout_at(outgoing.deadline, exchange).await.unwrap_or(AttemptOutcome::Lost)
        })
    }
}
