//! Reserves ports of the loopback address for stubs and processes.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Binds a socket to a free port of the loopback address, without listening. While the socket exists, the
/// port is not assigned to other sockets; sockets that bind to it explicitly may listen, and while none does,
/// connections are refused.
pub fn reserve_port() -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Addresses for datagrams whose ports are free now, one per process.
pub fn free_datagram_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
