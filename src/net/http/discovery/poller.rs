//! The actor that keeps the core's endpoint list up to date.
//!
//! [`Schedule`] alone decides when to send which request. This actor sends the requests, passes pages to the
//! core, and drives the drain gossip, which reports draining targets while discovery does not answer.

use super::client::{self, FetchError, FetchedPage};
use super::page::EndpointPage;
use crate::core::{Clock, CoreHandle, Message, Protocol};
use crate::interface::{EndpointUpdateKind, Micros};
use crate::net::drain_gossip::DrainGossipLink;
use crate::net::http::dial;
use awc::Client;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rowanglade_discovery_polling::{Command, Outcome, PollRequest, RequestId, Schedule};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Least time that connecting to discovery may take, however short the configured connect timeout for targets
/// is: discovery is busiest when all initiators connect to it at once.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept: longer than a long poll and the pause after it, so that a watch stays
/// on one connection.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The address of discovery; `None`: there is no discovery.
pub type DiscoveryAddress = Option<SocketAddr>;

/// Sends the core the list that this initiator had last, which may be stale. Requests are served from it
/// until discovery answers. Not cancellation safe: a part of the list may have been sent.
pub async fn send_cached_list(core: &CoreHandle, page: EndpointPage) {
    let endpoints = page.into_endpoints();
    core.send_endpoints(Protocol::Http, EndpointUpdateKind::Cached, endpoints, Instant::now()).await;
}

/// A request in flight. It resolves as aborted if it is cancelled.
type PendingRequest = Abortable<LocalBoxFuture<'static, FinishedRequest>>;
type FinishedRequest = (RequestId, Result<FetchedPage, FetchError>);

/// Polls discovery, and passes the endpoint list to the core.
pub struct DiscoveryPoller {
    address: watch::Receiver<DiscoveryAddress>,
    /// The current address and a client for it; `None`: there is no discovery.
    client: Option<(SocketAddr, Client)>,
    connect_timeout: Duration,
    core: CoreHandle,
    clock: Clock,
    schedule: Schedule,
    /// The newest version received; `None`: the next request is for a snapshot.
    version: Option<u64>,
    in_flight: FuturesUnordered<PendingRequest>,
    /// Handles of the requests in flight that have not been cancelled.
    abort_handles: BTreeMap<RequestId, AbortHandle>,
    /// `None` where drain gossip is disabled.
    gossip: Option<DrainGossipLink>,
}

impl DiscoveryPoller {
    /// Creates a poller. `schedule` makes a schedule that starts at the given time of `clock`, in
    /// microseconds. `cached` is the list that is used until discovery answers.
    pub fn new(
        address: watch::Receiver<DiscoveryAddress>,
        connect_timeout: Duration,
        core: CoreHandle,
        clock: Clock,
        schedule: impl FnOnce(Micros) -> Schedule,
        cached: Option<&EndpointPage>,
        mut gossip: Option<DrainGossipLink>,
    ) -> DiscoveryPoller {
        let schedule = schedule(clock.now());
        if let (Some(gossip), Some(cached)) = (&mut gossip, cached) {
            gossip.handle_cached_list(cached.version(), cached.target_activity());
        }
        let mut poller = DiscoveryPoller {
            address,
            client: None,
            connect_timeout,
            core,
            clock,
            schedule,
            version: cached.map(EndpointPage::version),
            in_flight: FuturesUnordered::new(),
            abort_handles: BTreeMap::new(),
            gossip,
        };
        poller.create_client();
        poller
    }

    /// Creates a client for the current address.
    fn create_client(&mut self) {
        let address = *self.address.borrow_and_update();
        let connect_timeout = self.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        self.client = address.map(|address| {
            let client = dial::client(address, connect_timeout, IDLE_CONNECTION_TIMEOUT);
            (address, client)
        });
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut address = self.address.clone();
        loop {
            if self.client.is_none() {
                self.wait_for_address(&mut address).await;
                continue;
            }
            self.carry_out_due_commands();
            self.poll_gossip().await;
            let timeout = sleep_until(self.clock, self.next_timeout());
            let gossip_report = receive_gossip(&mut self.gossip, self.clock);
            tokio::select! {
                biased;
                () = address_changed(&mut address) => self.handle_address_change(),
                Some(finished) = self.in_flight.next() => self.handle_finished(finished).await,
                draining = gossip_report => self.handle_gossip_report(draining).await,
                () = timeout => {}
            }
        }
    }

    /// Waits until the configuration gives an address. Without discovery no list will arrive, so the core
    /// receives an empty delta and serves with the endpoints that it has from other sources.
    async fn wait_for_address(&mut self, address: &mut watch::Receiver<DiscoveryAddress>) {
        let no_endpoints = Vec::new();
        let now = Instant::now();
        self.core.send_endpoints(Protocol::Http, EndpointUpdateKind::Delta, no_endpoints, now).await;
        address_changed(address).await;
        self.handle_address_change();
    }

