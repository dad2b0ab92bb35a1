//! The settings of an initiator: its classes, its plans and the bounds of the rules.

use super::{Micros, SettingsError, SettingsProblem};
use rowanglade_slow_start::SlowStartRule;

/// Whether a request may run again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again anywhere.
    Idempotent,
    /// It carries an idempotency key: the targets of a scope drop a repeat within a window.
    KeyedWithin {
        /// The targets that know each other's keys.
        scope: DeduplicationScope,
        /// How long after an attempt's send a repeat is dropped, in microseconds.
        window: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The targets that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All targets.
    All,
    /// The targets of one zone.
    Zone,
    /// The targets of one shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// A response within this time of arrival earns the full weight, in microseconds.
    pub latency_objective: Micros,
    /// How long a client waits at most, over all its own retries, in microseconds.
    pub deadline: Micros,
    /// Whether its requests may run again.
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in the order of arrival.
    pub ordered_by_key: bool,
    /// Its requests write. A class that does not may be background work.
    pub write: bool,
    /// What a response within the latency objective earns. The scheduler only checks it.
    pub priority_weight: f64,
    /// The fraction of that which a response between objective and deadline earns. The scheduler only checks
    /// it.
    pub late_weight: f64,
}

/// A QoS plan. Its figures hold for each volume, over all initiators and targets together.
#[derive(Clone, Debug)]
pub struct QosPlan {
    /// Units a second that a volume is sized for.
    pub nominal: f64,
    /// Units a second that are reserved for the volume.
    pub reserve: f64,
    /// In proportion to this, volumes that ask for more share what the reserves leave.
    pub weight: f64,
    /// The factor on what its responses earn. The scheduler only checks it.
    pub price: f64,
    /// The limit on the volume's requests, if it has one.
    pub limit: Option<RateLimit>,
}

/// A token bucket that every request's first attempt draws from.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Units a second that fill it.
    pub rate: f64,
    /// The most units that it holds.
    pub burst: f64,
    /// How many units below zero it may go.
    pub debt_limit: f64,
}

/// How many attempts beyond each request's first are allowed in any window, over all requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub minimum: f64,
    /// Retries that are allowed in addition for each request that arrived in the window.
    pub ratio: f64,
    /// The window, in microseconds.
    pub window: Micros,
}

/// The bounds of the rules.
#[derive(Clone, Debug, Default)]
pub struct RuleBounds {
    /// How long after the notification that a target drains or is removed sends to it must have stopped, in
    /// microseconds. The scheduler stops at once; the caller's polling follows from it.
    pub drain_grace: Micros,
    /// The fraction of its capacity that a target has at its start, at least.
    pub slow_start_capacity: f64,
    /// How long after its start a target has all of its capacity, at most, in microseconds.
    pub slow_start_duration: Micros,
    /// Units within [`RuleBounds::overload_window`], from all initiators together, that a target that has
    /// just started always bears.
    pub slow_start_units: f64,
    /// The window over which a target's load is counted, in microseconds.
    pub overload_window: Micros,
    /// A target that warms up is overloaded by more than this multiple of its capacity for a window.
    pub overload_multiple: f64,
    /// The bound on retries; absent: there is none.
    pub retry_budget: Option<RetryBudget>,
    /// How long no other request of a key is sent after an attempt that may still run, in microseconds.
    pub key_quiet_period: Micros,
    /// The most attempts of one request; at least 1.
    pub max_attempts: u32,
}

