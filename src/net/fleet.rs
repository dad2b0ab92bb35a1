//! Datagrams between instances: UDP, each with the fleet's code. What is not the fleet's is dropped and counted.

use crate::core::{Handle, Message, Outgoing};
use crate::net::Phase;
use rowanglade_fleet_state::{Key, Peer, decode, encode, wire};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How often datagrams that were not taken are told of.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// The fleet, as an instance knows it.
#[derive(Clone, Debug)]
pub struct Peers {
    /// All, by their numbers, this one among them.
    pub addrs: Vec<SocketAddr>,
    pub me: Peer,
    pub key: Key,
}

/// Carries datagrams until the core lets go of the mailbox.
pub async fn run(
    socket: UdpSocket,
    peers: Peers,
    core: Handle,
    mut out: mpsc::Receiver<Outgoing>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut buffer = [0; wire::LONGEST + 1];
    let (mut strange, mut told) = (0u64, Instant::now());
    loop {
        // Datagrams are for the process that serves, though others may hold the socket too.
        let serving = phase.borrow_and_update().accepts();
        tokio::select! {
            Ok(()) = phase.changed() => {}
            received = socket.recv_from(&mut buffer), if serving => {
                let Ok((length, from)) = received else { continue };
                let number = peers.addrs.iter().position(|a| *a == from).map(|i| Peer(i as u16));
                let heard = number.filter(|n| *n != peers.me).map(|n| (n, decode(&peers.key, n, &buffer[..length])));
                if let Some((peer, Ok(message))) = heard {
                    core.tell(Message::Peer(peer, message)).await;
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
                for (i, addr) in peers.addrs.iter().enumerate() {
                    let number = Peer(i as u16);
                    if number != peers.me && to.is_none_or(|to| to == number) {
                        // One that cannot be sent is lost, as it could be on its way.
                        let _ = socket.try_send_to(&bytes, *addr);
                    }
                }
            }
        }
    }
}
