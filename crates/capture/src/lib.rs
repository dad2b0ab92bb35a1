//! Recorded traffic as a source of load for replays.
//!
//! Requests that a client or a server recorded are converted into requests that can be sent again: [`read`]
//! streams the entries of a HAR file or of an access log, a [`mapping`] determines which request of the store
//! each entry stands for, [`order`] sorts them by the time at which they were made, and a [`trace`] stores
//! them. [`import`] runs all of these steps. The crate sends no requests, and never loads a whole file:
//! memory is bounded by one entry and by the window within which entries may be out of order.
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
