//! The results of a check, and whether the configuration may be loaded.

use crate::expectation::{Expectation, WhenUndecided};
use crate::table::Origin;
use std::collections::BTreeSet;
use std::fmt;

/// The result of checking an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The expectation is met.
    Holds,
    /// The expectation is not met.
    Broken {
        /// The reason.
        reason: String,
        /// A request that violates the expectation; absent if the settings alone violate it.
        request: Option<String>,
        /// The endpoint list with which the request violates the expectation.
        list: Vec<String>,
        /// The name and origin of the request's route; absent if no route matches the request.
        route: Option<(String, Origin)>,
    },
    /// The result depends on attributes of targets that are not listed.
    Undecided {
        /// The names of these targets.
        unlisted: BTreeSet<String>,
    },
}

/// The result for one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The index of the expectation.
    pub expectation: usize,
    /// The result of the check.
    pub verdict: Verdict,
}

impl Finding {
    fn line(&self, expectation: &str) -> Option<String> {
        match &self.verdict {
            Verdict::Holds => None,
            Verdict::Broken { reason, request, list, route } => {
                let mut line = format!("{expectation} is broken: {reason}");
                if let Some(request) = request {
                    line += &format!("; request: {request}");
                }
                if !list.is_empty() {
                    line += &format!("; endpoint list: {}", list.join(", "));
                }
                if let Some((route, origin)) = route {
                    line += &format!("; route: {route:?} ({origin})");
                }
                Some(line)
            }
            Verdict::Undecided { unlisted } => {
                let unlisted: Vec<&str> = unlisted.iter().map(String::as_str).collect();
                Some(format!(
                    "{expectation} cannot be decided until the endpoint list contains {}",
                    unlisted.join(", ")
                ))
            }
        }
    }
}

/// Two expectations that cannot be met together.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    /// The index of the first expectation.
    pub first: usize,
    /// The index of the second expectation.
    pub second: usize,
    /// Why they cannot be met together.
    pub reason: String,
}

/// A route or pool without effect, which is probably a mistake.
#[derive(Clone, Debug, PartialEq)]
pub struct Warning {
    /// The origin of the route or pool.
    pub origin: Origin,
    /// What is probably wrong.
    pub problem: String,
}

/// The results of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The results of all expectations, in their order.
    pub findings: Vec<Finding>,
    /// Pairs of expectations that cannot be met together.
    pub contradictions: Vec<Contradiction>,
    /// Routes and pools without effect.
    pub warnings: Vec<Warning>,
}

impl Report {
    /// Decides whether the configuration may be loaded, or may be once more targets are listed.
    pub fn decision(&self, expectations: &[Expectation]) -> Decision {
        let broken = self.findings.iter().any(|finding| matches!(finding.verdict, Verdict::Broken { .. }));
        let undecided = |when| self.has_undecided(expectations, when);
        if broken || !self.contradictions.is_empty() || undecided(WhenUndecided::Refuse) {
            Decision::Refuse
        } else if undecided(WhenUndecided::Hold) {
            Decision::Hold
        } else {
            Decision::Load
        }
    }

    fn has_undecided(&self, expectations: &[Expectation], when: WhenUndecided) -> bool {
        let undecided =
            self.findings.iter().filter(|finding| matches!(finding.verdict, Verdict::Undecided { .. }));
        undecided
            .filter_map(|finding| expectations.get(finding.expectation))
            .any(|expectation| expectation.when_undecided == when)
    }

    /// The report for an operator: a paragraph for each expectation that is broken or undecided, each
    /// contradiction and each warning.
    pub fn lines(&self, expectations: &[Expectation]) -> Vec<String> {
        let name = |index: usize| {
            expectations.get(index).map_or(String::new(), |e| format!("{}: {:?}", e.origin, e.name))
        };
        let findings = self.findings.iter().filter_map(|finding| finding.line(&name(finding.expectation)));
        let contradictions = self.contradictions.iter().map(|Contradiction { first, second, reason }| {
            format!("{} and {} contradict each other: {reason}", name(*first), name(*second))
        });
        let warnings = self.warnings.iter().map(|w| format!("warning: {}: {}", w.origin, w.problem));
        findings.chain(contradictions).chain(warnings).collect()
    }
}

/// The decision on a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The configuration can be loaded.
    Load,
    /// The configuration is held until the targets that it depends on are listed.
    Hold,
    /// The configuration is refused.
    Refuse,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Decision::Load => "configuration can be loaded",
            Decision::Hold => "configuration is held until more targets are listed",
            Decision::Refuse => "configuration is refused",
        })
    }
}
