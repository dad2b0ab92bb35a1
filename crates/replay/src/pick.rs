//! Chooses the initiator that a volume's request is sent through. Each volume has a set of initiators; most
//! of its requests go through the preferred one of the set, which changes periodically.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How often the preferred initiator of a volume changes, in microseconds.
const PREFERRED_PERIOD_US: u64 = 15_000_000;
/// Share of a volume's requests that is sent through the preferred initiator.
const PREFERRED_SHARE: f64 = 0.6;

fn seeded_rng(seed: u64, a: u64, b: u64) -> Pcg64Mcg {
    // Seeding mixes the bits, so that adjacent numbers give independent generators.
    let first: u64 = Pcg64Mcg::seed_from_u64(seed ^ a.rotate_left(17)).random();
    Pcg64Mcg::seed_from_u64(first ^ b)
}

/// The indexes of a volume's initiators, out of `initiators`: the `hosts` that rank highest for the volume
/// (rendezvous hashing), so that an added initiator changes the sets of few volumes.
pub fn initiator_set(seed: u64, volume: u64, hosts: u32, initiators: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> =
        (0..initiators).map(|i| (seeded_rng(seed, volume, i as u64 + 1).random(), i)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate((hosts.max(1) as usize).min(initiators.max(1)));
    ranked.into_iter().map(|(_, i)| i).collect()
}

/// The index of the initiator for request `number` of a trace, due at `due` microseconds. `set` must not be
/// empty.
pub fn pick_initiator(seed: u64, set: &[usize], volume: u64, due: u64, number: u64) -> usize {
    let preferred = (due / PREFERRED_PERIOD_US).wrapping_add(volume) as usize % set.len().max(1);
    let mut rng = seeded_rng(seed, number, !volume);
    if set.len() < 2 || rng.random_bool(PREFERRED_SHARE) {
        return set.get(preferred).copied().unwrap_or(0);
    }
    let other = (preferred + 1 + rng.random_range(0..set.len() - 1)) % set.len();
    set.get(other).copied().unwrap_or(0)
}

#[cfg(test)]
mod tests;
