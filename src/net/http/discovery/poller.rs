//! The actor that keeps the core's endpoint list up to date.
//!
//! When to send which request is decided by [`Schedule`] alone; this actor sends them, passes pages to the
//! core, and drives the drain gossip that stands in while discovery does not answer.

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

/// A connection to discovery may take this long to come up at least, however short the settings' connect
/// timeout for targets is: discovery is busiest when all initiators connect to it at once.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection is kept this long: longer than a long poll and its pause, so that a watch stays on one
/// connection.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Where discovery is; none: there is no discovery.
pub type DiscoveryAddress = Option<SocketAddr>;

/// Sends the core the list as this initiator last held it, perhaps stale: it is served from until discovery
/// answers. Not cancellation safe: a part of the list may have been sent.
pub async fn send_cached_list(core: &CoreHandle, page: EndpointPage) {
    let endpoints = page.into_endpoints();
    core.send_endpoints(Protocol::Http, EndpointUpdateKind::Cached, endpoints, Instant::now()).await;
}

/// A request in flight, which ends as aborted when it was cancelled.
type PendingRequest = Abortable<LocalBoxFuture<'static, FinishedRequest>>;
type FinishedRequest = (RequestId, Result<FetchedPage, FetchError>);

/// The actor that keeps the core's endpoint list up to date.
pub struct DiscoveryPoller {
    address: watch::Receiver<DiscoveryAddress>,
    /// The present address and a client of it; none: there is no discovery.
    client: Option<(SocketAddr, Client)>,
    connect_timeout: Duration,
    core: CoreHandle,
    clock: Clock,
    schedule: Schedule,
    /// The newest version held; none: a snapshot is requested next.
    version: Option<u64>,
    in_flight: FuturesUnordered<PendingRequest>,
    /// Of the requests in flight, those that have not been cancelled.
    abort_handles: BTreeMap<RequestId, AbortHandle>,
    /// None where peers do not exchange datagrams.
    gossip: Option<DrainGossipLink>,
}

impl DiscoveryPoller {
    /// `schedule` makes a schedule that starts at a time of `clock`, in microseconds; `cached` is the list that
    /// is held until discovery answers.
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

    /// Makes a client of the present address.
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
                () = changed(&mut address) => self.handle_address_change(),
                Some(finished) = self.in_flight.next() => self.handle_finished(finished).await,
                draining = gossip_report => self.handle_gossip_report(draining).await,
                () = timeout => {}
            }
        }
    }

    /// Without discovery there is no list to wait for, so the core gets an empty delta: what it knows from
    /// other sources is all there is.
    async fn wait_for_address(&mut self, address: &mut watch::Receiver<DiscoveryAddress>) {
        let no_endpoints = Vec::new();
        let now = Instant::now();
        self.core.send_endpoints(Protocol::Http, EndpointUpdateKind::Delta, no_endpoints, now).await;
        changed(address).await;
        self.handle_address_change();
    }

    /// When the schedule or the gossip has something to do next, in microseconds of the clock.
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
        // A response can be ready in the moment in which its request is cancelled; the schedule has forgotten
        // the request then, and its page may be older than one that has been passed on.
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

    /// Passes a page to the core if it can be used. Otherwise the last good list stays in use, and a snapshot
    /// is requested next.
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

    /// Passes on which targets peers report to be draining.
    async fn handle_gossip_report(&mut self, draining: Vec<String>) {
        if !draining.is_empty() {
            tracing::info!(targets = draining.len(), "peers reported draining targets");
            self.core.send(Message::PeersReportDraining(draining)).await;
        }
    }

    /// Another service may count its versions in its own way, so a snapshot is requested.
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

/// Resolves at the next change. Where nobody is left to change the address, that is never.
async fn changed(address: &mut watch::Receiver<DiscoveryAddress>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Resolves at a time of `clock`; none: never.
async fn sleep_until(clock: Clock, at: Option<Micros>) {
    match at {
        Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
        None => std::future::pending().await,
    }
}

/// The targets that the next datagram reports to be draining; never resolves where there is no gossip.
async fn receive_gossip(gossip: &mut Option<DrainGossipLink>, clock: Clock) -> Vec<String> {
    match gossip {
        Some(gossip) => gossip.receive(clock).await,
        None => std::future::pending().await,
    }
}
