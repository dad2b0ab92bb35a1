//! Distribution by relays at the design size, in simulated time, against snapshots from one discovery server.

use super::cost::{Cost, SIZES, Size, measure, probe};
use super::network::{Network, POISON, Shape};
use super::reads::{all_served, service};
use crate::curve::Curve;
use crate::experiment::{Experiment, Runner};
use crate::failure::Failure;
use crate::outcome::Outcome;
use rowanglade_distribution::{EntryChange, Snapshot, State, Version};
use std::net::Ipv4Addr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub const EXPERIMENT: Experiment = Experiment {
    name: "scale-distribution",
    about: "2,200 simulated initiators behind 16 relays, with network partitions, failures and restarts",
    runner: Runner::Plain(run),
};

const SEED: u64 = 33;
const RELAYS: u32 = 16;
const REGIONS: u32 = 4;
const TARGETS: usize = 3_500;
/// Number of targets in a zone.
const ZONE: usize = TARGETS / 9;
/// Budget of an initiator: seconds until a change is in force, bytes per second, fraction of a core, bytes of
/// memory.
const MAX_DELAY: f64 = 14.0;
const MAX_BYTES_PER_SECOND: f64 = 11_000.0;
const MAX_CORE_FRACTION: f64 = 0.018;
const MEMORY_BUDGET: f64 = 256e6;
/// Result in seconds if the simulation of one discovery server ends before the last initiator is served.
const UNSERVED_SECONDS: f64 = 600.0;

fn shape(initiators: u32) -> Shape {
    Shape { initiators, relays: RELAYS, regions: REGIONS, seed: SEED }
}

/// Pseudo-random value of a target. Names, addresses and start times are unrelated, as in a fleet that has
/// grown over time: sorted values would compress to almost nothing.
fn pseudo_random(index: usize, salt: u64) -> u64 {
    xxh3_64_with_seed(&index.to_le_bytes(), salt)
}

fn name(index: usize) -> Arc<str> {
    format!("s-{:08x}", pseudo_random(index, 1) as u32).into()
}

fn value(index: usize, state: &str) -> Arc<str> {
    let addr = Ipv4Addr::from(0x0a00_0000 | pseudo_random(index, 2) as u32 >> 8);
    let started = 1_764_633_600_000 - pseudo_random(index, 3) % 5_000_000_000;
    format!("{addr}:{} kingston-{} std-box {index} {state} {started}", 1_024 + index % 64, index % 9).into()
}

fn change(index: usize, state: &str) -> EntryChange {
    EntryChange { name: name(index), value: Some(value(index, state)) }
}

fn set_limits(value: &str) -> EntryChange {
    EntryChange { name: "limits".into(), value: Some(value.into()) }
}

/// An endpoint list of `targets` entries, as version 1.
fn initial_state(targets: usize) -> State {
    let entries = (0..targets).map(|index| (name(index), value(index, "active")));
    State::new(Version { epoch: 1, number: 1 }, entries)
}

/// Cost of the state that an initiator keeps.
pub fn state(size: Size) -> Result<Cost, Failure> {
    Ok(measure(4, || initial_state(size.targets)))
}

/// Simulates `seconds` seconds with one change every 5 s, the first at 5 s, and no faults.
fn run_without_faults(initiators: u32, seconds: u64) -> Result<Network, Failure> {
    let first = initial_state(TARGETS);
    let mut network = Network::new(shape(initiators), first.clone(), Some(&first));
    for at in (5..seconds).step_by(5) {
        network.run(at * 1_000)?;
        network.publish(vec![change(at as usize, "leaving")])?;
    }
    network.run(seconds * 1_000)?;
    Ok(network)
}

