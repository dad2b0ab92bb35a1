//! The actor of an HTTP target: every attempt is one exchange on a connection of its own.

use crate::core::{
    Attempt, AttemptReporter, AttemptResult, BodyStream, Endpoint, IncompleteBody, MAX_BUFFERED_BODY, Probe,
    Request, ResponseBody, STREAMED_CHUNKS, TargetMessage, Upload, UploadReader,
};
use crate::interface::Outcome;
use crate::net::http::message::{self, LARGEST_BODY};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use rowanglade_http_exchange::{Body, Fault, Link, Links, NoRest, Rest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Attempts that may wait for the actor's turn. The module's bound on units out keeps far below it.
const MAILBOX: usize = 256;
/// A long answer that has begun is its client's: it is given up only after this long without a byte.
const SILENT: Duration = Duration::from_secs(30);

/// What all targets share.
#[derive(Clone, Debug)]
pub struct Pool {
    pub connect_timeout: Duration,
    /// A short answer that has begun goes on within this time, or it will not be whole.
    pub stall: Duration,
    /// What of an answer comes later than this after its head is passed on as it comes, not held.
    pub hold: Duration,
    pub links: Links,
}

/// Starts the actor, which lives as long as its mailbox is held.
pub fn connect(line: &Endpoint, pool: Pool) -> mpsc::Sender<TargetMessage> {
    let (tx, mut rx) = mpsc::channel(MAILBOX);
    let addr = line.addr;
    actix_rt::spawn(async move {
        while let Some(message) = rx.recv().await {
            match message {
                TargetMessage::Attempt(attempt) => {
                    actix_rt::spawn(run(pool.clone(), addr, *attempt));
                }
                TargetMessage::Probe(probe) => {
                    actix_rt::spawn(check(pool.clone(), addr, probe));
                }
                TargetMessage::SetDraining(true) => pool.links.rest(addr),
                TargetMessage::SetDraining(false) => pool.links.wake(addr),
            }
        }
        pool.links.wake(addr);
        pool.links.forget(addr);
    });
    tx
}

/// Dropping the exchange closes its connection, which is how an attempt is given up.
async fn run(pool: Pool, addr: SocketAddr, attempt: Attempt) {
    let Attempt { request, until, cancel, report } = attempt;
    let reply = tokio::select! {
        biased;
        reply = exchange(&pool, addr, &request, until, &report) => reply,
        _ = cancel => AttemptResult::without_response(Outcome::Cancelled),
        () = over(&request, until) => {
            // A machine that was cut off leaves its connections open and silent, for good.
            pool.links.forget(addr);
            AttemptResult::without_response(Outcome::TimedOut)
        }
    };
    report.finish(reply);
}

/// Resolves when an attempt's time is over: once it is, or so long after a long body's last byte.
async fn over(request: &Request, until: Instant) {
    match &request.body_rest {
        None => tokio::time::sleep_until(until).await,
        Some(upload) => tokio::time::sleep_until(upload.completed().await + request.time_left).await,
    }
}

/// The rest of a long body, on its way to the target.
struct Passing<'a> {
    rest: UploadReader<'a>,
    upload: &'a Upload,
    report: &'a AttemptReporter,
}

impl Rest for Passing<'_> {
    async fn next(&mut self) -> Result<Option<Bytes>, rowanglade_http_exchange::Lost> {
        let piece = self.rest.next().await.map_err(|IncompleteBody| rowanglade_http_exchange::Lost);
        if self.upload.is_consumed() {
            self.report.body_started();
        }
        piece
    }
}

async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    request: &Request,
    until: Instant,
    report: &AttemptReporter,
) -> AttemptResult {
    let mut passing = None;
    if let Some(upload) = &request.body_rest {
        // Another attempt has had some of it, which is gone.
        let Some(rest) = upload.reader() else { return AttemptResult::without_response(Outcome::NotSent) };
        passing = Some(Passing { rest, upload, report });
    }
    let body = request.write.then(|| Body {
        held: request.body.clone(),
        rest: passing.as_mut().map(|p| {
            let length = p.upload.length();
            (p, length)
        }),
    });
    let answer = async {
        let mut link = take(pool, addr).await?;
        if !report.may_start().await {
            pool.links.keep(link);
            return Err(Outcome::NotSent);
        }
        let head = link
            .ask(message::request_head(request, addr, until), body, LARGEST_BODY)
            .await
            .map_err(outcome)?;
        report.response_started();
        let content = content(pool, link, &head).await?;
        Ok(message::reply(head.status, &head.headers, content))
    };
    answer.await.unwrap_or_else(AttemptResult::without_response)
}

