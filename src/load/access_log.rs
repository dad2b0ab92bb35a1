//! Access logs in the Common Log Format and the Combined one, as web servers write them. A last field beyond
//! the Combined Format's is read as the time that the answer took, in seconds if it has a decimal point and in
//! microseconds if it is whole.

use crate::load::{LoadError, Offer};
use jiff::fmt::strtime;

/// Empty lines and comments are passed over, and lines of connections that never made a request.
pub fn read(bytes: &[u8]) -> Result<Vec<Offer>, LoadError> {
    let lines = bytes.split(|b| *b == b'\n').enumerate();
    let offers = lines.filter_map(|(i, line)| {
        let at = |problem: &str| LoadError::at("line", i + 1, problem);
        let line = match std::str::from_utf8(line) {
            Ok(line) => line.trim(),
            Err(_) => return Some(Err(at("is not UTF-8"))),
        };
        if line.is_empty() || line.starts_with('#') {
            return None;
        }
        offer(line).map_err(|problem| at(&problem)).transpose()
    });
    offers.collect()
}

/// The next field: in quotes, in brackets, or up to a space.
fn field<'a>(rest: &mut &'a str) -> Option<&'a str> {
    let text = rest.trim_start();
    let (open, close) = match text.chars().next()? {
        '"' => (1, '"'),
        '[' => (1, ']'),
        _ => (0, ' '),
    };
    let body = &text[open..];
    let mut escaped = false;
    let end = body.find(|c| {
        let ends = c == close && !escaped;
        escaped = c == '\\' && !escaped;
        ends
    });
    let end = match (end, open) {
        (Some(end), _) => end,
        (None, 0) => body.len(),
        (None, _) => return None,
    };
    *rest = &body[(end + open).min(body.len())..];
    Some(&body[..end])
}

fn offer(line: &str) -> Result<Option<Offer>, String> {
    let mut rest = line;
    let mut next = |name: &str| field(&mut rest).ok_or_else(|| format!("{name}: is missing"));
    let (_host, _identity, _user) = (next("host")?, next("identity")?, next("user")?);
    let time = next("time")?;
    let at = strtime::parse("%d/%b/%Y:%H:%M:%S %z", time)
        .and_then(|t| t.to_timestamp())
        .map_err(|e| format!("time: {time:?}: {e}"))?;
    let request = next("request")?;
    if request == "-" {
        return Ok(None);
    }
    let mut words = request.split_ascii_whitespace();
    let (method, target) = match (words.next(), words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some(version), None) if version.starts_with("HTTP/") => (method, target),
        _ => return Err(format!("request: {request:?} is not one")),
    };
    let status = next("status")?;
    let size = next("size")?;
    let took = [next("referer"), next("agent"), next("time taken")].into_iter().flatten().last();
    Ok(Some(Offer {
        at_ms: at.as_millisecond(),
        method: method.to_string(),
        path: target.split(['?', '#']).next().unwrap_or(target).to_string(),
        status: status.parse().map_err(|_| format!("status: {status:?} is not one"))?,
        sent: 0,
        received: if size == "-" {
            0
        } else {
            size.parse().map_err(|_| format!("size: {size:?} is not one"))?
        },
        took_ms: took.and_then(milliseconds),
    }))
}

fn milliseconds(text: &str) -> Option<f64> {
    let value: f64 = text.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some(if text.contains('.') { value * 1e3 } else { value / 1e3 })
}
