//! Carries the quota exchange's datagrams over UDP, each with the fleet's authentication code. A datagram that
//! is not the fleet's is dropped and counted.

use crate::core::{CoreHandle, Message, OutgoingDatagram};
use crate::net::Phase;
use rowanglade_quota_exchange::wire::MAX_DATAGRAM_BYTES;
use rowanglade_quota_exchange::{Key, Peer, decode, encode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Rejected datagrams are logged this often at most: whoever sends many must not fill the log.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Datagrams to peers that may wait at least; one that finds the queue full is lost, as it could be on its way.
const MIN_QUEUE_DATAGRAMS: usize = 256;
/// What a datagram takes up in the system's buffer, in bytes, with what the system keeps of it.
const BUFFERED_DATAGRAM_BYTES: usize = 1_024;

/// The fleet, as an initiator knows it.
#[derive(Clone, Debug)]
pub struct FleetPeers {
    /// The addresses of all initiators by their indices, this one's among them.
    pub addrs: Vec<SocketAddr>,
    /// This initiator.
    pub own: Peer,
    /// The key that all initiators share.
    pub key: Key,
}

impl FleetPeers {
    /// How many datagrams may wait to be sent: all peers may ask at once, and each gets an answer of its own.
    pub fn queue_capacity(&self) -> usize {
        self.addrs.len().max(MIN_QUEUE_DATAGRAMS)
    }

    fn by_address(&self) -> HashMap<SocketAddr, Peer> {
        self.addrs.iter().enumerate().map(|(index, addr)| (*addr, Peer(index as u16))).collect()
    }

    /// All addresses but this initiator's own, from the next index on: where the system's buffer is too small
    /// for a datagram to each, it is not always the same peers that miss theirs.
    fn others(&self) -> impl Iterator<Item = SocketAddr> {
        let own_index = usize::from(self.own.0);
        let count = self.addrs.len();
        (own_index + 1..own_index + count).map(move |index| self.addrs[index % count])
    }
}

/// Asks the system to buffer one datagram of each peer. It grants less where it has a limit of its own.
fn enlarge_receive_buffer(socket: &UdpSocket, peers: &FleetPeers) {
    let socket = socket2::SockRef::from(socket);
    let wanted_bytes = peers.addrs.len() * BUFFERED_DATAGRAM_BYTES;
    if socket.recv_buffer_size().is_ok_and(|bytes| bytes < wanted_bytes)
        && let Err(error) = socket.set_recv_buffer_size(wanted_bytes)
    {
        tracing::warn!(%error, wanted_bytes, "fleet receive buffer not enlarged");
    }
}

/// Counts rejected datagrams, and logs them from time to time.
struct RejectionLog {
    rejected: u64,
    logged_at: Instant,
}

impl RejectionLog {
    fn record(&mut self, from: SocketAddr) {
        self.rejected += 1;
        if self.logged_at.elapsed() >= REJECTION_LOG_INTERVAL {
            self.logged_at = Instant::now();
            tracing::warn!(rejected = self.rejected, %from, "fleet datagrams rejected");
        }
    }
}

/// Carries datagrams until the core drops its end of `outgoing`. Cancellation safe but for one datagram that
/// has been received and not passed on.
pub async fn run(
    socket: UdpSocket,
    peers: FleetPeers,
    core: CoreHandle,
    mut outgoing: mpsc::Receiver<OutgoingDatagram>,
    mut phase: watch::Receiver<Phase>,
) {
    enlarge_receive_buffer(&socket, &peers);
    let by_address = peers.by_address();
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut rejections = RejectionLog { rejected: 0, logged_at: Instant::now() };
    loop {
        // Datagrams are for the process that serves, though in a handover others hold the socket too.
        let serving = phase.borrow_and_update().accepts();
        tokio::select! {
            Ok(()) = phase.changed() => {}
            received = socket.recv_from(&mut buffer), if serving => {
                let Ok((length, from)) = received else { continue };
                let peer = by_address.get(&from).copied().filter(|peer| *peer != peers.own);
                let message = peer.map(|peer| (peer, decode(&peers.key, peer, &buffer[..length])));
                match message {
                    Some((peer, Ok(message))) => core.send(Message::QuotaDatagram(peer, message)).await,
                    _ => rejections.record(from),
                }
            }
            next = outgoing.recv() => {
                let Some(next) = next else { return };
                send(&socket, &peers, &next);
            }
        }
    }
}

/// Sends a datagram to one peer, or to all others. One that cannot be sent is lost, as it could be on its way.
fn send(socket: &UdpSocket, peers: &FleetPeers, (to, message): &OutgoingDatagram) {
    let datagram = encode(&peers.key, peers.own, message);
    match to {
        Some(peer) => {
            let addr = peers.addrs[usize::from(peer.0)];
            let _ = socket.try_send_to(&datagram, addr);
        }
        None => {
            for addr in peers.others() {
                let _ = socket.try_send_to(&datagram, addr);
            }
        }
    }
}
