//! Patterns that stand for many similar requests in reports of unmatched ones.

use crate::recorded_request::RecordedRequest;

/// The most characters of a method that a pattern shows.
const LONGEST_METHOD: usize = 16;
/// The most segments of a path that a pattern shows.
const MOST_SEGMENTS: usize = 6;
/// Longer segments are shown as `{long}`.
const LONGEST_SEGMENT: usize = 24;
/// The fewest hex digits that are taken for an identifier.
const SHORTEST_HEX: usize = 8;
/// The longest file name ending that is shown as it is.
const LONGEST_ENDING: usize = 5;

/// A request's method and path with numbers and identifiers replaced, so that similar requests share a
/// pattern.
pub fn pattern(recorded: &RecordedRequest<'_>) -> String {
    let mut out = format!("{} ", recorded.method.chars().take(LONGEST_METHOD).collect::<String>());
    for segment in recorded.path.split('/').skip(1).take(MOST_SEGMENTS) {
        let (stem, ending) = split_ending(segment);
        out.push('/');
        out.push_str(placeholder(stem).unwrap_or(stem));
        if let Some(ending) = ending {
            out.push('.');
            out.push_str(ending);
        }
    }
    out
}

/// A segment without a short file name ending, and that ending.
fn split_ending(segment: &str) -> (&str, Option<&str>) {
    match segment.rsplit_once('.') {
        Some((stem, ending)) if (1..=LONGEST_ENDING).contains(&ending.len()) => (stem, Some(ending)),
        _ => (segment, None),
    }
}

/// What is shown in place of a segment that differs from request to request.
fn placeholder(stem: &str) -> Option<&'static str> {
    if !stem.is_empty() && stem.bytes().all(|b| b.is_ascii_digit()) {
        return Some("{n}");
    }
    if stem.len() >= SHORTEST_HEX && stem.bytes().all(|b| b.is_ascii_hexdigit() || b == b'-') {
        return Some("{hex}");
    }
    (stem.len() > LONGEST_SEGMENT).then_some("{long}")
}
