//! Replacing the process: a successor that is started beside it takes over all that it owns. What is said,
//! and who owns when, is decided in crates/handover; here stand the lock, the socket and what the words
//! carry.

mod keeper;
mod wire;

pub use crate::core::HandoverState;
pub use keeper::{Begun, Controls, Keeper, Listeners, Told};
pub use wire::{Message, Share, Welcome, send};

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// Longer paths are no address of a socket.
const LONGEST_ADDRESS: usize = 100;

/// Where the processes of an initiator find each other.
#[derive(Debug)]
pub struct Meeting {
    folder: PathBuf,
    name: String,
    /// Held open for addresses by way of it.
    open: File,
}

impl Meeting {
    /// In a folder that the processes share. Other initiators may use the same.
    pub fn within(folder: &Path, name: &str) -> io::Result<Meeting> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = name.chars().take(64).map(plain).collect();
        Ok(Meeting { folder: folder.to_path_buf(), name, open: File::open(folder)? })
    }

    /// Held by the process that owns what there is.
    fn lock(&self) -> PathBuf {
        self.folder.join(format!("rowanglade-{}.lock", self.name))
    }

    /// A file in the folder, by a path that is short enough.
    fn address(&self, file: &str) -> PathBuf {
        let path = self.folder.join(file);
        if path.as_os_str().len() <= LONGEST_ADDRESS {
            return path;
        }
        PathBuf::from(format!("/proc/self/fd/{}/{file}", self.open.as_raw_fd()))
    }

    fn socket(&self) -> String {
        format!("rowanglade-{}.sock", self.name)
    }

    async fn connect(&self) -> io::Result<UnixStream> {
        UnixStream::connect(self.address(&self.socket())).await
    }

    /// Takes the socket's place, whatever stands there: its holder is gone, or has handed over.
    fn bind(&self) -> io::Result<UnixListener> {
        let new = format!("{}.{}", self.socket(), std::process::id());
        let path = self.folder.join(&new);
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(self.address(&new))?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&path, self.folder.join(self.socket()))?;
        Ok(listener)
    }

    /// Whether the other side runs as the user who owns the lock: the folder may be anybody's.
    fn trusts(&self, stream: &UnixStream) -> bool {
        let owner = std::fs::metadata(self.lock()).map(|m| m.uid());
        let trusted = matches!((stream.peer_cred(), owner), (Ok(peer), Ok(owner)) if peer.uid() == owner);
        if !trusted {
            tracing::warn!("another user's process is not talked to");
        }
        trusted
    }
}
