//! The actor of an HTTP target: every attempt is one exchange on a connection of its own.

use crate::core::{Attempt, Listed, Order, Probe, Reply, TargetMessage};
use crate::interface::Outcome;
use crate::net::http::message::{self, LARGEST_BODY};
use actix_http::RequestHead;
use rowanglade_link::{Answered, Fault, Links};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Attempts that may wait for the actor's turn. The module's bound on units out keeps far below it.
const MAILBOX: usize = 256;

/// What all targets share.
#[derive(Clone, Debug)]
pub struct Pool {
    pub connect_timeout: Duration,
    pub links: Links,
}

/// Starts the actor, which lives as long as its mailbox is held.
pub fn connect(line: &Listed, pool: Pool) -> mpsc::Sender<TargetMessage> {
    let (tx, mut rx) = mpsc::channel(MAILBOX);
    let addr = line.addr;
    actix_rt::spawn(async move {
        while let Some(message) = rx.recv().await {
            match message {
                TargetMessage::Attempt(attempt) => {
                    actix_rt::spawn(run(pool.clone(), addr, attempt));
                }
                TargetMessage::Probe(probe) => {
                    actix_rt::spawn(check(pool.clone(), addr, probe));
                }
                TargetMessage::Rest(true) => pool.links.rest(addr),
                TargetMessage::Rest(false) => pool.links.wake(addr),
            }
        }
        pool.links.wake(addr);
        pool.links.forget(addr);
    });
    tx
}

/// Dropping the exchange closes its connection, which is how an attempt is given up.
async fn run(pool: Pool, addr: SocketAddr, attempt: Attempt) {
    let Attempt { order, until, cancel, report } = attempt;
    let reply = tokio::select! {
        biased;
        reply = exchange(&pool, addr, &order, until) => reply,
        _ = cancel => Reply::bare(Outcome::Cancelled),
        () = tokio::time::sleep_until(until) => {
            // A machine that was cut off leaves its connections open and silent, for good.
            pool.links.forget(addr);
            Reply::bare(Outcome::TimedOut)
        }
    };
    report.tell(reply);
}

async fn exchange(pool: &Pool, addr: SocketAddr, order: &Order, until: Instant) -> Reply {
    let body = order.write.then_some(&order.body);
    let head = || message::request(order, addr, until);
    match ask(pool, addr, head, body).await {
        Ok(answer) => message::reply(answer.status, &answer.headers, answer.body),
        Err(outcome) => Reply::bare(outcome),
    }
}

async fn ask(
    pool: &Pool,
    addr: SocketAddr,
    head: impl FnOnce() -> RequestHead,
    body: Option<&bytes::Bytes>,
) -> Result<Answered, Outcome> {
    let link = pool.links.take(addr, pool.connect_timeout).await;
    let mut link = link.map_err(|error| {
        tracing::debug!(%addr, %error, "no connection");
        Outcome::Unreachable
    })?;
    match link.exchange(head(), body, LARGEST_BODY).await {
        Ok(answer) => {
            pool.links.keep(link);
            Ok(answer)
        }
        Err(Fault::NotWritten) => Err(Outcome::Unreachable),
        Err(Fault::Unheard | Fault::Broken) => Err(Outcome::Broken),
    }
}

/// A shallow probe.
async fn check(pool: Pool, addr: SocketAddr, probe: Probe) {
    let asked = ask(&pool, addr, || message::probe(addr), None);
    let reply = match tokio::time::timeout_at(probe.until, asked).await {
        Ok(Ok(answer)) => message::reply(answer.status, &answer.headers, answer.body),
        Ok(Err(outcome)) => Reply::bare(outcome),
        Err(_) => Reply::bare(Outcome::TimedOut),
    };
    probe.report.tell(reply.outcome, reply.load);
}
