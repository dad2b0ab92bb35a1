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
    ("module-change", lists::module_change),
    ("module-request", lists::module_request),
    ("module-new-object", lists::module_new_object),
    ("module-empty-change", lists::module_empty_change),
    ("list-change-subset", lists::change_with_subset),
    ("subset-table", subsets::whole),
    ("subset-all-pairs", subsets::whole_by_pairs),
    ("subset-change", subsets::change),
    ("distribution-state", distribution::state),
    ("unit-lack", units::lack),
];

/// Main function of a process that measures one probe; its arguments are `NAME INSTANCES TARGETS`.
pub fn run_probe(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    let cost = match words.as_slice() {
        [name, instances, targets] => measured(name, instances, targets),
        _ => Err(Failure::Unexpected("expected three arguments: probe name, instances, targets")),
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

fn measured(name: &str, instances: &str, targets: &str) -> Result<Cost, Failure> {
    let size = Size { instances: instances.parse()?, targets: targets.parse()? };
    let probe = PROBES.iter().find(|(known, _)| *known == name);
    probe.ok_or(Failure::Unexpected("unknown probe name"))?.1(size)
}

/// Main function of a process of idle initiators; its arguments are `INSTANCES TARGETS DISCOVERY`.
pub fn run_idle_initiators(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    match words.as_slice() {
        [instances, targets, discovery] => match (instances.parse(), targets.parse()) {
            (Ok(instances), Ok(targets)) => idle_initiators::run(instances, targets, discovery),
            _ => ExitCode::from(2),
        },
        _ => ExitCode::from(2),
    }
}
