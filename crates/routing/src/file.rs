//! Routes and expectations as an operator's files hold them.

pub use crate::check::Terms;
use crate::expect::{Expectation, Must, Undecided};
use crate::request::Front;
use crate::sets::{Addresses, Match, Ranges, Selector};
use crate::table::{Origin, Pool, Route, Table};
use crate::target::BoxState;
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use toml::Spanned;

/// A file: its name for errors, and its text.
#[derive(Clone, Debug)]
pub struct Source {
    pub name: String,
    pub text: String,
}

/// What the files say.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub table: Table,
    pub expectations: Vec<Expectation>,
}

/// What is wrong with a file: where, and under which key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{origin}{problem}")]
pub struct RouteError {
    /// `FILE line N: KEY: `, as far as it is known.
    pub origin: String,
    pub problem: String,
}

/// Only what is routing's; the file's other tables are others'.
#[derive(Default, Deserialize)]
struct File {
    #[serde(default)]
    pool: Vec<Spanned<PoolTable>>,
    #[serde(default)]
    route: Vec<Spanned<RouteTable>>,
    #[serde(default)]
    expect: Vec<Spanned<ExpectTable>>,
}

/// One value, or several.
#[derive(Clone, Deserialize)]
#[serde(untagged)]
enum OneOrMore<T> {
    One(T),
    More(Vec<T>),
}

impl<T> OneOrMore<T> {
    fn list(self) -> Vec<T> {
        match self {
            OneOrMore::One(one) => vec![one],
            OneOrMore::More(more) => more,
        }
    }
}

type Names = Option<OneOrMore<String>>;

#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct SelectorTable {
    boxes: Names,
    zones: Names,
    kinds: Names,
    shards: Option<OneOrMore<u32>>,
    network: Names,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolTable {
    name: String,
    boxes: Names,
    zones: Names,
    kinds: Names,
    shards: Option<OneOrMore<u32>>,
    network: Names,
}

#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct MatchTable {
    front: Names,
    network: Names,
    class: Names,
    plan: Names,
    volume: Names,
    shard: Option<OneOrMore<u32>>,
    write: Option<bool>,
    new: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteTable {
    name: String,
    pool: String,
    fallback: Option<String>,
    front: Names,
    network: Names,
    class: Names,
    plan: Names,
    volume: Names,
    shard: Option<OneOrMore<u32>>,
    write: Option<bool>,
    new: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectTable {
    name: String,
    #[serde(default)]
    requests: MatchTable,
    only: Option<SelectorTable>,
    never: Option<SelectorTable>,
    in_state: Names,
    some: Option<SelectorTable>,
    without: Option<usize>,
    refused: Option<bool>,
    attempts_at_most: Option<u32>,
    drain_grace_ms_at_most: Option<u64>,
    unit_limit_at_most: Option<f64>,
    new_objects_over: Option<usize>,
    undecided: Option<String>,
}

/// Knows where a table stands.
struct Place<'a> {
    source: &'a Source,
    line: usize,
    key: String,
}

