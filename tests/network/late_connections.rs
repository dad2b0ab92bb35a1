//! Connections that come up late, and requests that wait for them.

use crate::harness::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A listener with the shortest queue that there is.
pub fn short() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).expect("set");
    let addr = listener.local_addr().expect("bound");
    (TcpListener::from_std(listener).expect("listening"), addr)
}

/// Connections that fill a listener's queue.
pub fn fill(addr: SocketAddr) -> Vec<std::net::TcpStream> {
    let wait = Duration::from_millis(50);
    std::iter::from_fn(|| std::net::TcpStream::connect_timeout(&addr, wait).ok()).collect()
}

/// A listener whose queue is full: connections to it come up once they are let in.
pub struct Full {
    listener: TcpListener,
    pub addr: SocketAddr,
    fillers: Vec<std::net::TcpStream>,
}

impl Full {
    pub fn new() -> Full {
        let (listener, addr) = short();
        Full { listener, addr, fillers: fill(addr) }
    }

    /// Lets all in that wait or come, and follows the script with those that ask something.
    pub fn let_in(self, script: Vec<Step>) -> Peer {
        drop(self.fillers);
        peer_on(self.listener, script)
    }
}

/// A connection may take long to come up, and a client waits longer.
pub fn patient(json: &mut serde_json::Value) {
    json["settings"]["ceilings"]["connect-timeout"] = 5_000_000.into();
    for grade in 0..2 {
        json["settings"]["grades"][grade]["promise"] = 4_000_000.into();
        json["settings"]["grades"][grade]["hard-limit"] = 8_000_000.into();
    }
}

pub fn patient_request(class: &str, id: &str) -> String {
    request(class, id, 0, if class == "deposit" { "x" } else { "" }).replace("Ms: 1400", "Ms: 7000")
}

/// What a peer saw of requests once nothing can be on its way to it any more.
pub async fn seen_after(peer: &mut Peer, wait: Duration) -> Vec<String> {
    let mut seen = Vec::new();
    while let Ok(Some(line)) = tokio::time::timeout(wait, peer.seen.recv()).await {
        seen.push(line);
    }
    seen
}

/// The system tries a connection again after 1 s, and what comes up is used at once.
pub const TRIED_AGAIN: Duration = Duration::from_millis(1_500);

pub async fn sent(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// What a peer sees next, soon.
pub async fn next_seen(peer: &mut Peer) -> String {
    let seen = tokio::time::timeout(Duration::from_secs(2), peer.seen.recv()).await;
    seen.expect("soon").expect("it lives")
}
