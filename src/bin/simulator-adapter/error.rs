//! Errors in the simulator's messages.

use std::io;

/// An input line that cannot be processed.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct LineError {
    /// The number of the line, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub problem: LineProblem,
}

/// What is wrong with an input line.
#[derive(Debug, thiserror::Error)]
pub enum LineProblem {
    /// The line cannot be read, or its reply cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not a batch of events, or its reply cannot be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line contains an invalid event.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// An invalid event.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The value of a field is not one of those allowed.
    #[error("field `{field}` has the unknown value {value:?}")]
    UnknownValue {
        /// The name of the field on the wire.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
}
