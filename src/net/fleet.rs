//! Datagrams between instances: UDP, each with the fleet's code. What is not the fleet's is dropped and
//! counted.

use crate::core::{CoreHandle, Message, OutgoingDatagram};
use crate::net::Phase;
use rowanglade_quota_exchange::{Key, Peer, decode, encode, wire};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How often datagrams that were not taken are told of.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// Datagrams to peers that may wait at least; what finds no room is lost, as it could be on its way.
const SHORTEST_QUEUE: usize = 256;
/// What a datagram takes up in the system's buffer, with what the system keeps of it.
const BUFFERED: usize = 1_024;

/// The fleet, as an instance knows it.
#[derive(Clone, Debug)]
pub struct Peers {
    /// All, by their numbers, this one among them.
    pub addrs: Vec<SocketAddr>,
    pub me: Peer,
    pub key: Key,
}

impl Peers {
    /// Datagrams that may wait to be sent: all peers may ask at once, and each gets an answer of its own.
    pub fn queue(&self) -> usize {
        self.addrs.len().max(SHORTEST_QUEUE)
    }

    fn numbers(&self) -> HashMap<SocketAddr, Peer> {
        self.addrs.iter().enumerate().map(|(i, addr)| (*addr, Peer(i as u16))).collect()
    }
}

/// Asks the system for room for one datagram of each peer. It grants less where it has a limit of its own.
fn make_room(socket: &UdpSocket, peers: &Peers) {
    let socket = socket2::SockRef::from(socket);
    let wanted = peers.addrs.len() * BUFFERED;
    if socket.recv_buffer_size().is_ok_and(|has| has < wanted)
        && let Err(error) = socket.set_recv_buffer_size(wanted)
    {
        tracing::warn!(%error, wanted, "the buffer of peers' datagrams stays as it is");
    }
}

/// Carries datagrams until the core lets go of the mailbox.
pub async fn run(
    socket: UdpSocket,
    peers: Peers,
    core: CoreHandle,
    mut out: mpsc::Receiver<OutgoingDatagram>,
    mut phase: watch::Receiver<Phase>,
) {
    make_room(&socket, &peers);
    let numbers = peers.numbers();
    let mut buffer = [0; wire::LONGEST + 1];
    let (mut strange, mut told) = (0u64, Instant::now());
    loop {
        // Datagrams are for the process that serves, though others may hold the socket too.
        let serving = phase.borrow_and_update().accepts();
        tokio::select! {
            Ok(()) = phase.changed() => {}
            received = socket.recv_from(&mut buffer), if serving => {
                let Ok((length, from)) = received else { continue };
                let number = numbers.get(&from).copied().filter(|number| *number != peers.me);
                let heard = number.map(|n| (n, decode(&peers.key, n, &buffer[..length])));
                if let Some((peer, Ok(message))) = heard {
                    core.send(Message::Peer(peer, message)).await;
                } else {
                    strange += 1;
                    if told.elapsed() >= TELL_EVERY {
                        told = Instant::now();
                        tracing::warn!(strange, %from, "datagrams that are not the fleet's");
                    }
                }
            }
            next = out.recv() => {
                let Some((to, message)) = next else { return };
                let bytes = encode(&peers.key, peers.me, &message);
                let (me, all) = (usize::from(peers.me.0), &peers.addrs);
                // All others, from the next number on: where the system has no room for all, others get it
                // each time.
                let places = match to {
                    Some(to) => usize::from(to.0)..usize::from(to.0) + 1,
                    None => me + 1..me + all.len(),
                };
                for place in places {
                    // One that cannot be sent is lost, as it could be on its way.
                    let _ = socket.try_send_to(&bytes, all[place % all.len()]);
                }
            }
        }
    }
}
