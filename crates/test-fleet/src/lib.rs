//! Stubs of the services that an initiator uses, targets and discovery, which speak the platform's protocol
//! on loopback addresses; and real daemons as child processes. The stubs inject faults on command, take all
//! random choices from a seed, and count what they receive, so that an experiment can compare the counts with
//! what clients saw.
//!
//! All stubs run on the caller's thread, which must run a `LocalSet` or a runtime that contains one.

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
pub use load_plan::{ClassPlan, LoadPlan, RequestCounts, standard_classes};
pub use nix::sys::signal::Signal;
pub use recorder::Recorder;
pub use settings::{settings, standard_settings};
pub use site::StubSite;
pub use target::StubTarget;
pub use target_counters::TargetCounters;
pub use target_plan::{TargetFault, TargetPlan};
pub use usage::{PeakMemory, ProcessUsage};
