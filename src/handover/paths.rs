//! Where the processes of one initiator find each other: the lock file and the socket.

use std::fs::{File, TryLockError};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// Bytes of a socket's address: longer paths are none.
const MAX_ADDRESS_BYTES: usize = 100;
/// Characters of an initiator's name that go into the names of files.
const MAX_NAME_CHARS: usize = 64;

/// The folder that the processes share, and their files in it.
#[derive(Debug)]
pub struct HandoverPaths {
    folder: PathBuf,
    name: String,
    /// Held open for addresses by way of it.
    folder_file: File,
}

impl HandoverPaths {
    /// The files of the initiator `name` in `folder`. Other initiators may use the same folder.
    ///
    /// # Errors
    /// The folder cannot be opened.
    pub fn within(folder: &Path, name: &str) -> io::Result<HandoverPaths> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = name.chars().take(MAX_NAME_CHARS).map(plain).collect();
        Ok(HandoverPaths { folder: folder.to_path_buf(), name, folder_file: File::open(folder)? })
    }

    /// Opens the lock, which it does not acquire.
    pub(super) fn open_lock(&self) -> io::Result<OwnershipLock> {
        let file = File::options().create(true).truncate(false).write(true).open(self.lock_path())?;
        Ok(OwnershipLock { file })
    }

    fn lock_path(&self) -> PathBuf {
        self.folder.join(format!("rowanglade-{}.lock", self.name))
    }

    /// A file in the folder, by a path that is short enough.
    fn address(&self, file: &str) -> PathBuf {
        let path = self.folder.join(file);
        if path.as_os_str().len() <= MAX_ADDRESS_BYTES {
            return path;
        }
        PathBuf::from(format!("/proc/self/fd/{}/{file}", self.folder_file.as_raw_fd()))
    }

    fn socket(&self) -> String {
        format!("rowanglade-{}.sock", self.name)
    }

    /// Connects to the process that serves.
    pub(super) async fn connect(&self) -> io::Result<UnixStream> {
        UnixStream::connect(self.address(&self.socket())).await
    }

    /// Takes the socket's place, whatever stands there: its holder is gone, or has handed over.
    pub(super) fn bind(&self) -> io::Result<UnixListener> {
        let new = format!("{}.{}", self.socket(), std::process::id());
        let path = self.folder.join(&new);
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(self.address(&new))?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&path, self.folder.join(self.socket()))?;
        Ok(listener)
    }

    /// Whether the other side runs as the user who owns the lock: the folder may be anybody's.
    pub(super) fn trusts(&self, stream: &UnixStream) -> bool {
        let owner = std::fs::metadata(self.lock_path()).map(|m| m.uid());
        let trusted = matches!((stream.peer_cred(), owner), (Ok(peer), Ok(owner)) if peer.uid() == owner);
        if !trusted {
            tracing::warn!("handover connection of another user rejected");
        }
        trusted
    }
}

/// Held by the process that owns what there is. The system frees it with its holder's death.
#[derive(Debug)]
pub(super) struct OwnershipLock {
    file: File,
}

impl OwnershipLock {
    /// Tries to acquire it. False: another process holds it.
    pub(super) fn try_acquire(&self) -> io::Result<bool> {
        match self.file.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    pub(super) fn release(&self) -> io::Result<()> {
        self.file.unlock()
    }
}
