//! The settings of an instance, as the simulator's first message and the platform's configuration both hold
//! them, and their translation to the module's own.

use crate::interface as api;
use crate::interface::{Micros, SettingsError, SettingsProblem};
use crate::names::Names;
use rowanglade_discovery_polling::{Delivery, PollingConfig, Schedule, WatchMode};
use serde::Deserialize;
use std::time::Duration;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    #[serde(default)]
    azs: Vec<String>,
    ceilings: Ceilings,
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfo,
    grades: Vec<Grade>,
    #[serde(default)]
    policies: Vec<Policy>,
    #[serde(default)]
    report: Report,
    rules: Rules,
    siblings: u32,
    my_number: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Ceilings {
    #[serde(default)]
    cancel: bool,
    #[serde(default = "default_conn_idle")]
    conn_idle: Micros,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: Micros,
    max_attempts: u32,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    max_retry_after: Micros,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

fn default_conn_idle() -> Micros {
    30_000_000
}

fn default_connect_timeout() -> Micros {
    250_000
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    cold_units: Option<f64>,
    idle_worth: Option<f64>,
    meter_period: Option<Micros>,
    n_shards: Option<u32>,
    tells_elsewhere: Option<bool>,
    usual_units: Option<f64>,
    within_share: Option<f64>,
    writes: Option<Vec<bool>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    group: Option<String>,
    hard_limit: Micros,
    idempotency: String,
    #[serde(default)]
    fifo_by_key: bool,
    late_worth: Option<f64>,
    memory_span: Option<Micros>,
    name: String,
    promise: Micros,
    worth: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Policy {
    burst: Option<f64>,
    floor_rate: Option<f64>,
    name: String,
    never_over: Option<f64>,
    nominal: Option<f64>,
    tolerance: Option<f64>,
    value_factor: Option<f64>,
    weight: Option<f64>,
}

#[derive(Debug, Deserialize, Default)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    cold_from: Option<f64>,
    drain_grace: Option<Micros>,
    fall_multiple: Option<f64>,
    tip_after: Option<Micros>,
    warm_within: Option<Micros>,
    must_ask_in: Option<Micros>,
    extra_free: Option<f64>,
    resend_ratio: Option<f64>,
    counted_over: Option<Micros>,
    turn_gap: Option<Micros>,
}

/// The word of settings whose list comes only when it is asked for.
const ON_REQUEST: &str = "on_request";
const PUSHED: &str = "pushed";

impl Settings {
    /// How long a target lets a connection stand idle.
    pub fn conn_idle(&self) -> Duration {
        Duration::from_micros(self.ceilings.conn_idle)
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.ceilings.connect_timeout.max(1_000))
    }

    /// The names of the zones.
    pub fn zones(&self) -> &[String] {
        &self.azs
    }

    /// How long a target that has just started counts as cold.
    pub fn warm_within(&self) -> Micros {
        self.rules.warm_within.unwrap_or(0)
    }

    /// How the list of targets reaches this instance.
    pub fn delivery(&self) -> Delivery {
        match self.list_is_pushed() {
            true => Delivery::Pushed { drain_grace: self.rules.drain_grace.unwrap_or(0) },
            false => Delivery::Polled { max_poll_interval: self.rules.must_ask_in.unwrap_or(0) },
        }
    }

    /// Whether the list is pushed to this instance, which need not ask for it.
    pub fn list_is_pushed(&self) -> bool {
        self.discovery == PUSHED
    }

    /// Whether instances may send each other datagrams.
    pub fn may_tell_peers(&self) -> bool {
        self.ceilings.peer_messages
    }

    /// The number of this instance; none: not told.
    pub fn number(&self) -> Option<u32> {
        self.my_number
    }

    /// The schedule of this instance's requests for the endpoint list, from a time of the caller's clock on.
    pub fn discovery_schedule(&self, watch_mode: WatchMode, seed: u64, now: Micros) -> Schedule {
        let config = PollingConfig {
            delivery: self.delivery(),
            watch_mode,
            instances: self.siblings,
            instance_index: self.my_number,
        };
        Schedule::new(config, seed, now)
    }

    /// This instance's number, and how many there are.
    pub fn instances(&self) -> (u32, u32) {
        (self.my_number.unwrap_or(0), self.siblings)
    }

    /// The longest advice to stay away that a client follows; zero: none is given.
    pub fn longest_advice(&self) -> Duration {
        Duration::from_micros(if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 })
    }

    /// The shortest time within which a class's answers are wanted.
    pub fn tightest_aim(&self) -> Duration {
        Duration::from_micros(self.grades.iter().map(|g| g.promise).min().unwrap_or(0))
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.grades.iter().map(|g| g.hard_limit).max().unwrap_or(0))
    }

    /// The classes in the order of their numbers: the name, and how long a client waits at most.
    pub fn classes(&self) -> impl Iterator<Item = (&str, Duration)> {
        self.grades.iter().map(|g| (g.name.as_str(), Duration::from_micros(g.hard_limit)))
    }

    /// The classes in the order of their numbers: the name, whether it writes, and whether it carries a key.
    pub fn terms(&self) -> impl Iterator<Item = (&str, bool, bool)> {
        let keyed = |g: &Grade| g.idempotency == "by_key";
        self.grades.iter().enumerate().map(move |(i, g)| (g.name.as_str(), self.writes(i), keyed(g)))
    }

    fn writes(&self, class: usize) -> bool {
        self.family_info.writes.as_ref().and_then(|w| w.get(class)).copied().unwrap_or(false)
    }

    /// How many shards there are; absent: not told.
    pub fn shards(&self) -> Option<u32> {
        self.family_info.n_shards.filter(|n| *n > 0)
    }

    /// The names of the plans, in the order of their numbers.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.policies.iter().map(|p| p.name.as_str())
    }

    /// What routes and expectations can be about.
    pub fn routing(&self) -> rowanglade_routing::Terms {
        let limit = |p: &Policy| p.never_over.filter(|r| *r != 0.0);
        rowanglade_routing::Terms {
            classes: self.terms().map(|(name, write, _)| (name.to_string(), write)).collect(),
            plans: self.policies.iter().map(|p| (p.name.clone(), limit(p))).collect(),
            attempts: self.ceilings.max_attempts,
            drain_grace_ms: self.rules.drain_grace.unwrap_or(0) / 1_000,
        }
    }

    pub fn translate(&self, names: &mut Names) -> Result<api::Settings, SettingsError> {
        let word = |field: String| SettingsError::new(field, SettingsProblem::UnknownWord);
        if ![ON_REQUEST, PUSHED].contains(&self.discovery.as_str()) {
            return Err(word("discovery".to_string()));
        }
        names.zones = self.azs.clone();
        names.classes = self.grades.iter().map(|g| g.name.clone()).collect();
        names.plans = self.policies.iter().map(|p| p.name.clone()).collect();
        names.load_report_fields = self.report.fields.clone();
        let (info, rules) = (&self.family_info, &self.rules);
        let mut classes = Vec::new();
        for (i, g) in self.grades.iter().enumerate() {
            classes.push(api::RequestClass {
                latency_objective: g.promise,
                deadline: g.hard_limit,
                idempotency: match g.idempotency.as_str() {
                    "repeatable" => api::Idempotency::Idempotent,
                    "once" => api::Idempotency::NonIdempotent,
                    "by_key" => api::Idempotency::KeyedWithin {
                        scope: match g.group.as_deref() {
                            None | Some("all") => api::DeduplicationScope::All,
                            Some("zone") => api::DeduplicationScope::Zone,
                            Some("cell") => api::DeduplicationScope::Shard,
                            _ => return Err(word(format!("grades[{i}].group"))),
                        },
                        window: g.memory_span.unwrap_or(0),
                    },
                    _ => return Err(word(format!("grades[{i}].idempotency"))),
                },
                ordered_by_key: g.fifo_by_key,
                write: self.writes(i),
                priority_weight: g.worth.unwrap_or(1.0),
                late_weight: g.late_worth.unwrap_or(0.0),
            });
        }
        let plan = |p: &Policy| api::QosPlan {
            nominal: p.nominal.unwrap_or(0.0),
            reserve: p.floor_rate.unwrap_or(0.0),
            weight: p.weight.unwrap_or(1.0),
            price: p.value_factor.unwrap_or(1.0),
            limit: p.never_over.filter(|r| *r != 0.0).map(|rate| api::RateLimit {
                rate,
                burst: p.burst.unwrap_or(0.0),
                debt_limit: p.tolerance.unwrap_or(0.0),
            }),
        };
        Ok(api::Settings {
            initiators: self.siblings,
            classes,
            plans: self.policies.iter().map(plan).collect(),
            rules: api::RuleBounds {
                drain_grace: rules.drain_grace.unwrap_or(0),
                slow_start_capacity: rules.cold_from.unwrap_or(1.0),
                slow_start_duration: rules.warm_within.unwrap_or(0),
                slow_start_units: info.cold_units.unwrap_or(0.0),
                overload_window: rules.tip_after.unwrap_or(0),
                overload_multiple: rules.fall_multiple.unwrap_or(1.0),
                retry_budget: rules.resend_ratio.map(|ratio| api::RetryBudget {
                    minimum: rules.extra_free.unwrap_or(0.0),
                    ratio,
                    window: rules.counted_over.unwrap_or(0),
                }),
                key_quiet_period: rules.turn_gap.unwrap_or(0),
                max_attempts: self.ceilings.max_attempts,
            },
            mean_request_units: info.usual_units.unwrap_or(1.0),
            weight_within_share: info.within_share.unwrap_or(1.0),
            weight_beyond_share: info.idle_worth.unwrap_or(1.0),
            meter_period: info.meter_period.unwrap_or(0),
            reports_usage_elsewhere: info.tells_elsewhere.unwrap_or(false),
            may_probe: self.ceilings.probes,
            may_cancel: self.ceilings.cancel,
            may_hedge: self.ceilings.second_copies,
            max_retry_after: if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 },
        })
    }
}
