//! Planned restarts: clients that are slow within their limits, and clients that come again at once, use a process
//! until it ends after SIGTERM. No request may be lost, and each connection ends between requests or with a whole
//! response. All of a run is drawn from its seed.

mod client;
mod exchange;
mod plan;
mod play;
mod tally;

use crate::experiment::{Experiment, Runner, Seeds};
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::runtime::block_on;
use plan::RestartPlan;
use play::{RestartResult, play};
use std::ops::RangeInclusive;

/// Seeds of the short run, which is used when the command line gives none.
const SHORT_RUN: RangeInclusive<u64> = 1..=8;
/// Breaches that are printed for a seed.
const MAX_PRINTED_BREACHES: usize = 10;

pub fn experiments() -> Vec<Experiment> {
    let about = "planned restarts beside slow and busy clients, signals in series and crowds: what becomes of each request";
    vec![Experiment { name: "restarts", about, runner: Runner::Seeded(restarts) }]
}

fn restarts(seeds: &Seeds) -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let started_at = std::time::Instant::now();
    let mut total = RestartResult::default();
    let (mut played, mut failed) = (0u32, Vec::new());
    for seed in seeds.range.clone().unwrap_or(SHORT_RUN) {
        if started_at.elapsed() > seeds.time_limit {
            out.claim(format!("seed {seed} and the following seeds were not run: time limit reached"), false);
            break;
        }
        let plan = RestartPlan::draw(seed);
        let result = block_on(play(&plan))?;
        played += 1;
        eprintln!("  seed {seed}: {result}");
        if !result.holds() {
            failed.push(seed);
            report(&plan, &result);
        }
        total = total.merge(result);
    }
    out.figure("seeds played", f64::from(played), "");
    out.figure("seeds with a breach", failed.len() as f64, "");
    total.tally.figures(&mut out);
    out.figure("last exit after SIGTERM", total.ended_after.as_secs_f64(), "s");
    out.claim(
        format!("no request is lost, and each process ends by itself in time; not with seeds {failed:?}"),
        failed.is_empty(),
    );
    Ok(out)
}

/// Prints the plan and the breaches of a seed, and the command that repeats it.
fn report(plan: &RestartPlan, result: &RestartResult) {
    eprintln!("  repeat with `run restarts --seeds {}..{}`: {plan:?}", plan.seed, plan.seed);
    result.breaches.iter().take(MAX_PRINTED_BREACHES).for_each(|breach| eprintln!("    {breach}"));
}
