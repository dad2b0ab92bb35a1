//! Sends and receives drain gossip: the datagrams of [`DrainGossip`] over UDP, to and from the peer addresses
//! that the platform configures.

use crate::core::Clock;
use crate::interface::Micros;
use rowanglade_drain_gossip::{Counters, DrainGossip, MAX_DATAGRAM_BYTES, Message, Outgoing, TargetKey};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The addresses of this initiator and its peers.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Address that this initiator binds.
    pub listen: SocketAddr,
    /// Addresses of all initiators in the order of their indices, including this one's.
    pub addrs: Vec<SocketAddr>,
    /// Index of this initiator in `addrs`.
    pub own_index: usize,
}

/// Time between attempts to bind the socket: in a handover the predecessor holds the address until it exits.
const REOPEN_INTERVAL: Micros = 1_000_000;

/// The gossip protocol with its socket.
pub struct DrainGossipLink {
    addresses: PeerAddresses,
    peer_indices: HashMap<SocketAddr, usize>,
    socket: Option<UdpSocket>,
    /// When the socket is bound next, in microseconds, while there is none.
    open_at: Micros,
    gossip: DrainGossip,
    /// Names of the active targets by their keys.
    names: HashMap<TargetKey, String>,
    /// Datagrams that could not be decoded.
    malformed: u64,
}

impl DrainGossipLink {
    /// Creates a link. [`DrainGossipLink::poll`] binds its socket.
    pub fn new(addresses: PeerAddresses, seed: u64, now: Micros) -> DrainGossipLink {
        let peer_indices = addresses.addrs.iter().enumerate().map(|(index, addr)| (*addr, index)).collect();
        let gossip = DrainGossip::new(addresses.own_index, addresses.addrs.len(), seed, now);
        DrainGossipLink {
            addresses,
            peer_indices,
            socket: None,
            open_at: now,
            gossip,
            names: HashMap::new(),
            malformed: 0,
        }
    }

    /// Applies the cached list of this version, which is used until discovery answers: the names of its
    /// targets, and whether each is active.
    pub fn handle_cached_list<'a>(&mut self, version: u64, targets: impl Iterator<Item = (&'a str, bool)>) {
        let active = targets.filter(|(_, is_active)| *is_active);
        self.names = active.map(|(name, _)| (TargetKey::of(name), name.to_string())).collect();
        self.gossip.handle_cached_list(version);
    }

    /// Applies a list from discovery: the names of its targets, and whether each is active. A snapshot
    /// removes the targets that it does not name.
    pub fn handle_endpoint_list<'a>(
        &mut self,
        now: Micros,
        version: u64,
        is_snapshot: bool,
        targets: impl Iterator<Item = (&'a str, bool)> + Clone,
    ) {
        let unlisted = if is_snapshot { self.take_unlisted(targets.clone()) } else { Vec::new() };
        self.update_names(targets.clone());
        let mut all_targets: Vec<(&str, bool)> = targets.collect();
        all_targets.extend(unlisted.iter().map(|name| (name.as_str(), false)));
        self.gossip.handle_endpoint_list(now, version, all_targets.into_iter());
    }

    fn update_names<'a>(&mut self, targets: impl Iterator<Item = (&'a str, bool)>) {
        for (name, is_active) in targets {
            let key = TargetKey::of(name);
            if is_active {
                self.names.entry(key).or_insert_with(|| name.to_string());
            } else {
                self.names.remove(&key);
            }
        }
    }

    /// Removes the targets that a snapshot does not name, and returns their names.
    fn take_unlisted<'a>(&mut self, targets: impl Iterator<Item = (&'a str, bool)>) -> Vec<String> {
        let listed: HashSet<TargetKey> = targets.map(|(name, _)| TargetKey::of(name)).collect();
        self.names.extract_if(|key, _| !listed.contains(key)).map(|(_, name)| name).collect()
    }

    /// Handles a change of discovery's address.
    pub fn handle_address_change(&mut self) {
        self.gossip.handle_address_change();
    }

    /// Sets whether a watch on discovery is open. Peers are queried only while none is.
    pub fn set_watching(&mut self, now: Micros, watching: bool) {
        if self.gossip.set_watching(now, watching) && watching {
            self.log_counters();
        }
    }

    fn log_counters(&self) {
        let Counters { sent, received, over_budget, gaps, unsolicited } = self.gossip.counters();
        let malformed = self.malformed;
        tracing::info!(sent, received, over_budget, gaps, unsolicited, malformed, "drain gossip counters");
    }

    /// When [`DrainGossipLink::poll`] is due, in microseconds; `None`: nothing is scheduled.
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.socket {
            Some(_) => self.gossip.next_timeout(),
            None => Some(self.open_at),
        }
    }

    /// Binds the socket if there is none, and sends the datagrams that are due. Cancellation safe: it waits
    /// only for the socket.
    pub async fn poll(&mut self, now: Micros) {
        if self.socket.is_none() && now >= self.open_at {
            self.open_socket(now).await;
        }
        for datagram in self.gossip.poll(now) {
            self.send(&datagram);
        }
    }

    async fn open_socket(&mut self, now: Micros) {
        match UdpSocket::bind(self.addresses.listen).await {
            Ok(socket) => self.socket = Some(socket),
            Err(error) => {
                self.open_at = now + REOPEN_INTERVAL;
                tracing::info!(listen = %self.addresses.listen, %error, "drain gossip socket could not be bound");
            }
        }
    }

    /// Sends a datagram. One that cannot be sent is dropped, as if the network had lost it.
    fn send(&self, datagram: &Outgoing) {
        if let (Some(socket), Some(addr)) = (&self.socket, self.addresses.addrs.get(datagram.to)) {
            let _ = socket.try_send_to(&datagram.message.encode(), *addr);
        }
    }

    /// Waits for the next datagram, answers it if it is a query, and returns the names of the targets that it
    /// reports as draining. Never resolves while there is no socket. Cancellation safe: no datagram is lost.
    pub async fn receive(&mut self, clock: Clock) -> Vec<String> {
        let Some(socket) = &self.socket else { return std::future::pending().await };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { return Vec::new() };
        let Some(peer) = self.peer_index(sender) else { return Vec::new() };
        self.handle_datagram(clock.now(), peer, &buffer[..length])
    }

    /// The index of the peer with this address; `None` for unknown addresses and this initiator's own.
    fn peer_index(&self, addr: SocketAddr) -> Option<usize> {
        let index = self.peer_indices.get(&addr).copied();
        index.filter(|index| *index != self.addresses.own_index)
    }

    fn handle_datagram(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> Vec<String> {
        match Message::decode(bytes) {
            Ok(Message::Query { round, after }) => {
                let over_budget = self.gossip.counters().over_budget;
                let reports = self.gossip.handle_query(now, peer, round, after);
                reports.iter().for_each(|report| self.send(report));
                if self.gossip.counters().over_budget > over_budget {
                    tracing::debug!(peer, "drain report cut short by the byte budget");
                }
                Vec::new()
            }
            Ok(Message::Report(report)) => {
                let draining = self.gossip.handle_report(now, peer, &report);
                draining.iter().filter_map(|key| self.names.get(key).cloned()).collect()
            }
            Err(error) => {
                self.malformed += 1;
                tracing::debug!(peer, %error, malformed = self.malformed, "drain gossip datagram rejected");
                Vec::new()
            }
        }
    }
}
