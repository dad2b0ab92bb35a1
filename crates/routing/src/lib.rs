//! Routes: which boxes a request may reach, as data, and what operators expect of them, checked without
//! traffic.
//!
//! A [`Table`] matches a request to a route and the route to a pool of boxes. Who of the pool gets the
//! request, when, and whether it is sent again stays with the decision module: the table only says who it may
//! be. Data on one box never routes elsewhere: a request for a shard reaches boxes of that shard only,
//! whatever its pool.
//!
//! **Precedence.** Of the routes that match a request, the one whose network holds the client's address by
//! the longest prefix wins; a route without a network counts as prefix 0. Among equals the first wins: the
//! files in the order given, each from its top. [`Table::route`] is the one place where this is so.
//!
//! [`check()`] holds expectations against a table for all requests and all states that a list can show, not
//! for samples. No part of this crate does I/O or knows the time.
#![forbid(unsafe_code)]

pub mod check;
pub mod diff;
pub mod expect;
pub mod file;
pub mod request;
pub mod sets;
pub mod table;
pub mod target;

pub use check::{Finding, Report, Verdict, Warning, check};
pub use expect::{Expectation, Must};
pub use file::{RouteError, Rules, Source, Terms, parse};
pub use request::{Front, RouteRequest};
pub use sets::{Addresses, Match, Selector};
pub use table::{Origin, Pool, Route, Table};
pub use target::{BoxState, TargetInfo};
