//! Idle initiators by number of initiators and by number of targets, and those that share a process
//! ("hollow") against those in separate processes ("real").

use super::idle_initiators::{InitiatorCost, in_own_processes, in_shared_process};
use crate::curve::Curve;
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;

pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-fleet",
    about: "idle initiators in a shared process and in separate ones with one discovery server: start, one change, memory, descriptors",
    runner: Runner::Plain(run),
};

/// Numbers of initiators in one process.
const IDLE_INITIATORS: [u32; 4] = [25, 50, 100, 200];
const TARGETS: [usize; 4] = [437, 875, 1_750, 3_500];
/// Number of targets while the number of initiators varies, and the number of initiators at which both kinds
/// are compared.
const FEW_TARGETS: usize = 437;
const COMPARED_INITIATORS: u32 = 12;

fn by_initiators(
    name: &str,
    unit: &'static str,
    costs: &[(f64, InitiatorCost)],
    cost: fn(&InitiatorCost) -> f64,
) -> Result<Curve, Failure> {
    Curve::new(
        name,
        "hollow instances",
        unit,
        costs.iter().map(|(size, initiator)| (*size, cost(initiator))).collect(),
    )
}

fn by_targets(
    name: &str,
    unit: &'static str,
    costs: &[(f64, InitiatorCost)],
    cost: fn(&InitiatorCost) -> f64,
) -> Result<Curve, Failure> {
    Curve::new(
        name,
        "targets",
        unit,
        costs.iter().map(|(size, initiator)| (*size, cost(initiator))).collect(),
    )
}

fn run() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let many: Vec<(f64, InitiatorCost)> = IDLE_INITIATORS
        .into_iter()
        .map(|n| Ok((f64::from(n), in_shared_process(n, FEW_TARGETS)?)))
        .collect::<Result<_, Failure>>()?;
    let lists: Vec<(f64, InitiatorCost)> = TARGETS
        .into_iter()
        .map(|t| Ok((t as f64, in_own_processes(1, t)?)))
        .collect::<Result<_, Failure>>()?;
    let (shared, separate) = (
        in_shared_process(COMPARED_INITIATORS, FEW_TARGETS)?,
        in_own_processes(COMPARED_INITIATORS, FEW_TARGETS)?,
    );
    for (kind, each) in [("hollow", shared), ("real", separate)] {
        let label = |figure: &str| format!("{COMPARED_INITIATORS} {kind}: {figure}");
        out.figure(label("calls for one change"), each.change_polls, "");
        out.figure(label("bytes for one change"), each.change_bytes, "bytes");
        out.figure(label("processor of one change"), each.change * 1e3, "ms");
        out.figure(label("processor of the start"), each.start * 1e3, "ms");
        out.figure(label("memory of each, the process's share"), each.memory / 1_048_576.0, "MiB");
        out.figure(label("descriptors of each, the process's share"), each.descriptors, "");
    }
    out.claim(
        "initiators in a shared process send as many polls as separate ones, within a tenth",
        (shared.change_polls / separate.change_polls - 1.0).abs() <= 0.1,
    );
    out.claim(
        "initiators in a shared process receive as many bytes as separate ones, within a tenth",
        (shared.change_bytes / separate.change_bytes - 1.0).abs() <= 0.1,
    );
    let times = shared.change / separate.change;
    out.figure("processor of one change, hollow over real", times, "");
    out.claim(
        "initiators in a shared process take half to twice the time of separate ones for a change",
        (0.5..2.0).contains(&times),
    );
    let calls = by_initiators("calls at discovery for one change", "calls each", &many, |e| e.change_polls)?;
    let change =
        by_initiators("one change at a hollow instance", "ms of processor", &many, |e| e.change * 1e3)?;
    let memory =
        by_initiators("memory of all hollow instances", "MiB each", &many, |e| e.memory / 1_048_576.0)?;
    let listed = by_initiators("all start: the last has the list", "s", &many, |e| e.listed_after)?;
    let notified = by_initiators("one change told to all", "ms", &many, |e| e.notified_after * 1e3)?;
    out.claim(
        "an initiator's polls per change do not grow with the number of initiators",
        calls.exponent.abs() <= 0.1,
    );
    out.claim(
        "an initiator's time per change does not grow with the number of initiators",
        change.exponent <= 0.25,
    );
    let change_time =
        by_targets("one change at a real instance", "ms of processor", &lists, |e| e.change * 1e3)?;
    let start = by_targets("start of a real instance", "ms of processor", &lists, |e| e.start * 1e3)?;
    let memory_by_targets =
        by_targets("memory of a real instance", "MiB", &lists, |e| e.memory / 1_048_576.0)?;
    let bytes = by_targets("news of one change", "bytes", &lists, |e| e.change_bytes)?;
    out.claim(
        "an initiator's time per change grows no faster than the endpoint list",
        change_time.exponent <= 1.25,
    );
    out.claim("the bytes of one change do not grow with the endpoint list", bytes.exponent.abs() <= 0.1);
    out.claim(
        "an initiator's memory grows no faster than the endpoint list",
        memory_by_targets.exponent <= 1.1,
    );
    for curve in [calls, change, memory, listed, notified, change_time, start, memory_by_targets, bytes] {
        out.curve(curve);
    }
    Ok(out)
}