impl Place<'_> {
    fn origin(&self) -> Origin {
        Origin { file: self.source.name.clone(), line: self.line, key: self.key.clone() }
    }

    fn error(&self, key: &str, problem: impl Into<String>) -> RouteError {
        let dot = if key.is_empty() { "" } else { "." };
        RouteError { origin: format!("{}{dot}{key}: ", self.origin()), problem: problem.into() }
    }

    fn addresses(&self, key: &str, nets: Names) -> Result<Option<Addresses>, RouteError> {
        let Some(nets) = nets else { return Ok(None) };
        let mut out = Addresses::default();
        for text in nets.list() {
            let net =
                text.parse::<IpNet>().or_else(|e| text.parse::<IpAddr>().map(IpNet::from).map_err(|_| e));
            out.insert(net.map_err(|e| self.error(key, format!("{text:?}: {e}")))?);
        }
        Ok(Some(out))
    }

    fn selector(&self, t: SelectorTable) -> Result<Selector, RouteError> {
        let set = |names: Names| names.map(|n| n.list().into_iter().collect::<BTreeSet<_>>());
        Ok(Selector {
            names: set(t.boxes),
            zones: set(t.zones),
            kinds: set(t.kinds),
            shards: t.shards.map(|s| s.list().into_iter().collect()),
            addresses: self.addresses("network", t.network)?,
        })
    }

    fn matches(&self, t: MatchTable, terms: &Terms) -> Result<Match, RouteError> {
        let fronts = t.front.map(|fronts| {
            let front = |word: String| match word.as_str() {
                "http" => Ok(Front::Http),
                "iscsi" => Ok(Front::Iscsi),
                _ => Err(self.error("front", format!("{word:?} is neither http nor iscsi"))),
            };
            fronts.list().into_iter().map(front).collect::<Result<Vec<_>, _>>()
        });
        let known = |key: &str, names: Names, has: &dyn Fn(&str) -> bool| {
            let Some(names) = names else { return Ok(None) };
            let names: BTreeSet<String> = names.list().into_iter().collect();
            match names.iter().find(|n| !has(n)) {
                Some(unknown) => Err(self.error(key, format!("the settings have no {key} {unknown:?}"))),
                None => Ok(Some(names)),
            }
        };
        let volumes =
            t.volume.map(|v| v.list().iter().map(|text| self.volumes(text)).collect::<Result<Ranges, _>>());
        if t.new == Some(true) && t.shard.is_some() {
            return Err(self.error("new", "a new object lies on no shard"));
        }
        Ok(Match {
            fronts: fronts.transpose()?,
            clients: self.addresses("network", t.network)?,
            classes: known("class", t.class, &|n| terms.classes.iter().any(|(c, _)| c == n))?,
            plans: known("plan", t.plan, &|n| terms.plans.iter().any(|(p, _)| p == n))?,
            volumes: volumes.transpose()?,
            shards: t.shard.map(|s| s.list().into_iter().collect()),
            write: t.write,
            new: t.new,
        })
    }

    /// `00000003b4d60021`, or a range with both its ends, `A..B`.
    fn volumes(&self, text: &str) -> Result<(u64, u64), RouteError> {
        let one = |part: &str| {
            u64::from_str_radix(part.trim(), 16).map_err(|e| self.error("volume", format!("{part:?}: {e}")))
        };
        match text.split_once("..") {
            None => one(text).map(|v| (v, v)),
            Some((from, to)) => {
                let (from, to) = (one(from)?, one(to)?);
                if from > to {
                    return Err(self.error("volume", format!("{text:?} ends before it begins")));
                }
                Ok((from, to))
            }
        }
    }

    fn must(&self, t: &mut ExpectTable) -> Result<Must, RouteError> {
        let mut musts = Vec::new();
        if let Some(only) = t.only.take() {
            musts.push(Must::Only(self.selector(only)?));
        }
        if let Some(never) = t.never.take() {
            let states = match t.in_state.take() {
                None => BoxState::ALL.to_vec(),
                Some(states) => states.list().iter().map(|s| self.state(s)).collect::<Result<Vec<_>, _>>()?,
            };
            musts.push(Must::Never(self.selector(never)?, states));
        }
        if let Some(some) = t.some.take() {
            musts.push(Must::Some { boxes: self.selector(some)?, without: t.without.take().unwrap_or(0) });
        }
        musts.extend(t.refused.filter(|r| *r).map(|_| Must::Refused));
        musts.extend(t.attempts_at_most.map(Must::Attempts));
        musts.extend(t.drain_grace_ms_at_most.map(Must::DrainGrace));
        musts.extend(t.unit_limit_at_most.map(Must::UnitLimit));
        musts.extend(t.new_objects_over.map(Must::Spread));
        if t.in_state.is_some() || t.without.is_some() {
            return Err(self.error("", "in_state goes with never, and without with some"));
        }
        match (musts.pop(), musts.is_empty()) {
            (Some(must), true) => Ok(must),
            (None, _) => Err(self.error("", "says nothing that must hold")),
            _ => Err(self.error("", "says more than one thing that must hold; each needs an [[expect]]")),
        }
    }

    fn state(&self, word: &str) -> Result<BoxState, RouteError> {
        Ok(match word {
            "unlisted" => BoxState::Unlisted,
            "active" => BoxState::Active,
            "cold" => BoxState::Cold,
            "draining" => BoxState::Draining,
            "gone" => BoxState::Gone,
            "back" => BoxState::Back,
            _ => {
                let words = "unlisted, active, cold, draining, gone, back";
                return Err(self.error("in_state", format!("{word:?} is none of {words}")));
            }
        })
    }
}

