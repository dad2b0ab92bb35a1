//! HAR files and access logs as sources of load: what they offer, summed up. Nothing is sent.

mod access_log;
mod har;
mod summary;

pub use summary::{Offer, Summary};

use std::fmt;
use std::path::Path;

/// What is wrong with a file, and where.
#[derive(Debug, PartialEq)]
pub struct LoadError {
    /// `line 3` or `entry 3`, counted from 1; absent: the file as a whole.
    pub place: Option<String>,
    pub problem: String,
}

impl LoadError {
    fn at(kind: &str, number: usize, problem: impl fmt::Display) -> LoadError {
        LoadError { place: Some(format!("{kind} {number}")), problem: problem.to_string() }
    }

    fn whole(problem: impl fmt::Display) -> LoadError {
        LoadError { place: None, problem: problem.to_string() }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Some(place) => write!(f, "{place}: {}", self.problem),
            None => f.write_str(&self.problem),
        }
    }
}

impl std::error::Error for LoadError {}

/// Sums a file up.
pub fn summarize_file(path: &Path) -> Result<Summary, LoadError> {
    let bytes = std::fs::read(path).map_err(|e| LoadError::whole(format!("{}: {e}", path.display())))?;
    let named = |e: LoadError| match e.place {
        Some(place) => LoadError { place: Some(format!("{}: {place}", path.display())), ..e },
        None => LoadError::whole(format!("{}: {}", path.display(), e.problem)),
    };
    summarize(&bytes).map_err(named)
}

/// A HAR file is a JSON object; anything else is read as an access log.
pub fn summarize(bytes: &[u8]) -> Result<Summary, LoadError> {
    let text = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    let first = text.iter().find(|b| !b.is_ascii_whitespace());
    let offers = if first == Some(&b'{') { har::read(text)? } else { access_log::read(text)? };
    Summary::of(offers).ok_or_else(|| LoadError::whole("no request in it"))
}
