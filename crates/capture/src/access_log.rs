//! Reads access logs in the Common and the Combined Log Format of web servers. A last field that is beyond
//! the format is read as the time to the response: in seconds if it has a decimal point, otherwise in
//! microseconds.

use crate::entry_error::EntryError;
use crate::recorded_request::RecordedRequest;
use jiff::fmt::strtime;
use std::borrow::Cow;

/// Parses lines. The time parsed last is cached, since all lines of a second have the same.
#[derive(Debug, Default)]
pub struct Parser {
    last_time_text: String,
    last_time_us: i64,
}

/// Removes the next field: in quotes, in brackets, or up to a space. `None` at the end of the line, or if the
/// closing quote or bracket is missing.
fn next_field<'a>(rest: &mut &'a str) -> Option<&'a str> {
    let text = rest.trim_start_matches(' ');
    let (open, close) = match text.as_bytes().first()? {
        b'"' => (1, b'"'),
        b'[' => (1, b']'),
        _ => (0, b' '),
    };
    let body = &text[open..];
    let mut escaped = false;
    let end = body.bytes().position(|b| {
        let ends = b == close && !escaped;
        escaped = b == b'\\' && !escaped;
        ends
    });
    let end = match (end, open) {
        (Some(end), _) => end,
        (None, 0) => body.len(),
        // The closing quote or bracket is missing.
        (None, _) => return None,
    };
    *rest = &body[(end + open).min(body.len())..];
    Some(&body[..end])
}

impl Parser {
    /// Parses a line. `None` for an empty line, a comment, or the line of a connection that sent no request.
    ///
    /// # Errors
    /// The line has neither of the formats. The error names the field.
    pub fn parse<'a>(&mut self, line: &'a [u8]) -> Result<Option<RecordedRequest<'a>>, EntryError> {
        let line = std::str::from_utf8(line).map_err(|_| EntryError::NotUtf8)?.trim();
        if line.is_empty() || line.starts_with('#') {
            return Ok(None);
        }
        let mut rest = line;
        let mut next = |name: &'static str| next_field(&mut rest).ok_or(EntryError::Missing(name));
        let invalid = |field, value: &str| EntryError::Invalid { field, value: value.to_string() };
        let (host, _identity, _user) = (next("host")?, next("identity")?, next("user")?);
        let time = next("time")?;
        if time != self.last_time_text || self.last_time_text.is_empty() {
            self.last_time_us = strtime::parse("%d/%b/%Y:%H:%M:%S %z", time)
                .and_then(|t| t.to_timestamp())
                .map_err(|source| EntryError::Time { value: time.to_string(), source })?
                .as_microsecond();
            self.last_time_text = time.to_string();
        }
        let request = next("request")?;
        if request == "-" {
            return Ok(None);
        }
        let mut words = request.split_ascii_whitespace();
        let (method, target) = match (words.next(), words.next(), words.next(), words.next()) {
            (Some(method), Some(target), Some(version), None) if version.starts_with("HTTP/") => {
                (method, target)
            }
            _ => return Err(invalid("request", request)),
        };
        let (status, size) = (next("status")?, next("size")?);
        let (referer, agent, taken) = (next("referer").ok(), next("agent").ok(), next("time taken").ok());
        let took = taken.or(if agent.is_none() { referer } else { None });
        let target = target.split('#').next().unwrap_or(target);
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path, Some(Cow::Borrowed(query))),
            None => (target, None),
        };
        let received = match size {
            "-" => 0,
            size => size.parse().map_err(|_| invalid("size", size))?,
        };
        Ok(Some(RecordedRequest {
            at: self.last_time_us,
            whole_second: true,
            method: Cow::Borrowed(method),
            path: Cow::Borrowed(path),
            query,
            client: host.trim_matches(['[', ']']).parse().ok(),
            status: status
                .parse()
                .ok()
                .filter(|s| (100..1000).contains(s))
                .ok_or_else(|| invalid("status", status))?,
            sent: 0,
            received,
            took: took.and_then(microseconds),
            key: None,
            logged: None,
        }))
    }
}

fn microseconds(text: &str) -> Option<u64> {
    let value: f64 = text.parse().ok().filter(|v: &f64| v.is_finite() && (0.0..1e12).contains(v))?;
    Some(if text.contains('.') { (value * 1e6).round() as u64 } else { value as u64 })
}
