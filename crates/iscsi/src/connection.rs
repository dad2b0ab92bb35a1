//! Connections of an initiator to a target: TCP, then the login phase.

use crate::login::{self, SessionParameters};
use crate::pdu::Sequence;
use crate::reader::PduReader;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Timeouts of the steps of opening a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the TCP connection is established.
    pub connect: Duration,
    /// From then on, until the login is complete.
    pub login: Duration,
}

/// A connection in the full feature phase.
#[derive(Debug)]
pub struct Connection {
    /// Reads PDUs from the target.
    pub reader: PduReader<OwnedReadHalf>,
    /// Writes PDUs to the target.
    pub writer: OwnedWriteHalf,
    /// What the login negotiated.
    pub parameters: SessionParameters,
    /// The sequence numbers of the login response.
    pub sequence: Sequence,
}

impl Connection {
    /// Connects, and logs in as `initiator` to the target named `target`. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    /// The connection could not be opened or broke, a step timed out, or the target rejected the login.
    pub async fn open(
        addr: SocketAddr,
        initiator: &str,
        target: &str,
        timeouts: Timeouts,
    ) -> io::Result<Connection> {
        let stream = timeout(timeouts.connect, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let (read_half, mut writer) = stream.into_split();
        let mut reader = PduReader::new(read_half);
        let login = login::log_in(&mut reader, &mut writer, initiator, target);
        let (parameters, sequence) = timeout(timeouts.login, login).await??;
        Ok(Connection { reader, writer, parameters, sequence })
    }
}
