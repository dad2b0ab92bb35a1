//! Which targets operators have taken out for maintenance, and what of discovery's reports holds for them.
//!
//! Two parties say whether a target may be sent requests: discovery, which lists it, and operators, who take
//! it out while they work on it. Neither overwrites the other here: the endpoint list is kept as discovery
//! reports it, and [`Maintenance::effective_state`] says what follows from both. A target that is out drains, whatever
//! discovery says, and one whose maintenance has ended is as discovery lists it from that moment on, with
//! nothing to wait for.
//!
//! Operators restart a target while it is out, so it comes back without warm caches, and discovery's report
//! of that may be late. A target that is back therefore counts as just started until discovery reports a
//! start that came after its maintenance began.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A time in microseconds, on the clock in which discovery reports starts.
pub type Micros = u64;

/// The states that discovery reports of a target, in the order in which less and less may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It may be sent requests.
    Active,
    /// It finishes what it has, and is sent nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// A target that is back from maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Returned {
    /// When its maintenance began. A start that discovery reports from before that is from before its
    /// restart.
    #[serde(rename = "out")]
    began: Micros,
    /// When it ended.
    #[serde(rename = "at")]
    ended: Micros,
}

/// The targets in maintenance, and those that are back from it. A message between two builds: its form stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Maintenance {
    /// The targets that are out, and since when.
    #[serde(default)]
    out: BTreeMap<String, Micros>,
    /// The targets that are back, until discovery reports their restart.
    #[serde(default, rename = "back")]
    returned: BTreeMap<String, Returned>,
}

impl Maintenance {
    /// Takes a target out. False: it was out already, which changes nothing.
    pub fn begin(&mut self, now: Micros, target: &str) -> bool {
        if self.out.contains_key(target) {
            return false;
        }
        self.returned.remove(target);
        self.out.insert(target.to_string(), now);
        true
    }

    /// Lets a target serve again. False: it was not out, which changes nothing.
    pub fn end(&mut self, now: Micros, target: &str) -> bool {
        let Some(began) = self.out.remove(target) else { return false };
        self.returned.insert(target.to_string(), Returned { began, ended: now });
        true
    }

    /// Whether a target is out.
    pub fn is_in_maintenance(&self, target: &str) -> bool {
        self.out.contains_key(target)
    }

    /// The targets that are out, in the order of their names.
    pub fn targets_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.out.keys().map(String::as_str)
    }

    /// The state and the start that hold for a target of which discovery reports these.
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

    /// Forgets what discovery's report has made moot: a start since the target's maintenance began, or its
    /// removal.
    pub fn handle_endpoint_report(&mut self, target: &str, state: State, started: Option<Micros>) {
        let Some(returned) = self.returned.get(target) else { return };
        if state == State::Removed || started.is_some_and(|started| started > returned.began) {
            self.returned.remove(target);
        }
    }
}
