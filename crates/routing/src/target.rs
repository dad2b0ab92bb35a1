//! Targets as routes see them: their fixed attributes, and the states in which discovery can list them.

use std::net::IpAddr;

/// The attributes of a target that stay the same while discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetInfo {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub shard: u32,
    pub addr: IpAddr,
}

/// The states in which discovery can list a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BoxState {
    /// Not listed yet.
    Unlisted,
    Active,
    /// Just started: it takes new work, little at first.
    Cold,
    Draining,
    Gone,
    /// Listed again under the same name after it was gone; cold.
    Back,
}

impl BoxState {
    pub const ALL: [BoxState; 6] = [
        BoxState::Unlisted,
        BoxState::Active,
        BoxState::Cold,
        BoxState::Draining,
        BoxState::Gone,
        BoxState::Back,
    ];

    /// Whether the target takes new work in this state.
    pub fn takes_work(self) -> bool {
        matches!(self, BoxState::Active | BoxState::Cold | BoxState::Back)
    }
}
