//! Finds the ends of request heads in the bytes of a connection.

/// Finds the blank line that ends a request's head, in a stream whose bytes come in pieces. Blank lines before the first
/// line of a request belong to its head, as the HTTP library has it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeadScanner {
    /// Whether nothing but carriage returns followed the last line feed.
    line_is_blank: bool,
    /// Whether the head has a line that is not blank.
    has_content: bool,
}

impl HeadScanner {
    /// Scans the next bytes up to the end of a head. Returns the number of bytes up to and including it; `None`:
    /// no head ends in them.
    pub(super) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.line_is_blank && self.has_content => {
                    *self = HeadScanner::default();
                    return Some(index + 1);
                }
                b'\n' => self.line_is_blank = true,
                b'\r' => {}
                _ => *self = HeadScanner { line_is_blank: false, has_content: true },
            }
        }
        None
    }
}
