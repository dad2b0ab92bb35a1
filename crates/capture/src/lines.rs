//! Lines of bytes, each within a bound: a line of a megabyte is passed over without being held.

use std::io::{self, BufRead};

/// The longest line that is taken, in bytes. Request lines of web servers end at 8 KiB as a rule.
pub const LONGEST: usize = 64 * 1024;

/// A line, without its end.
#[derive(Debug, PartialEq, Eq)]
pub enum Line<'a> {
    /// One within the bound.
    Whole(&'a [u8]),
    /// One of more than [`LONGEST`] bytes: how many.
    TooLong(u64),
}

/// Takes a stream apart into lines. The last one need not end.
#[derive(Debug)]
pub struct Lines<R> {
    from: R,
    held: Vec<u8>,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// The lines of a stream.
    pub fn new(from: R) -> Lines<R> {
        Lines { from, held: Vec::new(), number: 0 }
    }

    /// The number of the line that was read last, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The next line; none at the end.
    ///
    /// # Errors
    /// Those of the stream. What was read of a line up to there is lost with it.
    pub fn next_line(&mut self) -> io::Result<Option<Line<'_>>> {
        self.held.clear();
        let mut length: u64 = 0;
        loop {
            let chunk = match self.from.fill_buf() {
                Ok(chunk) => chunk,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            if chunk.is_empty() {
                if length == 0 {
                    return Ok(None);
                }
                break;
            }
            let end = memchr::memchr(b'\n', chunk);
            let part = end.unwrap_or(chunk.len());
            if self.held.len() + part <= LONGEST {
                self.held.extend_from_slice(&chunk[..part]);
            } else {
                // Beyond the bound only the length is kept.
                self.held.resize(LONGEST + 1, 0);
            }
            length += part as u64 + u64::from(end.is_some());
            self.from.consume(part + usize::from(end.is_some()));
            if end.is_some() {
                break;
            }
        }
        self.number += 1;
        if self.held.len() > LONGEST {
            return Ok(Some(Line::TooLong(length)));
        }
        let line = self.held.strip_suffix(b"\r").unwrap_or(&self.held);
        Ok(Some(Line::Whole(line)))
    }
}

#[cfg(test)]
mod tests;
