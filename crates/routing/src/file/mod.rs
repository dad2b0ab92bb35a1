//! Routes and expectations as an operator's files hold them.

mod entry;
mod error;
mod expectations;
mod tables;

pub use error::RouteError;

use crate::expectation::Expectation;
use crate::settings::ServiceSettings;
use crate::table::{Pool, Route, RouteTable};
use crate::target::TargetSelector;
use entry::{Entry, LineIndex};
use std::collections::HashMap;
use tables::{PoolTable, RouteFile, RouteTableEntry};

/// A file: its name for errors, and its text.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name.
    pub name: String,
    /// The text.
    pub text: String,
}

/// What the files say.
#[derive(Clone, Debug, Default)]
pub struct RoutingRules {
    /// The routes and pools.
    pub table: RouteTable,
    /// What must hold of them.
    pub expectations: Vec<Expectation>,
}

/// Reads files in their order: routes and expectations of an earlier file come before those of a later one,
/// and a pool's name stands for one pool in all of them.
///
/// # Errors
/// A file cannot be used; the error names it, the line and the key.
pub fn parse(sources: &[Source], settings: &ServiceSettings) -> Result<RoutingRules, RouteError> {
    let mut files = Vec::new();
    for source in sources {
        let file: RouteFile =
            toml::from_str(&source.text).map_err(|error| RouteError::syntax(&source.name, &error))?;
        files.push((source, LineIndex::new(&source.text), file));
    }
    let mut pools = Pools::default();
    for (source, lines, file) in &mut files {
        for (index, table) in std::mem::take(&mut file.pool).into_iter().enumerate() {
            let entry = Entry::new(source, lines, table.span(), "pool", index);
            pools.add(&entry, table.into_inner())?;
        }
    }
    let mut routes = Vec::new();
    let mut expectations = Vec::new();
    for (source, lines, file) in files {
        for (index, table) in file.route.into_iter().enumerate() {
            let entry = Entry::new(source, &lines, table.span(), "route", index);
            routes.push(route(&entry, table.into_inner(), &pools, settings)?);
        }
        for (index, table) in file.expect.into_iter().enumerate() {
            let entry = Entry::new(source, &lines, table.span(), "expect", index);
            expectations.push(entry.expectation(table.into_inner(), settings)?);
        }
    }
    Ok(RoutingRules { table: RouteTable::new(routes, pools.pools), expectations })
}

/// The pools of all files.
#[derive(Default)]
struct Pools {
    pools: Vec<Pool>,
    by_name: HashMap<String, usize>,
}

impl Pools {
    fn add(&mut self, entry: &Entry<'_>, table: PoolTable) -> Result<(), RouteError> {
        let (name, selector) = table.into_parts();
        if let Some(other) = self.by_name.insert(name.clone(), self.pools.len()) {
            let other = &self.pools[other].origin;
            return Err(entry.error("name", format!("{name:?} stands already at {other}")));
        }
        let targets: TargetSelector = entry.target_selector(selector)?;
        self.pools.push(Pool { name, targets, origin: entry.origin() });
        Ok(())
    }

    /// The index of the pool that a key names.
    fn index(&self, entry: &Entry<'_>, key: &str, name: &str) -> Result<usize, RouteError> {
        let index = self.by_name.get(name).copied();
        index.ok_or_else(|| entry.error(key, format!("there is no pool {name:?}")))
    }
}

fn route(
    entry: &Entry<'_>,
    table: RouteTableEntry,
    pools: &Pools,
    settings: &ServiceSettings,
) -> Result<Route, RouteError> {
    let pool = pools.index(entry, "pool", &table.pool)?;
    let fallback = table.fallback.as_ref().map(|name| pools.index(entry, "fallback", name)).transpose()?;
    let (name, requests) = table.into_parts();
    let requests = entry.request_match(requests, settings)?;
    Ok(Route { name, requests, pool, fallback, origin: entry.origin() })
}
