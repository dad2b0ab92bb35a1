//! Scaling experiments: the cost of a fleet's control traffic and state at four sizes each, and the function
//! that fits its growth.
//!
//! Memory and processor time of code without sockets are measured in separate processes ([`cost`]). Idle
//! initiators share processes ([`idle_initiators`]), with initiators in separate processes for comparison at
//! one size. Fleets that need more sockets than one machine has are simulated ([`reads`], [`network`]).

mod all_pairs;
mod connections;
mod cost;
mod cost_curves;
mod distribution;
mod fleet;
mod idle_initiators;
mod list_curves;
mod lists;
mod network;
mod network_events;
mod observations;
mod reads;
mod subsets;
#[cfg(test)]
mod tests;
mod units;

use crate::experiment::Experiment;
use crate::failure::Failure;
use cost::{Cost, Size};
use std::ffi::OsString;
use std::process::ExitCode;

/// The scale experiments.
pub fn experiments() -> Vec<Experiment> {
    vec![
        list_curves::EXPERIMENT,
        subsets::EXPERIMENT,
        units::EXPERIMENT,
        reads::EXPERIMENT,
        fleet::EXPERIMENT,
        connections::EXPERIMENT,
        distribution::EXPERIMENT,
    ]
}

/// A piece of work whose cost is measured in a separate process.
type Probe = fn(Size) -> Result<Cost, Failure>;

const PROBES: &[(&str, Probe)] = &[
    ("list-decode", lists::decode),
    ("list-encode", lists::encode),
    ("list-change", lists::change),
    ("module-change", lists::scheduler_change),
    ("module-request", lists::scheduler_request),
    ("module-new-object", lists::scheduler_new_object),
    ("module-empty-change", lists::scheduler_empty_change),
    ("list-change-subset", lists::change_with_subset),
    ("subset-table", subsets::table),
    ("subset-all-pairs", subsets::table_by_all_pairs),
    ("subset-change", subsets::change),
    ("distribution-state", distribution::state),
    ("unit-lack", units::shortage),
];

/// Main function of a process that measures one probe; its arguments are `NAME INITIATORS TARGETS`.
pub fn run_probe(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    let cost = match words.as_slice() {
        [name, initiators, targets] => measured(name, initiators, targets),
        _ => Err(Failure::Unexpected("expected three arguments: probe name, initiators, targets")),
    };
    let printed = cost.and_then(|cost| {
        println!("{}", serde_json::to_string(&cost)?);
        Ok(())
    });
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measured(name: &str, initiators: &str, targets: &str) -> Result<Cost, Failure> {
    let size = Size { initiators: initiators.parse()?, targets: targets.parse()? };
    let probe = PROBES.iter().find(|(known, _)| *known == name);
    probe.ok_or(Failure::Unexpected("unknown probe name"))?.1(size)
}

/// Main function of a process of idle initiators; its arguments are `INITIATORS TARGETS DISCOVERY`.
pub fn run_idle_initiators(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    match words.as_slice() {
        [initiators, targets, discovery] => match (initiators.parse(), targets.parse()) {
            (Ok(initiators), Ok(targets)) => idle_initiators::run(initiators, targets, discovery),
            _ => ExitCode::from(2),
        },
        _ => ExitCode::from(2),
    }
}
