//! Holds expectations against a table: for all requests, by classes of requests that no route and no
//! expectation tells apart, and for all states of targets, by what a pool could ever hold.
//!
//! A class of requests is one point of each field's values: one for each value that is named, one for all
//! others, one between any two edges of networks. A target that is not listed can come with any name and place
//! that its pool takes; where only its attributes would decide, the verdict waits for the list to name it.

mod checker;
mod contradictions;
mod report;
mod requirements;
pub(crate) mod samples;
mod selectors;
mod warnings;

pub use report::{Contradiction, Decision, Finding, Report, Verdict, Warning};

use crate::expectation::Expectation;
use crate::settings::ServiceSettings;
use crate::table::RouteTable;
use crate::target::TargetInfo;
use checker::Checker;

/// Checks expectations against a table, the settings, and the targets that are listed now.
pub fn check(
    table: &RouteTable,
    expectations: &[Expectation],
    settings: &ServiceSettings,
    targets: &[TargetInfo],
) -> Report {
    let checker = Checker::new(table, settings, targets);
    let finding =
        |(index, expectation)| Finding { expectation: index, verdict: checker.verdict(expectation) };
    Report {
        findings: expectations.iter().enumerate().map(finding).collect(),
        contradictions: contradictions::find(expectations),
        warnings: checker.warnings(),
    }
}
