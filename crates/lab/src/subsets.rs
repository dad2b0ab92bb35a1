//! Placement of new objects by many initiators, with and without target subsets.

use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::initiators::{self, ZONE};
use crate::outcome::Outcome;
use crate::runtime::block_on;
use crate::traces::{self, Traffic};
use rowanglade_replay::{Replay, pick};
use rowanglade_subset::{SubsetConfig, assignments, difference};
use rowanglade_test_fleet::{StubSite, TargetPlan};
use std::collections::BTreeSet;
use std::path::Path;

pub fn experiments() -> Vec<Experiment> {
    let about = "4 to 48 initiators place new objects on 24 targets: all targets against [subset]";
    vec![Experiment { name: "subsets", about, runner: Runner::Plain(compare_placement) }]
}

const SEED: u64 = 5;
const TARGETS: usize = 24;
const FLEET_SIZES: [u32; 4] = [4, 12, 24, 48];
const RATE: f64 = 300.0;
const SECONDS: f64 = 5.0;
const VOLUMES: u64 = 400;
const SUBSET_CONFIG: SubsetConfig = SubsetConfig { size: 4, spread: 1.25 };

struct RoundResult {
    /// Mean number of targets that an initiator sent requests to.
    targets_per_initiator: f64,
    /// Fewest and most initiators that sent requests to one target.
    fewest: f64,
    most: f64,
    /// Jain's fairness index of the requests that targets received.
    fairness: f64,
    p99: f64,
    served: f64,
    due: f64,
}

/// Jain's fairness index: 1 if all values are equal, 1/n if all but one of n values are zero.
fn jain_index(parts: &[f64]) -> f64 {
    let (sum, squares) = parts.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    if squares > 0.0 { sum * sum / (parts.len() as f64 * squares) } else { 1.0 }
}

async fn run_round(trace: &Path, fleet_size: u32, preferred: bool) -> Result<RoundResult, Failure> {
    let plan = |index: usize| TargetPlan {
        keeps_requests: true,
        queue_capacity: 512,
        slots: 4,
        // A sixth of the targets is faster; initiators that look for the fastest target converge on these.
        ..if index.is_multiple_of(6) {
            initiators::target_plan(2, 3, 4)
        } else {
            initiators::target_plan(4, 6, 8)
        }
    };
    let plans: Vec<TargetPlan> = (0..TARGETS).map(plan).collect();
    let site = StubSite::start(&plans, ZONE, SEED).await?;
    let table = format!("[subset]\nsize = {}\nspread = {}\n", SUBSET_CONFIG.size, SUBSET_CONFIG.spread);
    let daemons = initiators::start_daemons(&site, &traces::standard_header(), fleet_size as usize, |_| {
        preferred.then(|| table.clone())
    })?;
    let replay_plan = Replay { retries: false, seed: SEED, ..Replay::to(initiators::addresses(&daemons)) };
    let report = traces::replay_all(trace, &replay_plan).await?;
    let (total, deposits) = (report.total(), report.classes.get("deposit"));
    let mut pairs = BTreeSet::new();
    let mut received = Vec::new();
    for (index, stub) in site.targets.iter().enumerate() {
        let requests = stub.received();
        received.push(requests.len() as f64);
        for (_, path) in requests {
            let volume = path.split('/').nth(2).and_then(|v| u64::from_str_radix(v, 16).ok());
            let volume = volume.ok_or(Failure::Unexpected("a request path has no volume"))?;
            let initiators_of_volume = pick::initiator_set(SEED, volume, 1, fleet_size as usize);
            pairs.insert((initiators_of_volume.first().copied().unwrap_or(0), index));
        }
    }
    let load = |index: usize| pairs.iter().filter(|(_, at)| *at == index).count();
    let loads: Vec<usize> = (0..TARGETS).map(load).collect();
    Ok(RoundResult {
        targets_per_initiator: pairs.len() as f64 / f64::from(fleet_size),
        fewest: loads.iter().min().copied().unwrap_or(0) as f64,
        most: loads.iter().max().copied().unwrap_or(0) as f64,
        fairness: jain_index(&received),
        p99: deposits.map_or(0.0, |d| d.latency.at(0.99) as f64 / 1e3),
        served: total.served as f64,
        due: total.due as f64,
    })
}