/// Injects the fault of the given second, in addition to the regular change in every fifth.
fn inject_fault(network: &mut Network, second: u64, first: &State) -> Result<(), Failure> {
    match second {
        30 => network.restart_every(10),
        // Interrupts the distribution of this second's change: the relays have received it, some followers
        // have not.
        40 => {
            network.run(40_025)?;
            network.kill_relay(3);
        }
        50 => network.partition(2),
        // Outdated state, while the region is still partitioned.
        60 => network.start_relay(3, Some(first.clone())),
        65 => network.publish((0..ZONE).map(|i| change(i * 9, "leaving")).collect())?,
        85 => network.heal(),
        95 => network.publish(vec![set_limits(POISON)])?,
        // Reverts the invalid configuration within 14 s.
        100 => network.publish(vec![set_limits("32")])?,
        _ => {}
    }
    Ok(())
}

/// Second at which the invalid configuration is published; no initiator may activate it.
const POISON_SECOND: u64 = 95;
const END_SECOND: u64 = 130;

/// Simulates all faults in one run. A tenth of the initiators restarts, a relay dies during a change and
/// returns with outdated state, a region is partitioned for 35 s while the targets of a zone start draining,
/// and an invalid configuration is published and reverted. Returns the network and the number of the invalid
/// version.
pub fn run_with_faults(initiators: u32) -> Result<(Network, usize), Failure> {
    let first = initial_state(TARGETS);
    let mut network = Network::new(shape(initiators), first.clone(), Some(&first));
    let mut poison = 0;
    for second in 1..END_SECOND {
        network.run(second * 1_000)?;
        if second % 5 == 0 && !(POISON_SECOND..=100).contains(&second) && second < END_SECOND - 15 {
            network.publish(vec![change(second as usize, "leaving")])?;
        }
        inject_fault(&mut network, second, &first)?;
        if second == POISON_SECOND {
            poison = network.published.len() - 1;
        }
    }
    Ok((network, poison))
}

/// Seconds until the last initiator has a state if all start at once without any. `None` if one has none
/// after 60 s.
pub fn start_all(initiators: u32) -> Result<Option<f64>, Failure> {
    let first = initial_state(TARGETS);
    let mut network = Network::new(shape(initiators), first, None);
    network.run(60_000)?;
    Ok(network.all_started().map(|at| at as f64 / 1e3))
}

/// Delays in seconds in ascending order; a version that never came into force counts as infinite.
fn sorted_delays(network: &Network, skip: &[usize]) -> Vec<f64> {
    let delays = network.delays(skip).into_iter();
    let mut delays: Vec<f64> = delays.map(|d| d.map_or(f64::INFINITY, |d| d as f64 / 1e3)).collect();
    delays.sort_by(f64::total_cmp);
    delays
}

fn quantile(sorted_delays: &[f64], fraction: f64) -> f64 {
    let index = ((sorted_delays.len() as f64 * fraction) as usize).min(sorted_delays.len().saturating_sub(1));
    sorted_delays.get(index).copied().unwrap_or(f64::INFINITY)
}

