//! Recorded traffic as a source of load.
//!
//! What a member's viewer or a server wrote down becomes requests that can be sent again: [`read`] streams
//! the entries of a HAR file or of an access log, a [`mapping`] says which request of the store each one
//! stands for, [`order`] puts them in the order in which they were made, and a [`trace`] keeps them.
//! [`import`] is all of it in one call. Nothing here sends anything, and nothing holds a whole file: a log of
//! any length is read in the memory of one line and of the window within which lines may be out of order.
#![forbid(unsafe_code)]

pub mod access_log;
pub mod cut;
mod entry_error;
pub mod har;
pub mod import;
pub mod lines;
pub mod mapping;
pub mod order;
pub mod own_log;
pub mod read;
pub mod recorded_request;
pub mod summary;
pub mod trace;

pub use cut::{Cut, CutError};
pub use entry_error::EntryError;
pub use import::{Import, ImportError, Imported, import};
pub use mapping::{Mapping, MappingError};
pub use read::{Format, FormatError, ReadError, Stats, Tolerance};
pub use recorded_request::{LoggedFields, RecordedRequest};
pub use summary::Summary;
pub use trace::{ClassTerms, Header, PlanTerms, Record, Repeat, TraceError, TraceReader, TraceWriter};
