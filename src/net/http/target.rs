//! The actor of an HTTP target: every attempt is one exchange on a connection of its own pool.

use crate::core::{Attempt, Listed, Order, Probe, Reply, TargetMessage};
use crate::interface::Outcome;
use crate::net::http::dial;
use crate::net::http::message::{self, ID, LARGEST_BODY, REPEAT_KEY, TIME_LEFT};
use actix_http::Method;
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Attempts that may wait for the actor's turn. The module's bound on units out keeps far below it.
const MAILBOX: usize = 256;

/// Figures of a pool of connections.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    pub connect_timeout: Duration,
    /// A connection idle this long is not used again; the target would close it soon.
    pub idle: Duration,
}

/// Starts the actor, which lives as long as its mailbox is held.
pub fn connect(line: &Listed, pool: Pool) -> mpsc::Sender<TargetMessage> {
    let (tx, mut rx) = mpsc::channel(MAILBOX);
    let addr = line.addr;
    let client = dial::client(addr, pool.connect_timeout, pool.idle);
    actix_rt::spawn(async move {
        while let Some(message) = rx.recv().await {
            match message {
                TargetMessage::Attempt(attempt) => {
                    actix_rt::spawn(run(client.clone(), addr, attempt));
                }
                TargetMessage::Probe(probe) => {
                    actix_rt::spawn(check(client.clone(), addr, probe));
                }
            }
        }
    });
    tx
}

/// Dropping the exchange closes its connection, which is how an attempt is given up.
async fn run(client: Client, addr: SocketAddr, attempt: Attempt) {
    let Attempt { order, until, cancel, report } = attempt;
    let exchange = exchange(&client, addr, &order, until);
    let reply = tokio::select! {
        biased;
        reply = exchange => reply,
        _ = cancel => Reply::bare(Outcome::Cancelled),
        () = tokio::time::sleep_until(until) => Reply::bare(Outcome::TimedOut),
    };
    report.tell(reply);
}

async fn exchange(client: &Client, addr: SocketAddr, order: &Order, until: Instant) -> Reply {
    let method = if order.write { Method::PUT } else { Method::GET };
    let left = until.saturating_duration_since(Instant::now()).as_millis().to_string();
    let mut request = client
        .request(method, format!("http://{addr}{}", order.locator))
        .no_decompress()
        .insert_header((ID, order.id.as_str()))
        .insert_header((TIME_LEFT, left));
    if let Some(key) = &order.repeat_key {
        request = request.insert_header((REPEAT_KEY, key.as_str()));
    }
    let sent = if order.write { request.send_body(order.body.clone()) } else { request.send() };
    match sent.await {
        Ok(mut response) => match response.body().limit(LARGEST_BODY).await {
            Ok(body) => message::reply(response.status(), response.headers(), body),
            Err(_) => Reply::bare(Outcome::Broken),
        },
        Err(e) => Reply::bare(broken(&e)),
    }
}

/// A shallow probe.
async fn check(client: Client, addr: SocketAddr, probe: Probe) {
    let sent = client.get(format!("http://{addr}/alive")).no_decompress().send();
    let reply = match tokio::time::timeout_at(probe.until, sent).await {
        Ok(Ok(response)) => message::reply(response.status(), response.headers(), Default::default()),
        Ok(Err(e)) => Reply::bare(broken(&e)),
        Err(_) => Reply::bare(Outcome::TimedOut),
    };
    probe.report.tell(reply.outcome, reply.load);
}

/// What an exchange without an answer says of the attempt. `Disconnected` is the client's word for a
/// connection that ended after the request was written whole: it may have run.
fn broken(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Broken,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            Outcome::Unreachable
        }
        _ => Outcome::Broken,
    }
}
