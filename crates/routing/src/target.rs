//! Targets as routes see them: their fixed attributes, the states in which discovery can list them, and sets
//! of them.

use crate::addresses::AddressSet;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The attributes of a target that stay the same while discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetInfo {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of hardware.
    pub kind: String,
    /// The shard that it holds.
    pub shard: u32,
    /// Its address.
    pub addr: IpAddr,
}

/// The states in which discovery can list a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListedState {
    /// Not listed yet.
    Unlisted,
    /// It serves.
    Active,
    /// Just started: it takes new work, little at first.
    WarmingUp,
    /// It takes no new work.
    Draining,
    /// No longer listed.
    Removed,
    /// Listed again under the same name after it was removed; warming up.
    Relisted,
}

impl ListedState {
    /// All states.
    pub const ALL: [ListedState; 6] = [
        ListedState::Unlisted,
        ListedState::Active,
        ListedState::WarmingUp,
        ListedState::Draining,
        ListedState::Removed,
        ListedState::Relisted,
    ];

    /// The word for the state in operators' files.
    pub fn word(self) -> &'static str {
        match self {
            ListedState::Unlisted => "unlisted",
            ListedState::Active => "active",
            ListedState::WarmingUp => "cold",
            ListedState::Draining => "draining",
            ListedState::Removed => "gone",
            ListedState::Relisted => "back",
        }
    }

    /// The state that a word in an operator's file stands for.
    pub fn from_word(word: &str) -> Option<ListedState> {
        ListedState::ALL.into_iter().find(|state| state.word() == word)
    }

    /// Whether the target takes new work in this state.
    pub fn takes_work(self) -> bool {
        matches!(self, ListedState::Active | ListedState::WarmingUp | ListedState::Relisted)
    }
}

/// A set of targets. An attribute that is none selects every target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetSelector {
    /// Their names.
    pub names: Option<BTreeSet<String>>,
    /// Their zones.
    pub zones: Option<BTreeSet<String>>,
    /// Their kinds of hardware.
    pub kinds: Option<BTreeSet<String>>,
    /// Their shards.
    pub shards: Option<BTreeSet<u32>>,
    /// Their addresses.
    pub addresses: Option<AddressSet>,
}

fn holds<T: Ord>(set: &Option<BTreeSet<T>>, value: &T) -> bool {
    set.as_ref().is_none_or(|set| set.contains(value))
}

impl TargetSelector {
    /// Whether the target is in the set.
    pub fn selects(&self, target: &TargetInfo) -> bool {
        holds(&self.names, &target.name)
            && holds(&self.zones, &target.zone)
            && holds(&self.kinds, &target.kind)
            && self.may_hold_shard(target.shard)
            && self.addresses.as_ref().is_none_or(|set| set.longest_prefix(target.addr).is_some())
    }

    /// Whether a target of this shard can be in the set.
    pub fn may_hold_shard(&self, shard: u32) -> bool {
        holds(&self.shards, &shard)
    }

    /// Whether names alone decide.
    pub fn is_by_name_only(&self) -> bool {
        let TargetSelector { names: _, zones, kinds, shards, addresses } = self;
        zones.is_none() && kinds.is_none() && shards.is_none() && addresses.is_none()
    }
}
