//! The operator's `iscsi` table: the iSCSI-style front, its volumes and its targets.

use super::ConfigError;
use crate::net::iscsi::Lun;
use crate::settings::Settings;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of the iSCSI-style front.
#[derive(Debug, PartialEq)]
pub struct Iscsi {
    /// The address that the front listens on.
    pub listen: SocketAddr,
    /// The iSCSI name that clients log in to, and that this initiator uses in its own sessions with targets.
    pub name: String,
    /// How many logical blocks count as one unit of a request's size.
    pub blocks_per_unit: u32,
    /// Timeout of the login to a target.
    pub login_timeout: Duration,
    /// How long a session with outstanding requests may stay silent before a NOP-Out is sent to it. A session
    /// that stays silent for the same time again counts as failed.
    pub silence_timeout: Duration,
    /// The volumes, by LUN.
    pub luns: HashMap<u64, Lun>,
    /// Targets that are configured here, in addition to those that discovery lists.
    pub targets: Vec<Portal>,
}

/// A target that is reached by the iSCSI-style protocol.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Portal {
    /// The target's iSCSI name, unique in the table.
    pub name: String,
    /// The address that the target accepts sessions on.
    pub addr: SocketAddr,
    /// The target's zone; empty if unknown.
    #[serde(default)]
    pub zone: String,
    /// The shard that the target stores.
    pub shard: u32,
}

/// The `iscsi` table as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IscsiTable {
    listen: SocketAddr,
    name: String,
    #[serde(default = "default_blocks_per_unit")]
    blocks_per_unit: u32,
    #[serde(default = "default_login_timeout_ms")]
    login_timeout_ms: u64,
    #[serde(rename = "silence_ms", default = "default_silence_timeout_ms")]
    silence_timeout_ms: u64,
    #[serde(default)]
    volume: Vec<VolumeTable>,
    #[serde(default)]
    target: Vec<Portal>,
}

/// A `volume` table as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeTable {
    /// In hex digits, without a prefix.
    lun: String,
    plan: Option<String>,
    /// Absent: each write creates a new object, which any target can store.
    shard: Option<u32>,
    #[serde(rename = "hosts", default)]
    initiators: u32,
}

/// Logical blocks per unit if the table sets none. With blocks of 512 bytes, a unit is 4 KiB.
const DEFAULT_BLOCKS_PER_UNIT: u32 = 8;
/// Timeout of the login to a target if the table sets none.
const DEFAULT_LOGIN_TIMEOUT_MS: u64 = 500;
/// How long a session may stay silent if the table sets none.
const DEFAULT_SILENCE_TIMEOUT_MS: u64 = 400;

fn default_blocks_per_unit() -> u32 {
    DEFAULT_BLOCKS_PER_UNIT
}

fn default_login_timeout_ms() -> u64 {
    DEFAULT_LOGIN_TIMEOUT_MS
}

fn default_silence_timeout_ms() -> u64 {
    DEFAULT_SILENCE_TIMEOUT_MS
}

impl IscsiTable {
    /// Checks the table against the settings, whose plans the volumes refer to.
    ///
    /// # Errors
    /// A value is zero, a LUN is not a hex number or is listed twice, a plan is not in the settings, or a
    /// target's name is listed twice.
    pub fn check(self, settings: &Settings) -> Result<Iscsi, ConfigError> {
        above_zero("blocks_per_unit", u64::from(self.blocks_per_unit))?;
        let luns = check_volumes(self.volume, settings)?;
        check_targets(&self.target)?;
        Ok(Iscsi {
            listen: self.listen,
            name: self.name,
            blocks_per_unit: self.blocks_per_unit,
            login_timeout: Duration::from_millis(above_zero("login_timeout_ms", self.login_timeout_ms)?),
            silence_timeout: Duration::from_millis(above_zero("silence_ms", self.silence_timeout_ms)?),
            luns,
            targets: self.target,
        })
    }
}

fn above_zero(key: &str, value: u64) -> Result<u64, ConfigError> {
    match value {
        0 => Err(ConfigError::new(format!("iscsi.{key}"), "must be above zero")),
        _ => Ok(value),
    }
}

fn check_volumes(volumes: Vec<VolumeTable>, settings: &Settings) -> Result<HashMap<u64, Lun>, ConfigError> {
    let mut luns = HashMap::new();
    for (index, volume) in volumes.into_iter().enumerate() {
        let key = |name: &str| format!("iscsi.volume[{index}].{name}");
        let lun_number = u64::from_str_radix(&volume.lun, 16).map_err(|error| {
            ConfigError::new(key("lun"), format!("{:?} is not a hex number: {error}", volume.lun))
        })?;
        if let Some(plan) =
            volume.plan.as_deref().filter(|plan| !settings.plans().any(|known| known == *plan))
        {
            return Err(ConfigError::new(key("plan"), format!("{plan:?} is not a plan of the settings")));
        }
        let lun = Lun { plan: volume.plan, shard: volume.shard, initiators: volume.initiators };
        if luns.insert(lun_number, lun).is_some() {
            return Err(ConfigError::new(key("lun"), format!("{:?} is listed twice", volume.lun)));
        }
    }
    Ok(luns)
}

fn check_targets(targets: &[Portal]) -> Result<(), ConfigError> {
    let mut names = HashSet::with_capacity(targets.len());
    for (index, target) in targets.iter().enumerate() {
        if !names.insert(&target.name) {
            let key = format!("iscsi.target[{index}].name");
            return Err(ConfigError::new(key, format!("{:?} is listed twice", target.name)));
        }
    }
    Ok(())
}
