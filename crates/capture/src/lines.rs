//! Reads lines of bytes with a maximum length. Longer lines are skipped without being stored.

use std::io::{self, BufRead};

/// The maximum length of a line, in bytes. Web servers usually limit request lines to 8 KiB.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A line without its line ending.
#[derive(Debug, PartialEq, Eq)]
pub enum Line<'a> {
    /// The content of a line within the maximum length.
    Complete(&'a [u8]),
    /// The length of a longer line, in bytes, including its line ending.
    TooLong(u64),
}

/// Splits a stream into lines. The last line may lack its line ending.
#[derive(Debug)]
pub struct Lines<R> {
    input: R,
    buffer: Vec<u8>,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Creates a reader of the stream's lines.
    pub fn new(input: R) -> Lines<R> {
        Lines { input, buffer: Vec::new(), number: 0 }
    }

    /// The number of the line that was read last, counted from 1; 0 before the first.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reads the next line; `None` at the end of the stream.
    ///
    /// # Errors
    /// Those of the stream. The part of a line that was read before the error is lost.
    pub fn next_line(&mut self) -> io::Result<Option<Line<'_>>> {
        self.buffer.clear();
        let mut length: u64 = 0;
        loop {
            let chunk = match self.input.fill_buf() {
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
            let newline = memchr::memchr(b'\n', chunk);
            let length_in_chunk = newline.unwrap_or(chunk.len());
            if self.buffer.len() + length_in_chunk <= MAX_LINE_BYTES {
                self.buffer.extend_from_slice(&chunk[..length_in_chunk]);
            } else {
                // One byte more than the maximum marks the line as too long; its content is not stored.
                self.buffer.resize(MAX_LINE_BYTES + 1, 0);
            }
            length += length_in_chunk as u64 + u64::from(newline.is_some());
            self.input.consume(length_in_chunk + usize::from(newline.is_some()));
            if newline.is_some() {
                break;
            }
        }
        self.number += 1;
        if self.buffer.len() > MAX_LINE_BYTES {
            return Ok(Some(Line::TooLong(length)));
        }
        let line = self.buffer.strip_suffix(b"\r").unwrap_or(&self.buffer);
        Ok(Some(Line::Complete(line)))
    }
}

#[cfg(test)]
mod tests;