async fn take(pool: &Pool, addr: SocketAddr) -> Result<Link, Outcome> {
    pool.links.take(addr, pool.connect_timeout).await.map_err(|error| {
        tracing::debug!(%addr, %error, "no connection");
        Outcome::Unreachable
    })
}

fn outcome(fault: Fault) -> Outcome {
    match fault {
        Fault::NotWritten => Outcome::Unreachable,
        Fault::Unheard | Fault::Broken => Outcome::Broken,
    }
}

/// An answer's body: whole, unless it is long.
async fn content(pool: &Pool, mut link: Link, head: &ResponseHead) -> Result<ResponseBody, Outcome> {
    let told =
        head.headers.get(CONTENT_LENGTH).and_then(|l| l.to_str().ok()).and_then(|l| l.trim().parse().ok());
    let long = told.is_some_and(|length: u64| length > MAX_BUFFERED_BODY as u64);
    let mut held = BytesMut::new();
    let until = Instant::now() + pool.hold;
    loop {
        let Some(piece) = link.piece(Some(pool.stall)).await.map_err(outcome)? else {
            pool.links.keep(link);
            return Ok(ResponseBody::Whole(held.freeze()));
        };
        held.extend_from_slice(&piece);
        let long = long || held.len() > MAX_BUFFERED_BODY;
        if long && head.status != StatusCode::OK {
            // Nobody is served it.
            return Ok(ResponseBody::Whole(Bytes::new()));
        }
        // One that is slow to come could not be tried for again in time, and is no use to its client held.
        // One that stands still may be spoilt.
        if long || (Instant::now() >= until && head.status == StatusCode::OK) {
            return Ok(streamed(pool, link, held, told));
        }
    }
}

/// An answer that its client gets as it comes.
fn streamed(pool: &Pool, link: Link, first: BytesMut, length: Option<u64>) -> ResponseBody {
    let (tx, pieces) = mpsc::channel(STREAMED_CHUNKS);
    actix_rt::spawn(pass(pool.links.clone(), link, first.freeze(), tx));
    ResponseBody::Streamed(BodyStream { length, chunks: pieces })
}

/// Passes a long answer on, no faster than its client takes it. A client that goes takes the connection
/// along.
async fn pass(links: Links, mut link: Link, first: Bytes, to: mpsc::Sender<Result<Bytes, IncompleteBody>>) {
    let mut piece = Ok(Some(first));
    while let Ok(Some(bytes)) = piece {
        if to.send(Ok(bytes)).await.is_err() {
            return;
        }
        piece = tokio::select! {
            piece = link.piece(Some(SILENT)) => piece,
            () = to.closed() => return,
        };
    }
    match piece {
        Ok(_) => links.keep(link),
        Err(_) => drop(to.send(Err(IncompleteBody)).await),
    }
}

/// A shallow probe.
async fn check(pool: Pool, addr: SocketAddr, probe: Probe) {
    let asked = async {
        let mut link = take(&pool, addr).await?;
        let head: RequestHead = message::probe(addr);
        let head =
            link.ask(head, None::<Body<'_, NoRest>>, MAX_BUFFERED_BODY as u64).await.map_err(outcome)?;
        let content = content(&pool, link, &head).await?;
        Ok(message::reply(head.status, &head.headers, content))
    };
    let reply = match tokio::time::timeout_at(probe.until, asked).await {
        Ok(reply) => reply.unwrap_or_else(AttemptResult::without_response),
        Err(_) => AttemptResult::without_response(Outcome::TimedOut),
    };
    probe.report.finish(reply.outcome, reply.load);
}
