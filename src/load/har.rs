//! HTTP Archive files, version 1.2.

use crate::load::{LoadError, Offer};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct File<'a> {
    #[serde(borrow)]
    log: Log<'a>,
}

#[derive(Deserialize)]
struct Log<'a> {
    #[serde(borrow)]
    entries: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    started_date_time: String,
    /// Milliseconds; negative where it is not known.
    time: Option<f64>,
    request: Request,
    response: Response,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Request {
    method: String,
    url: String,
    body_size: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Response {
    status: i64,
    body_size: Option<i64>,
    content: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    size: Option<i64>,
}

/// Entries are taken apart one by one, so that an error can name its entry.
pub fn read(bytes: &[u8]) -> Result<Vec<Offer>, LoadError> {
    let file: File = serde_json::from_slice(bytes).map_err(LoadError::whole)?;
    let entries = file.log.entries.iter().enumerate();
    entries.map(|(i, raw)| offer(raw).map_err(|problem| LoadError::at("entry", i + 1, problem))).collect()
}

fn offer(raw: &RawValue) -> Result<Offer, String> {
    let entry: Entry = serde_json::from_str(raw.get()).map_err(|e| e.to_string())?;
    let at: jiff::Timestamp = entry.started_date_time.parse().map_err(|e| format!("startedDateTime: {e}"))?;
    // -1 stands for what is not known.
    let size = |s: Option<i64>| s.and_then(|s| u64::try_from(s).ok());
    let received = size(entry.response.body_size).or(entry.response.content.and_then(|c| size(c.size)));
    Ok(Offer {
        at_ms: at.as_millisecond(),
        method: entry.request.method,
        path: path(&entry.request.url)
            .ok_or_else(|| format!("request.url: {:?} has no path", entry.request.url))?,
        status: u16::try_from(entry.response.status)
            .map_err(|_| format!("response.status: {} is not one", entry.response.status))?,
        sent: size(entry.request.body_size).unwrap_or(0),
        received: received.unwrap_or(0),
        took_ms: entry.time.filter(|t| t.is_finite() && *t >= 0.0),
    })
}

fn path(url: &str) -> Option<String> {
    let uri: actix_http::Uri = url.parse().ok()?;
    uri.scheme()?;
    Some(uri.path().to_string())
}
