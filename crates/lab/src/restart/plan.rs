//! What a seed of the planned restarts draws.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_test_fleet::Signal;
use std::time::Duration;

/// How long the platform's settings of these runs give a process after SIGTERM: the longest deadline, counted as 3 s,
/// and 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// How long a process may be stopped, by the pages.
const STOP_TIME: Duration = Duration::from_millis(150);
/// The exit of a process that is not stopped, counted from SIGTERM.
const EXIT: Duration = Duration::from_millis(3_550);
/// Clients with open connections.
const CLIENTS: usize = 60;

/// How a client sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Heads in pieces, over 0.3 to 1.9 s; a client may take 2 s.
    SlowHead,
    /// Bodies of up to 64 KiB, a little faster than the 64 kB a second that a client has to keep to.
    SlowBody,
    /// Heads with a body of 2 kB, in 0.02 to 0.2 s.
    ShortBody,
    /// Requests in one write, again at once after each answer.
    AtOnce,
    /// Requests in one write, with pauses of up to 2 s.
    Rare,
    /// A new connection for every request, a fifth of them written slowly.
    NewConnections,
}

const BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::SlowHead,
    Behaviour::SlowBody,
    Behaviour::ShortBody,
    Behaviour::AtOnce,
    Behaviour::Rare,
    Behaviour::NewConnections,
];

/// The targets of a run.
#[derive(Clone, Copy, Debug)]
pub struct TargetsPlan {
    /// How many targets there are, each with a shard of its own.
    pub count: usize,
    /// How long each takes for a request.
    pub service_time: Duration,
    /// How many of them stop answering at SIGTERM.
    pub hanging: usize,
}

/// A run: its clients, targets and signals.
#[derive(Clone, Debug)]
pub struct RestartPlan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// The behaviours of the clients, one for each.
    pub clients: Vec<Behaviour>,
    /// Idle connections beside them, some of which come again at once when they are closed.
    pub crowd: usize,
    /// The targets.
    pub targets: TargetsPlan,
    /// Signals to the process, by their time after SIGTERM.
    pub signals: Vec<(Duration, Signal)>,
}

impl RestartPlan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> RestartPlan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let chosen: Vec<Behaviour> = {
            let count = random.random_range(1..=BEHAVIOURS.len());
            BEHAVIOURS.choose_multiple(&mut random, count).copied().collect()
        };
        let service_times = [4, 40, 100, 200];
        let count = random.random_range(4..=10);
        let targets = TargetsPlan {
            count,
            service_time: Duration::from_millis(*service_times.choose(&mut random).unwrap_or(&40)),
            hanging: if random.random_bool(0.25) { random.random_range(1..=count / 2) } else { 0 },
        };
        RestartPlan {
            seed,
            clients: (0..CLIENTS).map(|client| chosen[client % chosen.len()]).collect(),
            crowd: if random.random_bool(0.3) { random.random_range(200..600) } else { 0 },
            targets,
            signals: draw_signals(&mut random),
        }
    }
}

/// SIGTERM, and what else comes: SIGTERM once more, SIGHUP, and a stop of the process, some shortly before its end.
fn draw_signals(random: &mut Pcg64Mcg) -> Vec<(Duration, Signal)> {
    let mut signals = vec![(Duration::ZERO, Signal::SIGTERM)];
    let any_time = |random: &mut Pcg64Mcg| Duration::from_millis(random.random_range(1..3_500));
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGINT] {
        if random.random_bool(0.3) {
            signals.push((any_time(random), signal));
        }
    }
    if random.random_bool(0.5) {
        let latest = EXIT - Duration::from_millis(20);
        let near_the_end = latest - Duration::from_millis(random.random_range(0..300));
        let stop = if random.random_bool(0.7) { near_the_end } else { any_time(random) };
        signals.push((stop, Signal::SIGSTOP));
        signals.push((stop + STOP_TIME, Signal::SIGCONT));
    }
    signals.sort_by_key(|(at, _)| *at);
    signals
}
