//! Tests of the maximum line length.

use super::*;
use std::io::{BufReader, Read};

// A line of a megabyte must neither be stored in memory nor prevent the next line from being read.
#[test]
fn line_above_the_maximum_is_reported_and_the_next_line_is_read() {
    let long = io::repeat(b'x').take(1 << 20);
    let stream = BufReader::with_capacity(100, b"a\r\n".chain(long).chain(&b"\nb"[..]));
    let mut lines = Lines::new(stream);
    assert_eq!(lines.next_line().expect("read"), Some(Line::Complete(b"a")));
    assert_eq!(lines.next_line().expect("read"), Some(Line::TooLong((1 << 20) + 1)));
    assert!(lines.buffer.capacity() < 4 * MAX_LINE_BYTES, "{}", lines.buffer.capacity());
    assert_eq!(lines.next_line().expect("read"), Some(Line::Complete(b"b")));
    assert_eq!((lines.number(), lines.next_line().expect("read")), (3, None));
}
