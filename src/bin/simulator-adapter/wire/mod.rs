//! The simulator's messages, and their translation to the scheduler's events and actions. The names on the
//! wire are the simulator's; only this module maps them to this project's names.

mod action;
mod event;
mod message;

pub use action::{InitiatorAction, Reply};
pub use event::InitiatorEvent;
pub use message::{Batch, Event};

#[cfg(test)]
mod tests;
