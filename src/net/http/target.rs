//! The actor of an HTTP target: every attempt is one exchange on a connection of its own.

use crate::core::{
    Attempt, AttemptReporter, AttemptResult, Endpoint, IncompleteBody, MAX_BUFFERED_BODY, Probe, Request,
    TargetMessage, Upload, UploadReader,
};
use crate::interface::Outcome;
use crate::net::budget::MemoryBudget;
use crate::net::http::message::{self, MAX_BODY_BYTES};
use crate::net::http::response_stream::{ResponsePatience, read_content};
use bytes::Bytes;
use rowanglade_http_exchange::{
    BodyAborted, BodyStream, Connection, ConnectionPool, EmptyStream, ExchangeError, RequestBody,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Messages that may wait for the actor. The scheduler's concurrency limit keeps the number far below this.
const MAILBOX_CAPACITY: usize = 256;

/// How long an attempt waits for its client's next bytes until it occupies no capacity of its target any more: the target
/// has nothing to do for it.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(50);

/// What the actors of all HTTP targets share.
#[derive(Clone, Debug)]
pub struct TargetTransport {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// Longest wait for the next bytes of a buffered response, after which it counts as broken.
    pub stall_timeout: Duration,
    /// How long a response is buffered after its head. If it is not complete by then, it is streamed to its
    /// client.
    pub hold_time: Duration,
    /// The pool of connections to all targets.
    pub connections: ConnectionPool,
    /// The memory for the bodies of responses.
    pub memory: MemoryBudget,
}

/// Starts a target's actor, which runs until its mailbox is dropped.
pub fn connect(endpoint: &Endpoint, transport: TargetTransport) -> mpsc::Sender<TargetMessage> {
    let (mailbox, messages) = mpsc::channel(MAILBOX_CAPACITY);
    actix_rt::spawn(run(endpoint.addr, transport, messages));
    mailbox
}

async fn run(addr: SocketAddr, transport: TargetTransport, mut messages: mpsc::Receiver<TargetMessage>) {
    let connections = transport.connections.clone();
    while let Some(message) = messages.recv().await {
        match message {
            TargetMessage::Attempt(attempt) => {
                actix_rt::spawn(run_attempt(transport.clone(), addr, *attempt));
            }
            TargetMessage::Probe(probe) => {
                actix_rt::spawn(run_probe(transport.clone(), addr, probe));
            }
            TargetMessage::SetSuspended(true) => connections.suspend(addr),
            TargetMessage::SetSuspended(false) => connections.resume(addr),
        }
    }
    connections.resume(addr);
    connections.close_idle_to(addr);
}

/// Makes one attempt and reports its result. To cancel an attempt, its exchange is dropped, which closes the
/// connection.
async fn run_attempt(transport: TargetTransport, addr: SocketAddr, attempt: Attempt) {
    let Attempt { request, until, gives_up_stalled_response, cancel, report } = attempt;
    let patience = ResponsePatience {
        until,
        stall_timeout: gives_up_stalled_response.then_some(transport.stall_timeout),
    };
    let result = tokio::select! {
        biased;
        result = exchange(&transport, addr, &request, patience, &report) => result,
        _ = cancel => AttemptResult::without_response(Outcome::Cancelled),
        () = timed_out(&request, until) => {
            // A host that was cut off from the network leaves its connections open indefinitely, and never
            // responds on them.
            transport.connections.close_idle_to(addr);
            AttemptResult::without_response(timeout_outcome(&request, addr))
        }
    };
    report.finish(result);
}

/// Resolves when an attempt times out: at `until`, or for a streamed body at the time that its arrival determines.
async fn timed_out(request: &Request, until: Instant) {
    match &request.body_rest {
        None => tokio::time::sleep_until(until).await,
        Some(upload) => upload.expired(request.time_left).await,
    }
}

/// The outcome of an attempt that has timed out. A target runs a request once its last byte has arrived, so an attempt
/// whose last byte was not written never ran.
fn timeout_outcome(request: &Request, addr: SocketAddr) -> Outcome {
    let Some(upload) = &request.body_rest else { return Outcome::TimedOut };
    let written = upload.completed_at().is_some();
    tracing::debug!(
        id = request.id,
        %addr,
        length = upload.length(),
        arrived_bytes = upload.arrived_bytes(),
        written,
        "streamed attempt timed out"
    );
    if written { Outcome::TimedOut } else { Outcome::Unreachable }
}

/// The streamed rest of a request's body, on its way to the target.
struct UploadStream<'a> {
    rest: UploadReader<'a>,
    upload: &'a Upload,
    report: &'a AttemptReporter,
    /// Whether the client has broken off the body.
    aborted: &'a Cell<bool>,
}

