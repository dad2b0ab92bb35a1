//! What a seed of the soak draws.

use super::event::Event;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Size, load and faults of a soak run, all drawn from its seed.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Number of initiator processes.
    pub processes: usize,
    /// Number of targets.
    pub targets: usize,
    /// Fraction of a core that each process may use; `None` sets no limit.
    pub core_share: Option<f64>,
    /// Fraction of requests whose client disconnects before the response.
    pub disconnect_share: f64,
    /// System call faults, in the format of the fault shim.
    pub system_call_faults: Vec<String>,
    /// Other faults, each with its time after the start of the run.
    pub events: Vec<(Duration, Event)>,
}

/// System call faults that a seed draws from: the call, the fault, its probability and, where given, the
/// window in which it occurs, in milliseconds after the first call that the shim intercepts.
const SYSTEM_CALL_FAULTS: [&str; 16] = [
    "accept4:ECONNABORTED:0.2",
    "accept4:ENETUNREACH:0.1",
    "accept4:EMFILE:0.05:2000-4000",
    "accept4:ENFILE:0.05:2000-4000",
    "accept4:ENOBUFS:0.05:2000-4000",
    "socket:ENOBUFS:0.02",
    "connect:EADDRNOTAVAIL:0.05",
    "connect:ENETUNREACH:0.05",
    "connect:ETIMEDOUT:0.02",
    "recv:ETIMEDOUT:0.01",
    "recv:EHOSTUNREACH:0.01",
    "recv:short:0.2",
    "send:EPIPE:0.01",
    "send:short:0.1",
    "epoll_wait:EINTR:0.05",
    "epoll_wait:late=100:0.01",
];

/// Steps of the wall clock while a process runs, in the same format.
const CLOCK_STEPS: [&str; 4] = [
    "clock:step=3600000:1:3000-60000",
    "clock:step=-3600000:1:3000-60000",
    "clock:step=5000:1:2000-60000",
    "clock:step=-5000:1:2000-60000",
];

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> SoakPlan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let random = &mut random;
        let processes = random.random_range(2..=6);
        let targets = *[10, 40, 200, 800, 3_200].choose(random).unwrap_or(&40);
        let count = random.random_range(2..=5);
        let mut system_call_faults: Vec<String> =
            SYSTEM_CALL_FAULTS.choose_multiple(random, count).map(|call| (*call).to_string()).collect();
        if random.random_bool(0.5) {
            system_call_faults.extend(CLOCK_STEPS.choose(random).map(|step| (*step).to_string()));
        }
        let core_share = random.random_bool(0.3).then_some(0.3);
        if core_share.is_some() {
            // A process at its CPU limit is delayed already, and the checker's rules allow for 0.15 s of
            // delay in total.
            system_call_faults.retain(|call| !call.contains("late="));
        }
        let count = random.random_range(3..=6);
        let mut events: Vec<(Duration, Event)> = (0..count)
            .map(|_| (Duration::from_millis(random.random_range(500..7_000)), Event::draw(random, processes)))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        SoakPlan {
            seed,
            processes,
            targets,
            core_share,
            disconnect_share: if random.random_bool(0.5) { 0.1 } else { 0.0 },
            system_call_faults,
            events,
        }
    }

    /// Removes the faults that delay processes. The short run has to give the same result on a busy machine,
    /// which delays them already.
    pub fn remove_delays(&mut self) {
        self.core_share = None;
        self.system_call_faults.retain(|call| !call.contains("late="));
    }

    /// Returns the plan without the fault at `index`, counting system call faults first; `None` if there is
    /// no such fault.
    pub fn without(&self, index: usize) -> Option<SoakPlan> {
        let mut plan = self.clone();
        if index < plan.system_call_faults.len() {
            plan.system_call_faults.remove(index);
        } else if index - plan.system_call_faults.len() < plan.events.len() {
            plan.events.remove(index - plan.system_call_faults.len());
        } else {
            return None;
        }
        Some(plan)
    }
}