/// Returns the fraction of other assignments that move when an initiator joins and when a target leaves, each
/// as a multiple of the fraction that belongs to that initiator or target.
fn moved_fractions() -> (f64, f64) {
    let names: Vec<String> = (0..TARGETS).map(|i| format!("s-{i:08x}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let part = |d: rowanglade_subset::Difference| d.moved as f64 / d.pairs as f64;
    let joins = (8..48u32).map(|initiators| {
        let (smaller, larger) = (
            assignments(&SUBSET_CONFIG, initiators, &names),
            assignments(&SUBSET_CONFIG, initiators + 1, &names),
        );
        part(difference((&smaller, &names), (&larger, &names))) * f64::from(initiators + 1)
    });
    let all = assignments(&SUBSET_CONFIG, 24, &names);
    let leaves = (0..TARGETS).map(|removed| {
        let remaining: Vec<&str> = (0..TARGETS).filter(|i| *i != removed).map(|i| names[i]).collect();
        part(difference((&all, &names), (&assignments(&SUBSET_CONFIG, 24, &remaining), &remaining)))
            * TARGETS as f64
    });
    let mean = |parts: Vec<f64>| parts.iter().sum::<f64>() / parts.len() as f64;
    (mean(joins.collect()), mean(leaves.collect()))
}

fn compare_placement() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let traffic =
            Traffic { rate: RATE, seconds: SECONDS, volumes: VOLUMES, shards: 0, hosts: 1, seed: SEED };
        traces::generate(&trace, traffic)?;
        let mut out = Outcome::default();
        let mut lines: [Vec<Vec<(f64, f64)>>; 2] = [vec![Vec::new(); 2], vec![Vec::new(); 2]];
        let (mut fewer, mut within, mut served) = (true, true, true);
        for fleet_size in FLEET_SIZES {
            let mut rounds = Vec::new();
            for (variant, name) in ["by itself", "[subset]"].into_iter().enumerate() {
                let round = run_round(&trace, fleet_size, variant == 1).await?;
                let label = |figure: &str| format!("{fleet_size} instances, {name}: {figure}");
                out.figure(label("boxes of an instance"), round.targets_per_initiator, "");
                out.figure(label("fewest instances of a box"), round.fewest, "");
                out.figure(label("most instances of a box"), round.most, "");
                out.figure(label("Jain's index of requests at boxes"), round.fairness, "");
                out.figure(label("p99 of deposits"), round.p99, "ms");
                out.figure(label("not served"), round.due - round.served, "");
                lines[variant][0].push((f64::from(fleet_size), round.targets_per_initiator));
                lines[variant][1].push((f64::from(fleet_size), round.fairness));
                rounds.push(round);
            }
            let [without_subset, subset] = rounds.as_slice() else {
                return Err(Failure::Unexpected("expected the results of two rounds"));
            };
            let (_, most) = SUBSET_CONFIG.bounds(fleet_size, TARGETS);
            fewer &= subset.targets_per_initiator <= SUBSET_CONFIG.size as f64;
            within &= subset.most <= (most + 1) as f64;
            served &= subset.served >= 0.98 * without_subset.served;
        }
        let (joins, leaves) = moved_fractions();
        out.figure("an instance joins: other pairs moved, of its share", joins, "");
        out.figure("a box leaves: other pairs moved, of its share", leaves, "");
        let [without_subset, subset] = lines;
        for (at, title) in
            ["boxes of an instance", "Jain's index of requests at boxes"].into_iter().enumerate()
        {
            out.plot(
                format!("{title}, by instances"),
                vec![("by itself", without_subset[at].clone()), ("[subset]", subset[at].clone())],
            );
        }
        out.claim("an initiator sends to no more targets than its subset has", fewer);
        out.claim("no target has more initiators than the table allows", within);
        out.claim("at least 98% of the requests served without subsets are served with them", served);
        out.claim(
            "a change moves at most 1.5 times its share of other assignments",
            joins <= 1.5 && leaves <= 1.5,
        );
        Ok(out)
    })
}