impl BodyStream for UploadStream<'_> {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        let next = self.rest.next();
        tokio::pin!(next);
        let chunk = tokio::select! {
            biased;
            chunk = &mut next => chunk,
            () = tokio::time::sleep(MAX_CLIENT_WAIT), if !self.upload.is_consumed() => {
                self.upload.commit_to_attempt();
                self.report.body_started();
                next.await
            }
        };
        let chunk = chunk.map_err(|IncompleteBody| {
            self.aborted.set(true);
            BodyAborted
        });
        if self.upload.is_consumed() {
            self.report.body_started();
        }
        chunk
    }
}

async fn exchange(
    transport: &TargetTransport,
    addr: SocketAddr,
    request: &Request,
    patience: ResponsePatience,
    report: &AttemptReporter,
) -> AttemptResult {
    let client_aborted = Cell::new(false);
    let mut upload_stream = None;
    if let Some(upload) = &request.body_rest {
        // Another attempt has consumed a part of the body, which cannot be sent again.
        let Some(rest) = upload.reader() else { return AttemptResult::without_response(Outcome::NotSent) };
        upload_stream = Some(UploadStream { rest, upload, report, aborted: &client_aborted });
    }
    let body = request.write.then(|| RequestBody {
        buffered: request.body.clone(),
        rest: upload_stream.as_mut().map(|stream| {
            let length = stream.upload.length();
            (stream, length)
        }),
    });
    let result = async {
        let mut connection = check_out(transport, addr).await?;
        if !report.may_start().await {
            transport.connections.check_in(connection);
            return Err(Outcome::NotSent);
        }
        connection.set_stall_timeout(patience.stall_timeout);
        let head = message::request_head(request, addr, patience.until);
        let head = connection.send(head, body, MAX_BODY_BYTES).await.map_err(outcome)?;
        report.response_started();
        let content = read_content(transport, connection, &head, patience).await.map_err(outcome)?;
        Ok(message::attempt_result(head.status, &head.headers, content))
    };
    result.await.unwrap_or_else(|outcome| {
        let outcome = if client_aborted.get() { Outcome::ClientAborted } else { outcome };
        AttemptResult::without_response(outcome)
    })
}

async fn check_out(transport: &TargetTransport, addr: SocketAddr) -> Result<Connection, Outcome> {
    let connection = transport.connections.check_out(addr, transport.connect_timeout).await;
    connection.map_err(|error| {
        tracing::debug!(%addr, %error, "connection to target failed");
        Outcome::Unreachable
    })
}

fn outcome(error: ExchangeError) -> Outcome {
    match error {
        ExchangeError::NotWritten => Outcome::Unreachable,
        ExchangeError::NoResponse | ExchangeError::Broken => Outcome::Broken,
    }
}

/// Makes one probe and reports its result.
async fn run_probe(transport: TargetTransport, addr: SocketAddr, probe: Probe) {
    let exchange = async {
        let mut connection = check_out(&transport, addr).await?;
        let body = None::<RequestBody<'_, EmptyStream>>;
        let head = connection
            .send(message::probe_head(addr), body, MAX_BUFFERED_BODY as u64)
            .await
            .map_err(outcome)?;
        let patience = ResponsePatience { until: probe.until, stall_timeout: Some(transport.stall_timeout) };
        let content = read_content(&transport, connection, &head, patience).await.map_err(outcome)?;
        Ok(message::attempt_result(head.status, &head.headers, content))
    };
    let result = match tokio::time::timeout_at(probe.until, exchange).await {
        Ok(result) => result.unwrap_or_else(AttemptResult::without_response),
        Err(_) => AttemptResult::without_response(Outcome::TimedOut),
    };
    probe.report.finish(result.outcome, result.load);
}