fn run() -> Result<Outcome, Failure> {
    let mut out = Outcome::default();
    let Size { initiators, .. } = SIZES[SIZES.len() - 1];
    let (mut bytes, mut core_percent, mut relays, mut slowest) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
        let seconds = 35;
        let network = run_without_faults(size.initiators, seconds)?;
        let (count, duration) = (f64::from(size.initiators), seconds as f64);
        let total: u64 = network.observations.iter().map(|observations| observations.bytes).sum();
        bytes.push((count, total as f64 / count / duration));
        core_percent.push((count, network.initiator_time / count / duration * 100.0));
        relays.push((count, network.relay_time / f64::from(RELAYS) / duration * 100.0));
        slowest.push((count, quantile(&sorted_delays(&network, &[]), 1.0) * 1e3));
    }
    let bytes = Curve::new("quiet: bytes of an instance", "instances", "bytes a second", bytes)?;
    let core_percent =
        Curve::new("quiet: processor of an instance", "instances", "% of a core", core_percent)?;
    let relays = Curve::new("quiet: processor of a relay", "instances", "% of a core", relays)?;
    let slowest = Curve::new("quiet: the last instance has a change in force", "instances", "ms", slowest)?;
    out.claim("an initiator's bytes do not grow with the number of initiators", bytes.exponent.abs() <= 0.1);
    out.claim("a relay's time grows no faster than the number of initiators", relays.exponent <= 1.25);

    let (network, poison) = run_with_faults(initiators)?;
    let delays = sorted_delays(&network, &[poison]);
    let worst = quantile(&delays, 1.0);
    out.figure("faults: a change in force, median", quantile(&delays, 0.5), "s");
    out.figure("faults: 99th in a hundred", quantile(&delays, 0.99), "s");
    out.figure("faults: the worst of all instances and versions", worst, "s");
    let mean =
        |observations: &super::observations::Observations| observations.bytes as f64 / END_SECOND as f64;
    let most_mean = network.observations.iter().map(mean).fold(0.0, f64::max);
    let most_window =
        network.observations.iter().map(super::observations::Observations::peak_rate).fold(0.0, f64::max);
    let core = network.initiator_time / f64::from(initiators) / END_SECOND as f64;
    let (timeouts, cut_off, snapshots) = network.follower_counters();
    out.figure("faults: bytes a second of the instance with the most", most_mean, "bytes/s");
    out.figure("faults: the same, in its worst 14 s", most_window, "bytes/s");
    out.figure("faults: processor of an instance", core * 100.0, "% of a core");
    out.figure(
        "faults: processor of a relay",
        network.relay_time / f64::from(RELAYS) / END_SECOND as f64 * 100.0,
        "% of a core",
    );
    out.figure(
        "faults: bytes sent by a relay",
        network.relay_bytes as f64 / f64::from(RELAYS) / END_SECOND as f64,
        "bytes/s",
    );
    out.figure("faults: relays left for silence", timeouts as f64, "");
    out.figure("faults: relays left since they were cut off", cut_off as f64, "");
    out.figure("faults: whole states taken", snapshots as f64, "");
    out.figure("faults: messages", network.messages as f64, "");
    let rejected = network.observations.iter().filter(|observations| observations.rejected > 0).count();
    out.figure("faults: instances that refused the poison", rejected as f64, "");
    out.claim(
        "every initiator activates each version within 14 s of publication or of reconnecting",
        worst <= MAX_DELAY,
    );
    out.claim("no initiator exceeds 11 KB per second over the run", most_mean <= MAX_BYTES_PER_SECOND);
    out.claim(
        "no initiator exceeds 11 KB per second in any 14 s window",
        most_window <= MAX_BYTES_PER_SECOND,
    );
    out.claim("an initiator uses at most 1.8% of a core", core <= MAX_CORE_FRACTION);
    out.claim("all initiators end with the state of the source", network.current() == initiators as usize);
    out.claim(
        "no initiator goes back to an older version",
        network.observations.iter().all(|observations| !observations.reverted),
    );
    out.claim("the invalid configuration was rejected, and no initiator rejects the last state", {
        rejected > 0 && network.source().is_some_and(|source| source.rejecting(END_SECOND * 1_000) == 0)
    });
    let state = probe("distribution-state", SIZES[SIZES.len() - 1])?;
    out.figure("a state of 3,500 entries", state.state / 1_048_576.0, "MiB");
    out.claim(
        "two states use at most a tenth of the memory budget",
        2.0 * state.state <= MEMORY_BUDGET / 10.0,
    );

    out.figure(
        "the same, packed",
        Snapshot::compress(&initial_state(TARGETS))?.size() as f64 / 1_024.0,
        "KiB",
    );

    let by_relays = start_all(initiators)?.unwrap_or(f64::INFINITY);
    let (one, _) = service(TARGETS, "")?;
    let by_discovery = all_served(initiators, initiators, one).unwrap_or(UNSERVED_SECONDS);
    out.figure("all start at once, relays: the last has its state", by_relays, "s");
    out.figure(
        "all start at once, one discovery: the last has its list (600: not within)",
        by_discovery,
        "s",
    );
    out.claim(
        "all start at once: with relays the last initiator has its state within 14 s",
        by_relays <= MAX_DELAY,
    );
    out.claim("all start at once: relays are faster than one discovery server", by_relays < by_discovery);
    for curve in [bytes, core_percent, relays, slowest] {
        out.curve(curve);
    }
    Ok(out)
}
