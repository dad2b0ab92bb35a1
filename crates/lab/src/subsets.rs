//! Where many instances place new objects: each by itself, against subsets.

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
    let about = "4 to 48 instances place new objects at 24 boxes: each by itself, against [subset]";
    vec![Experiment { name: "subsets", about, runner: Runner::Plain(place) }]
}

const SEED: u64 = 5;
const BOXES: usize = 24;
const FLEETS: [u32; 4] = [4, 12, 24, 48];
const RATE: f64 = 300.0;
const SECONDS: f64 = 5.0;
const VOLUMES: u64 = 400;
const RULE: SubsetConfig = SubsetConfig { size: 4, spread: 1.25 };

struct Round {
    /// Boxes that an instance sent to, in the mean.
    boxes: f64,
    /// The fewest and the most instances of a box.
    fewest: f64,
    most: f64,
    /// Jain's index of the requests that boxes got.
    even: f64,
    p99: f64,
    served: f64,
    due: f64,
}

/// Jain's index: 1 where all have the same, 1/n where one has all.
fn jain(parts: &[f64]) -> f64 {
    let (sum, squares) = parts.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    if squares > 0.0 { sum * sum / (parts.len() as f64 * squares) } else { 1.0 }
}

async fn round(trace: &Path, instances: u32, preferred: bool) -> Result<Round, Failure> {
    let plan = |place: usize| TargetPlan {
        keeps_requests: true,
        queue_capacity: 512,
        slots: 4,
        // A sixth of them is faster: whoever looks for the fastest finds these.
        ..if place.is_multiple_of(6) {
            initiators::target_plan(2, 3, 4)
        } else {
            initiators::target_plan(4, 6, 8)
        }
    };
    let plans: Vec<TargetPlan> = (0..BOXES).map(plan).collect();
    let site = StubSite::start(&plans, ZONE, SEED).await?;
    let table = format!("[subset]\nsize = {}\nspread = {}\n", RULE.size, RULE.spread);
    let daemons = initiators::start_daemons(&site, &traces::standard_header(), instances as usize, |_| {
        preferred.then(|| table.clone())
    })?;
    let ask = Replay { retries: false, seed: SEED, ..Replay::to(initiators::addresses(&daemons)) };
    let report = traces::replay_all(trace, &ask).await?;
    let (total, deposits) = (report.total(), report.classes.get("deposit"));
    let mut pairs = BTreeSet::new();
    let mut got = Vec::new();
    for (place, each) in site.targets.iter().enumerate() {
        let seen = each.received();
        got.push(seen.len() as f64);
        for (_, target) in seen {
            let volume = target.split('/').nth(2).and_then(|v| u64::from_str_radix(v, 16).ok());
            let volume = volume.ok_or(Failure::Unexpected("a target without its volume"))?;
            let of = pick::initiator_set(SEED, volume, 1, instances as usize);
            pairs.insert((of.first().copied().unwrap_or(0), place));
        }
    }
    let load = |place: usize| pairs.iter().filter(|(_, at)| *at == place).count();
    let loads: Vec<usize> = (0..BOXES).map(load).collect();
    Ok(Round {
        boxes: pairs.len() as f64 / f64::from(instances),
        fewest: loads.iter().min().copied().unwrap_or(0) as f64,
        most: loads.iter().max().copied().unwrap_or(0) as f64,
        even: jain(&got),
        p99: deposits.map_or(0.0, |d| d.latency.at(0.99) as f64 / 1e3),
        served: total.served as f64,
        due: total.due as f64,
    })
}

/// How much of the table moves when an instance joins, or a box leaves, as a multiple of the part that is
/// theirs.
fn moved() -> (f64, f64) {
    let names: Vec<String> = (0..BOXES).map(|i| format!("s-{i:08x}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let part = |d: rowanglade_subset::Difference| d.moved as f64 / d.pairs as f64;
    let joins = (8..48u32).map(|n| {
        let (a, b) = (assignments(&RULE, n, &names), assignments(&RULE, n + 1, &names));
        part(difference((&a, &names), (&b, &names))) * f64::from(n + 1)
    });
    let all = assignments(&RULE, 24, &names);
    let leaves = (0..BOXES).map(|gone| {
        let left: Vec<&str> = (0..BOXES).filter(|i| *i != gone).map(|i| names[i]).collect();
        part(difference((&all, &names), (&assignments(&RULE, 24, &left), &left))) * BOXES as f64
    });
    let mean = |parts: Vec<f64>| parts.iter().sum::<f64>() / parts.len() as f64;
    (mean(joins.collect()), mean(leaves.collect()))
}

fn place() -> Result<Outcome, Failure> {
    block_on(async {
        let folder = tempfile::tempdir()?;
        let trace = folder.path().join("made.trace");
        let shape =
            Traffic { rate: RATE, seconds: SECONDS, volumes: VOLUMES, shards: 0, hosts: 1, seed: SEED };
        traces::generate(&trace, shape)?;
        let mut out = Outcome::default();
        let mut lines: [Vec<Vec<(f64, f64)>>; 2] = [vec![Vec::new(); 2], vec![Vec::new(); 2]];
        let (mut fewer, mut within, mut served) = (true, true, true);
        for instances in FLEETS {
            let mut rounds = Vec::new();
            for (which, name) in ["by itself", "[subset]"].into_iter().enumerate() {
                let round = round(&trace, instances, which == 1).await?;
                let label = |what: &str| format!("{instances} instances, {name}: {what}");
                out.figure(label("boxes of an instance"), round.boxes, "");
                out.figure(label("fewest instances of a box"), round.fewest, "");
                out.figure(label("most instances of a box"), round.most, "");
                out.figure(label("Jain's index of requests at boxes"), round.even, "");
                out.figure(label("p99 of deposits"), round.p99, "ms");
                out.figure(label("not served"), round.due - round.served, "");
                lines[which][0].push((f64::from(instances), round.boxes));
                lines[which][1].push((f64::from(instances), round.even));
                rounds.push(round);
            }
            let [alone, subset] = rounds.as_slice() else { return Err(Failure::Unexpected("two rounds")) };
            let (_, most) = RULE.bounds(instances, BOXES);
            fewer &= subset.boxes <= RULE.size as f64;
            within &= subset.most <= (most + 1) as f64;
            served &= subset.served >= 0.98 * alone.served;
        }
        let (joins, leaves) = moved();
        out.figure("an instance joins: other pairs moved, of its share", joins, "");
        out.figure("a box leaves: other pairs moved, of its share", leaves, "");
        let [alone, subset] = lines;
        for (at, title) in
            ["boxes of an instance", "Jain's index of requests at boxes"].into_iter().enumerate()
        {
            out.plot(
                format!("{title}, by instances"),
                vec![("by itself", alone[at].clone()), ("[subset]", subset[at].clone())],
            );
        }
        out.claim("an instance keeps to its subset", fewer);
        out.claim("no box has more instances than the table allows", within);
        out.claim("as much is served as without", served);
        out.claim("a change moves about its share", joins <= 1.5 && leaves <= 1.5);
        Ok(out)
    })
}
