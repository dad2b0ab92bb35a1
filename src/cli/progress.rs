//! How far long work is, on standard error where that is a terminal.

use std::io::{IsTerminal, Write, stderr};
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(200);

/// A line that is written over and over, and taken away in the end.
pub struct Line {
    shown: bool,
    last: Instant,
    terminal: bool,
}

impl Line {
    pub fn new() -> Line {
        Line { shown: false, last: Instant::now(), terminal: stderr().is_terminal() }
    }

    /// Shows what `text` makes, unless the last was shown a moment ago.
    pub fn show(&mut self, text: impl FnOnce() -> String) {
        if self.terminal && self.last.elapsed() >= EVERY {
            self.last = Instant::now();
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
