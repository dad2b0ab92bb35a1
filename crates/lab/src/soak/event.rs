//! Faults of a soak other than failing system calls.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rowanglade_test_fleet::{DiscoveryFault, TargetFault};
use std::time::Duration;

/// A fault that is injected into the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Replaces a fraction of the targets in one version of the endpoint list.
    Release { part: f64 },
    /// Discovery fails for the given time.
    Outage { fault: DiscoveryFault, span: Duration },
    /// A fraction of the targets misbehaves for the given time.
    Targets { part: f64, kind: Misbehaviour, span: Duration },
    /// SIGTERM, preceded by SIGHUP if `hangup` and by another SIGTERM if `twice`. SIGKILL follows if the
    /// process does not exit in time.
    Terminate { process: usize, twice: bool, hangup: bool },
    /// SIGKILL, followed by a restart.
    Kill { process: usize },
    /// SIGHUP, `times` times in succession.
    Reload { process: usize, times: usize },
    /// Idle clients use up the descriptors of a process.
    Crowd { process: usize },
}

/// Ways in which targets misbehave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehaviour {
    /// They never respond.
    Silent,
    /// They take twenty times as long to respond.
    Slow,
    /// They reset half of the connections.
    Resets,
    /// They answer half of the requests with an error.
    Errors,
    /// They reject all requests.
    Full,
}

impl Event {
    /// Draws an event for a fleet of the given number of processes.
    pub fn draw(random: &mut Pcg64Mcg, processes: usize) -> Event {
        let process = random.random_range(0..processes);
        let span = Duration::from_millis(random.random_range(500..3_000));
        match random.random_range(0..10) {
            0..=2 => Event::Release { part: random.random_range(0.05..0.3) },
            3 => {
                let hanging = DiscoveryFault::Hanging(Duration::from_secs(2));
                let kinds = [DiscoveryFault::Refusing, DiscoveryFault::Resetting, hanging];
                Event::Outage { fault: *kinds.choose(random).unwrap_or(&DiscoveryFault::Refusing), span }
            }
            4 | 5 => {
                use Misbehaviour::*;
                let kind = *[Silent, Slow, Resets, Errors, Full].choose(random).unwrap_or(&Silent);
                Event::Targets { part: random.random_range(0.05..0.4), kind, span }
            }
            6 => {
                Event::Terminate { process, twice: random.random_bool(0.5), hangup: random.random_bool(0.5) }
            }
            7 => Event::Kill { process },
            8 => Event::Reload { process, times: random.random_range(1..4) },
            _ => Event::Crowd { process },
        }
    }

    /// Name of the event's variant, under which outcomes count it.
    pub fn kind(&self) -> String {
        let text = format!("{self:?}");
        text.split([' ', '{']).next().unwrap_or_default().to_string()
    }
}

impl Misbehaviour {
    /// The fault to inject into a target that misbehaves in this way.
    pub fn fault(self) -> TargetFault {
        match self {
            Misbehaviour::Silent => TargetFault { silent: true, ..TargetFault::default() },
            Misbehaviour::Slow => TargetFault { slowdown: 20.0, ..TargetFault::default() },
            Misbehaviour::Resets => TargetFault { reset_share: 0.5, ..TargetFault::default() },
            Misbehaviour::Errors => TargetFault { error_share: 0.5, ..TargetFault::default() },
            Misbehaviour::Full => TargetFault { rejects: true, ..TargetFault::default() },
        }
    }
}
