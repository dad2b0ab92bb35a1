//! Assignment table of target subsets: its cost for an initiator per change of the list, and what a change
//! moves.

use super::all_pairs;
use super::cost::{Cost, Size, measure, probe_all, thread_time};
use super::cost_curves::{BY_TARGETS, curve};
use super::lists::endpoints;
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;
use rowanglade_subset::{Subset, SubsetConfig, assignments, difference};
use std::collections::BTreeSet;

pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-subsets",
    about: "the assignment table of target subsets as initiators and targets grow together, against the all-pairs table",
    runner: Runner::Plain(run),
};

/// Twenty targets per initiator make about twelve initiators per target at the sizes measured.
pub const SUBSET_CONFIG: SubsetConfig = SubsetConfig { size: 20, spread: 1.25 };
/// Number of changes that the mean cost of one is computed from.
const CHANGES: usize = 20;
/// Number of changes that the mean moved fraction is computed from.
const MOVES: u32 = 8;
/// Size at which both algorithms are compared by what a change moves, and the design size.
const COMPARED_SIZE: Size = Size { initiators: 550, targets: 875 };
const DESIGN_SIZE: Size = Size { initiators: 2_200, targets: 3_500 };
/// Changes of the list per day, and the processor seconds per day that an initiator may spend on control.
const CHANGES_A_DAY: f64 = 4_300.0;
const SECONDS_A_DAY: f64 = 1_555.0;
const BUDGET_MIB: f64 = 256.0;

type BuildTable = fn(&SubsetConfig, u32, &[&str]) -> Vec<BTreeSet<usize>>;