/// Reads files in their order: routes and expectations of an earlier file come before those of a later one,
/// and a pool's name stands for one pool in all of them.
///
/// # Errors
/// A file cannot be used; the error names it, the line and the key.
pub fn parse(sources: &[Source], terms: &Terms) -> Result<Rules, RouteError> {
    let mut files = Vec::new();
    for source in sources {
        let file: File = toml::from_str(&source.text).map_err(|e| RouteError {
            origin: format!("{}: ", source.name),
            // The parser's message shows the line and names the key.
            problem: e.to_string().trim_end().to_string(),
        })?;
        files.push((source, file));
    }
    let mut pools: Vec<Pool> = Vec::new();
    let mut places: HashMap<String, usize> = HashMap::new();
    let (mut routes, mut expectations) = (Vec::new(), Vec::new());
    let at = |source, line: usize, key: String| Place { source, line, key };
    for (source, file) in &mut files {
        let lines = Lines::new(&source.text);
        for (i, table) in std::mem::take(&mut file.pool).into_iter().enumerate() {
            let place = at(source, lines.of(table.span().start), format!("pool[{i}]"));
            let t = table.into_inner();
            let PoolTable { name, boxes, zones, kinds, shards, network } = t;
            if let Some(other) = places.insert(name.clone(), pools.len()) {
                let other = &pools[other].origin;
                return Err(place.error("name", format!("{name:?} stands already at {other}")));
            }
            let boxes = place.selector(SelectorTable { boxes, zones, kinds, shards, network })?;
            pools.push(Pool { name, boxes, origin: place.origin() });
        }
    }
    for (source, file) in files {
        let lines = Lines::new(&source.text);
        for (i, table) in file.route.into_iter().enumerate() {
            let place = at(source, lines.of(table.span().start), format!("route[{i}]"));
            let t = table.into_inner();
            let pool = |key: &str, name: &String| {
                places
                    .get(name)
                    .copied()
                    .ok_or_else(|| place.error(key, format!("there is no pool {name:?}")))
            };
            let (first, fallback) =
                (pool("pool", &t.pool)?, t.fallback.as_ref().map(|f| pool("fallback", f)).transpose()?);
            let RouteTable { name, front, network, class, plan, volume, shard, write, new, .. } = t;
            let requests = MatchTable { front, network, class, plan, volume, shard, write, new };
            let requests = place.matches(requests, terms)?;
            routes.push(Route { name, requests, pool: first, fallback, origin: place.origin() });
        }
        for (i, table) in file.expect.into_iter().enumerate() {
            let place = at(source, lines.of(table.span().start), format!("expect[{i}]"));
            let mut t = table.into_inner();
            let must = place.must(&mut t)?;
            let undecided = match t.undecided.as_deref() {
                None | Some("warn") => Undecided::Warn,
                Some("refuse") => Undecided::Refuse,
                Some("hold") => Undecided::Hold,
                Some(other) => {
                    return Err(place.error("undecided", format!("{other:?} is none of warn, refuse, hold")));
                }
            };
            let requests = place.matches(t.requests, terms)?;
            let origin = place.origin();
            expectations.push(Expectation { name: t.name, requests, must, undecided, origin });
        }
    }
    Ok(Rules { table: Table::new(routes, pools), expectations })
}

/// Where lines begin, so that a place's line is found without counting from the top.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Lines {
        Lines(text.match_indices('\n').map(|(i, _)| i).collect())
    }

    fn of(&self, at: usize) -> usize {
        self.0.partition_point(|i| *i < at) + 1
    }
}
