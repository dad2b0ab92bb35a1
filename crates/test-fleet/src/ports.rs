//! Ports of the loopback address for stubs and processes.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A socket that is bound to a free port of the loopback address and never listens. Others may listen there
/// as long as it is held; while nobody does, connections are refused, and no other socket is given the port.
pub fn reserve_port() -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Addresses for datagrams that are free now, one for each process.
pub fn free_datagram_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
