//! Tracks which targets operators have taken out of service for maintenance, and derives their effective
//! state.
//!
//! Discovery, which lists a target, and operators, who take it out of service while they work on it, both
//! determine whether it may be sent requests. Neither overwrites the other: discovery's report is kept
//! unchanged, and [`Maintenance::effective_state`] combines both. A target in maintenance is draining
//! whatever discovery reports, and a target whose maintenance has ended has the state that discovery reports
//! from that moment on.
//!
//! Operators restart a target during maintenance, so it returns with cold caches, and discovery may report
//! the restart late. A target that has returned therefore counts as just started until discovery reports a
//! start later than the beginning of its maintenance.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A time in microseconds, on the clock that discovery uses for start times.
pub type Micros = u64;

/// The states that discovery reports of a target, ordered by how much may be sent to it: the most first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The target may be sent requests.
    Active,
    /// The target finishes its requests and is sent no new ones.
    Draining,
    /// The target is no longer listed.
    Removed,
}

/// A target that has returned from maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Returned {
    /// When its maintenance began. A start that discovery reports from before that time precedes the restart.
    #[serde(rename = "out")]
    began: Micros,
    /// When its maintenance ended.
    #[serde(rename = "at")]
    ended: Micros,
}

/// The targets in maintenance, and those that have returned. It is sent between two builds in a handover, so
/// its serialized form is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Maintenance {
    /// The targets in maintenance, and when their maintenance began.
    #[serde(default, rename = "out")]
    began_at: BTreeMap<String, Micros>,
    /// The targets that have returned, until discovery reports their restart.
    #[serde(default, rename = "back")]
    returned: BTreeMap<String, Returned>,
}

impl Maintenance {
    /// Begins maintenance of a target. Returns false, and changes nothing, if the target is in maintenance
    /// already.
    pub fn begin(&mut self, now: Micros, target: &str) -> bool {
        if self.began_at.contains_key(target) {
            return false;
        }
        self.returned.remove(target);
        self.began_at.insert(target.to_string(), now);
        true
    }

    /// Ends maintenance of a target. Returns false, and changes nothing, if the target is not in maintenance.
    pub fn end(&mut self, now: Micros, target: &str) -> bool {
        let Some(began) = self.began_at.remove(target) else { return false };
        self.returned.insert(target.to_string(), Returned { began, ended: now });
        true
    }

    /// Whether a target is in maintenance.
    pub fn is_in_maintenance(&self, target: &str) -> bool {
        self.began_at.contains_key(target)
    }

    /// The targets in maintenance, in the order of their names.
    pub fn targets_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.began_at.keys().map(String::as_str)
    }

    /// The effective state and start time of a target for which discovery reports these.
    pub fn effective_state(
        &self,
        target: &str,
        state: State,
        started: Option<Micros>,
    ) -> (State, Option<Micros>) {
        if self.is_in_maintenance(target) {
            return (state.max(State::Draining), started);
        }
        match self.returned.get(target) {
            Some(returned) if started.is_none_or(|started| started <= returned.began) => {
                (state, Some(returned.ended))
            }
            _ => (state, started),
        }
    }

    /// Discards the record of a returned target once discovery reports a start after the beginning of its
    /// maintenance, or its removal.
    pub fn handle_endpoint_report(&mut self, target: &str, state: State, started: Option<Micros>) {
        let Some(returned) = self.returned.get(target) else { return };
        if state == State::Removed || started.is_some_and(|started| started > returned.began) {
            self.returned.remove(target);
        }
    }
}
