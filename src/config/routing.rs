//! Routes, and the expectations that are checked before routes are applied.

use super::ConfigError;
use rowanglade_routing::{Decision, Report, RoutingRules, ServiceSettings, Source, TargetInfo, Verdict};

/// Routes and expectations, and the part of the settings that they refer to.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The route table with its pools, and the expectations.
    pub rules: RoutingRules,
    /// The request classes, QoS plans and limits that the rules refer to.
    pub settings: ServiceSettings,
}

impl Routing {
    /// Parses the routes, pools and expectations of the operator's files.
    ///
    /// # Errors
    /// A file is not valid. The error names the file, the line and the key.
    pub(super) fn parse(sources: &[Source], settings: ServiceSettings) -> Result<Routing, ConfigError> {
        let rules = rowanglade_routing::parse(sources, &settings)
            .map_err(|error| ConfigError::new(error.origin.trim_end_matches(": "), error.problem))?;
        Ok(Routing { rules, settings })
    }

    /// Checks the expectations against the routes and these targets. Blocks for up to a second with thousands
    /// of targets and expectations.
    pub fn check(&self, targets: &[TargetInfo]) -> Report {
        let RoutingRules { table, expectations } = &self.rules;
        rowanglade_routing::check(table, expectations, &self.settings, targets)
    }

    /// Checks the expectations and decides whether the routes may be applied. Blocks as long as
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

/// The result of checking routes against their expectations.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEvaluation {
    /// Whether the routes may be applied.
    pub decision: Decision,
    /// The findings as lines for operators.
    pub lines: Vec<String>,
    /// Whether some expectations cannot be decided until more targets are listed.
    pub has_undecided: bool,
}
