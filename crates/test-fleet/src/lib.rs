//! Stubs of what an initiator talks to: targets and discovery, as the platform's protocol has them, on
//! loopback addresses; and real daemons as processes beside them. The stubs misbehave on command, draw whatever
//! is left to chance from a seed, and count what they see, so that an experiment can compare it with what
//! clients saw.
//!
//! Everything runs on the caller's thread, in a `LocalSet` or a runtime that has one.

#![forbid(unsafe_code)]

mod client_load;
mod daemon;
mod daemon_log;
mod daemon_plan;
mod deduplication;
mod discovery;
mod duty_cycle;
mod endpoint;
mod fleet;
mod fleet_plan;
mod http;
mod load_plan;
mod ports;
mod recorder;
mod response_reader;
mod settings;
mod site;
mod target;
mod target_counters;
mod target_plan;
mod usage;

pub use client_load::ClientLoad;
pub use daemon::Daemon;
pub use daemon_plan::{DaemonPlan, HandoverPaths};
pub use deduplication::{DeduplicationScope, KeyedWrite};
pub use discovery::{Discovery, DiscoveryFault};
pub use duty_cycle::DutyCycle;
pub use endpoint::{Endpoint, EndpointState};
pub use fleet::{Fleet, Member};
pub use fleet_plan::FleetPlan;
pub use load_plan::{ClassPlan, LoadPlan, RequestCounts, usual_classes};
pub use nix::sys::signal::Signal;
pub use recorder::Recorder;
pub use settings::{settings, standard_settings};
pub use site::StubSite;
pub use target::StubTarget;
pub use target_counters::TargetCounters;
pub use target_plan::{TargetFault, TargetPlan};
pub use usage::ProcessUsage;
