//! Why the simulator's messages cannot be served.

use std::io;

/// A line that cannot be served.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct LineError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub problem: LineProblem,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineProblem {
    /// It cannot be read, or its reply cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is not a batch of events, or its reply cannot be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// One of its events cannot be used.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// Why an event cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// A field holds a word that it does not have.
    #[error("field `{field}`: unknown value {value:?}")]
    UnknownValue {
        /// The field, as it is called on the wire.
        field: &'static str,
        /// What it holds.
        value: String,
    },
}
