//! The memory of real processes, each killed once and restarted within about a second, while clients hold as much of
//! it as they can: crowds, half requests, long bodies that stop, floods of pipelined requests, slow readers.
//!
//! Each seed draws the limits, the clients' behaviours and their numbers. A process may neither end by itself nor
//! exceed its memory limit. For each process the run prints how it ended and its memory by kind of page.

mod clients;
mod core_load;
mod mixes;
mod play;
mod sound;
mod target;

use crate::experiment::{Experiment, Runner, Seeds};
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::runtime::block_on;
use clients::Behaviour;
use play::{MemoryPlan, ProcessResult, play};

/// Seeds of the short run, which is used when the command line gives none: floods beside idle clients, bodies and heads
/// that stop, and at the least memory long responses that are read slowly or not at all.
const SHORT_RUN: [u64; 4] = [1, 11, 12, 14];

/// Clients of a process that one kind of clients uses alone.
const CLIENTS_ALONE: usize = 2_000;

pub fn experiments() -> Vec<Experiment> {
    let about = "memory and exits of processes that are killed once, beside crowds, long bodies, floods and slow readers";
    let alone = "memory of a process beside one kind of clients that hold it, for each kind";
    vec![
        Experiment { name: "memory", about, runner: Runner::Seeded(memory) },
        Experiment { name: "memory-mixes", about: mixes::ABOUT, runner: Runner::Seeded(mixes::run) },
        Experiment { name: "memory-by-client", about: alone, runner: Runner::Plain(memory_by_client) },
    ]
}

fn memory_by_client() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let mut holds = true;
    for behaviour in Behaviour::SINGLE {
        let plan = MemoryPlan::alone(behaviour, CLIENTS_ALONE);
        let results = block_on(play(&plan))?;
        report(&plan, &results);
        out.figure(format!("{behaviour:?}: largest share of the memory limit"), largest_share(&results), "");
        holds &= results.iter().all(ProcessResult::holds);
    }
    out.claim("no kind of clients alone ends a process or takes it over its memory limit", holds);
    Ok(out)
}

fn memory(seeds: &Seeds) -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let started_at = std::time::Instant::now();
    let (mut played, mut failed) = (0u32, 0u32);
    let drawn: Vec<u64> = seeds.range.clone().map_or(SHORT_RUN.to_vec(), Iterator::collect);
    for seed in drawn {
        if started_at.elapsed() > seeds.time_limit {
            out.claim(format!("seed {seed} and the following seeds were not run: time limit reached"), false);
            break;
        }
        let plan = MemoryPlan::draw(seed);
        let results = block_on(play(&plan))?;
        played += 1;
        let holds = results.iter().all(ProcessResult::holds);
        report(&plan, &results);
        out.figure(format!("seed {seed}: largest share of the memory limit"), largest_share(&results), "");
        if !holds {
            failed += 1;
            out.claim(format!("seed {seed}: no process ends by itself or exceeds its memory limit"), false);
        }
    }
    out.figure("seeds played", f64::from(played), "");
    out.claim("no process ends by itself or exceeds its memory limit", failed == 0);
    Ok(out)
}

fn largest_share(results: &[ProcessResult]) -> f64 {
    results.iter().map(ProcessResult::share_of_limit).fold(0.0, f64::max)
}

/// Prints what a seed played, and the end and the memory of each process.
fn report(plan: &MemoryPlan, results: &[ProcessResult]) {
    let behaviours: Vec<String> =
        plan.crowds.iter().map(|(behaviour, clients)| format!("{clients} {behaviour:?}")).collect();
    eprintln!(
        "  seed {}: limits {} MB and {} descriptors; for each process {}",
        plan.seed,
        plan.memory_mb,
        plan.sockets,
        behaviours.join(", ")
    );
    results.iter().for_each(|result| eprintln!("    {result}"));
}
