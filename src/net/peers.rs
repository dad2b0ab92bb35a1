//! Carries what instances tell each other of targets that leave: the datagrams of [`Exchange`], to and from
//! the addresses that the platform gives for peers.

use crate::core::Clock;
use crate::interface::Micros;
use rowanglade_drain_gossip::{Exchange, LONGEST, Message, Outgoing, TargetKey};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Where the peers are, and where this instance hears them.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    pub listen: SocketAddr,
    /// One for each instance in the order of their numbers, this one's own included.
    pub all: Vec<SocketAddr>,
    /// The number of this instance.
    pub me: usize,
}

/// From one attempt to open the socket to the next: a process that is being replaced holds it until it ends.
const REOPEN_AFTER: Micros = 1_000_000;

/// The exchange with its socket.
pub struct PeerLink {
    addresses: PeerAddresses,
    numbers: HashMap<SocketAddr, usize>,
    socket: Option<UdpSocket>,
    /// When the socket is opened next, while there is none.
    open_at: Micros,
    exchange: Exchange,
    /// The targets in use, by their keys.
    names: HashMap<TargetKey, String>,
    /// Datagrams that could not be read.
    malformed: u64,
}

impl PeerLink {
    /// A link whose socket is opened by [`PeerLink::poll`].
    pub fn new(addresses: PeerAddresses, seed: u64, now: Micros) -> PeerLink {
        let numbers = addresses.all.iter().enumerate().map(|(number, addr)| (*addr, number)).collect();
        let exchange = Exchange::new(addresses.me, addresses.all.len(), seed, now);
        PeerLink {
            addresses,
            numbers,
            socket: None,
            open_at: now,
            exchange,
            names: HashMap::new(),
            malformed: 0,
        }
    }

    /// The list that is held until discovery answers, as of this version.
    pub fn remembers<'a>(&mut self, version: u64, targets: impl Iterator<Item = (&'a str, bool)>) {
        let in_use = targets.filter(|(_, in_use)| *in_use);
        self.names = in_use.map(|(name, _)| (TargetKey::of(name), name.to_string())).collect();
        self.exchange.remembers(version);
    }

    /// A list was heard: the names of its targets, and whether they are in use. `full`: others are not listed
    /// any more.
    pub fn listed<'a>(
        &mut self,
        now: Micros,
        version: u64,
        full: bool,
        targets: impl Iterator<Item = (&'a str, bool)> + Clone,
    ) {
        let left_out = if full { self.left_out(targets.clone()) } else { Vec::new() };
        for (name, in_use) in targets.clone() {
            let key = TargetKey::of(name);
            if in_use {
                self.names.entry(key).or_insert_with(|| name.to_string());
            } else {
                self.names.remove(&key);
            }
        }
        let mut told: Vec<(&str, bool)> = targets.collect();
        told.extend(left_out.iter().map(|name| (name.as_str(), false)));
        self.exchange.listed(now, version, told.into_iter());
    }

    /// Takes the targets out that a whole list does not name any more.
    fn left_out<'a>(&mut self, targets: impl Iterator<Item = (&'a str, bool)>) -> Vec<String> {
        let named: HashSet<TargetKey> = targets.map(|(name, _)| TargetKey::of(name)).collect();
        self.names.extract_if(|key, _| !named.contains(key)).map(|(_, name)| name).collect()
    }

    /// Discovery is at another address.
    pub fn moved(&mut self) {
        self.exchange.moved();
    }

    /// Whether a watch on discovery is open.
    pub fn watching(&mut self, now: Micros, watching: bool) {
        if self.exchange.watching(now, watching) && watching {
            self.tell();
        }
    }

    /// Writes what was counted to the log.
    fn tell(&self) {
        let rowanglade_drain_gossip::Counters { told, heard, over_budget, gaps, not_asked } =
            self.exchange.counters();
        let malformed = self.malformed;
        tracing::info!(told, heard, over_budget, gaps, not_asked, malformed, "departures");
    }

    /// When [`PeerLink::poll`] is due.
    pub fn next_poll(&self) -> Option<Micros> {
        match self.socket {
            Some(_) => self.exchange.next_poll(),
            None => Some(self.open_at),
        }
    }

    /// Sends what is due.
    pub async fn poll(&mut self, now: Micros) {
        if self.socket.is_none() && now >= self.open_at {
            self.open(now).await;
        }
        for datagram in self.exchange.poll(now) {
            self.send(&datagram);
        }
    }

    async fn open(&mut self, now: Micros) {
        match UdpSocket::bind(self.addresses.listen).await {
            Ok(socket) => self.socket = Some(socket),
            Err(error) => {
                self.open_at = now + REOPEN_AFTER;
                tracing::info!(listen = %self.addresses.listen, %error, "peers are not heard yet");
            }
        }
    }

    /// A datagram that cannot be sent is lost, as it could be on its way.
    fn send(&self, datagram: &Outgoing) {
        if let (Some(socket), Some(addr)) = (&self.socket, self.addresses.all.get(datagram.to)) {
            let _ = socket.try_send_to(&datagram.message.encode(), *addr);
        }
    }

    /// Waits for the next datagram, answers it if it asks, and returns the names of targets that it tells to
    /// have left. Cancellation loses nothing.
    pub async fn receive(&mut self, clock: Clock) -> Vec<String> {
        let Some(socket) = &self.socket else { return std::future::pending().await };
        let mut buffer = [0; LONGEST + 1];
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { return Vec::new() };
        let now = clock.now();
        let Some(from) = self.numbers.get(&from).copied().filter(|number| *number != self.addresses.me)
        else {
            return Vec::new();
        };
        match Message::decode(&buffer[..length]) {
            Ok(Message::Query { number, after }) => {
                let over_budget = self.exchange.counters().over_budget;
                let reports = self.exchange.query(now, from, number, after);
                reports.iter().for_each(|report| self.send(report));
                if self.exchange.counters().over_budget > over_budget {
                    tracing::debug!(from, "an answer to a peer was cut short; it asks on");
                }
                Vec::new()
            }
            Ok(Message::Report(report)) => {
                let departed = self.exchange.report(now, from, &report);
                departed.iter().filter_map(|key| self.names.get(key).cloned()).collect()
            }
            Err(error) => {
                self.malformed += 1;
                tracing::debug!(from, %error, malformed = self.malformed, "a peer's datagram was not used");
                Vec::new()
            }
        }
    }
}
