//! The platform's front: HTTP/1.1, one request at a time on a connection, connections kept and more opened
//! when all are busy.

use crate::drive::{Outgoing, Transport};
use crate::plan::End;
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use rowanglade_http_exchange::{CompleteResponse, ConnectionPool, ExchangeError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The most that a body holds.
const LARGEST_BODY: usize = 64 << 10;
/// A connection may take this long to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Initiators close idle connections after two seconds; one that stood longer than this is not used again.
const IDLE: Duration = Duration::from_millis(1_500);

/// Clients of several initiators.
#[derive(Clone, Debug)]
pub struct Http {
    initiators: Vec<SocketAddr>,
    connections: ConnectionPool,
    body: Bytes,
}

impl Http {
    /// Clients that hold `most` connections together at most.
    pub fn new(initiators: Vec<SocketAddr>, most: usize) -> Http {
        let connections = ConnectionPool::new(most, IDLE, Duration::from_secs(60), Duration::ZERO);
        Http { initiators, connections, body: Bytes::from(vec![b'*'; LARGEST_BODY]) }
    }

    /// Asks an initiator whether it can serve, until it can or the time is over.
    pub async fn ready(&self, initiator: usize, until: Instant) -> bool {
        let Some(addr) = self.initiators.get(initiator).copied() else { return false };
        let ask = async {
            loop {
                if let Ok(mut connection) = self.connections.check_out(addr, CONNECT).await {
                    let answered = connection.exchange(head("/up", addr), None, LARGEST_BODY).await;
                    if answered.is_ok_and(|a| a.status == StatusCode::OK) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout_at(until, ask).await.is_ok()
    }
}

fn head(path: &str, addr: SocketAddr) -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = Uri::try_from(path).unwrap_or_default();
    put(&mut head.headers, HOST, addr.to_string());
    head
}

fn put(headers: &mut HeaderMap, name: HeaderName, value: String) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.insert(name, value);
    }
}

fn encode(outgoing: &Outgoing, addr: SocketAddr) -> RequestHead {
    let Outgoing { class, record, .. } = outgoing;
    let mut head = head(&format!("/{}/{:016x}/{:016x}", class.name, record.volume, record.piece), addr);
    head.method = if class.write { Method::PUT } else { Method::GET };
    let left = outgoing.until.saturating_duration_since(Instant::now()).as_millis();
    let shard = record.shard.map_or("-1".to_string(), |s| s.to_string());
    let headers = &mut head.headers;
    let mut set = |name: &'static str, value| put(headers, HeaderName::from_static(name), value);
    set("x-correlation-id", format!("{:016x}", outgoing.id));
    set("x-service-class", class.name.clone());
    set("x-qos-policy", outgoing.plan.clone());
    set("x-time-left-ms", left.to_string());
    set("x-placement", format!("units={},shard={shard},hosts={}", record.units, record.hosts));
    if let Some(key) = record.key {
        set("idempotency-key", format!("{key:016x}"));
    }
    if outgoing.again {
        set("x-repeat", "1".into());
    }
    head
}

/// What an answer says (the protocol's table of answers).
fn end(answered: &CompleteResponse) -> End {
    match answered.status {
        StatusCode::OK => End::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let retry_after = answered.headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok());
            let seconds = retry_after.and_then(|v| v.trim().parse::<f64>().ok());
            let seconds = seconds.filter(|s| s.is_finite() && (0.0..3_600.0).contains(s)).unwrap_or(0.0);
            End::Refused { wait: (seconds * 1e6) as u64 }
        }
        _ => End::Failed,
    }
}

impl Transport for Http {
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, End> {
        let this = self.clone();
        Box::pin(async move {
            let Some(addr) = this.initiators.get(initiator).copied() else { return End::Unreachable };
            let body = outgoing
                .class
                .write
                .then(|| this.body.slice(..(outgoing.record.bytes as usize).clamp(1, LARGEST_BODY)));
            let exchange = async {
                loop {
                    let Ok(mut connection) = this.connections.check_out(addr, CONNECT).await else {
                        return End::Unreachable;
                    };
                    let fresh = connection.is_unused();
                    match connection.exchange(encode(&outgoing, addr), body.as_ref(), LARGEST_BODY).await {
                        Ok(answered) => {
                            this.connections.check_in(connection);
                            return end(&answered);
                        }
                        // Closed for its idleness just as the request went: it goes again on another.
                        Err(ExchangeError::NotWritten | ExchangeError::NoResponse) if !fresh => {}
                        Err(ExchangeError::NotWritten) => return End::Unreachable,
                        Err(ExchangeError::NoResponse | ExchangeError::Broken) => return End::Lost,
                    }
                }
            };
            timeout_at(outgoing.until, exchange).await.unwrap_or(End::Lost)
        })
    }
}
