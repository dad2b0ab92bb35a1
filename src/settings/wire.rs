//! The settings' JSON. Its keys and words are the platform's and the simulator's; they are mapped to this
//! project's names here and nowhere else.

use crate::interface::Micros;
use serde::Deserialize;

/// The word of settings whose endpoint list comes only when it is polled for.
pub(super) const ON_REQUEST: &str = "on_request";
/// The word of settings whose endpoint list is pushed.
pub(super) const PUSHED: &str = "pushed";
/// The word of a class whose requests carry an idempotency key.
pub(super) const KEYED: &str = "by_key";

/// How long a target lets a connection stay idle where the settings do not say, in microseconds.
const DEFAULT_CONNECTION_IDLE_MICROS: Micros = 30_000_000;
/// How long a connection may take to come up where the settings do not say, in microseconds.
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

/// What an initiator may do at most. Times are in microseconds.
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

/// What is known of the deployment.
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
    /// Of each class, whether its requests are writes.
    pub(super) writes: Option<Vec<bool>>,
}

/// A request class. Times are in microseconds.
#[derive(Debug, Deserialize)]
pub(super) struct Class {
    /// The word for the scope within which keys are deduplicated.
    #[serde(rename = "group")]
    pub(super) deduplication_scope: Option<String>,
    #[serde(rename = "hard-limit")]
    pub(super) deadline: Micros,
    /// The word for whether a request may run again.
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

/// A QoS plan. Rates are in units a second.
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
    /// The units a second that no volume on the plan exceeds; zero on the wire stands for no limit.
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

/// What initiators are held to. Times are in microseconds.
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
