//! Slopes: what the control of a fleet costs at four sizes each, and what law that follows.
//!
//! Memory and processor time of code without sockets are measured in processes of their own ([`cost`]); whole
//! initiators without clients share processes ([`hollow`]), with real ones beside them at one size; what no
//! number of sockets on one machine holds is simulated ([`reads`]).

mod all_pairs;
mod connections;
mod cost;
mod curve;
mod distribution;
mod fleet;
mod hollow;
mod lists;
mod network;
mod reads;
mod subsets;
#[cfg(test)]
mod tests;
mod units;

pub use curve::Curve;

use crate::outcome::{Experiment, Failure, Outcome, Run};
use cost::{Cost, Size, probe_all};
use std::ffi::OsString;
use std::process::ExitCode;

/// The scale experiments.
pub fn experiments() -> Vec<Experiment> {
    let lists = "reading a list and taking changes of it, by targets, without sockets";
    let units = "the exchange of units when one instance lacks some, by instances";
    vec![
        Experiment { name: "scale-lists", about: lists, run: Run::Plain(list_curves) },
        subsets::EXPERIMENT,
        Experiment { name: "scale-units", about: units, run: Run::Plain(unit_curves) },
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
        _ => Err("a probe's name, instances and targets".into()),
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
    probe.ok_or("an unknown probe")?.1(size)
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

/// A probe's costs as a curve by targets or instances.
fn curve(
    name: &str,
    (axis, size): (&'static str, fn(&Size) -> f64),
    unit: &'static str,
    costs: &[(Size, Cost)],
    cost: impl Fn(&Cost) -> f64,
) -> Result<Curve, Failure> {
    Curve::new(name, axis, unit, costs.iter().map(|(s, c)| (size(s), cost(c))).collect())
}

const BY_TARGETS: (&str, fn(&Size) -> f64) = ("targets", |size| size.targets as f64);
const BY_INSTANCES: (&str, fn(&Size) -> f64) = ("instances", |size| f64::from(size.instances));

fn list_curves() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let (decode, encode) = (probe_all("list-decode")?, probe_all("list-encode")?);
    let (change, module) = (probe_all("list-change")?, probe_all("module-change")?);
    let request = probe_all("module-request")?;
    let (new_object, empty) = (probe_all("module-new-object")?, probe_all("module-empty-change")?);
    let wire = curve("a whole list, compact JSON", BY_TARGETS, "KiB", &decode, |c| c.wire / 1024.0)?;
    let read =
        curve("a whole list is decoded", BY_TARGETS, "ms of processor", &decode, |c| c.processor * 1e3)?;
    let kept = curve("a decoded list is kept", BY_TARGETS, "KiB", &decode, |c| c.state / 1024.0)?;
    let written =
        curve("a whole list is encoded", BY_TARGETS, "ms of processor", &encode, |c| c.processor * 1e3)?;
    let taken =
        curve("a change of one target", BY_TARGETS, "ms of processor", &change, |c| c.processor * 1e3)?;
    let module =
        curve("the module's part of it", BY_TARGETS, "ms of processor", &module, |c| c.processor * 1e3)?;
    let core = curve("the core's state of the list", BY_TARGETS, "KiB", &change, |c| c.state / 1024.0)?;
    let request =
        curve("a request in the module", BY_TARGETS, "ms of processor", &request, |c| c.processor * 1e3)?;
    let new_object = curve("a request for a new object", BY_TARGETS, "ms of processor", &new_object, |c| {
        c.processor * 1e3
    })?;
    let empty = curve("an empty change", BY_TARGETS, "us of processor", &empty, |c| c.processor * 1e6)?;
    out.claim("a request for a new object does not go with the list", new_object.exponent <= 0.5);
    out.claim("an empty change does not go with the list", empty.exponent <= 0.5);
    out.claim("bytes of a list grow in step with targets", (0.95..1.05).contains(&wire.exponent));
    out.claim("decoding grows no faster than the list", read.exponent <= 1.2);
    out.claim("the core's state grows no faster than the list", core.exponent <= 1.1);
    out.claim("a change of one target does not go with the list", taken.exponent <= 0.5);
    out.claim("a request does not go with the list", request.exponent <= 0.5);
    for curve in [wire, read, kept, written, taken, module, request, new_object, empty, core] {
        out.curve(curve);
    }
    Ok(out)
}

fn unit_curves() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let lack = probe_all("unit-lack")?;
    let bytes = curve("one lack, asked and answered", BY_INSTANCES, "KiB", &lack, |c| c.wire / 1024.0)?;
    let time = curve("one lack at the asker", BY_INSTANCES, "ms of processor", &lack, |c| c.processor * 1e3)?;
    out.claim("bytes of a lack grow in step with instances", (0.95..1.05).contains(&bytes.exponent));
    out.claim("its time grows no faster", time.exponent <= 1.2);
    for curve in [bytes, time] {
        out.curve(curve);
    }
    Ok(out)
}
