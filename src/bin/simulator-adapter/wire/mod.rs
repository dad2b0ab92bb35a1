//! The simulator's wire: its messages, and their translation to the scheduler's events and actions. The names on
//! the wire are the simulator's; they are mapped to this project's names here and nowhere else.

mod action;
mod event;
mod message;

pub use action::{Reply, Sent};
pub use event::InitiatorEvent;
pub use message::{Batch, Event};

#[cfg(test)]
mod tests;
