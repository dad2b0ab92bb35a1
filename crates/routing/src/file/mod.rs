//! Parsing of operators' files with routes and expectations.

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

/// The content of an operator's file.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name of the file, for error messages.
    pub name: String,
    /// The TOML text.
    pub text: String,
}

/// The routes and expectations of all files.
#[derive(Clone, Debug, Default)]
pub struct RoutingRules {
    /// The routes and pools.
    pub table: RouteTable,
    /// Requirements that the routes have to meet.
    pub expectations: Vec<Expectation>,
}

/// Parses files in the given order: routes and expectations of an earlier file come before those of a later
/// one, and a pool's name refers to the same pool in all files.
///
/// # Errors
/// A file is invalid; the error gives the file, the line and the key.
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
            routes.push(build_route(&entry, table.into_inner(), &pools, settings)?);
        }
        for (index, table) in file.expect.into_iter().enumerate() {
            let entry = Entry::new(source, &lines, table.span(), "expect", index);
            expectations.push(entry.parse_expectation(table.into_inner(), settings)?);
        }
    }
    Ok(RoutingRules { table: RouteTable::new(routes, pools.pools), expectations })
}

/// The pools of all files, by index and by name.
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
            return Err(entry.error("name", format!("{name:?} is already defined at {other}")));
        }
        let targets: TargetSelector = entry.parse_target_selector(selector)?;
        self.pools.push(Pool { name, targets, origin: entry.origin() });
        Ok(())
    }

    /// The index of the pool that a key refers to.
    fn index(&self, entry: &Entry<'_>, key: &str, name: &str) -> Result<usize, RouteError> {
        let index = self.by_name.get(name).copied();
        index.ok_or_else(|| entry.error(key, format!("there is no pool {name:?}")))
    }
}

fn build_route(
    entry: &Entry<'_>,
    table: RouteTableEntry,
    pools: &Pools,
    settings: &ServiceSettings,
) -> Result<Route, RouteError> {
    let pool = pools.index(entry, "pool", &table.pool)?;
    let fallback = table.fallback.as_ref().map(|name| pools.index(entry, "fallback", name)).transpose()?;
    let (name, requests) = table.into_parts();
    let requests = entry.parse_request_match(requests, settings)?;
    Ok(Route { name, requests, pool, fallback, origin: entry.origin() })
}
