//! Routes: which targets a request may reach, as data, and what operators expect of them, checked without
//! traffic.
//!
//! A [`RouteTable`] matches a request to a route and the route to a pool of targets. Which target of the pool
//! gets the request, when, and whether it is retried stays with the scheduler: the table only says which it may
//! be. Data on one target never routes elsewhere: a request for a shard reaches targets of that shard only,
//! whatever its pool.
//!
//! **Precedence.** Of the routes that match a request, the one whose network holds the client's address by
//! the longest prefix wins; a route without a network counts as prefix 0. Among equals the first wins: the
//! files in the order given, each from its top. [`RouteTable::route`] is the one place where this is so.
//!
//! [`check()`] holds expectations against a table for all requests and all states that a list can show, not
//! for samples. No part of this crate does I/O or knows the time.
#![forbid(unsafe_code)]

pub mod addresses;
pub mod check;
pub mod diff;
pub mod expectation;
pub mod file;
pub mod request;
pub mod request_match;
pub mod settings;
pub mod table;
pub mod target;

pub use addresses::AddressSet;
pub use check::{Decision, Finding, Report, Verdict, Warning, check};
pub use expectation::{Expectation, Requirement, WhenUndecided};
pub use file::{RouteError, RoutingRules, Source, parse};
pub use request::{Front, RouteRequest};
pub use request_match::RequestMatch;
pub use settings::{ClassSettings, PlanSettings, ServiceSettings};
pub use table::{Origin, Pool, Route, RouteTable};
pub use target::{ListedState, TargetInfo, TargetSelector};
