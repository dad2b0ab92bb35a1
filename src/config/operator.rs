//! The operator's TOML files.

use super::ConfigError;
use super::access_log::AccessLog;
use super::fleet::FleetTable;
use super::iscsi::IscsiTable;
use super::sites::SitesTable;
use super::subset::SubsetTable;
use rowanglade_routing::Source;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::path::{Path, PathBuf};

/// What the operator's files have, before their tables are checked.
#[derive(Default)]
pub struct OperatorFiles {
    /// The tables of all files.
    pub tables: OperatorTables,
    /// The files' texts in their order, of which the routing crate reads pools, routes and expectations:
    /// those of an earlier file come first.
    pub sources: Vec<Source>,
}

/// The tables that may stand in one of the files.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorTables {
    /// The iSCSI-style front.
    pub iscsi: Option<IscsiTable>,
    /// The access log.
    pub access_log: Option<AccessLog>,
    /// The exchange of quota with other initiators.
    pub fleet: Option<FleetTable>,
    /// The monitoring of sites.
    pub sites: Option<SitesTable>,
    /// The preferred targets.
    pub subset: Option<SubsetTable>,
    // What the routing crate reads by itself.
    #[serde(rename = "pool")]
    _pool: Option<IgnoredAny>,
    #[serde(rename = "route")]
    _route: Option<IgnoredAny>,
    #[serde(rename = "expect")]
    _expect: Option<IgnoredAny>,
}

impl OperatorFiles {
    /// Reads the files in their order.
    ///
    /// # Errors
    /// A file cannot be read or parsed, or a table stands in two files.
    pub fn read(paths: &[PathBuf]) -> Result<OperatorFiles, ConfigError> {
        let mut files = OperatorFiles::default();
        for path in paths {
            files.add(path)?;
        }
        Ok(files)
    }

    fn add(&mut self, path: &Path) -> Result<(), ConfigError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::new(&name, error))?;
        // The parser's message shows the line and names the key.
        let tables: OperatorTables = toml::from_str(&text).map_err(|error| ConfigError::new(&name, error))?;
        self.tables.merge(tables, &name)?;
        self.sources.push(Source { name, text });
        Ok(())
    }
}

impl OperatorTables {
    fn merge(&mut self, later: OperatorTables, file: &str) -> Result<(), ConfigError> {
        merge(&mut self.iscsi, later.iscsi, file, "iscsi")?;
        merge(&mut self.fleet, later.fleet, file, "fleet")?;
        merge(&mut self.sites, later.sites, file, "sites")?;
        merge(&mut self.subset, later.subset, file, "subset")?;
        merge(&mut self.access_log, later.access_log, file, "access_log")
    }
}

/// Takes over a table of a later file, which no earlier file may have.
fn merge<T>(table: &mut Option<T>, later: Option<T>, file: &str, key: &str) -> Result<(), ConfigError> {
    if later.is_none() {
        return Ok(());
    }
    if table.is_some() {
        return Err(ConfigError::new(format!("{file}: {key}"), "stands in an earlier file too"));
    }
    *table = later;
    Ok(())
}
