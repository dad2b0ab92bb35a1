//! What an initiator has from the process that it replaces, and the sockets that may come with it.

use super::Error;
use crate::config::{Config, ConfigError};
use crate::handover::{HandoverActor, HandoverPaths, HandoverStart, Listeners, Welcome};
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// What this process has from its predecessor.
pub struct Received {
    /// Carries out handovers, also to a successor; none where no process can replace this one.
    pub actor: Option<HandoverActor>,
    /// The predecessor's sockets.
    pub listeners: Listeners,
    /// What may be known early of the predecessor's state; none where there is no predecessor.
    pub welcome: Option<Box<Welcome>>,
}

impl Received {
    /// Looks for a process of this initiator that serves, and asks it to hand over.
    ///
    /// # Errors
    /// There is one, and it hands over by another version of the protocol.
    pub async fn from_predecessor(config: &Config) -> Result<Received, Error> {
        let (actor, listeners, welcome) = match contact(config).await {
            None => (None, Listeners::default(), None),
            Some((_, HandoverStart::VersionMismatch { version })) => return Err(Error::Version(version)),
            Some((actor, HandoverStart::Alone)) => (Some(actor), Listeners::default(), None),
            Some((actor, HandoverStart::Welcomed(welcome, listeners))) => {
                (Some(actor), listeners, Some(welcome))
            }
        };
        Ok(Received { actor, listeners, welcome })
    }
}

/// Contacts the process of this initiator that serves. `None`: this process can neither replace nor be
/// replaced.
async fn contact(config: &Config) -> Option<(HandoverActor, HandoverStart)> {
    // Without an admin listener nobody would learn when the successor serves.
    let folder = config.meeting.as_ref().filter(|_| config.admin.is_some())?;
    let started = match HandoverPaths::within(folder, &config.name) {
        Ok(paths) => HandoverActor::start(paths).await,
        Err(error) => Err(error),
    };
    started
        .inspect_err(|error| {
            tracing::warn!(folder = %folder.display(), %error, "no process can replace this one");
        })
        .ok()
}

/// The predecessor's TCP listener of this name, or a new one; errors name the configuration's `key`.
///
/// # Errors
/// The address cannot be listened on.
pub async fn listen(
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

/// The predecessor's UDP socket for the exchange with peers, or a new one.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind_fleet(listeners: &mut Listeners, addr: SocketAddr) -> std::io::Result<UdpSocket> {
    match listeners.take("fleet") {
        Some(fd) => UdpSocket::from_std(fd.into()),
        None => UdpSocket::bind(addr).await,
    }
}

/// A new listener for operators' commands, which each process has for itself.
///
/// # Errors
/// The address cannot be listened on.
pub fn bind_admin(addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    std::net::TcpListener::bind(addr)
        .map_err(|e| Error::Config(ConfigError::new("admin", format!("{addr}: {e}"))))
}
