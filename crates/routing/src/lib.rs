//! Routing: which targets a request may reach, configured as data, and operators' expectations of it, which
//! are checked without traffic.
//!
//! A [`RouteTable`] matches a request to a route and the route to a pool of targets. The scheduler decides
//! which target of the pool gets the request, when, and whether it is retried; the table only determines the
//! targets to choose from. A request never reaches targets that do not hold its data: a request for a shard
//! reaches only targets of that shard, whatever its pool is.
//!
//! **Precedence.** Of the routes that match a request, the one whose network contains the client's address
//! with the longest prefix is used; a route without a network counts as prefix 0. Of several such routes the
//! first is used, with the files in the order given and each file from its top. Only [`RouteTable::route`]
//! decides this.
//!
//! [`check()`] checks expectations against a table for all requests and all states of the endpoint list, not
//! only for samples. This crate does no I/O and has no clock.
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
