//! Selects part of a trace by time, class, volume, or share of the volumes.

use crate::trace::{Header, Record};

/// Why a cut cannot be applied to a trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutError {
    /// The cut names a class that the trace does not have.
    #[error("class {class:?} is not in the trace, whose classes are {}", .classes.join(", "))]
    UnknownClass {
        /// The name of the class.
        class: String,
        /// The names of the trace's classes.
        classes: Vec<String>,
    },
    /// The share is not above 0 and at most 1.
    #[error("the share of volumes must be above 0 and at most 1")]
    ShareOutOfRange,
    /// The end of the time range is not after its start.
    #[error("the start time must be before the end time")]
    EmptyRange,
}

/// Which requests of a trace are kept. All conditions must hold; an absent or empty one matches all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cut {
    /// The start of the time range, included, in microseconds since the start of the trace.
    pub from: Option<u64>,
    /// The end of the time range, excluded, in microseconds since the start of the trace.
    pub until: Option<u64>,
    /// The names of request classes.
    pub classes: Vec<String>,
    /// The numbers of volumes.
    pub volumes: Vec<u64>,
    /// The share of the volumes, above 0 and at most 1. All requests of a selected volume are kept, so that a
    /// client's requests stay together.
    pub share: Option<f64>,
}

impl Cut {
    /// Checks the conditions against a trace.
    ///
    /// # Errors
    /// A class is not in the trace, or the time range or the share is empty.
    pub fn check(&self, header: &Header) -> Result<(), CutError> {
        let unknown = |name: &&String| !header.classes.iter().any(|c| c.name == **name);
        if let Some(class) = self.classes.iter().find(unknown) {
            let classes = header.classes.iter().map(|c| c.name.clone()).collect();
            return Err(CutError::UnknownClass { class: class.clone(), classes });
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            return Err(CutError::ShareOutOfRange);
        }
        if self.from.zip(self.until).is_some_and(|(from, until)| from >= until) {
            return Err(CutError::EmptyRange);
        }
        Ok(())
    }

    /// Whether a record is kept. Times of kept records are then relative to [`Cut::from`].
    pub fn keeps(&self, header: &Header, record: &Record) -> bool {
        let class = || header.classes.get(usize::from(record.class)).map(|c| &c.name);
        self.from.is_none_or(|from| record.at >= from)
            && self.until.is_none_or(|until| record.at < until)
            && (self.classes.is_empty() || class().is_some_and(|c| self.classes.contains(c)))
            && (self.volumes.is_empty() || self.volumes.contains(&record.volume))
            && self.share.is_none_or(|share| hash_fraction(record.volume) < share)
    }

    /// The header of the resulting trace.
    pub fn header(&self, header: &Header) -> Header {
        let from = i64::try_from(self.from.unwrap_or(0)).unwrap_or(i64::MAX);
        Header { base_us: header.base_us.saturating_add(from), ..header.clone() }
    }

    /// Converts a kept record to one of the resulting trace.
    pub fn record(&self, record: Record) -> Record {
        Record { at: record.at - self.from.unwrap_or(0).min(record.at), ..record }
    }
}

/// A number from 0 up to but not including 1, derived from the volume's hash, the same in every trace.
fn hash_fraction(volume: u64) -> f64 {
    let hash = blake3::hash(&volume.to_le_bytes());
    u32::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 4])) as f64 / (u32::MAX as f64 + 1.0)
}
