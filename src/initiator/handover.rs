//! The handover from the process that this one replaces, and the sockets that may come with it.

use super::Error;
use crate::config::{Config, ConfigError};
use crate::upgrade::{Begun, Keeper, Listeners, Meeting, Welcome};
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// What this process has from the one that it replaces.
pub struct Handover {
    /// Carries out handovers, also to a successor; none where no process can replace this one.
    pub keeper: Option<Keeper>,
    /// The predecessor's sockets.
    pub listeners: Listeners,
    /// The predecessor's state; none where there is no predecessor.
    pub welcome: Option<Box<Welcome>>,
}

impl Handover {
    /// Looks for a process of this initiator that serves, and asks it to hand over.
    ///
    /// # Errors
    /// There is one, and it hands over by another version of the protocol.
    pub async fn receive(config: &Config) -> Result<Handover, Error> {
        let (keeper, listeners, welcome) = match meet(config).await {
            None => (None, Listeners::default(), None),
            Some((_, Begun::Refused { version })) => return Err(Error::Version(version)),
            Some((keeper, Begun::Alone)) => (Some(keeper), Listeners::default(), None),
            Some((keeper, Begun::Welcomed(welcome, listeners))) => (Some(keeper), listeners, Some(welcome)),
        };
        Ok(Handover { keeper, listeners, welcome })
    }
}

/// Contacts the process of this initiator that serves. None: this process can neither replace nor be
/// replaced.
async fn meet(config: &Config) -> Option<(Keeper, Begun)> {
    // Without operators' calls nobody would learn when the successor serves.
    let folder = config.meeting.as_ref().filter(|_| config.admin.is_some())?;
    let begun = match Meeting::within(folder, &config.name) {
        Ok(meeting) => Keeper::begin(meeting).await,
        Err(error) => Err(error),
    };
    begun
        .inspect_err(|error| {
            tracing::warn!(folder = %folder.display(), %error, "no process can replace this one");
        })
        .ok()
}

/// The predecessor's TCP listener of this name, or a new one; errors name the configuration's `key`.
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
pub async fn bind_fleet(listeners: &mut Listeners, addr: SocketAddr) -> std::io::Result<UdpSocket> {
    match listeners.take("fleet") {
        Some(fd) => UdpSocket::from_std(fd.into()),
        None => UdpSocket::bind(addr).await,
    }
}

/// A new listener for operators' calls, which each process has for itself.
pub fn bind_admin(addr: SocketAddr) -> Result<std::net::TcpListener, Error> {
    std::net::TcpListener::bind(addr)
        .map_err(|e| Error::Config(ConfigError::new("admin", format!("{addr}: {e}"))))
}
