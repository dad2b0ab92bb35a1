//! A progress line for long commands, on standard error if that is a terminal.

use std::io::{IsTerminal, Write, stderr};
use std::time::{Duration, Instant};

/// Shortest time between two updates of the line; readers cannot follow faster ones.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// A progress line that is overwritten in place and cleared when dropped.
pub struct Line {
    shown: bool,
    last_written_at: Instant,
    terminal: bool,
}

impl Line {
    /// Creates a line that has not been written yet.
    pub fn new() -> Line {
        Line { shown: false, last_written_at: Instant::now(), terminal: stderr().is_terminal() }
    }

    /// Writes the text, unless less than [`REFRESH_INTERVAL`] has passed since the line was last written.
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
