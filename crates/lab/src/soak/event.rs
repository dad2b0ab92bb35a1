//! What befalls a fleet during a soak, beside failing system calls.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rowanglade_test_fleet::{DiscoveryFault, TargetFault};
use std::time::Duration;

/// A fault that befalls the fleet at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part of the targets is replaced in one version.
    Release { part: f64 },
    /// Discovery misbehaves for a while.
    Outage { fault: DiscoveryFault, span: Duration },
    /// A part of the targets misbehaves.
    Targets { part: f64, kind: Misbehaviour, span: Duration },
    /// SIGTERM, again after a while, and SIGKILL at the earliest.
    Terminate { process: usize, twice: bool, hangup: bool },
    /// SIGKILL.
    Kill { process: usize },
    /// SIGHUP, several times.
    Reload { process: usize, times: usize },
    /// Idle clients fill the descriptors of a process.
    Crowd { process: usize },
}

/// How targets misbehave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehaviour {
    /// They never answer.
    Silent,
    /// They take twenty times as long.
    Slow,
    /// They reset half of the connections.
    Resets,
    /// They answer half of the requests with an error.
    Errors,
    /// They reject all requests.
    Full,
}

impl Event {
    /// Draws an event of a fleet of so many processes.
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

    /// The kind of the event, as outcomes count it.
    pub fn kind(&self) -> String {
        let text = format!("{self:?}");
        text.split([' ', '{']).next().unwrap_or_default().to_string()
    }
}

impl Misbehaviour {
    /// The fault of a target that misbehaves so.
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
