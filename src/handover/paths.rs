//! The files by which the processes of one initiator find each other: the lock file and the socket.

use std::fs::{File, TryLockError};
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// Maximum length of a path that is used as a socket address; the system allows little more.
const MAX_ADDRESS_BYTES: usize = 100;
/// Maximum number of characters of the initiator's name in file names.
const MAX_NAME_CHARS: usize = 64;

/// The directory that the processes share, and the names of their files in it.
#[derive(Debug)]
pub struct HandoverPaths {
    folder: PathBuf,
    name: String,
    /// Kept open so that long paths can be addressed through `/proc/self/fd`.
    folder_file: File,
}

impl HandoverPaths {
    /// The files of the initiator `name` in `folder`, which may also hold the files of other initiators.
    ///
    /// # Errors
    /// The directory cannot be opened.
    pub fn within(folder: &Path, name: &str) -> io::Result<HandoverPaths> {
        let replace_special = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name: String = name.chars().take(MAX_NAME_CHARS).map(replace_special).collect();
        Ok(HandoverPaths { folder: folder.to_path_buf(), name, folder_file: File::open(folder)? })
    }

    /// Opens the lock file without acquiring the lock.
    pub(super) fn open_lock(&self) -> io::Result<OwnershipLock> {
        let file = File::options().create(true).truncate(false).write(true).open(self.lock_path())?;
        Ok(OwnershipLock { file })
    }

    fn lock_path(&self) -> PathBuf {
        self.folder.join(format!("rowanglade-{}.lock", self.name))
    }

    /// The path of a file in the directory, short enough for a socket address.
    fn address(&self, file: &str) -> PathBuf {
        let path = self.folder.join(file);
        if path.as_os_str().len() <= MAX_ADDRESS_BYTES {
            return path;
        }
        PathBuf::from(format!("/proc/self/fd/{}/{file}", self.folder_file.as_raw_fd()))
    }

    fn socket_name(&self) -> String {
        format!("rowanglade-{}.sock", self.name)
    }

    /// Connects to the process that serves.
    pub(super) async fn connect(&self) -> io::Result<UnixStream> {
        UnixStream::connect(self.address(&self.socket_name())).await
    }

    /// Binds the socket in place of an existing one, whose process has ended or handed over. It is bound
    /// under a temporary name and then renamed.
    pub(super) fn bind(&self) -> io::Result<UnixListener> {
        let temporary_name = format!("{}.{}", self.socket_name(), std::process::id());
        let path = self.folder.join(&temporary_name);
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(self.address(&temporary_name))?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&path, self.folder.join(self.socket_name()))?;
        Ok(listener)
    }

    /// Whether the peer runs as the user who owns the lock file, since other users may have access to the
    /// directory.
    pub(super) fn is_trusted_peer(&self, stream: &UnixStream) -> bool {
        let owner = std::fs::metadata(self.lock_path()).map(|m| m.uid());
        let trusted = matches!((stream.peer_cred(), owner), (Ok(peer), Ok(owner)) if peer.uid() == owner);
        if !trusted {
            tracing::warn!("handover connection of another user rejected");
        }
        trusted
    }
}

/// The ownership lock. The system releases it when the process that holds it dies.
#[derive(Debug)]
pub(super) struct OwnershipLock {
    file: File,
}

impl OwnershipLock {
    /// Tries to acquire the lock. Returns false if another process holds it.
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
