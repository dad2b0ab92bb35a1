//! Which targets each of many initiators prefers for new objects, so that their choices add up evenly without
//! messages between them.
//!
//! Every initiator knows how many there are, its own index, and the endpoint list. From these alone all of them
//! compute the same assignment: each initiator has [`SubsetConfig::size`] targets, and each target has a number
//! of initiators near the mean ([`SubsetConfig::bounds`]). The assignment is a matching under a common rank: each
//! pair of an initiator and a target has a hash, pairs are taken in its order, and one is passed over where its
//! initiator has enough targets or its target enough initiators; first up to the fewest, then up to the most. So
//! a change moves the pairs that it touches and few others: an initiator or a target that comes or goes frees or
//! fills places that only the next in rank move into. The room between the bounds is what keeps such moves
//! short.
//!
//! Not every pair takes part: each target draws a bounded number of initiators, alike everywhere, and only where
//! these leave a place open does it look at all others. So the assignment's cost grows with initiators times the
//! size of a subset, not with initiators times targets; at a change of the list only the candidates of what has
//! changed are drawn.
//!
//! Lists reach initiators at different times. While two hold different lists their assignments differ in what
//! the change moves, and no more; nothing depends on their agreement.

#![forbid(unsafe_code)]

mod assignment;
mod candidates;
mod config;
mod difference;
mod matching;
mod subset;

pub use config::SubsetConfig;
pub use difference::{Difference, difference};
pub use subset::{Subset, SubsetChange, assignments};

#[cfg(test)]
mod tests;
