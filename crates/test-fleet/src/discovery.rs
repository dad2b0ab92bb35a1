//! Discovery: the endpoint list as snapshots and as watches on its changes, late or faulty on command.

use crate::endpoint::{Endpoint, EndpointState};
use crate::http::{Connection, Request, Response};
use crate::recorder::Recorder;
use rowanglade_checker::{Micros, ProcessId, TargetState};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// A connection that is closed this soon after a response broke while the response was read.
const BROKEN_WITHIN: Duration = Duration::from_millis(100);

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It does not.
    None,
    /// Every request is refused at once, and so are watches that wait.
    Refusing,
    /// Every connection is reset.
    Resetting,
    /// Every request hangs for so long and is refused then.
    Hanging(Duration),
    /// No request is answered, also not after the fault.
    Silent,
}

/// The service. Versions begin at 1 and grow with every change.
pub struct Discovery {
    addr: SocketAddr,
    zone: String,
    /// By the name of the target.
    entries: RefCell<BTreeMap<String, ListEntry>>,
    version: watch::Sender<u64>,
    fault: watch::Sender<DiscoveryFault>,
    /// Polls are served one after another, in this time each.
    service_time: Cell<Duration>,
    queue: tokio::sync::Mutex<()>,
    response_delay: Cell<Duration>,
    responses: Cell<u64>,
    list_bytes: Cell<u64>,
    /// Where changes, outages and what is written to which process are recorded.
    recorder: Option<Rc<Recorder>>,
    /// Since when no request is answered.
    out_since: Cell<Option<Micros>>,
}

/// An endpoint as the list has it.
struct ListEntry {
    /// The version that changed it last.
    version: u64,
    endpoint: Endpoint,
    /// As it is sent.
    json: String,
}

/// A response, with the version of the list that it tells, if any.
struct VersionedResponse {
    response: Response,
    version: Option<u64>,
}

impl VersionedResponse {
    /// A response that tells nothing of the list.
    fn status(status: u16) -> VersionedResponse {
        VersionedResponse { response: Response::new(status), version: None }
    }
}

