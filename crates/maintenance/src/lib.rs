//! Which targets operators have called out, and what of discovery's news holds for them.
//!
//! Two parties say whether a target may be sent anything: discovery, which lists it, and operators, who leave
//! it out while they work on it. Neither overwrites the other's word here: the list is kept as discovery
//! tells it, and [`Maintenance::view`] says what follows from both. A target that is out drains, whatever
//! discovery says, and one that is called back is as discovery lists it from that moment on, with nothing to
//! wait for.
//!
//! Operators restart a target while it is out, so it comes back cold, and discovery's news of that may be
//! late. A target called back therefore counts as just started until discovery tells a start that came after
//! it was called out.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A time in microseconds, on the clock in which discovery tells starts.
pub type Micros = u64;

/// The states that discovery tells of a target, in the order in which less and less may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Up,
    Draining,
    Gone,
}

/// What a target called back is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Back {
    /// When it was called out. A start that discovery tells from before that is from before its restart.
    out: Micros,
    at: Micros,
}

/// The calls that hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Maintenance {
    /// The targets that are out, and since when.
    #[serde(default)]
    out: BTreeMap<String, Micros>,
    #[serde(default)]
    back: BTreeMap<String, Back>,
}

impl Maintenance {
    /// Leaves a target out. False: it was out already, which changes nothing.
    pub fn call_out(&mut self, now: Micros, target: &str) -> bool {
        if self.out.contains_key(target) {
            return false;
        }
        self.back.remove(target);
        self.out.insert(target.to_string(), now);
        true
    }

    /// Lets a target serve again. False: it was not out, which changes nothing.
    pub fn call_back(&mut self, now: Micros, target: &str) -> bool {
        let Some(out) = self.out.remove(target) else { return false };
        self.back.insert(target.to_string(), Back { out, at: now });
        true
    }

    pub fn is_out(&self, target: &str) -> bool {
        self.out.contains_key(target)
    }

    /// The targets that are out, in the order of their names.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.keys().map(String::as_str)
    }

    /// What holds for a target of which discovery says this.
    pub fn view(&self, target: &str, state: State, started: Option<Micros>) -> (State, Option<Micros>) {
        if self.is_out(target) {
            return (state.max(State::Draining), started);
        }
        match self.back.get(target) {
            Some(back) if started.is_none_or(|s| s <= back.out) => (state, Some(back.at)),
            _ => (state, started),
        }
    }

    /// Forgets what discovery's news has made moot: a start told since the target was called out, or its
    /// leaving.
    pub fn told(&mut self, target: &str, state: State, started: Option<Micros>) {
        let Some(back) = self.back.get(target) else { return };
        if state == State::Gone || started.is_some_and(|s| s > back.out) {
            self.back.remove(target);
        }
    }
}