    /// When the schedule or the gossip is due next, in microseconds of the clock.
    fn next_timeout(&self) -> Option<Micros> {
        let gossip = self.gossip.as_ref().and_then(DrainGossipLink::next_timeout);
        self.schedule.next_timeout().into_iter().chain(gossip).min()
    }

    async fn poll_gossip(&mut self) {
        let now = self.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.set_watching(now, self.schedule.is_watching());
            gossip.poll(now).await;
        }
    }

    fn carry_out_due_commands(&mut self) {
        while let Some(command) = self.schedule.poll(self.clock.now()) {
            match command {
                Command::Send(request) => self.send(request),
                Command::Cancel(id) => self.cancel(id),
            }
        }
    }

    fn send(&mut self, request: PollRequest) {
        let Some((address, client)) = self.client.clone() else { return };
        let PollRequest { id, max_wait } = request;
        let version = self.version;
        let (abort_handle, registration) = AbortHandle::new_pair();
        let fetch: LocalBoxFuture<'static, FinishedRequest> =
            Box::pin(async move { (id, client::fetch(&client, address, version, max_wait).await) });
        self.abort_handles.insert(id, abort_handle);
        self.in_flight.push(Abortable::new(fetch, registration));
        tracing::debug!(request = id.0, max_wait_us = max_wait, version, "endpoint list requested");
    }

    fn cancel(&mut self, id: RequestId) {
        if let Some(abort_handle) = self.abort_handles.remove(&id) {
            abort_handle.abort();
            tracing::info!(request = id.0, "endpoint list request cancelled without a response");
        }
    }

    async fn handle_finished(&mut self, finished: Result<FinishedRequest, Aborted>) {
        let Ok((id, result)) = finished else { return };
        // A response can be ready at the moment at which its request is cancelled. The schedule no longer
        // tracks that request, and the page may be older than one that was passed on.
        if self.abort_handles.remove(&id).is_none() {
            return;
        }
        let outcome = match result {
            Ok(fetched) => self.handle_page(id, fetched).await,
            Err(error) => {
                tracing::info!(request = id.0, %error, "endpoint list request failed");
                error.outcome()
            }
        };
        self.schedule.handle_outcome(self.clock.now(), id, outcome);
    }

    /// Passes a page to the core if it is valid. Otherwise the last valid list stays in use, and the next
    /// request is for a snapshot.
    async fn handle_page(&mut self, id: RequestId, fetched: FetchedPage) -> Outcome {
        let FetchedPage { page, received_at } = fetched;
        if let Err(error) = page.check(self.version) {
            tracing::error!(request = id.0, held = self.version, %error, "endpoint list rejected, keeping the last");
            self.version = None;
            return Outcome::Failed;
        }
        let version = page.version();
        tracing::debug!(request = id.0, version, entries = page.len(), "endpoint list received");
        self.version = Some(version);
        if let Some(gossip) = &mut self.gossip {
            let now = self.clock.now();
            gossip.handle_endpoint_list(now, version, page.is_snapshot(), page.target_activity());
        }
        let kind = page.kind();
        self.core.send_endpoints(Protocol::Http, kind, page.into_endpoints(), received_at).await;
        Outcome::Received
    }

    /// Passes the targets that peers report as draining to the core.
    async fn handle_gossip_report(&mut self, draining: Vec<String>) {
        if !draining.is_empty() {
            tracing::info!(targets = draining.len(), "peers reported draining targets");
            self.core.send(Message::PeersReportDraining(draining)).await;
        }
    }

    /// Discards the version and all open requests, and requests a snapshot: another service may count its
    /// versions differently.
    fn handle_address_change(&mut self) {
        self.create_client();
        self.version = None;
        self.in_flight.clear();
        self.abort_handles.clear();
        self.schedule.handle_address_change(self.clock.now());
        if let Some(gossip) = &mut self.gossip {
            gossip.handle_address_change();
        }
        tracing::info!(addr = ?self.client.as_ref().map(|(address, _)| address), "discovery address changed");
    }
}

/// Resolves at the next change of the address; never if its sender was dropped.
async fn address_changed(address: &mut watch::Receiver<DiscoveryAddress>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Resolves at a time of `clock` in microseconds; never if `at` is `None`.
async fn sleep_until(clock: Clock, at: Option<Micros>) {
    match at {
        Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// The targets that the next datagram reports as draining; never resolves if there is no gossip.
async fn receive_gossip(gossip: &mut Option<DrainGossipLink>, clock: Clock) -> Vec<String> {
    match gossip {
        Some(gossip) => gossip.receive(clock).await,
        None => std::future::pending().await,
    }
}
