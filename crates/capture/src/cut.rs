//! Parts of a trace: by time, class, volume, and share of the volumes.

use crate::trace::{Header, Record};

/// What is wrong with a cut for a trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutError {
    /// It names a class that the trace does not have.
    #[error("class {class:?} is not in the trace, which has {}", .known.join(", "))]
    UnknownClass {
        /// The class.
        class: String,
        /// The trace's classes.
        known: Vec<String>,
    },
    /// Its share of the volumes is none.
    #[error("a share lies above 0 and up to 1")]
    Share,
    /// It ends before it begins.
    #[error("the time to begin at is not before the time to end at")]
    Empty,
}

/// Which requests to keep. What is absent keeps all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cut {
    /// Microseconds since the trace's beginning, this one kept.
    pub from: Option<u64>,
    /// Microseconds since the trace's beginning, this one not kept.
    pub until: Option<u64>,
    /// Names of classes.
    pub classes: Vec<String>,
    pub volumes: Vec<u64>,
    /// The part of the volumes that is kept, whole: a client's requests stay together.
    pub share: Option<f64>,
}

impl Cut {
    /// Checks it for a trace.
    ///
    /// # Errors
    /// It names what the trace does not have, or can keep nothing.
    pub fn check(&self, header: &Header) -> Result<(), CutError> {
        let unknown = |name: &&String| !header.classes.iter().any(|c| c.name == **name);
        if let Some(class) = self.classes.iter().find(unknown) {
            let known = header.classes.iter().map(|c| c.name.clone()).collect();
            return Err(CutError::UnknownClass { class: class.clone(), known });
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            return Err(CutError::Share);
        }
        if self.from.zip(self.until).is_some_and(|(from, until)| from >= until) {
            return Err(CutError::Empty);
        }
        Ok(())
    }

    /// Whether a request is kept; times are then counted from [`Cut::from`].
    pub fn keeps(&self, header: &Header, record: &Record) -> bool {
        let class = || header.classes.get(usize::from(record.class)).map(|c| &c.name);
        self.from.is_none_or(|from| record.at >= from)
            && self.until.is_none_or(|until| record.at < until)
            && (self.classes.is_empty() || class().is_some_and(|c| self.classes.contains(c)))
            && (self.volumes.is_empty() || self.volumes.contains(&record.volume))
            && self.share.is_none_or(|share| place(record.volume) < share)
    }

    /// The header of the part.
    pub fn header(&self, header: &Header) -> Header {
        let from = i64::try_from(self.from.unwrap_or(0)).unwrap_or(i64::MAX);
        Header { base_us: header.base_us.saturating_add(from), ..header.clone() }
    }

    /// A request of the part.
    pub fn record(&self, record: Record) -> Record {
        Record { at: record.at - self.from.unwrap_or(0).min(record.at), ..record }
    }
}

/// A volume's place between 0 and 1, the same in every trace.
fn place(volume: u64) -> f64 {
    let hash = blake3::hash(&volume.to_le_bytes());
    u32::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 4])) as f64 / (u32::MAX as f64 + 1.0)
}
