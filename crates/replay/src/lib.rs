//! Replays recorded traffic in an open loop: each request is sent at its recorded time, whatever the outcome
//! of earlier requests.
//!
//! [`plan`] decides when and to which initiator each request is sent and whether the client retries it; it
//! has no clock and no sockets. [`drive`] runs the planner against the clock and a [`Transport`]: [`http`]
//! for the HTTP front, [`iscsi`] for the iSCSI-style front. [`recorder`] collects the outcomes in a
//! [`report`], and [`compare`] compares two reports.
//!
//! Latency counts from the time at which a request was due, so that a stall shows in the latency of all
//! requests that were due during it, including those that were sent late (no coordinated omission).
#![forbid(unsafe_code)]

pub mod compare;
pub mod drive;
pub mod http;
pub mod iscsi;
pub mod latency;
pub mod page;
pub mod pick;
pub mod plan;
pub mod recorder;
pub mod report;
pub mod run;

pub use drive::{Outgoing, Transport, drive};
pub use latency::LatencyHistogram;
pub use page::PlotError;
pub use plan::{AttemptOutcome, Planner, PlannerConfig};
pub use report::{Report, ReportError};
pub use run::{Front, Replay, ReplayError, replay};
