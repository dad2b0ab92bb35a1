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

/// The content of the operator's files, before the tables are checked.
#[derive(Default)]
pub struct OperatorFiles {
    /// The tables of all files together.
    pub tables: OperatorTables,
    /// The text of each file, in the order of the command line. The routing crate reads pools, routes and
    /// expectations from them; those of an earlier file precede those of a later one.
    pub sources: Vec<Source>,
}

/// The tables that an operator's file may contain.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorTables {
    pub iscsi: Option<IscsiTable>,
    pub access_log: Option<AccessLog>,
    /// The quota exchange with other initiators.
    pub fleet: Option<FleetTable>,
    /// The monitoring of sites.
    pub sites: Option<SitesTable>,
    /// The choice of preferred targets.
    pub subset: Option<SubsetTable>,
    // The routing crate reads these tables from the files' texts.
    #[serde(rename = "pool")]
    _pool: Option<IgnoredAny>,
    #[serde(rename = "route")]
    _route: Option<IgnoredAny>,
    #[serde(rename = "expect")]
    _expect: Option<IgnoredAny>,
}

impl OperatorFiles {
    /// Reads the files in the given order.
    ///
    /// # Errors
    /// A file cannot be read or parsed, or two files have the same table.
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
        // The parser's message contains the line and the key.
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

/// Adds a table of a later file; an error if an earlier file has the same table.
fn merge<T>(table: &mut Option<T>, later: Option<T>, file: &str, key: &str) -> Result<(), ConfigError> {
    if later.is_none() {
        return Ok(());
    }
    if table.is_some() {
        return Err(ConfigError::new(
            format!("{file}: {key}"),
            "the table is set in an earlier file already",
        ));
    }
    *table = later;
    Ok(())
}
