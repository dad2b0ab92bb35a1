//! Whether a request is one that the settings have.

use crate::core::request::Request;
use crate::settings::Settings;

/// What the settings say of requests.
#[derive(Debug)]
pub(super) struct RequestConstraints {
    classes: Vec<ClassConstraints>,
    plans: Vec<String>,
    /// Absent: not known.
    shards: Option<u32>,
}

/// What a request of a class must be.
#[derive(Debug)]
struct ClassConstraints {
    name: String,
    write: bool,
    /// It carries an idempotency key.
    keyed: bool,
}

/// Why a request is none that the settings have, or cannot be distinguished from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no such request class.
    #[error("an unknown class")]
    UnknownClass,
    /// The settings have no such QoS plan.
    #[error("an unknown plan")]
    UnknownPlan,
    /// The settings have fewer shards.
    #[error("an unknown shard")]
    UnknownShard,
    /// It reads where its class writes, or the other way round.
    #[error("not what its class does")]
    WrongMethod,
    /// Its class needs an idempotency key, and it has none.
    #[error("no key")]
    MissingKey,
    /// A request of this id is open.
    #[error("the id of an open request")]
    DuplicateId,
}

impl RequestConstraints {
    pub(super) fn of(settings: &Settings) -> RequestConstraints {
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

    /// Checks a request against the settings.
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
