//! The progress of long work, on standard error where that is a terminal.

use std::io::{IsTerminal, Write, stderr};
use std::time::{Duration, Instant};

/// How often the line is written: a reader sees no more.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// A line that is rewritten in place, and cleared when it is dropped.
pub struct Line {
    shown: bool,
    last_written_at: Instant,
    terminal: bool,
}

impl Line {
    /// A line that is not written yet.
    pub fn new() -> Line {
        Line { shown: false, last_written_at: Instant::now(), terminal: stderr().is_terminal() }
    }

    /// Writes what `text` returns, unless the line was written a moment ago.
    pub fn show(&mut self, text: impl FnOnce() -> String) {
        if self.terminal && self.last_written_at.elapsed() >= REFRESH_INTERVAL {
            self.last_written_at = Instant::now();
            self.shown = true;
            let _ = write!(stderr(), "\r\x1b[2K{}", text());
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if self.shown {
            let _ = write!(stderr(), "\r\x1b[2K");
        }
    }
}
