//! Helpers for tests in which connections to a target are established late.

use crate::harness::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A listener with the smallest possible backlog.
pub fn listener_with_smallest_backlog() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("the socket is created");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).expect("the socket is set to non-blocking");
    let addr = listener.local_addr().expect("bound");
    (TcpListener::from_std(listener).expect("listening"), addr)
}

/// Opens connections until the listener's backlog is full. They are never accepted.
pub fn fill_backlog(addr: SocketAddr) -> Vec<std::net::TcpStream> {
    let timeout = Duration::from_millis(50);
    std::iter::from_fn(|| std::net::TcpStream::connect_timeout(&addr, timeout).ok()).collect()
}

/// A listener whose backlog is full: connections to it are established only after
/// [`FullBacklog::accept_all`].
pub struct FullBacklog {
    listener: TcpListener,
    pub addr: SocketAddr,
    fillers: Vec<std::net::TcpStream>,
}

impl FullBacklog {
    pub fn new() -> FullBacklog {
        let (listener, addr) = listener_with_smallest_backlog();
        FullBacklog { listener, addr, fillers: fill_backlog(addr) }
    }

    /// Empties the backlog, accepts all connections and serves their requests by the script.
    pub fn accept_all(self, script: Vec<Step>) -> ScriptedServer {
        drop(self.fillers);
        scripted_server_on(self.listener, script)
    }
}

/// Raises the connect timeout to 5 s and the deadlines to 8 s, so that requests outlast a late connection.
pub fn allow_late_connections(json: &mut serde_json::Value) {
    json["settings"]["ceilings"]["connect-timeout"] = 5_000_000.into();
    for grade in 0..2 {
        json["settings"]["grades"][grade]["promise"] = 4_000_000.into();
        json["settings"]["grades"][grade]["hard-limit"] = 8_000_000.into();
    }
}

/// A request whose deadline outlasts a late connection.
pub fn request_with_long_deadline(class: &str, id: &str) -> String {
    request(class, id, 0, if class == "deposit" { "x" } else { "" }).replace("Ms: 1400", "Ms: 7000")
}

/// All lines that the server reports until it has reported nothing for `quiet`.
pub async fn received_until_quiet(server: &mut ScriptedServer, quiet: Duration) -> Vec<String> {
    let mut received = Vec::new();
    while let Ok(Some(line)) = tokio::time::timeout(quiet, server.received.recv()).await {
        received.push(line);
    }
    received
}

/// Longer than the system takes to repeat a SYN that a full backlog dropped, which is 1 s.
pub const AFTER_SYN_RETRY: Duration = Duration::from_millis(1_500);

pub async fn write_text(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// The server's next line, which has to come within 2 s.
pub async fn next_received(server: &mut ScriptedServer) -> String {
    let received = tokio::time::timeout(Duration::from_secs(2), server.received.recv()).await;
    received.expect("a line within 2 s").expect("the server runs")
}
