//! Routes, and the expectations that they must meet before they are put in force.

use super::ConfigError;
use rowanglade_routing::check::Decision;
use rowanglade_routing::{Report, Rules, Source, TargetInfo, Terms, Verdict};

/// Routes and expectations, and the part of the settings that they refer to.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The routes, pools and expectations.
    pub rules: Rules,
    /// The classes, plans and shards that exist.
    pub terms: Terms,
}

impl Routing {
    /// Reads the routes of the operator's files.
    pub(super) fn parse(sources: &[Source], terms: Terms) -> Result<Routing, ConfigError> {
        let rules = rowanglade_routing::parse(sources, &terms)
            .map_err(|e| ConfigError::new(e.origin.trim_end_matches(": "), e.problem))?;
        Ok(Routing { rules, terms })
    }

    /// Checks the expectations against the routes and these targets. With thousands of targets and
    /// expectations it takes up to a second, during which it blocks.
    pub fn check(&self, boxes: &[TargetInfo]) -> Report {
        rowanglade_routing::check(&self.rules.table, &self.rules.expectations, &self.terms, boxes)
    }

    /// Checks the expectations, and decides whether the routes may be put in force.
    pub fn decide(&self, boxes: &[TargetInfo]) -> Decided {
        let report = self.check(boxes);
        Decided {
            decision: report.decision(&self.rules.expectations),
            lines: report.lines(&self.rules.expectations),
            open: report.findings.iter().any(|f| matches!(f.verdict, Verdict::NotYet { .. })),
        }
    }
}

/// Whether routes may be put in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    /// The decision.
    pub decision: Decision,
    /// What an operator should read about it.
    pub lines: Vec<String>,
    /// Whether some expectations could not be decided before more targets are listed.
    pub open: bool,
}
