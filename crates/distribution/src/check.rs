//! An instance's own check of a state.

use crate::State;

/// Why an instance cannot run with a state, for its operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{entry}: {problem}")]
pub struct InvalidState {
    /// The name of the entry at fault.
    pub entry: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Whether an instance could run with a state.
pub type StateCheck = Box<dyn Fn(&State) -> Result<(), InvalidState>>;
