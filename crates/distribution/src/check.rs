//! The validation that an instance runs on a received state before it becomes active.

use crate::State;

/// Why an instance cannot run with a state; shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{entry}: {problem}")]
pub struct InvalidState {
    /// The name of the invalid entry.
    pub entry: String,
    /// What is wrong with the entry's value.
    pub problem: String,
}

/// Validates a state for one instance. Returns an error if the instance cannot run with the state.
pub type StateCheck = Box<dyn Fn(&State) -> Result<(), InvalidState>>;
