//! The summary of a configuration, which `rowanglade check` prints.

use super::Config;
use std::fmt;

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_head(f)?;
        self.write_fronts(f)?;
        self.write_access_log(f)?;
        self.write_routes(f)
    }
}

impl Config {
    fn write_head(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let classes: Vec<&str> = self.settings.classes().map(|class| class.name).collect();
        let plans: Vec<&str> = self.settings.plans().collect();
        let discovery = self.discovery.map_or("none".to_string(), |address| address.to_string());
        writeln!(f, "name {}  listen {}  discovery {discovery}", self.name, self.listen)?;
        write!(f, "classes {}  plans {}", classes.join(" "), plans.join(" "))
    }

    fn write_fronts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.admin {
            None => write!(f, "\nadmin listener: off")?,
            Some(admin) => write!(f, "\nadmin listener: {admin}")?,
        }
        match &self.iscsi {
            None => write!(f, "\niSCSI-style front: off"),
            Some(iscsi) => {
                let (name, listen) = (&iscsi.name, iscsi.listen);
                let (luns, targets) = (iscsi.luns.len(), iscsi.targets.len());
                write!(f, "\niSCSI-style front: {name} on {listen}, {luns} LUNs, {targets} targets")
            }
        }
    }

    fn write_access_log(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.access_log {
            None => write!(f, "\naccess log: off"),
            Some(log) => write!(f, "\naccess log: {}", log.path.display()),
        }
    }

    fn write_routes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rules = &self.routing.rules;
        match rules.table.routes().len() {
            0 => write!(f, "\nroutes: none"),
            routes => {
                let (pools, expectations) = (rules.table.pools().len(), rules.expectations.len());
                write!(f, "\nroutes: {routes}, {pools} pools, {expectations} expectations")
            }
        }
    }
}