fn names(targets: usize) -> Vec<String> {
    endpoints(targets).into_iter().map(|endpoint| endpoint.name).collect()
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Cost of computing the whole table.
pub fn table(size: Size) -> Result<Cost, Failure> {
    let names = names(size.targets);
    Ok(measure(3, || assignments(&SUBSET_CONFIG, size.initiators, &as_strs(&names))))
}

/// Cost of computing the whole table with the all-pairs algorithm.
pub fn table_by_all_pairs(size: Size) -> Result<Cost, Failure> {
    let names = names(size.targets);
    Ok(measure(2, || all_pairs::table(&SUBSET_CONFIG, size.initiators, &as_strs(&names))))
}

/// State of one initiator's subset, and the cost of one change of the list in it.
pub fn change(size: Size) -> Result<Cost, Failure> {
    let all: BTreeSet<String> = names(size.targets).into_iter().collect();
    let cost = measure(1, || {
        let mut subset = Subset::new(SUBSET_CONFIG, 0, size.initiators);
        subset.update_targets(all.clone());
        subset
    });
    let mut subset = Subset::new(SUBSET_CONFIG, 0, size.initiators);
    subset.update_targets(all.clone());
    let started_at = thread_time();
    for change in 0..CHANGES {
        let mut list = all.clone();
        if change % 2 == 0 {
            list.remove(&endpoints(size.targets)[change * 7 % size.targets].name);
        }
        subset.update_targets(list);
    }
    let processor = (thread_time() - started_at) / CHANGES as f64;
    Ok(Cost { processor, ..cost })
}

/// Returns the fraction of other assignments that move when an initiator joins and when a target leaves, each
/// as a multiple of the fraction that belongs to that initiator or target.
fn moved_fractions(build_table: BuildTable, size: Size) -> (f64, f64) {
    let all = names(size.targets);
    let all = as_strs(&all);
    let part = |d: rowanglade_subset::Difference| d.moved as f64 / d.pairs as f64;
    let before = build_table(&SUBSET_CONFIG, size.initiators, &all);
    let mean = |parts: Vec<f64>| parts.iter().sum::<f64>() / parts.len() as f64;
    let joins = (0..MOVES).map(|more| {
        let (few, many) = (size.initiators + more, size.initiators + more + 1);
        let (smaller, larger) =
            (build_table(&SUBSET_CONFIG, few, &all), build_table(&SUBSET_CONFIG, many, &all));
        part(difference((&smaller, &all), (&larger, &all))) * f64::from(many)
    });
    let joins = mean(joins.collect());
    let leaves = (0..MOVES as usize).map(|i| {
        let mut remaining = all.clone();
        remaining.remove(i * size.targets / MOVES as usize);
        part(difference(
            (&before, &all),
            (&build_table(&SUBSET_CONFIG, size.initiators, &remaining), &remaining),
        )) * size.targets as f64
    });
    (joins, mean(leaves.collect()))
}

/// Fewest and most initiators assigned to a target.
fn load_bounds(size: Size) -> (usize, usize) {
    let names = names(size.targets);
    let mut loads = vec![0; size.targets];
    for target in assignments(&SUBSET_CONFIG, size.initiators, &as_strs(&names)).into_iter().flatten() {
        loads[target] += 1;
    }
    (loads.iter().min().copied().unwrap_or(0), loads.iter().max().copied().unwrap_or(0))
}

fn run() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let (before, after) = (probe_all("subset-all-pairs")?, probe_all("subset-table")?);
    let change = probe_all("subset-change")?;
    let time = |name, costs| curve(name, BY_TARGETS, "ms of processor", costs, |c: &Cost| c.processor * 1e3);
    let peak = |name, costs| curve(name, BY_TARGETS, "MiB", costs, |c: &Cost| c.peak / 1_048_576.0);
    let (pairs_time, pairs_peak) =
        (time("all pairs: the whole table", &before)?, peak("all pairs: memory at its peak", &before)?);
    let (table_time, table_peak) =
        (time("candidates: the whole table", &after)?, peak("candidates: memory at its peak", &after)?);
    let change_time = time("candidates: one change at an instance", &change)?;
    let state =
        curve("candidates: what an instance keeps", BY_TARGETS, "MiB", &change, |c| c.state / 1_048_576.0)?;
    let at = DESIGN_SIZE.targets as f64;
    out.figure(
        "all pairs over candidates, time of the whole table",
        pairs_time.at(at) / table_time.at(at),
        "",
    );
    out.figure("all pairs over candidates, time of one change", pairs_time.at(at) / change_time.at(at), "");
    let day = CHANGES_A_DAY * change_time.at(at) / 1e3;
    out.figure("4,300 changes a day, candidates", day, "s of processor");
    out.figure("4,300 changes a day, all pairs", CHANGES_A_DAY * pairs_time.at(at) / 1e3, "s of processor");
    let (joins, leaves) = moved_fractions(all_pairs::table, COMPARED_SIZE);
    out.figure("all pairs, 550 x 875: an instance joins, other pairs moved, of its share", joins, "");
    out.figure("all pairs, 550 x 875: a target leaves, other pairs moved, of its share", leaves, "");
    for size in [COMPARED_SIZE, DESIGN_SIZE] {
        let Size { initiators, targets } = size;
        let (joins, leaves) = moved_fractions(assignments, size);
        out.figure(
            format!("candidates, {initiators} x {targets}: an instance joins, of its share"),
            joins,
            "",
        );
        out.figure(
            format!("candidates, {initiators} x {targets}: a target leaves, of its share"),
            leaves,
            "",
        );
        let ((fewest, most), (least, greatest)) =
            (SUBSET_CONFIG.bounds(initiators, targets), load_bounds(size));
        out.figure(
            format!("candidates, {initiators} x {targets}: fewest instances of a target"),
            least as f64,
            "",
        );
        out.figure(
            format!("candidates, {initiators} x {targets}: most instances of a target"),
            greatest as f64,
            "",
        );
        out.claim(
            format!(
                "{initiators} x {targets}: a change moves at most 1.5 times its share of other assignments"
            ),
            joins <= 1.5 && leaves <= 1.5,
        );
        out.claim(
            format!("{initiators} x {targets}: initiators per target are within the bounds"),
            least >= fewest && greatest <= most + 1,
        );
    }
    out.claim(
        "the time of the table grows with one side, not with the product of both",
        table_time.exponent <= 1.4,
    );
    out.claim(
        "the time of one change grows with one side, not with the product of both",
        change_time.exponent <= 1.4,
    );
    out.claim(
        "at 2,200 x 3,500 a change takes at most a tenth of the time of the all-pairs table",
        change_time.at(at) * 10.0 <= pairs_time.at(at),
    );
    out.claim(
        "4,300 changes a day take at most a tenth of the time budget of control",
        day <= SECONDS_A_DAY / 10.0,
    );
    out.claim(
        "the peak memory of the table is at most a tenth of the memory budget of control",
        table_peak.at(at) <= BUDGET_MIB / 10.0,
    );
    for curve in [pairs_time, pairs_peak, table_time, table_peak, change_time, state] {
        out.curve(curve);
    }
    Ok(out)
}
