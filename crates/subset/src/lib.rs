//! Subsetting: which targets each of many initiators prefers for new objects, so that about the same number
//! of initiators prefers each target, without messages between them.
//!
//! Every initiator has the number of initiators, its own index, and the endpoint list. From these alone all
//! of them compute the same assignment: each initiator has [`SubsetConfig::size`] targets, and each target
//! has a number of initiators near the mean ([`SubsetConfig::bounds`]). The assignment is a matching under a
//! common rank: each pair of an initiator and a target has a hash, and pairs are taken in the order of their
//! hashes, except those whose initiator has enough targets or whose target has enough initiators; first up to
//! the minimum of each target, then up to the maximum. So a change moves the pairs that it affects and few
//! others: when an initiator or a target is added or removed, only the next pairs in rank move into the
//! places that are freed or filled. The distance between the two bounds keeps such chains of moves short.
//!
//! Only some pairs are considered. Each target draws a bounded number of initiators, the same on all
//! initiators, and only if these leave a place open are all others examined. So the cost of the assignment
//! grows with the number of initiators times the size of a subset, not with initiators times targets; when
//! the list changes, only the candidates of changed targets are drawn.
//!
//! Initiators receive an endpoint list at different times. While two of them have different lists, their
//! assignments differ only in the pairs that the change moves; correctness does not depend on their
//! agreement.

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
