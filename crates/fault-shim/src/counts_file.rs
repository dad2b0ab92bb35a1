//! The file with the counts of injected faults, written by a thread of its own.
//!
//! A disk under load takes half a second and more for a small file. The process under test must not wait for it:
//! held up for longer than 0.15 s between two calls, it reads requests late and tells targets too much time, a
//! breach that the rig itself has caused.

use crate::COUNTS_VARIABLE;
use std::collections::BTreeMap;
use std::ffi::CString;
use std::fmt::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Hands counts to the thread that writes them.
pub struct CountsFile {
    /// None: no file was asked for, or the thread could not be started.
    texts: Option<Sender<String>>,
}

impl CountsFile {
    /// Starts the writing thread, if [`COUNTS_VARIABLE`] names a file.
    pub fn start() -> CountsFile {
        let Some(path) = path() else { return CountsFile { texts: None } };
        let (texts, received) = channel();
        let thread = std::thread::Builder::new().spawn(move || write_latest(&path, &received));
        CountsFile { texts: thread.ok().map(|_| texts) }
    }

    /// Has the counts written, in place of those before. Never waits.
    pub fn write(&self, counts: &BTreeMap<String, u64>) {
        let Some(texts) = &self.texts else { return };
        let mut text = String::new();
        for (name, count) in counts {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{name} {count}");
        }
        // The thread ends with its process only.
        let _ = texts.send(text);
    }
}

/// The file of this process.
fn path() -> Option<CString> {
    let path = std::env::var(COUNTS_VARIABLE).ok()?;
    CString::new(format!("{path}.{}", std::process::id())).ok()
}

fn write_latest(path: &CString, received: &Receiver<String>) {
    while let Ok(mut text) = received.recv() {
        // Older counts that wait are of no use any more.
        while let Ok(later) = received.try_recv() {
            text = later;
        }
        write_file(path, &text);
    }
}

/// Writes by system calls, which are not under test.
fn write_file(path: &CString, text: &str) {
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_TRUNC | libc::O_CLOEXEC;
    // SAFETY: path and text live to the end of this function, and the descriptor is this function's own.
    unsafe {
        let file = libc::syscall(libc::SYS_open, path.as_ptr(), flags, 0o600);
        if file >= 0 {
            libc::syscall(libc::SYS_write, file, text.as_ptr(), text.len());
            libc::syscall(libc::SYS_close, file);
        }
    }
}
