//! The settings of an initiator, as the simulator's first message and the platform's configuration both hold
//! them, and their translation to the scheduler's.

mod translate;
mod wire;

pub use wire::Settings;

use crate::interface::Micros;
use rowanglade_discovery_polling::{Delivery, PollingConfig, Schedule, WatchMode};
use rowanglade_routing::{ClassSettings, PlanSettings, ServiceSettings};
use std::time::Duration;
use wire::Class;

/// The shortest time that a connection is given to come up, in microseconds: settings may have zero.
const MIN_CONNECT_TIMEOUT_MICROS: Micros = 1_000;

/// What the settings say of a request class to those who admit requests of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTerms<'a> {
    /// Its name.
    pub name: &'a str,
    /// How long a client waits at most.
    pub deadline: Duration,
    /// Whether its requests are writes.
    pub writes: bool,
    /// Whether its requests carry an idempotency key.
    pub keyed: bool,
}

impl Settings {
    /// How long a target lets a connection stay idle.
    pub fn connection_idle_timeout(&self) -> Duration {
        Duration::from_micros(self.ceilings.connection_idle_timeout)
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.ceilings.connect_timeout.max(MIN_CONNECT_TIMEOUT_MICROS))
    }

    /// The names of the zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// How long a target that has just started counts as warming up, in microseconds.
    pub fn slow_start_duration(&self) -> Micros {
        self.rules.slow_start_duration.unwrap_or(0)
    }

    /// How the endpoint list reaches this initiator.
    pub fn delivery(&self) -> Delivery {
        match self.list_is_pushed() {
            true => Delivery::Pushed { drain_grace: self.rules.drain_grace.unwrap_or(0) },
            false => Delivery::Polled { max_poll_interval: self.rules.must_poll_within.unwrap_or(0) },
        }
    }

    /// Whether the endpoint list is pushed to this initiator, which need not poll for it.
    pub fn list_is_pushed(&self) -> bool {
        self.discovery == wire::PUSHED
    }

    /// Whether initiators may send each other datagrams.
    pub fn peer_messages_allowed(&self) -> bool {
        self.ceilings.peer_messages
    }

    /// The number of this initiator; none: the settings do not say.
    pub fn initiator_number(&self) -> Option<u32> {
        self.initiator_number
    }

    /// This initiator's number, or 0, and how many there are.
    pub fn initiator_number_and_count(&self) -> (u32, u32) {
        (self.initiator_number.unwrap_or(0), self.initiators)
    }

    /// The schedule of this initiator's polls for the endpoint list, from a time of the caller's clock on.
    pub fn discovery_schedule(&self, watch_mode: WatchMode, seed: u64, now: Micros) -> Schedule {
        let config = PollingConfig {
            delivery: self.delivery(),
            watch_mode,
            initiators: self.initiators,
            instance_index: self.initiator_number,
        };
        Schedule::new(config, seed, now)
    }

    /// The longest Retry-After that a client follows; zero: none is given.
    pub fn max_retry_after(&self) -> Duration {
        Duration::from_micros(self.max_retry_after_micros())
    }

    fn max_retry_after_micros(&self) -> Micros {
        if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 }
    }

    /// The smallest latency objective of all classes.
    pub fn tightest_objective(&self) -> Duration {
        let tightest = self.classes.iter().map(|class| class.latency_objective).min();
        Duration::from_micros(tightest.unwrap_or(0))
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }

    /// The classes, in the order of their numbers.
    pub fn classes(&self) -> impl Iterator<Item = ClassTerms<'_>> {
        self.classes.iter().enumerate().map(|(number, class)| ClassTerms {
            name: &class.name,
            deadline: Duration::from_micros(class.deadline),
            writes: self.writes(number),
            keyed: class.idempotency == wire::KEYED,
        })
    }

    /// Whether requests of the class of this number are writes.
    fn writes(&self, class: usize) -> bool {
        let writes = self.deployment.writes.as_ref();
        writes.and_then(|writes| writes.get(class)).copied().unwrap_or(false)
    }

    /// How many shards there are; none: the settings do not say.
    pub fn shard_count(&self) -> Option<u32> {
        self.deployment.shard_count.filter(|count| *count > 0)
    }

    /// The names of the QoS plans, in the order of their numbers.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.plans.iter().map(|plan| plan.name.as_str())
    }

    /// What routes and expectations can refer to.
    pub fn routing(&self) -> ServiceSettings {
        let class =
            |class: ClassTerms<'_>| ClassSettings { name: class.name.to_string(), writes: class.writes };
        let plan = |plan: &wire::Plan| PlanSettings {
            name: plan.name.clone(),
            max_units_per_second: plan.max_rate(),
        };
        ServiceSettings {
            classes: self.classes().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            max_attempts: self.ceilings.max_attempts,
            drain_grace_ms: self.rules.drain_grace.unwrap_or(0) / 1_000,
        }
    }

    /// The names of the classes, in the order of their numbers.
    fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class: &Class| class.name.clone()).collect()
    }
}
