//! The core: the actor that exclusively owns the scheduler, the components of its state, and the messages
//! that it exchanges with fronts, targets and discovery. Nothing in this module depends on a wire format.
//!
//! Each component (`open_requests`, `endpoints`, `routes`, `quota`, `site_monitor`, `timers`, `readiness`,
//! `handover_port`) owns one kind of state and does not depend on the actor, which assembles them.

mod access_log;
mod actor;
mod admin;
mod attempt;
mod body;
mod clock;
mod dependencies;
mod diagnostics;
mod endpoint;
mod endpoints;
mod handover_port;
mod handover_request;
mod mailbox;
mod message;
mod open_requests;
mod quota;
mod readiness;
mod request;
mod request_ids;
mod routes;
mod site_monitor;
mod start_times;
mod timers;
mod upload;
mod upload_clock;
mod validation;

pub use access_log::AccessLog;
pub use actor::Core;
pub use admin::{AdminCommand, AdminRequest};
pub use attempt::{Attempt, AttemptReporter, Connect, Probe, ProbeReporter, TargetMessage};
pub use body::{BodyStream, IncompleteBody, MAX_BUFFERED_BODY, ResponseBody, STREAMED_CHUNKS};
pub use clock::{Clock, micros};
pub use dependencies::CoreDependencies;
pub use diagnostics::{Counters, LONG_STEP, Step};
pub use endpoint::{Endpoint, Protocol};
pub use handover_request::{HandoverRequest, HandoverState};
pub use mailbox::{CoreHandle, CoreMailbox, MAX_ENTRIES_PER_STEP, PendingResponse, mailbox};
pub use message::Message;
pub use quota::{OutgoingDatagram, QuotaPeers};
pub use request::{AttemptResult, Request, RequestOrigin, Response};
pub use request_ids::RequestIdHash;
pub use routes::{LoadedRoutes, Routes};
pub use site_monitor::SiteSettings;
pub use start_times::StartTimes;
pub use upload::{Upload, UploadReader, UploadSource};
pub use upload_clock::{MIN_BODY_TIMEOUT, UploadClock, slowest_transfer};
pub use validation::InvalidRequest;
