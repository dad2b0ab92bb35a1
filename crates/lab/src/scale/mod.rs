//! Slopes: what the control of a fleet costs at four sizes each, and what law that follows.
//!
//! Memory and processor time of code without sockets are measured in processes of their own ([`cost`]); whole
//! initiators without clients share processes ([`hollow`]), with real ones beside them at one size; what no
//! number of sockets on one machine holds is simulated ([`reads`]).

mod all_pairs;
mod connections;
mod cost;
mod cost_curves;
mod distribution;
mod fleet;
mod hollow;
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

/// Work whose cost is measured in a process of its own.
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

/// The life of a process that measures one probe: `NAME INSTANCES TARGETS`.
pub fn run_probe(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    let cost = match words.as_slice() {
        [name, instances, targets] => measured(name, instances, targets),
        _ => Err(Failure::Unexpected("a probe's name, instances and targets")),
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
    probe.ok_or(Failure::Unexpected("an unknown probe"))?.1(size)
}

/// The life of a process of hollow instances: `INSTANCES TARGETS DISCOVERY`.
pub fn run_hollow(arguments: &[OsString]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().filter_map(|word| word.to_str()).collect();
    match words.as_slice() {
        [instances, targets, discovery] => match (instances.parse(), targets.parse()) {
            (Ok(instances), Ok(targets)) => hollow::run(instances, targets, discovery),
            _ => ExitCode::from(2),
        },
        _ => ExitCode::from(2),
    }
}
