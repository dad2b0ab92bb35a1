//! The sockets that an initiator serves on: its predecessor's, or new ones.

use super::Error;
use crate::config::{Config, ConfigError, Iscsi};
use crate::handover::Listeners;
use crate::net::quota_exchange;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use tokio::net::{TcpListener, UdpSocket};

/// The names by which sockets go from one process to the next. Another build may know them: they stay.
const HTTP: &str = "http";
const ISCSI: &str = "iscsi";
const QUOTA: &str = "fleet";

/// The sockets, as far as the configuration has them.
pub struct Sockets {
    /// Where clients connect.
    pub http: TcpListener,
    /// Where sessions connect, with the front's configuration.
    pub iscsi: Option<(TcpListener, Iscsi)>,
    /// Where operators connect.
    pub admin: Option<std::net::TcpListener>,
    /// The descriptor of the socket for the quota exchange.
    quota: Option<OwnedFd>,
}

impl Sockets {
    /// Opens all listeners; errors name the configuration's key. Takes the iSCSI front's configuration.
    ///
    /// # Errors
    /// An address cannot be listened on.
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

    /// Copies of the descriptors that a successor gets.
    ///
    /// # Errors
    /// The process has no descriptor left.
    pub fn duplicate(&mut self) -> io::Result<Listeners> {
        let mut copies = vec![(HTTP.to_string(), self.http.as_fd().try_clone_to_owned()?)];
        if let Some((listener, _)) = &self.iscsi {
            copies.push((ISCSI.to_string(), listener.as_fd().try_clone_to_owned()?));
        }
        copies.extend(self.quota.take().map(|descriptor| (QUOTA.to_string(), descriptor)));
        Ok(Listeners(copies))
    }
}

/// The predecessor's TCP listener of this name, or a new one; errors name the configuration's `key`.
///
/// # Errors
/// The address cannot be listened on.
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

/// A new listener for operators' commands, which each process has for itself.
///
/// # Errors
/// The address cannot be listened on.
fn listen_admin(addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    std::net::TcpListener::bind(addr)
        .map_err(|e| Error::Config(ConfigError::new("admin", format!("{addr}: {e}"))))
}
