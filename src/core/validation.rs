//! Validates requests against the settings.

use crate::core::request::Request;
use crate::settings::Settings;

/// The constraints that the settings place on requests.
#[derive(Debug)]
pub(super) struct RequestConstraints {
    classes: Vec<ClassConstraints>,
    plans: Vec<String>,
    /// The number of shards; absent if not known.
    shards: Option<u32>,
}

/// The constraints on requests of one class.
#[derive(Debug)]
struct ClassConstraints {
    name: String,
    write: bool,
    /// Whether requests need an idempotency key.
    keyed: bool,
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no request class of this name.
    #[error("request class is not in the settings")]
    UnknownClass,
    /// The settings have no QoS plan of this name.
    #[error("QoS plan is not in the settings")]
    UnknownPlan,
    /// The shard number is not below the number of shards in the settings.
    #[error("shard number is not below the number of shards in the settings")]
    UnknownShard,
    /// A read request has a writing class, or a write request a reading one.
    #[error("request method does not match its class: one reads, the other writes")]
    WrongMethod,
    /// The request class needs an idempotency key, and the request has none.
    #[error("idempotency key is missing, but the request class needs one")]
    MissingKey,
    /// An open request has the same id, so the two could not be distinguished.
    #[error("request id is in use by another open request")]
    DuplicateId,
    /// A request with the same id may have run, here or at the other process of a handover.
    #[error("request id was used by a request that may have run")]
    UsedId,
}

impl RequestConstraints {
    pub(super) fn from_settings(settings: &Settings) -> RequestConstraints {
        let classes = settings.classes().map(|class| ClassConstraints {
            name: class.name.to_string(),
            write: class.writes,
            keyed: class.keyed,
        });
        RequestConstraints {
            classes: classes.collect(),
            plans: settings.plans().map(str::to_string).collect(),
            shards: settings.shard_count(),
        }
    }

    /// Checks a request against the constraints.
    pub(super) fn check(&self, request: &Request) -> Result<(), InvalidRequest> {
        let class = self.classes.iter().find(|class| class.name == request.class);
        let class = class.ok_or(InvalidRequest::UnknownClass)?;
        if request.write != class.write {
            return Err(InvalidRequest::WrongMethod);
        }
        if class.keyed && request.idempotency_key.as_ref().is_none_or(String::is_empty) {
            return Err(InvalidRequest::MissingKey);
        }
        if request.plan.as_ref().is_some_and(|plan| !self.plans.contains(plan)) {
            return Err(InvalidRequest::UnknownPlan);
        }
        if request.shard.is_some_and(|shard| self.shards.is_some_and(|shards| shard >= shards)) {
            return Err(InvalidRequest::UnknownShard);
        }
        Ok(())
    }
}