impl Discovery {
    /// Starts a service with an empty list.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start(zone: &str) -> io::Result<Rc<Discovery>> {
        Discovery::start_recorded(zone, None).await
    }

    /// The same, with a record of which version it writes to whom.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start_recorded(zone: &str, recorder: Option<Rc<Recorder>>) -> io::Result<Rc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = Rc::new(Discovery {
            addr: listener.local_addr()?,
            zone: zone.to_string(),
            entries: RefCell::default(),
            version: watch::Sender::new(1),
            fault: watch::Sender::new(DiscoveryFault::None),
            service_time: Cell::new(Duration::ZERO),
            queue: tokio::sync::Mutex::new(()),
            response_delay: Cell::new(Duration::ZERO),
            responses: Cell::new(0),
            list_bytes: Cell::new(0),
            recorder,
            out_since: Cell::new(None),
        });
        tokio::task::spawn_local(Rc::clone(&discovery).accept(listener, None));
        Ok(discovery)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, process: Option<ProcessId>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(
                        Rc::clone(&self).serve_connection(Connection::new(stream), process),
                    );
                }
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, mut connection: Connection, process: Option<ProcessId>) {
        let mut next = connection.read_head().await;
        while let Ok(Some(request)) = next {
            if connection.skip_body(request.body_bytes).await.is_err() {
                return;
            }
            let Some(VersionedResponse { response, version }) = self.handle(&request).await else {
                // Without this the connection would be closed in order. One that is gone needs no reset.
                let _ = connection.stream.set_zero_linger();
                return;
            };
            if connection.respond(response).await.is_err() {
                return;
            }
            let written_at = self.recorder.as_ref().map(|recorder| recorder.now());
            let soon = tokio::time::timeout(BROKEN_WITHIN, connection.read_head()).await;
            // Who drops its connection on a response has not got it whole: that request has failed.
            let broken = matches!(soon, Ok(Ok(None) | Err(_)));
            if let (Some(recorder), Some(at), Some(process), Some(version)) =
                (&self.recorder, written_at, process, version.filter(|_| !broken))
            {
                recorder.delivery(process, version, at);
            }
            next = match soon {
                Ok(next) => next,
                Err(_) => connection.read_head().await,
            };
        }
    }

    /// Where it listens for everybody.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// An address for one process: what is written there is recorded as delivered to it.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn addr_for(self: &Rc<Self>, process: ProcessId) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        tokio::task::spawn_local(Rc::clone(self).accept(listener, Some(process)));
        Ok(addr)
    }

    /// Polls and watches answered so far.
    pub fn responses(&self) -> u64 {
        self.responses.get()
    }

    /// Bytes of the snapshots and deltas in these responses.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.get()
    }

    /// Has requests refused, or no longer.
    pub fn set_refusing(&self, refusing: bool) {
        self.inject(if refusing { DiscoveryFault::Refusing } else { DiscoveryFault::None });
    }

    /// Has it misbehave from now on; watches that wait meet the fault at once.
    pub fn inject(&self, fault: DiscoveryFault) {
        if let Some(recorder) = &self.recorder {
            match (self.out_since.get(), fault) {
                (None, DiscoveryFault::None)
                | (Some(_), DiscoveryFault::Refusing | DiscoveryFault::Resetting) => {}
                (Some(_), DiscoveryFault::Hanging(_) | DiscoveryFault::Silent) => {}
                (None, _) => self.out_since.set(Some(recorder.now())),
                (Some(since), DiscoveryFault::None) => {
                    recorder.outage(since, recorder.now());
                    self.out_since.set(None);
                }
            }
        }
        self.fault.send_replace(fault);
    }

    /// Sets how long the service works on a poll. It works on one at a time.
    pub fn set_service_time(&self, service_time: Duration) {
        self.service_time.set(service_time);
    }

    /// Sets how late responses come.
    pub fn set_response_delay(&self, delay: Duration) {
        self.response_delay.set(delay);
    }

    /// Adds a target, or changes what is said of it.
    pub fn upsert(&self, endpoint: Endpoint) {
        self.upsert_all([endpoint]);
    }

    /// Adds targets, or changes what is said of them, in one version.
    pub fn upsert_all(&self, endpoints: impl IntoIterator<Item = Endpoint>) {
        let version = *self.version.borrow() + 1;
        let mut listed = self.entries.borrow_mut();
        for endpoint in endpoints {
            if let Some(recorder) = &self.recorder {
                recorder.change(version, &endpoint.id, target_state(&endpoint, recorder));
            }
            let json = endpoint.json(&self.zone).to_string();
            listed.insert(endpoint.id.clone(), ListEntry { version, endpoint, json });
        }
        drop(listed);
        self.version.send_replace(version);
    }

    /// Takes a target out.
    pub fn remove(&self, id: &str) {
        let endpoint = self.entries.borrow().get(id).map(|entry| entry.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.upsert(Endpoint { state: EndpointState::Removed, ..endpoint });
        }
    }

    /// The whole list, as a process caches it.
    pub fn snapshot(&self) -> serde_json::Value {
        let entries = self.entries.borrow();
        let listed = entries.values().filter(|entry| entry.endpoint.state != EndpointState::Removed);
        let servers: Vec<_> = listed.map(|entry| entry.endpoint.json(&self.zone)).collect();
        json!({"version": *self.version.borrow(), "full": true, "servers": servers})
    }

    /// The response to a request; none: its connection is reset.
    async fn handle(&self, request: &Request) -> Option<VersionedResponse> {
        let mut fault = self.fault.subscribe();
        tokio::select! {
            biased;
            fault = async { fault.wait_for(|now| *now != DiscoveryFault::None).await.map(|now| *now) } => {
                // The sender lives as long as the service.
                match fault.unwrap_or(DiscoveryFault::None) {
                    DiscoveryFault::None | DiscoveryFault::Refusing => Some(VersionedResponse::status(503)),
                    DiscoveryFault::Resetting => None,
                    DiscoveryFault::Hanging(span) => {
                        sleep(span).await;
                        Some(VersionedResponse::status(503))
                    }
                    DiscoveryFault::Silent => std::future::pending().await,
                }
            }
            response = self.serve(request) => Some(response),
        }
    }

    async fn serve(&self, request: &Request) -> VersionedResponse {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if path != "/discovery/hosts" {
            return VersionedResponse::status(404);
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let (from, hold_ms) = (number("from"), number("hold_ms").unwrap_or(0).min(60_000));
        if hold_ms <= 1 {
            let _turn = self.queue.lock().await;
            sleep(self.service_time.get()).await;
        }
        if let Some(from) = from {
            let until = Instant::now() + Duration::from_millis(hold_ms);
            let mut version = self.version.subscribe();
            // A hold that ends without a change is answered too.
            let _ = tokio::time::timeout_at(until, version.wait_for(|v| *v > from)).await;
        }
        sleep(self.response_delay.get()).await;
        self.responses.set(self.responses.get() + 1);
        let version = *self.version.borrow();
        let mut response = Response::new(200);
        response.headers.push(("Content-Type", "application/json".into()));
        response.body = self.list(version, from).into_bytes();
        self.list_bytes.set(self.list_bytes.get() + response.body.len() as u64);
        VersionedResponse { response, version: Some(version) }
    }

    /// The text of the whole list, or of what has changed since a version.
    fn list(&self, version: u64, from: Option<u64>) -> String {
        let entries = self.entries.borrow();
        let wanted = entries.values().filter(|entry| match from {
            Some(from) => entry.version > from,
            None => entry.endpoint.state != EndpointState::Removed,
        });
        let servers: Vec<&str> = wanted.map(|entry| entry.json.as_str()).collect();
        let full = from.is_none();
        format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
    }
}

/// An endpoint as the checker records it.
fn target_state(endpoint: &Endpoint, recorder: &Recorder) -> TargetState {
    match endpoint.state {
        EndpointState::Active => TargetState::Active {
            started: (endpoint.started_ms > 0).then(|| recorder.at_unix_ms(endpoint.started_ms)),
        },
        EndpointState::Draining => TargetState::Draining,
        EndpointState::Removed => TargetState::Removed,
    }
}
