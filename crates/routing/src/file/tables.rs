//! The tables of an operator's file and the names of their keys. The sample of the compatibility test
//! contains every key.

use serde::Deserialize;
use toml::Spanned;

/// The routing tables of a file; its other tables are parsed elsewhere.
#[derive(Default, Deserialize)]
pub(super) struct RouteFile {
    #[serde(default)]
    pub(super) pool: Vec<Spanned<PoolTable>>,
    #[serde(default)]
    pub(super) route: Vec<Spanned<RouteTableEntry>>,
    #[serde(default)]
    pub(super) expect: Vec<Spanned<ExpectTable>>,
}

/// A single value or a list of values.
#[derive(Clone, Deserialize)]
#[serde(untagged)]
pub(super) enum OneOrMore<T> {
    One(T),
    More(Vec<T>),
}

impl<T> OneOrMore<T> {
    pub(super) fn into_vec(self) -> Vec<T> {
        match self {
            OneOrMore::One(value) => vec![value],
            OneOrMore::More(values) => values,
        }
    }
}

/// A key whose value is one or more names.
pub(super) type Names = Option<OneOrMore<String>>;
/// A key whose value is one or more shards.
pub(super) type Shards = Option<OneOrMore<u32>>;

/// The keys that select targets.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SelectorTable {
    #[serde(rename = "boxes")]
    pub(super) names: Names,
    pub(super) zones: Names,
    pub(super) kinds: Names,
    pub(super) shards: Shards,
    pub(super) network: Names,
}

/// `[[pool]]`: a name and the keys that select targets. The keys are repeated because serde cannot both
/// flatten a table and reject unknown keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PoolTable {
    name: String,
    boxes: Names,
    zones: Names,
    kinds: Names,
    shards: Shards,
    network: Names,
}

impl PoolTable {
    pub(super) fn into_parts(self) -> (String, SelectorTable) {
        let PoolTable { name, boxes, zones, kinds, shards, network } = self;
        (name, SelectorTable { names: boxes, zones, kinds, shards, network })
    }
}

/// The keys that match requests.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MatchTable {
    pub(super) front: Names,
    pub(super) network: Names,
    pub(super) class: Names,
    pub(super) plan: Names,
    pub(super) volume: Names,
    pub(super) shard: Shards,
    pub(super) write: Option<bool>,
    pub(super) new: Option<bool>,
}

/// `[[route]]`: a name, pools and the keys that match requests.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteTableEntry {
    name: String,
    pub(super) pool: String,
    pub(super) fallback: Option<String>,
    front: Names,
    network: Names,
    class: Names,
    plan: Names,
    volume: Names,
    shard: Shards,
    write: Option<bool>,
    new: Option<bool>,
}

impl RouteTableEntry {
    pub(super) fn into_parts(self) -> (String, MatchTable) {
        let RouteTableEntry { name, front, network, class, plan, volume, shard, write, new, .. } = self;
        (name, MatchTable { front, network, class, plan, volume, shard, write, new })
    }
}

/// `[[expect]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ExpectTable {
    pub(super) name: String,
    #[serde(default)]
    pub(super) requests: MatchTable,
    pub(super) only: Option<SelectorTable>,
    pub(super) never: Option<SelectorTable>,
    pub(super) in_state: Names,
    pub(super) some: Option<SelectorTable>,
    pub(super) without: Option<usize>,
    #[serde(rename = "refused")]
    pub(super) rejected: Option<bool>,
    #[serde(rename = "attempts_at_most")]
    pub(super) max_attempts: Option<u32>,
    #[serde(rename = "drain_grace_ms_at_most")]
    pub(super) max_drain_grace_ms: Option<u64>,
    #[serde(rename = "unit_limit_at_most")]
    pub(super) max_units_per_second: Option<f64>,
    #[serde(rename = "new_objects_over")]
    pub(super) min_new_object_targets: Option<usize>,
    #[serde(rename = "undecided")]
    pub(super) when_undecided: Option<String>,
}
