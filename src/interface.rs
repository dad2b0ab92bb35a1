//! The scheduler's interface: its settings, the events that it handles and the actions that it returns.
//!
//! Times are whole microseconds of the caller's clock, which must be monotonic. Ids are small numbers that
//! the caller assigns and the scheduler only compares. Sizes are in units, as the platform counts them, and
//! rates in units per second.

#![warn(missing_docs)]

mod actions;
mod endpoints;
mod events;
mod ids;
mod outcome;
mod settings;
mod settings_error;

pub use actions::Action;
pub use endpoints::{EndpointEntry, EndpointUpdateKind, TargetState};
pub use events::{Event, RequestProfile};
pub use ids::{
    AttemptNumber, ClassId, KeyId, Micros, PlanId, RequestId, ShardId, TargetId, TargetSetId, VolumeId,
    ZoneId,
};
pub use outcome::{LoadReport, Outcome};
pub use settings::{
    DeduplicationScope, Idempotency, QosPlan, RateLimit, RequestClass, RetryBudget, RuleBounds, Settings,
};
pub use settings_error::{SettingsError, SettingsProblem};
