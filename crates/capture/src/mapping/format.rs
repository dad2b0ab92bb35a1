//! The types that a mapping file's TOML is deserialized into, before values are checked.

use crate::trace::Repeat;
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// The version of the format that this program reads.
pub const VERSION: u32 = 1;

/// A mapping file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub version: Spanned<u32>,
    #[serde(default)]
    pub time: TimeTable,
    pub anonymise: Option<AnonymiseTable>,
    #[serde(default)]
    pub class: Vec<ClassTable>,
    #[serde(default)]
    pub plan: Vec<PlanTable>,
    /// Networks by name, in CIDR notation or as single addresses.
    #[serde(default)]
    pub networks: BTreeMap<String, Vec<Spanned<String>>>,
    #[serde(default)]
    pub defaults: Defaults,
    #[serde(default)]
    pub rule: Vec<RuleTable>,
}

/// Which moment of a request its recorded time refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stamp {
    #[default]
    Start,
    End,
}

/// How recorded times are interpreted.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeTable {
    #[serde(default)]
    pub stamp: Stamp,
    /// Whether requests of a second are spread over it if the source records whole seconds only.
    #[serde(default = "default_spread_seconds")]
    pub spread_seconds: bool,
}

impl Default for TimeTable {
    fn default() -> TimeTable {
        TimeTable { stamp: Stamp::default(), spread_seconds: default_spread_seconds() }
    }
}

fn default_spread_seconds() -> bool {
    true
}

/// The key for keyed hashes of names, either as 64 hex digits or as the path of a file with them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnonymiseTable {
    pub key: Option<Spanned<String>>,
    pub key_file: Option<Spanned<String>>,
}

/// A request class.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    pub name: Spanned<String>,
    #[serde(default)]
    pub write: bool,
    #[serde(default = "default_repeat")]
    pub repeat: Repeat,
    pub aim_ms: u32,
    pub deadline_ms: Spanned<u32>,
}

fn default_repeat() -> Repeat {
    Repeat::Safe
}

/// A QoS plan; its rates are in units per second.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanTable {
    pub name: Spanned<String>,
    pub rate: f64,
    pub limit: Option<f64>,
}

/// A request's size in units: fixed, or calculated from the bytes that it transferred.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum Units {
    Fixed(f64),
    ByBytes { per_bytes: u64, least: f64, most: f64 },
}

impl Units {
    /// The smallest and the largest size that a request can have.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Units::Fixed(units) => (units, units),
            Units::ByBytes { least, most, .. } => (least, most),
        }
    }

    /// The size of a request that transferred this many bytes.
    pub fn for_bytes(self, bytes: u64) -> f64 {
        match self {
            Units::Fixed(units) => units,
            Units::ByBytes { per_bytes, least, most } => {
                (bytes.div_ceil(per_bytes.max(1)) as f64).clamp(least, most)
            }
        }
    }
}

/// The shard of a request's object, as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum ShardValue {
    At(u32),
    /// Only `"new"` is valid.
    Word(String),
    /// The volume's number modulo `of`.
    Of {
        of: u32,
    },
}

/// Values for rules that don't set their own.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Defaults {
    pub plan: Option<Spanned<String>>,
    pub units: Option<Spanned<Units>>,
    pub shard: Option<Spanned<ShardValue>>,
    pub hosts: Option<Spanned<u32>>,
}

/// One HTTP method or several.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Methods {
    One(String),
    Several(Vec<String>),
}

/// A rule: which recorded requests it matches, and which store request they are converted to.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleTable {
    pub name: Option<String>,
    pub method: Option<Methods>,
    pub path: Option<Spanned<String>>,
    #[serde(default)]
    pub query: BTreeMap<String, Spanned<String>>,
    pub network: Option<Spanned<String>>,
    pub least_bytes: Option<u64>,
    pub most_bytes: Option<u64>,
    /// Whether matching requests are left out of the trace.
    #[serde(default)]
    pub ignore: bool,
    pub class: Option<Spanned<String>>,
    pub plan: Option<Spanned<String>>,
    pub volume: Option<Spanned<String>>,
    pub piece: Option<Spanned<String>>,
    pub key: Option<Spanned<String>>,
    pub units: Option<Spanned<Units>>,
    pub shard: Option<Spanned<ShardValue>>,
    pub hosts: Option<Spanned<u32>>,
    pub deadline_ms: Option<Spanned<u32>>,
}
