//! A stub discovery service: serves the endpoint list as snapshots and as watches for changes, with delays
//! and faults on command.

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

/// A connection that is closed within this time after a response is taken as broken while the response was
/// read.
const BROKEN_RESPONSE_WINDOW: Duration = Duration::from_millis(100);

/// A fault of the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// No fault.
    None,
    /// Every request is rejected at once, including pending watches.
    Refusing,
    /// Every connection is reset on its next request.
    Resetting,
    /// Every request is rejected after this time.
    Hanging(Duration),
    /// Requests received during the fault are never answered, also not after the fault has ended.
    Silent,
}

/// A stub discovery service. The version of its list starts at 1 and grows with every change.
pub struct Discovery {
    addr: SocketAddr,
    zone: String,
    /// Keyed by the target's name.
    entries: RefCell<BTreeMap<String, ListEntry>>,
    version: watch::Sender<u64>,
    fault: watch::Sender<DiscoveryFault>,
    /// The time to serve one poll; polls are served one after another.
    service_time: Cell<Duration>,
    queue: tokio::sync::Mutex<()>,
    response_delay: Cell<Duration>,
    responses: Cell<u64>,
    list_bytes: Cell<u64>,
    /// Records list changes, outages and the versions delivered to each process, if set.
    recorder: Option<Rc<Recorder>>,
    /// When the present outage began. `None` if there is no outage.
    outage_started_at: Cell<Option<Micros>>,
}

/// An endpoint in the list.
struct ListEntry {
    /// The version of the list in which the endpoint last changed.
    version: u64,
    endpoint: Endpoint,
    /// The endpoint as serialized for responses.
    json: String,
}

/// A response, with the version of the list that it contains, if any.
struct VersionedResponse {
    response: Response,
    version: Option<u64>,
}

impl VersionedResponse {
    /// A response without list content.
    fn status(status: u16) -> VersionedResponse {
        VersionedResponse { response: Response::new(status), version: None }
    }
}

impl Discovery {
    /// Starts a service with an empty list.
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub async fn start(zone: &str) -> io::Result<Rc<Discovery>> {
        Discovery::start_recorded(zone, None).await
    }

