//! What a check found, and what follows for the configuration.

use crate::expectation::{Expectation, WhenUndecided};
use crate::table::Origin;
use std::collections::BTreeSet;
use std::fmt;

/// What a check of an expectation found.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It holds.
    Holds,
    /// It does not hold.
    Broken {
        /// Why not.
        why: String,
        /// The smallest request that shows it.
        request: Option<String>,
        /// The smallest endpoint list that shows it.
        list: Vec<String>,
        /// The name and place of the route that the request takes.
        route: Option<(String, Origin)>,
    },
    /// It depends on attributes of targets that are not listed.
    Undecided {
        /// Their names.
        unlisted: BTreeSet<String>,
    },
}

/// An expectation's verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The expectation's index.
    pub expectation: usize,
    /// Whether it holds.
    pub verdict: Verdict,
}

impl Finding {
    fn line(&self, expectation: &str) -> Option<String> {
        match &self.verdict {
            Verdict::Holds => None,
            Verdict::Broken { why, request, list, route } => {
                let mut line = format!("{expectation} is broken: {why}");
                if let Some(request) = request {
                    line += &format!("; by a request of {request}");
                }
                if !list.is_empty() {
                    line += &format!("; with the list {}", list.join(", "));
                }
                if let Some((route, origin)) = route {
                    line += &format!("; on route {route:?} ({origin})");
                }
                Some(line)
            }
            Verdict::Undecided { unlisted } => {
                let unlisted: Vec<&str> = unlisted.iter().map(String::as_str).collect();
                Some(format!("{expectation} cannot be decided before the list names {}", unlisted.join(", ")))
            }
        }
    }
}

/// Two expectations that cannot both hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Contradiction {
    /// The index of the first.
    pub first: usize,
    /// The index of the second.
    pub second: usize,
    /// Why they cannot.
    pub why: String,
}

/// What is no error and worth a look.
#[derive(Clone, Debug, PartialEq)]
pub struct Warning {
    /// Where it stands.
    pub origin: Origin,
    /// What it is.
    pub problem: String,
}

/// All that a check found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Of every expectation, in their order.
    pub findings: Vec<Finding>,
    /// Expectations that cannot hold together.
    pub contradictions: Vec<Contradiction>,
    /// Routes and pools that do nothing.
    pub warnings: Vec<Warning>,
}

impl Report {
    /// Whether the configuration may be loaded, and if not, whether it may be once the list names more targets.
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

    /// What an operator reads: each broken or undecided expectation, contradiction and warning, a paragraph
    /// each.
    pub fn lines(&self, expectations: &[Expectation]) -> Vec<String> {
        let name = |index: usize| {
            expectations.get(index).map_or(String::new(), |e| format!("{}: {:?}", e.origin, e.name))
        };
        let findings = self.findings.iter().filter_map(|finding| finding.line(&name(finding.expectation)));
        let contradictions = self.contradictions.iter().map(|Contradiction { first, second, why }| {
            format!("{} and {} contradict each other: {why}", name(*first), name(*second))
        });
        let warnings = self.warnings.iter().map(|w| format!("warning: {}: {}", w.origin, w.problem));
        findings.chain(contradictions).chain(warnings).collect()
    }
}

/// What happens to a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is loaded.
    Load,
    /// It is kept until the list names the targets that it depends on.
    Hold,
    /// It is not loaded.
    Refuse,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Decision::Load => "it can be loaded",
            Decision::Hold => "it waits for boxes that are not listed",
            Decision::Refuse => "it is refused",
        })
    }
}
