//! The scheduler's settings: the request classes, the QoS plans and the bounds of the rules.

use super::{Micros, SettingsError, SettingsProblem};
use rowanglade_slow_start::SlowStartRule;

/// Whether a request may run again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again at any target.
    Idempotent,
    /// It carries an idempotency key: the targets within the scope drop a repeat within the window.
    KeyedWithin {
        /// The targets that share their idempotency keys.
        scope: DeduplicationScope,
        /// How long after the send of an attempt a repeat is dropped, in microseconds.
        window: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// Which targets share their idempotency keys, so that one drops what another has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All targets.
    All,
    /// The targets of one zone.
    Zone,
    /// The targets of one shard.
    Shard,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The latency objective, in microseconds from the arrival. A response within it has the full priority
    /// weight.
    pub latency_objective: Micros,
    /// The longest time that a client waits, over all its own retries, in microseconds.
    pub deadline: Micros,
    /// Whether a request of the class may run again.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in the order of their arrival.
    pub ordered_by_key: bool,
    /// Whether requests of the class write. Only a class that does not write can be background work.
    pub write: bool,
    /// The weight of a response within the latency objective. The scheduler only validates it.
    pub priority_weight: f64,
    /// The weight of a response between objective and deadline, as a fraction of the priority weight. The
    /// scheduler only validates it.
    pub late_weight: f64,
}

/// A QoS plan. Its rates apply to each volume, over all initiators and targets together.
#[derive(Clone, Debug)]
pub struct QosPlan {
    /// The rate that a volume is sized for, in units per second.
    pub nominal: f64,
    /// The rate that is reserved for a volume, in units per second.
    pub reserve: f64,
    /// The weight of a volume where volumes share the capacity beyond their reserves.
    pub weight: f64,
    /// The factor on the weight of a volume's responses. The scheduler only validates it.
    pub price: f64,
    /// The limit on the requests of a volume. Absent: there is none.
    pub limit: Option<RateLimit>,
}

/// A token bucket that the first attempt of every request draws from.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// The rate at which the bucket fills, in units per second.
    pub rate: f64,
    /// The most units that the bucket holds.
    pub burst: f64,
    /// How many units below zero the bucket may go.
    pub debt_limit: f64,
}

/// The retry budget: how many attempts beyond each request's first are allowed in any window, over all
/// requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are allowed in every window.
    pub minimum: f64,
    /// Additional retries that are allowed for each request that arrived in the window.
    pub ratio: f64,
    /// The length of the window, in microseconds.
    pub window: Micros,
}

/// The bounds that the scheduler's rules keep.
#[derive(Clone, Debug, Default)]
pub struct RuleBounds {
    /// How long sends to a target may continue after the notification that it drains or is removed, in
    /// microseconds. The scheduler stops at once; the interval of the caller's polls follows from this bound.
    pub drain_grace: Micros,
    /// The fraction of its full capacity that a target has at least when it starts.
    pub slow_start_capacity: f64,
    /// The longest time from a target's start until it has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// Units within [`RuleBounds::overload_window`], from all initiators together, that a target can bear in
    /// any case just after its start.
    pub slow_start_units: f64,
    /// The window over which the load of a target is counted, in microseconds.
    pub overload_window: Micros,
    /// A warming target is overloaded if its load in a window exceeds this multiple of its capacity.
    pub overload_multiple: f64,
    /// The bound on retries. Absent: there is none.
    pub retry_budget: Option<RetryBudget>,
    /// How long no other request of a key is sent after an attempt that may still run, in microseconds.
    pub key_quiet_period: Micros,
    /// The most attempts that one request may have, at least 1.
    pub max_attempts: u32,
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of initiators that share the targets.
    pub initiators: u32,
    /// The request classes, at least one. [`ClassId`](super::ClassId) is an index into them.
    pub classes: Vec<RequestClass>,
    /// The QoS plans. [`PlanId`](super::PlanId) is an index into them.
    pub plans: Vec<QosPlan>,
    /// The bounds that the rules keep.
    pub rules: RuleBounds,
    /// The mean size of a request, in units.
    pub mean_request_units: f64,
    /// The weight of a unit above the reserve and within the volume's share. The scheduler only validates it.
    pub weight_within_share: f64,
    /// The weight of a unit above reserve and share. The scheduler only validates it.
    pub weight_beyond_share: f64,
    /// The metering period of the used fraction in [`Event::AttemptEnded`](super::Event::AttemptEnded), in
    /// microseconds. 0: the fraction is not reported.
    pub meter_period: Micros,
    /// Whether the end of an attempt reports the units served through other initiators.
    pub reports_usage_elsewhere: bool,
    /// Whether targets answer probes. The scheduler sends none.
    pub may_probe: bool,
    /// Whether targets can drop an attempt that is cancelled.
    pub may_cancel: bool,
    /// Whether targets accept hedged requests. The scheduler sends none.
    pub may_hedge: bool,
    /// The longest Retry-After time that a client follows, in microseconds. 0: rejections have none.
    pub max_retry_after: Micros,
}

impl Settings {
    /// The slow-start rule for targets that have just started.
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

    /// Validates the settings. Returns an error for the first field, by its name in the platform's settings,
    /// that is missing, zero where it may not be, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::new("classes", SettingsProblem::Missing));
        }
        if self.rules.max_attempts == 0 {
            return Err(SettingsError::new("rules.attempts", SettingsProblem::Zero));
        }
        let mut fields = self.numeric_fields();
        match fields.find(|(_, value)| !value.is_finite() || *value < 0.0) {
            Some((field, _)) => Err(SettingsError::new(field, SettingsProblem::NegativeOrNotFinite)),
            None => Ok(()),
        }
    }

    /// All numbers that must be finite and not negative, with their names in the platform's settings.
    fn numeric_fields(&self) -> impl Iterator<Item = (String, f64)> + '_ {
        let rules = &self.rules;
        let top_level = [
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
        let top_level = top_level.into_iter().chain(budget.into_iter().flatten());
        let top_level = top_level.map(|(name, value)| (name.to_string(), value));
        let classes = self.classes.iter().enumerate().flat_map(|(index, class)| {
            let fields = class.numeric_fields().into_iter();
            fields.map(move |(name, value)| (format!("classes[{index}].{name}"), value))
        });
        let plans = self.plans.iter().enumerate().flat_map(|(index, plan)| {
            let fields = plan.numeric_fields().into_iter();
            fields.map(move |(name, value)| (format!("plans[{index}].{name}"), value))
        });
        top_level.chain(classes).chain(plans)
    }
}

impl RequestClass {
    fn numeric_fields(&self) -> [(&'static str, f64); 2] {
        [("worth", self.priority_weight), ("late_worth", self.late_weight)]
    }
}

impl QosPlan {
    fn numeric_fields(&self) -> [(&'static str, f64); 7] {
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