    /// Like [`Discovery::start`], and records changes, outages and deliveries if a recorder is given.
    ///
    /// # Errors
    /// The socket cannot be bound.
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
            outage_started_at: Cell::new(None),
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
                // Makes dropping the connection reset it, instead of closing it in order. Fails only if the
                // connection has ended already.
                let _ = connection.stream.set_zero_linger();
                return;
            };
            if connection.respond(response).await.is_err() {
                return;
            }
            let written_at = self.recorder.as_ref().map(|recorder| recorder.now());
            let next_head = tokio::time::timeout(BROKEN_RESPONSE_WINDOW, connection.read_head()).await;
            // A client that closes its connection right after a response has not received it completely: that
            // request has failed, and the version was not delivered.
            let broken = matches!(next_head, Ok(Ok(None) | Err(_)));
            if let (Some(recorder), Some(at), Some(process), Some(version)) =
                (&self.recorder, written_at, process, version.filter(|_| !broken))
            {
                recorder.record_delivery(process, version, at);
            }
            next = match next_head {
                Ok(next) => next,
                Err(_) => connection.read_head().await,
            };
        }
    }

    /// The address for clients whose deliveries are not recorded.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Opens an address for one process: versions sent there are recorded as delivered to this process.
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub async fn addr_for(self: &Rc<Self>, process: ProcessId) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        tokio::task::spawn_local(Rc::clone(self).accept(listener, Some(process)));
        Ok(addr)
    }

    /// The number of polls and watches answered so far.
    pub fn responses(&self) -> u64 {
        self.responses.get()
    }

    /// The total size of the snapshots and deltas in these responses, in bytes.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.get()
    }

    /// Starts or stops rejecting all requests.
    pub fn set_refusing(&self, refusing: bool) {
        self.inject(if refusing { DiscoveryFault::Refusing } else { DiscoveryFault::None });
    }

    /// Injects a fault, or ends it with [`DiscoveryFault::None`]. Pending watches are affected at once.
    pub fn inject(&self, fault: DiscoveryFault) {
        if let Some(recorder) = &self.recorder {
            match (self.outage_started_at.get(), fault) {
                (None, DiscoveryFault::None)
                | (Some(_), DiscoveryFault::Refusing | DiscoveryFault::Resetting) => {}
                (Some(_), DiscoveryFault::Hanging(_) | DiscoveryFault::Silent) => {}
                (None, _) => self.outage_started_at.set(Some(recorder.now())),
                (Some(since), DiscoveryFault::None) => {
                    recorder.record_outage(since, recorder.now());
                    self.outage_started_at.set(None);
                }
            }
        }
        self.fault.send_replace(fault);
    }

    /// Sets the time to serve one poll. Polls are served one at a time.
    pub fn set_service_time(&self, service_time: Duration) {
        self.service_time.set(service_time);
    }

    /// Sets the delay of each response.
    pub fn set_response_delay(&self, delay: Duration) {
        self.response_delay.set(delay);
    }

    /// Adds a target to the list, or updates its entry.
    pub fn upsert(&self, endpoint: Endpoint) {
        self.upsert_all([endpoint]);
    }

    /// Adds targets to the list, or updates their entries, in one version.
    pub fn upsert_all(&self, endpoints: impl IntoIterator<Item = Endpoint>) {
        let version = *self.version.borrow() + 1;
        let mut listed = self.entries.borrow_mut();
        for endpoint in endpoints {
            if let Some(recorder) = &self.recorder {
                recorder.record_change(version, &endpoint.id, target_state(&endpoint, recorder));
            }
            let json = endpoint.json(&self.zone).to_string();
            listed.insert(endpoint.id.clone(), ListEntry { version, endpoint, json });
        }
        drop(listed);
        self.version.send_replace(version);
    }

    /// Lists a target as removed. Unknown targets are ignored.
    pub fn remove(&self, id: &str) {
        let endpoint = self.entries.borrow().get(id).map(|entry| entry.endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.upsert(Endpoint { state: EndpointState::Removed, ..endpoint });
        }
    }

    /// The complete list, as a process caches it.
    pub fn snapshot(&self) -> serde_json::Value {
        let entries = self.entries.borrow();
        let listed = entries.values().filter(|entry| entry.endpoint.state != EndpointState::Removed);
        let servers: Vec<_> = listed.map(|entry| entry.endpoint.json(&self.zone)).collect();
        json!({"version": *self.version.borrow(), "full": true, "servers": servers})
    }

    /// The response to a request. `None` if its connection is to be reset.
    async fn handle(&self, request: &Request) -> Option<VersionedResponse> {
        let mut fault = self.fault.subscribe();
        tokio::select! {
            biased;
            fault = async { fault.wait_for(|now| *now != DiscoveryFault::None).await.map(|now| *now) } => {
                // Cannot fail: the sender lives as long as the service.
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
            // A watch that times out without a change is answered too.
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

    /// The complete list as JSON, or only the endpoints changed after version `from`.
    fn list(&self, version: u64, from: Option<u64>) -> String {
        let entries = self.entries.borrow();
        let selected = entries.values().filter(|entry| match from {
            Some(from) => entry.version > from,
            None => entry.endpoint.state != EndpointState::Removed,
        });
        let servers: Vec<&str> = selected.map(|entry| entry.json.as_str()).collect();
        let full = from.is_none();
        format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
    }
}

/// The endpoint's state in the checker's terms.
fn target_state(endpoint: &Endpoint, recorder: &Recorder) -> TargetState {
    match endpoint.state {
        EndpointState::Active => TargetState::Active {
            started: (endpoint.started_ms > 0).then(|| recorder.micros_at_unix_ms(endpoint.started_ms)),
        },
        EndpointState::Draining => TargetState::Draining,
        EndpointState::Removed => TargetState::Removed,
    }
}