/// The settings that an initiator is started with.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many initiators share the targets.
    pub initiators: u32,
    /// The request classes; [`ClassId`](super::ClassId) is a place in it. At least one.
    pub classes: Vec<RequestClass>,
    /// The QoS plans; [`PlanId`](super::PlanId) is a place in it.
    pub plans: Vec<QosPlan>,
    /// The bounds of the rules.
    pub rules: RuleBounds,
    /// The mean units of a request.
    pub mean_request_units: f64,
    /// What a unit above the reserve, within the volume's share, earns. The scheduler only checks it.
    pub weight_within_share: f64,
    /// What a unit above reserve and share earns. The scheduler only checks it.
    pub weight_beyond_share: f64,
    /// The period that the used fraction of [`Event::AttemptEnded`](super::Event::AttemptEnded) is counted
    /// over, in microseconds. 0: it is not reported.
    pub meter_period: Micros,
    /// The end of an attempt reports the units served through other initiators.
    pub reports_usage_elsewhere: bool,
    /// Targets answer probes. The scheduler asks for none.
    pub may_probe: bool,
    /// Targets can drop an attempt that is cancelled.
    pub may_cancel: bool,
    /// Targets accept hedged requests. The scheduler sends none.
    pub may_hedge: bool,
    /// The longest time to stay away that a rejected client follows, in microseconds. 0: clients are
    /// given no time.
    pub max_retry_after: Micros,
}

impl Settings {
    /// The rule on targets that have just started.
    pub fn slow_start(&self) -> SlowStartRule {
        let rules = &self.rules;
        SlowStartRule {
            initial_capacity: rules.slow_start_capacity,
            duration: rules.slow_start_duration,
            initial_units: rules.slow_start_units,
            overload_window: rules.overload_window,
            overload_multiple: rules.overload_multiple,
            initiators: self.initiators,
        }
    }

    /// Checks that a scheduler can be made of the settings. Fails with the first field, by its name in the
    /// platform's settings, that is missing, zero where it may not be, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::new("classes", SettingsProblem::Missing));
        }
        if self.rules.max_attempts == 0 {
            return Err(SettingsError::new("rules.attempts", SettingsProblem::Zero));
        }
        let mut numbers = self.numbers();
        match numbers.find(|(_, number)| !number.is_finite() || *number < 0.0) {
            Some((field, _)) => Err(SettingsError::new(field, SettingsProblem::NegativeOrNotFinite)),
            None => Ok(()),
        }
    }

    /// All numbers that may be neither negative nor infinite, with their names in the platform's settings.
    fn numbers(&self) -> impl Iterator<Item = (String, f64)> + '_ {
        let rules = &self.rules;
        let own = [
            ("usual_units", self.mean_request_units),
            ("share_worth", self.weight_within_share),
            ("spare_worth", self.weight_beyond_share),
            ("rules.cold_from", rules.slow_start_capacity),
            ("rules.cold_units", rules.slow_start_units),
            ("rules.fall_multiple", rules.overload_multiple),
        ];
        let budget = rules.retry_budget.map(|budget| {
            [("rules.attempt_budget.free", budget.minimum), ("rules.attempt_budget.ratio", budget.ratio)]
        });
        let own = own.into_iter().chain(budget.into_iter().flatten());
        let own = own.map(|(name, number)| (name.to_string(), number));
        let classes = self.classes.iter().enumerate().flat_map(|(place, class)| {
            let named = class.numbers().into_iter();
            named.map(move |(name, number)| (format!("classes[{place}].{name}"), number))
        });
        let plans = self.plans.iter().enumerate().flat_map(|(place, plan)| {
            let named = plan.numbers().into_iter();
            named.map(move |(name, number)| (format!("plans[{place}].{name}"), number))
        });
        own.chain(classes).chain(plans)
    }
}

impl RequestClass {
    fn numbers(&self) -> [(&'static str, f64); 2] {
        [("worth", self.priority_weight), ("late_worth", self.late_weight)]
    }
}

impl QosPlan {
    fn numbers(&self) -> [(&'static str, f64); 7] {
        let limit = self.limit.unwrap_or(RateLimit { rate: 0.0, burst: 0.0, debt_limit: 0.0 });
        [
            ("nominal", self.nominal),
            ("reserve", self.reserve),
            ("weight", self.weight),
            ("price", self.price),
            ("limit.rate", limit.rate),
            ("limit.burst", limit.burst),
            ("limit.slack", limit.debt_limit),
        ]
    }
}
