//! Patterns that group similar requests in the report of unmatched requests.

use crate::recorded_request::RecordedRequest;

/// The most characters of a method that a pattern contains.
const MAX_METHOD_CHARS: usize = 16;
/// The most path segments that a pattern contains.
const MAX_SEGMENTS: usize = 6;
/// Longer segments are replaced by `{long}`.
const MAX_SEGMENT_BYTES: usize = 24;
/// The fewest hex digits that are treated as an identifier.
const MIN_HEX_DIGITS: usize = 8;
/// The longest file extension that a pattern contains.
const MAX_EXTENSION_BYTES: usize = 5;

/// A request's method and path with numbers and identifiers replaced by placeholders, so that similar
/// requests have the same pattern.
pub fn pattern(recorded: &RecordedRequest<'_>) -> String {
    let mut out = format!("{} ", recorded.method.chars().take(MAX_METHOD_CHARS).collect::<String>());
    for segment in recorded.path.split('/').skip(1).take(MAX_SEGMENTS) {
        let (stem, extension) = split_extension(segment);
        out.push('/');
        out.push_str(placeholder(stem).unwrap_or(stem));
        if let Some(extension) = extension {
            out.push('.');
            out.push_str(extension);
        }
    }
    out
}

/// Splits a segment into its stem and its file extension, if it has a short one.
fn split_extension(segment: &str) -> (&str, Option<&str>) {
    match segment.rsplit_once('.') {
        Some((stem, extension)) if (1..=MAX_EXTENSION_BYTES).contains(&extension.len()) => {
            (stem, Some(extension))
        }
        _ => (segment, None),
    }
}

/// The placeholder for a segment that is likely to differ between similar requests.
fn placeholder(stem: &str) -> Option<&'static str> {
    if !stem.is_empty() && stem.bytes().all(|b| b.is_ascii_digit()) {
        return Some("{n}");
    }
    if stem.len() >= MIN_HEX_DIGITS && stem.bytes().all(|b| b.is_ascii_hexdigit() || b == b'-') {
        return Some("{hex}");
    }
    (stem.len() > MAX_SEGMENT_BYTES).then_some("{long}")
}
