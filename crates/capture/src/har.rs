//! Reads HTTP Archive (HAR) files, version 1.2, entry by entry; only the current entry is stored in memory.

use crate::entry_error::EntryError;
use crate::recorded_request::RecordedRequest;
use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::io::Read;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry<'a> {
    #[serde(borrow)]
    started_date_time: Cow<'a, str>,
    /// Milliseconds; negative if unknown.
    time: Option<f64>,
    #[serde(borrow)]
    request: Request<'a>,
    response: Response,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Request<'a> {
    #[serde(borrow)]
    method: Cow<'a, str>,
    #[serde(borrow)]
    url: Cow<'a, str>,
    body_size: Option<i64>,
    #[serde(borrow, default)]
    headers: Vec<Field<'a>>,
}

#[derive(Deserialize)]
struct Field<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow)]
    value: Cow<'a, str>,
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

/// Receives an entry's number, counted from 1, and its text. Returns false to end the read.
pub type Sink<'s> = dyn FnMut(u64, &str) -> bool + 's;

/// Passes the text of each entry of `log.entries` to `sink`.
///
/// # Errors
/// The file is not valid JSON, or has no `log.entries`. Entries before the error have been passed to the
/// sink.
pub fn entries(from: impl Read, sink: &mut Sink<'_>) -> Result<(), serde_json::Error> {
    let (mut stopped, mut found) = (false, false);
    let mut json = serde_json::Deserializer::from_reader(from);
    let visitor =
        EntriesVisitor { path: &["log", "entries"], sink, stopped: &mut stopped, found: &mut found };
    let end = visitor.deserialize(&mut json).and_then(|()| json.end());
    match end {
        _ if stopped => Ok(()),
        Ok(()) if !found => Err(serde::de::Error::custom("the file has no `log.entries`")),
        end => end,
    }
}

/// Visits the value at the end of a path of keys, a list of entries.
struct EntriesVisitor<'a, 's> {
    path: &'a [&'a str],
    sink: &'a mut Sink<'s>,
    stopped: &'a mut bool,
    found: &'a mut bool,
}

impl<'de> DeserializeSeed<'de> for EntriesVisitor<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        if self.path.is_empty() { json.deserialize_seq(self) } else { json.deserialize_map(self) }
    }
}

impl<'de> Visitor<'de> for EntriesVisitor<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.first() {
            Some(key) => write!(f, "an object with `{key}`"),
            None => f.write_str("a list of entries"),
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((key, remaining_path)) = self.path.split_first() else { return Ok(()) };
        while let Some(name) = map.next_key::<String>()? {
            if name == *key {
                let visitor = EntriesVisitor {
                    path: remaining_path,
                    sink: self.sink,
                    stopped: self.stopped,
                    found: self.found,
                };
                map.next_value_seed(visitor)?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        *self.found = true;
        let mut number = 0;
        while let Some(entry) = list.next_element::<Box<RawValue>>()? {
            number += 1;
            if !(self.sink)(number, entry.get()) {
                *self.stopped = true;
                return Err(serde::de::Error::custom("stopped"));
            }
        }
        Ok(())
    }
}

/// Converts an entry to a recorded request; `None` for URLs that are not requested from a server (`data:` and
/// the like).
///
/// # Errors
/// The entry does not conform to HAR 1.2. The error names the key.
pub fn parse(text: &str) -> Result<Option<RecordedRequest<'_>>, EntryError> {
    let entry: Entry = serde_json::from_str(text)?;
    let at: jiff::Timestamp = entry.started_date_time.parse().map_err(EntryError::StartedDateTime)?;
    let url = &entry.request.url;
    if ["data:", "blob:", "about:"].iter().any(|scheme| url.starts_with(scheme)) {
        return Ok(None);
    }
    let uri: http::Uri = url.parse().map_err(|source| EntryError::Url { url: url.to_string(), source })?;
    if uri.scheme().is_none() {
        return Err(EntryError::RelativeUrl(url.to_string()));
    }
    // HAR uses -1 for unknown sizes.
    let size = |s: Option<i64>| s.and_then(|s| u64::try_from(s).ok());
    let received = size(entry.response.body_size).or(entry.response.content.and_then(|c| size(c.size)));
    let key = entry.request.headers.into_iter().find(|h| h.name.eq_ignore_ascii_case("idempotency-key"));
    let took = entry.time.filter(|t| t.is_finite() && (0.0..1e9).contains(t));
    Ok(Some(RecordedRequest {
        at: at.as_microsecond(),
        whole_second: false,
        path: Cow::Owned(uri.path().to_string()),
        query: uri.query().map(|q| Cow::Owned(q.to_string())),
        method: entry.request.method,
        client: None,
        status: u16::try_from(entry.response.status)
            .map_err(|_| EntryError::Status(entry.response.status))?,
        sent: size(entry.request.body_size).unwrap_or(0),
        received: received.unwrap_or(0),
        took: took.map(|ms| (ms * 1e3).round() as u64),
        key: key.map(|h| h.value),
        logged: None,
    }))
}
