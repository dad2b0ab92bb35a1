//! Routes, and the expectations that they must meet before they are put in force.

use super::ConfigError;
use rowanglade_routing::{Decision, Report, RoutingRules, ServiceSettings, Source, TargetInfo, Verdict};

/// Routes and expectations, and the part of the settings that they refer to.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The routes, pools and expectations.
    pub rules: RoutingRules,
    /// The classes, plans and limits that they refer to.
    pub settings: ServiceSettings,
}

impl Routing {
    /// Reads the routes of the operator's files.
    ///
    /// # Errors
    /// A file cannot be used; the error names it, the line and the key.
    pub(super) fn parse(sources: &[Source], settings: ServiceSettings) -> Result<Routing, ConfigError> {
        let rules = rowanglade_routing::parse(sources, &settings)
            .map_err(|error| ConfigError::new(error.origin.trim_end_matches(": "), error.problem))?;
        Ok(Routing { rules, settings })
    }

    /// Checks the expectations against the routes and these targets. With thousands of targets and
    /// expectations it takes up to a second, during which it blocks.
    pub fn check(&self, targets: &[TargetInfo]) -> Report {
        let RoutingRules { table, expectations } = &self.rules;
        rowanglade_routing::check(table, expectations, &self.settings, targets)
    }

    /// Checks the expectations, and decides whether the routes may be put in force. Blocks as
    /// [`Routing::check`] does.
    pub fn evaluate(&self, targets: &[TargetInfo]) -> RouteEvaluation {
        let report = self.check(targets);
        let undecided = |verdict: &Verdict| matches!(verdict, Verdict::Undecided { .. });
        RouteEvaluation {
            decision: report.decision(&self.rules.expectations),
            lines: report.lines(&self.rules.expectations),
            has_undecided: report.findings.iter().any(|finding| undecided(&finding.verdict)),
        }
    }
}

/// Whether routes may be put in force.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEvaluation {
    /// The decision.
    pub decision: Decision,
    /// What an operator should read about it.
    pub lines: Vec<String>,
    /// Whether some expectations could not be decided before more targets are listed.
    pub has_undecided: bool,
}
