//! Checks expectations against a table: for all requests, grouped into classes that no route and no
//! expectation distinguishes, and for all states of targets, based on the targets that a pool can ever
//! contain.
//!
//! A class of requests combines one value of each field: a value that is named, one that stands for all
//! others, or one between two neighboring boundaries of networks. A target that is not listed may appear with
//! any name and attributes that its pool allows; if the result depends only on its attributes, the check is
//! undecided until the endpoint list contains the target.

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
