//! Sends and receives the quota exchange's datagrams over UDP, each with the fleet's authentication code. A
//! datagram from an unknown address, or whose code is wrong, is dropped and counted.

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

/// Minimum interval between log lines about rejected datagrams, so that a sender of many cannot fill the log.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Least capacity of the queue of outgoing datagrams. A datagram that finds the queue full is dropped, as if
/// the network had lost it.
const MIN_QUEUE_DATAGRAMS: usize = 256;
/// Space that a datagram takes in the socket's receive buffer, in bytes, including the kernel's overhead.
const BUFFERED_DATAGRAM_BYTES: usize = 1_024;

/// The addresses, identity and key with which this initiator takes part in the quota exchange.
#[derive(Clone, Debug)]
pub struct FleetPeers {
    /// Addresses of all initiators by index, including this one's.
    pub addrs: Vec<SocketAddr>,
    /// The index of this initiator.
    pub own: Peer,
    /// The key that all initiators share.
    pub key: Key,
}

impl FleetPeers {
    /// Capacity of the queue of outgoing datagrams: all peers may query at once, and each receives an answer
    /// of its own.
    pub fn queue_capacity(&self) -> usize {
        self.addrs.len().max(MIN_QUEUE_DATAGRAMS)
    }

    fn by_address(&self) -> HashMap<SocketAddr, Peer> {
        self.addrs.iter().enumerate().map(|(index, addr)| (*addr, Peer(index as u16))).collect()
    }

    /// All addresses but this initiator's own, starting at the next index. If the send buffer is too small
    /// for a datagram to each, the initiators then do not all drop the datagrams to the same peers.
    fn other_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        let own_index = usize::from(self.own.0);
        let count = self.addrs.len();
        (own_index + 1..own_index + count).map(move |index| self.addrs[index % count])
    }
}

/// Requests a receive buffer that holds one datagram of each peer. The system may grant less.
fn enlarge_receive_buffer(socket: &UdpSocket, peers: &FleetPeers) {
    let socket = socket2::SockRef::from(socket);
    let wanted_bytes = peers.addrs.len() * BUFFERED_DATAGRAM_BYTES;
    if socket.recv_buffer_size().is_ok_and(|bytes| bytes < wanted_bytes)
        && let Err(error) = socket.set_recv_buffer_size(wanted_bytes)
    {
        tracing::warn!(%error, wanted_bytes, "fleet receive buffer could not be enlarged");
    }
}

/// Counts rejected datagrams, and logs the count at intervals.
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

/// Sends and receives datagrams until the core drops its end of `outgoing`. Cancelling it may lose one
/// datagram that was received and not yet passed to the core.
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
        // Only the process that serves receives datagrams; in a handover other processes hold the socket too.
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

/// Sends a datagram to one peer, or to all others if `to` is `None`. One that cannot be sent is dropped, as
/// if the network had lost it.
fn send(socket: &UdpSocket, peers: &FleetPeers, (to, message): &OutgoingDatagram) {
    let datagram = encode(&peers.key, peers.own, message);
    match to {
        Some(peer) => {
            let addr = peers.addrs[usize::from(peer.0)];
            let _ = socket.try_send_to(&datagram, addr);
        }
        None => {
            for addr in peers.other_addrs() {
                let _ = socket.try_send_to(&datagram, addr);
            }
        }
    }
}
