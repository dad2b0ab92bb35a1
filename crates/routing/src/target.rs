//! Targets as seen by routes: their attributes, the states in which discovery can list them, and sets of
//! them.

use crate::addresses::AddressSet;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The attributes of a target, which do not change while discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetInfo {
    /// The name in the endpoint list.
    pub name: String,
    /// The name of the zone that the target is in.
    pub zone: String,
    /// The kind of hardware, as the endpoint list names it.
    pub kind: String,
    /// The shard that the target holds.
    pub shard: u32,
    /// The IP address.
    pub addr: IpAddr,
}

/// The states of a target in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListedState {
    /// Not listed yet.
    Unlisted,
    /// The target accepts requests.
    Active,
    /// The target has just started, and accepts few requests at first.
    WarmingUp,
    /// The target accepts no new requests.
    Draining,
    /// No longer listed.
    Removed,
    /// The target is listed again under the same name after its removal, and is warming up.
    Relisted,
}

impl ListedState {
    /// All states, in the order in which error messages list them.
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

    /// Parses a word from an operator's file.
    pub fn from_word(word: &str) -> Option<ListedState> {
        ListedState::ALL.into_iter().find(|state| state.word() == word)
    }

    /// Whether the target accepts new requests in this state.
    pub fn accepts_requests(self) -> bool {
        matches!(self, ListedState::Active | ListedState::WarmingUp | ListedState::Relisted)
    }
}

/// A set of targets. An attribute that is `None` selects every target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetSelector {
    /// The names of the targets.
    pub names: Option<BTreeSet<String>>,
    /// The zones of the targets.
    pub zones: Option<BTreeSet<String>>,
    /// The kinds of hardware.
    pub kinds: Option<BTreeSet<String>>,
    /// The shards that the targets hold.
    pub shards: Option<BTreeSet<u32>>,
    /// The addresses of the targets.
    pub addresses: Option<AddressSet>,
}

fn contains_or_any<T: Ord>(set: &Option<BTreeSet<T>>, value: &T) -> bool {
    set.as_ref().is_none_or(|set| set.contains(value))
}

impl TargetSelector {
    /// Whether the target is in the set.
    pub fn selects(&self, target: &TargetInfo) -> bool {
        contains_or_any(&self.names, &target.name)
            && contains_or_any(&self.zones, &target.zone)
            && contains_or_any(&self.kinds, &target.kind)
            && self.may_hold_shard(target.shard)
            && self.addresses.as_ref().is_none_or(|set| set.longest_prefix(target.addr).is_some())
    }

    /// Whether the set can contain a target of this shard.
    pub fn may_hold_shard(&self, shard: u32) -> bool {
        contains_or_any(&self.shards, &shard)
    }

    /// Whether the set is defined by names alone.
    pub fn is_by_name_only(&self) -> bool {
        let TargetSelector { names: _, zones, kinds, shards, addresses } = self;
        zones.is_none() && kinds.is_none() && shards.is_none() && addresses.is_none()
    }
}
