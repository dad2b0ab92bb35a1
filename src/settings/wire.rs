//! The settings in JSON. Their keys and values are those of the platform and the simulator; only this module
//! maps them to this project's names.

use crate::interface::Micros;
use serde::Deserialize;

/// The value of `discovery` if the endpoint list is sent only in response to polls.
pub(super) const ON_REQUEST: &str = "on_request";
/// The value of `discovery` if the endpoint list is pushed.
pub(super) const PUSHED: &str = "pushed";
/// The value of `idempotency` for a class whose requests carry an idempotency key.
pub(super) const KEYED: &str = "by_key";

/// How long a target keeps an idle connection open if the settings do not contain it, in microseconds.
const DEFAULT_CONNECTION_IDLE_MICROS: Micros = 30_000_000;
/// The connect timeout if the settings do not contain it, in microseconds.
const DEFAULT_CONNECT_TIMEOUT_MICROS: Micros = 250_000;

/// The settings of an initiator.
#[derive(Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "azs", default)]
    pub(super) zones: Vec<String>,
    pub(super) ceilings: Ceilings,
    pub(super) discovery: String,
    #[serde(rename = "family-info", default)]
    pub(super) deployment: Deployment,
    #[serde(rename = "grades")]
    pub(super) classes: Vec<Class>,
    #[serde(rename = "policies", default)]
    pub(super) plans: Vec<Plan>,
    #[serde(rename = "report", default)]
    pub(super) load_report: LoadReportFields,
    pub(super) rules: Rules,
    #[serde(rename = "siblings")]
    pub(super) initiators: u32,
    #[serde(rename = "my-number")]
    pub(super) initiator_number: Option<u32>,
}

/// The bounds on what an initiator may do. Times are in microseconds.
#[derive(Debug, Deserialize)]
pub(super) struct Ceilings {
    #[serde(default)]
    pub(super) cancel: bool,
    #[serde(rename = "conn-idle", default = "default_connection_idle_timeout")]
    pub(super) connection_idle_timeout: Micros,
    #[serde(rename = "connect-timeout", default = "default_connect_timeout")]
    pub(super) connect_timeout: Micros,
    #[serde(rename = "max-attempts")]
    pub(super) max_attempts: u32,
    #[serde(rename = "peer-messages", default)]
    pub(super) peer_messages: bool,
    #[serde(rename = "max-retry-after", default)]
    pub(super) max_retry_after: Micros,
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(rename = "retry-after", default)]
    pub(super) retry_after: bool,
    #[serde(rename = "second-copies", default)]
    pub(super) hedged_requests: bool,
}

fn default_connection_idle_timeout() -> Micros {
    DEFAULT_CONNECTION_IDLE_MICROS
}

fn default_connect_timeout() -> Micros {
    DEFAULT_CONNECT_TIMEOUT_MICROS
}

/// Properties of the deployment.
#[derive(Debug, Deserialize, Default)]
pub(super) struct Deployment {
    #[serde(rename = "cold-units")]
    pub(super) slow_start_units: Option<f64>,
    #[serde(rename = "idle-worth")]
    pub(super) weight_beyond_share: Option<f64>,
    #[serde(rename = "meter-period")]
    pub(super) meter_period: Option<Micros>,
    #[serde(rename = "n-shards")]
    pub(super) shard_count: Option<u32>,
    #[serde(rename = "tells-elsewhere")]
    pub(super) reports_usage_elsewhere: Option<bool>,
    #[serde(rename = "usual-units")]
    pub(super) mean_request_units: Option<f64>,
    #[serde(rename = "within-share")]
    pub(super) weight_within_share: Option<f64>,
    /// For each class, whether its requests write.
    pub(super) writes: Option<Vec<bool>>,
}

/// A request class. Times are in microseconds.
#[derive(Debug, Deserialize)]
pub(super) struct Class {
    /// The scope within which idempotency keys are deduplicated.
    #[serde(rename = "group")]
    pub(super) deduplication_scope: Option<String>,
    #[serde(rename = "hard-limit")]
    pub(super) deadline: Micros,
    /// Whether a request of the class may run again.
    pub(super) idempotency: String,
    #[serde(rename = "fifo-by-key", default)]
    pub(super) ordered_by_key: bool,
    #[serde(rename = "late-worth")]
    pub(super) late_weight: Option<f64>,
    #[serde(rename = "memory-span")]
    pub(super) deduplication_window: Option<Micros>,
    pub(super) name: String,
    #[serde(rename = "promise")]
    pub(super) latency_objective: Micros,
    #[serde(rename = "worth")]
    pub(super) priority_weight: Option<f64>,
}

/// A QoS plan. Rates are in units per second.
#[derive(Debug, Deserialize)]
pub(super) struct Plan {
    pub(super) burst: Option<f64>,
    #[serde(rename = "floor-rate")]
    pub(super) reserve: Option<f64>,
    pub(super) name: String,
    #[serde(rename = "never-over")]
    limit: Option<f64>,
    pub(super) nominal: Option<f64>,
    #[serde(rename = "tolerance")]
    pub(super) debt_limit: Option<f64>,
    #[serde(rename = "value-factor")]
    pub(super) price: Option<f64>,
    pub(super) weight: Option<f64>,
}

impl Plan {
    /// The rate that no volume with the plan may exceed, in units per second. `None`: there is no limit,
    /// written as 0 in the settings.
    pub(super) fn max_rate(&self) -> Option<f64> {
        self.limit.filter(|rate| *rate != 0.0)
    }
}

/// The fields of a load report, in the order in which the simulator sends them.
#[derive(Debug, Deserialize, Default)]
pub(super) struct LoadReportFields {
    #[serde(default)]
    pub(super) fields: Vec<String>,
}

/// The bounds of the rules that initiators must keep. Times are in microseconds.
#[derive(Debug, Deserialize)]
pub(super) struct Rules {
    #[serde(rename = "cold-from")]
    pub(super) slow_start_capacity: Option<f64>,
    #[serde(rename = "drain-grace")]
    pub(super) drain_grace: Option<Micros>,
    #[serde(rename = "fall-multiple")]
    pub(super) overload_multiple: Option<f64>,
    #[serde(rename = "tip-after")]
    pub(super) overload_window: Option<Micros>,
    #[serde(rename = "warm-within")]
    pub(super) slow_start_duration: Option<Micros>,
    #[serde(rename = "must-ask-in")]
    pub(super) must_poll_within: Option<Micros>,
    #[serde(rename = "extra-free")]
    pub(super) retry_budget_minimum: Option<f64>,
    #[serde(rename = "resend-ratio")]
    pub(super) retry_budget_ratio: Option<f64>,
    #[serde(rename = "counted-over")]
    pub(super) retry_budget_window: Option<Micros>,
    #[serde(rename = "turn-gap")]
    pub(super) key_quiet_period: Option<Micros>,
}
