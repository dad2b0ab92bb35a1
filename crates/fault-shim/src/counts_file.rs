//! The file with the counts of injected faults, written by a separate thread.
//!
//! Writing a small file takes half a second or more on a disk under load. The process under test must not
//! wait for that: a delay of more than 0.15 s between two calls makes it read requests late and state too
//! much time left to targets, a breach that the rig itself would have caused.

use crate::COUNTS_VARIABLE;
use std::collections::BTreeMap;
use std::ffi::CString;
use std::fmt::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Sends counts to the thread that writes the file.
pub struct CountsFile {
    /// `None` if no file is configured or the thread could not be started.
    sender: Option<Sender<String>>,
}

impl CountsFile {
    /// Starts the writer thread if [`COUNTS_VARIABLE`] is set.
    pub fn start() -> CountsFile {
        let Some(counts_path) = counts_path() else { return CountsFile { sender: None } };
        let (sender, receiver) = channel();
        let thread = std::thread::Builder::new().spawn(move || write_latest(&counts_path, &receiver));
        CountsFile { sender: thread.ok().map(|_| sender) }
    }

    /// Queues the counts to replace the content of the file. Never blocks.
    pub fn write(&self, counts: &BTreeMap<String, u64>) {
        let Some(sender) = &self.sender else { return };
        let mut text = String::new();
        for (name, count) in counts {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {count}");
        }
        // The send cannot fail: the thread keeps receiving until the process exits.
        let _ = sender.send(text);
    }
}

/// The path of this process's counts file.
fn counts_path() -> Option<CString> {
    let base_path = std::env::var(COUNTS_VARIABLE).ok()?;
    CString::new(format!("{base_path}.{}", std::process::id())).ok()
}

fn write_latest(counts_path: &CString, receiver: &Receiver<String>) {
    while let Ok(mut text) = receiver.recv() {
        // Only the latest counts are written; older ones in the queue are skipped.
        while let Ok(newer) = receiver.try_recv() {
            text = newer;
        }
        write_file(counts_path, &text);
    }
}

/// Writes the file by direct system calls, into which no faults are injected.
fn write_file(counts_path: &CString, text: &str) {
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_TRUNC | libc::O_CLOEXEC;
    // SAFETY: path and text outlive the calls, and the descriptor is owned by this function.
    unsafe {
        // Newer architectures (arm64) have `openat` alone.
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, counts_path.as_ptr(), flags, 0o600);
        if file >= 0 {
            libc::syscall(libc::SYS_write, file, text.as_ptr(), text.len());
            libc::syscall(libc::SYS_close, file);
        }
    }
}
