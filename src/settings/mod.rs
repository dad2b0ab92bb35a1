//! The settings of an initiator, in the form that the simulator's first message and the platform's
//! configuration share, and their translation to the scheduler's settings.

mod translate;
mod wire;

pub use wire::Settings;

use crate::interface::Micros;
use rowanglade_discovery_polling::{Delivery, PollingConfig, Schedule, WatchMode};
use rowanglade_routing::{ClassSettings, PlanSettings, ServiceSettings};
use std::time::Duration;
use wire::Class;

/// The shortest connect timeout, in microseconds: the settings may contain zero.
const MIN_CONNECT_TIMEOUT_MICROS: Micros = 1_000;

/// The properties of a request class that the fronts need to accept its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassProperties<'a> {
    /// The name of the class in the settings.
    pub name: &'a str,
    /// The longest time that a client waits for a response.
    pub deadline: Duration,
    /// Whether requests of the class write.
    pub writes: bool,
    /// Whether requests of the class carry an idempotency key.
    pub keyed: bool,
}

impl Settings {
    /// How long a target keeps an idle connection open.
    pub fn connection_idle_timeout(&self) -> Duration {
        Duration::from_micros(self.ceilings.connection_idle_timeout)
    }

    /// How long the connection to a target may take to be established.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.ceilings.connect_timeout.max(MIN_CONNECT_TIMEOUT_MICROS))
    }

    /// The names of the zones, in the order of their ids.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// How long a target warms up after its start, in microseconds; 0 if the settings do not contain it.
    pub fn slow_start_duration(&self) -> Micros {
        self.rules.slow_start_duration.unwrap_or(0)
    }

    /// How the endpoint list reaches this initiator, and the time bound that goes with it.
    pub fn delivery(&self) -> Delivery {
        match self.list_is_pushed() {
            true => Delivery::Pushed { drain_grace: self.rules.drain_grace.unwrap_or(0) },
            false => Delivery::Polled { max_poll_interval: self.rules.must_poll_within.unwrap_or(0) },
        }
    }

    /// Whether the endpoint list is pushed to this initiator, which then need not poll for it.
    pub fn list_is_pushed(&self) -> bool {
        self.discovery == wire::PUSHED
    }

    /// Whether initiators may send datagrams to each other.
    pub fn peer_messages_allowed(&self) -> bool {
        self.ceilings.peer_messages
    }

    /// The number of this initiator; `None` if the settings do not contain it.
    pub fn initiator_number(&self) -> Option<u32> {
        self.initiator_number
    }

    /// The number of this initiator, 0 if the settings do not contain it, and the number of all initiators.
    pub fn initiator_number_and_count(&self) -> (u32, u32) {
        (self.initiator_number.unwrap_or(0), self.initiators)
    }

    /// The schedule of this initiator's polls for the endpoint list, starting at a time of the caller's
    /// clock.
    pub fn discovery_schedule(&self, watch_mode: WatchMode, seed: u64, now: Micros) -> Schedule {
        let config = PollingConfig {
            delivery: self.delivery(),
            watch_mode,
            initiators: self.initiators,
            instance_index: self.initiator_number,
        };
        Schedule::new(config, seed, now)
    }

    /// The longest Retry-After time that a client follows; zero if clients follow none.
    pub fn max_retry_after(&self) -> Duration {
        Duration::from_micros(self.max_retry_after_micros())
    }

    fn max_retry_after_micros(&self) -> Micros {
        if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 }
    }

    /// The tightest latency objective of all classes.
    pub fn tightest_objective(&self) -> Duration {
        let tightest = self.classes.iter().map(|class| class.latency_objective).min();
        Duration::from_micros(tightest.unwrap_or(0))
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }

    /// The request classes, in the order of their ids.
    pub fn classes(&self) -> impl Iterator<Item = ClassProperties<'_>> {
        self.classes.iter().enumerate().map(|(number, class)| ClassProperties {
            name: &class.name,
            deadline: Duration::from_micros(class.deadline),
            writes: self.writes(number),
            keyed: class.idempotency == wire::KEYED,
        })
    }

    /// Whether requests of the class with this id write.
    fn writes(&self, class: usize) -> bool {
        let writes = self.deployment.writes.as_ref();
        writes.and_then(|writes| writes.get(class)).copied().unwrap_or(false)
    }

    /// The number of shards; `None` if the settings do not contain it.
    pub fn shard_count(&self) -> Option<u32> {
        self.deployment.shard_count.filter(|count| *count > 0)
    }

    /// The names of the QoS plans, in the order of their ids.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.plans.iter().map(|plan| plan.name.as_str())
    }

    /// The classes, plans and bounds that routes and expectations refer to.
    pub fn routing(&self) -> ServiceSettings {
        let class =
            |class: ClassProperties<'_>| ClassSettings { name: class.name.to_string(), writes: class.writes };
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

    /// The names of the classes, in the order of their ids.
    fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class: &Class| class.name.clone()).collect()
    }
}
