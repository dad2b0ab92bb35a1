//! The sockets that an initiator serves on, inherited from its predecessor or newly opened.

use super::Error;
use crate::config::{Config, ConfigError, Iscsi};
use crate::handover::Listeners;
use crate::net::quota_exchange;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use tokio::net::{TcpListener, UdpSocket};

/// The names of the sockets in handover messages. Other builds use the same names: they are stable.
const HTTP: &str = "http";
const ISCSI: &str = "iscsi";
const QUOTA: &str = "fleet";

/// The sockets that the configuration enables.
pub struct Sockets {
    /// The listener of the HTTP front.
    pub http: TcpListener,
    /// The listener of the iSCSI front, with the front's configuration.
    pub iscsi: Option<(TcpListener, Iscsi)>,
    /// The listener for operators.
    pub admin: Option<std::net::TcpListener>,
    /// A duplicate of the quota exchange socket, for a successor.
    quota: Option<OwnedFd>,
}

impl Sockets {
    /// Opens all listeners, and takes the iSCSI front's configuration out of `config`. Errors name the
    /// configuration key.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn open(config: &mut Config, listeners: &mut Listeners) -> Result<Sockets, Error> {
        let http = listen(listeners, HTTP, "listen", config.listen).await?;
        let admin = config.admin.map(listen_admin).transpose()?;
        let iscsi = match config.iscsi.take() {
            Some(iscsi) => Some((listen(listeners, ISCSI, "iscsi.listen", iscsi.listen).await?, iscsi)),
            None => None,
        };
        Ok(Sockets { http, iscsi, admin, quota: None })
    }

    /// Opens the socket for the quota exchange.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn open_quota(
        &mut self,
        listeners: &mut Listeners,
        peers: &quota_exchange::FleetPeers,
    ) -> io::Result<UdpSocket> {
        let socket = match listeners.take(QUOTA) {
            Some(descriptor) => UdpSocket::from_std(descriptor.into())?,
            None => UdpSocket::bind(peers.addrs[usize::from(peers.own.0)]).await?,
        };
        self.quota = Some(socket.as_fd().try_clone_to_owned()?);
        Ok(socket)
    }

    /// Duplicates of the descriptors, to be passed on to a successor.
    ///
    /// # Errors
    /// The process has reached its descriptor limit.
    pub fn duplicate(&mut self) -> io::Result<Listeners> {
        let mut copies = vec![(HTTP.to_string(), self.http.as_fd().try_clone_to_owned()?)];
        if let Some((listener, _)) = &self.iscsi {
            copies.push((ISCSI.to_string(), listener.as_fd().try_clone_to_owned()?));
        }
        copies.extend(self.quota.take().map(|descriptor| (QUOTA.to_string(), descriptor)));
        Ok(Listeners(copies))
    }
}

/// The predecessor's TCP listener of this name, or a new one. Errors name the configuration `key`.
///
/// # Errors
/// The address cannot be bound.
async fn listen(
    listeners: &mut Listeners,
    name: &str,
    key: &str,
    addr: SocketAddr,
) -> Result<TcpListener, Error> {
    if let Some(fd) = listeners.take(name) {
        let listener = std::net::TcpListener::from(fd);
        listener.set_nonblocking(true)?;
        return Ok(TcpListener::from_std(listener)?);
    }
    TcpListener::bind(addr).await.map_err(|e| Error::Config(ConfigError::new(key, format!("{addr}: {e}"))))
}

/// A new listener for operators' commands; it is not handed over, each process has its own.
///
/// # Errors
/// The address cannot be bound.
fn listen_admin(addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    std::net::TcpListener::bind(addr)
        .map_err(|e| Error::Config(ConfigError::new("admin", format!("{addr}: {e}"))))
}
