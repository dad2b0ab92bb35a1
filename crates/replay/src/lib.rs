//! Recorded traffic, sent again in open loop: each request goes when the trace says, whatever became of those
//! before it.
//!
//! [`plan`] decides what goes when, where, and whether a client tries again; it has no clock and no sockets.
//! [`drive`] gives it a clock, and a [`Transport`] the sockets: [`http`] for the platform's front, [`iscsi`]
//! for the iSCSI-style one. [`recorder`] sums up in a [`report`] what became of the requests and [`compare`] sets two reports
//! side by side. Latency counts from the moment a request was due, so that a stall is not hidden by requests
//! that were never sent because of it.
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
