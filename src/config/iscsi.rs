//! The operator's `iscsi` table.

use super::ConfigError;
use crate::net::iscsi::Lun;
use crate::settings::Settings;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The iSCSI-style front.
#[derive(Debug, PartialEq)]
pub struct Iscsi {
    /// Where sessions connect.
    pub listen: SocketAddr,
    /// The name of the target that sessions log in to, and of the initiator in sessions that go out.
    pub name: String,
    /// How many logical blocks count as one unit.
    pub blocks_per_unit: u32,
    /// How long a login to a target may take.
    pub login_timeout: Duration,
    /// How long a session that owes responses may be silent before it is asked with a NOP-Out; after as long
    /// again it counts as broken.
    pub silence_timeout: Duration,
    /// Volumes by their LUN.
    pub luns: HashMap<u64, Lun>,
    /// Targets that discovery does not list.
    pub targets: Vec<Portal>,
}

/// A target that speaks the iSCSI-style protocol.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Portal {
    /// The target's name.
    pub name: String,
    /// Where it accepts sessions.
    pub addr: SocketAddr,
    /// Its zone; empty where none is known.
    #[serde(default)]
    pub zone: String,
    /// The shard that it holds.
    pub shard: u32,
}

/// The table, as written.
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

/// A volume, as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeTable {
    /// In hex digits.
    lun: String,
    plan: Option<String>,
    /// None: its writes are new objects, which any target can take.
    shard: Option<u32>,
    #[serde(rename = "hosts", default)]
    initiators: u32,
}

/// Logical blocks of a unit where the file does not say: a unit is 4 KiB.
const DEFAULT_BLOCKS_PER_UNIT: u32 = 8;
/// How long a login to a target may take where the file does not say.
const DEFAULT_LOGIN_TIMEOUT_MS: u64 = 500;
/// How long a session that owes responses may be silent where the file does not say.
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
    /// Checks the table.
    ///
    /// # Errors
    /// A value is zero, a LUN is no hex number or stands twice, a plan is not in the settings, or a target stands
    /// twice.
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
        0 => Err(ConfigError::new(format!("iscsi.{key}"), "is zero")),
        _ => Ok(value),
    }
}

fn check_volumes(volumes: Vec<VolumeTable>, settings: &Settings) -> Result<HashMap<u64, Lun>, ConfigError> {
    let mut luns = HashMap::new();
    for (index, volume) in volumes.into_iter().enumerate() {
        let key = |name: &str| format!("iscsi.volume[{index}].{name}");
        let lun_number = u64::from_str_radix(&volume.lun, 16)
            .map_err(|error| ConfigError::new(key("lun"), format!("{:?}: {error}", volume.lun)))?;
        if let Some(plan) =
            volume.plan.as_deref().filter(|plan| !settings.plans().any(|known| known == *plan))
        {
            return Err(ConfigError::new(key("plan"), format!("the settings have no plan {plan:?}")));
        }
        let lun = Lun { plan: volume.plan, shard: volume.shard, initiators: volume.initiators };
        if luns.insert(lun_number, lun).is_some() {
            return Err(ConfigError::new(key("lun"), format!("{:?} is there twice", volume.lun)));
        }
    }
    Ok(luns)
}

fn check_targets(targets: &[Portal]) -> Result<(), ConfigError> {
    let mut names = HashSet::with_capacity(targets.len());
    for (index, target) in targets.iter().enumerate() {
        if !names.insert(&target.name) {
            let key = format!("iscsi.target[{index}].name");
            return Err(ConfigError::new(key, format!("{:?} is there twice", target.name)));
        }
    }
    Ok(())
}
