//! A seeded soak: real processes run under faults drawn from a seed, and the checker verifies their
//! behaviour.
//!
//! Each seed draws the size of the fleet, the number of targets, the traffic, and a list of faults with their
//! times. For a seed that breaks a rule the soak prints the timeline. If seeds were given on the command
//! line, it then shrinks the plan: it runs the plan again with one fault left out at a time and keeps each
//! smaller plan that still fails.

mod event;
mod plan;
mod play;

use crate::experiment::{Experiment, Runner, Seeds};
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::runtime::block_on;
use plan::SoakPlan;
use play::{SoakResult, run_plan};
use rowanglade_test_fleet::RequestCounts;
use std::collections::BTreeMap;

/// Seeds of the short run, which is used when the command line gives none.
const SHORT_RUN: std::ops::RangeInclusive<u64> = 1..=4;
/// Maximum number of runs to shrink the plan of a failed seed.
const MAX_SHRINK_RUNS: usize = 8;

pub fn experiments() -> Vec<Experiment> {
    let about =
        "real processes under seeded faults: system calls, targets, discovery, signals, idle connections";
    vec![Experiment { name: "soak", about, runner: Runner::Seeded(soak) }]
}

/// Removes faults from a failed plan as long as it still fails without them.
fn shrink(plan: &SoakPlan) -> Result<SoakPlan, Failure> {
    let mut smallest = plan.clone();
    let (mut index, mut runs) = (0, 0);
    while runs < MAX_SHRINK_RUNS
        && let Some(smaller) = smallest.without(index)
    {
        runs += 1;
        let result = block_on(run_plan(&smaller))?;
        match result.breaches.is_empty() && result.crashed == 0 {
            true => index += 1,
            false => smallest = smaller,
        }
    }
    Ok(smallest)
}

fn soak(seeds: &Seeds) -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let started_at = std::time::Instant::now();
    let (mut played, mut failed) = (0u32, 0u32);
    let mut kinds: BTreeMap<String, u64> = BTreeMap::new();
    let mut events: BTreeMap<String, u64> = BTreeMap::new();
    let mut counts = RequestCounts::default();
    for seed in seeds.range.clone().unwrap_or(SHORT_RUN) {
        if started_at.elapsed() > seeds.time_limit {
            out.claim(format!("seed {seed} and the following seeds were not run: time limit reached"), false);
            break;
        }
        let mut plan = SoakPlan::draw(seed);
        if seeds.range.is_none() {
            plan.remove_delays();
        }
        let result = block_on(run_plan(&plan))?;
        played += 1;
        counts = counts.merge(result.counts);
        for (kind, count) in &result.injected {
            *kinds.entry(kind.clone()).or_default() += count;
        }
        for (_, event) in &plan.events {
            *events.entry(event.kind()).or_default() += 1;
        }
        eprintln!(
            "  seed {seed}: {} processes, {} targets, {:?}, {} rule breaches, {} crashed, test process stalled {} times",
            plan.processes,
            plan.targets,
            result.counts,
            result.breaches.len(),
            result.crashed,
            result.stalls
        );
        if result.breaches.is_empty() && result.crashed == 0 {
            continue;
        }
        failed += 1;
        report(&plan, &result);
        out.claim(format!("seed {seed} breaks no rule"), false);
        if seeds.range.is_some() {
            let smallest = shrink(&plan)?;
            eprintln!(
                "  seed {seed}, smallest failing plan: system calls {:?}, events {:?}",
                smallest.system_call_faults, smallest.events
            );
        }
    }
    out.figure("seeds played", f64::from(played), "");
    out.figure("seeds with a breach", f64::from(failed), "");
    out.figure("requests", counts.sent as f64, "");
    out.figure("share served", counts.share_served(), "");
    for (kind, count) in kinds.iter().chain(&events) {
        out.figure(format!("injected: {kind}"), *count as f64, "");
    }
    out.claim("faults were injected into system calls", !kinds.is_empty());
    out.claim("no seed breaks a rule", failed == 0);
    Ok(out)
}

/// Prints the timeline of a failed run and the command that repeats it.
fn report(plan: &SoakPlan, result: &SoakResult) {
    eprintln!("  seed {}: repeat with `run soak --seeds {}..{}`", plan.seed, plan.seed, plan.seed);
    eprintln!(
        "    core share {:?}, share of clients that disconnect {}, system call faults {:?}",
        plan.core_share, plan.disconnect_share, plan.system_call_faults
    );
    result.timeline.iter().for_each(|line| eprintln!("    {line}"));
    result.breaches.iter().take(10).for_each(|breach| eprintln!("    {breach}"));
    result.warnings.iter().rev().take(15).rev().for_each(|line| eprintln!("    {line}"));
}
