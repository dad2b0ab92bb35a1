//! The translation of the settings to the scheduler's settings.

use super::wire::{self, Class, Plan, Settings};
use crate::interface as api;
use crate::interface::{SettingsError, SettingsProblem};
use crate::names::Names;

impl Settings {
    /// Translates the settings to the scheduler's. The names of zones, classes, plans and load report fields
    /// are stored in `names`.
    ///
    /// # Errors
    /// The value of a key is not one of those allowed; the error names the key.
    pub fn translate(&self, names: &mut Names) -> Result<api::Settings, SettingsError> {
        if ![wire::ON_REQUEST, wire::PUSHED].contains(&self.discovery.as_str()) {
            return Err(unknown_value("discovery".to_string()));
        }
        self.store_names(names);
        let deployment = &self.deployment;
        Ok(api::Settings {
            initiators: self.initiators,
            classes: self.translate_classes()?,
            plans: self.plans.iter().map(translate_plan).collect(),
            rules: self.rule_bounds(),
            mean_request_units: deployment.mean_request_units.unwrap_or(1.0),
            weight_within_share: deployment.weight_within_share.unwrap_or(1.0),
            weight_beyond_share: deployment.weight_beyond_share.unwrap_or(1.0),
            meter_period: deployment.meter_period.unwrap_or(0),
            reports_usage_elsewhere: deployment.reports_usage_elsewhere.unwrap_or(false),
            may_probe: self.ceilings.probes,
            may_cancel: self.ceilings.cancel,
            may_hedge: self.ceilings.hedged_requests,
            max_retry_after: self.max_retry_after_micros(),
        })
    }

    /// Stores the names of zones, classes, plans and load report fields, in the order of the scheduler's ids.
    fn store_names(&self, names: &mut Names) {
        names.zones = self.zones.clone();
        names.classes = self.class_names();
        names.plans = self.plans().map(str::to_string).collect();
        names.load_report_fields = self.load_report.fields.clone();
    }

    fn translate_classes(&self) -> Result<Vec<api::RequestClass>, SettingsError> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(number, class)| translate_class(number, class, self.writes(number))).collect()
    }

    fn rule_bounds(&self) -> api::RuleBounds {
        let rules = &self.rules;
        api::RuleBounds {
            drain_grace: rules.drain_grace.unwrap_or(0),
            slow_start_capacity: rules.slow_start_capacity.unwrap_or(1.0),
            slow_start_duration: self.slow_start_duration(),
            slow_start_units: self.deployment.slow_start_units.unwrap_or(0.0),
            overload_window: rules.overload_window.unwrap_or(0),
            overload_multiple: rules.overload_multiple.unwrap_or(1.0),
            retry_budget: rules.retry_budget_ratio.map(|ratio| api::RetryBudget {
                minimum: rules.retry_budget_minimum.unwrap_or(0.0),
                ratio,
                window: rules.retry_budget_window.unwrap_or(0),
            }),
            key_quiet_period: rules.key_quiet_period.unwrap_or(0),
            max_attempts: self.ceilings.max_attempts,
        }
    }
}

fn translate_class(number: usize, class: &Class, write: bool) -> Result<api::RequestClass, SettingsError> {
    Ok(api::RequestClass {
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        idempotency: idempotency(number, class)?,
        ordered_by_key: class.ordered_by_key,
        write,
        priority_weight: class.priority_weight.unwrap_or(1.0),
        late_weight: class.late_weight.unwrap_or(0.0),
    })
}

fn idempotency(number: usize, class: &Class) -> Result<api::Idempotency, SettingsError> {
    match class.idempotency.as_str() {
        "repeatable" => Ok(api::Idempotency::Idempotent),
        "once" => Ok(api::Idempotency::NonIdempotent),
        wire::KEYED => Ok(api::Idempotency::KeyedWithin {
            scope: deduplication_scope(number, class)?,
            window: class.deduplication_window.unwrap_or(0),
        }),
        _ => Err(unknown_value(format!("grades[{number}].idempotency"))),
    }
}

fn deduplication_scope(number: usize, class: &Class) -> Result<api::DeduplicationScope, SettingsError> {
    match class.deduplication_scope.as_deref() {
        None | Some("all") => Ok(api::DeduplicationScope::All),
        Some("zone") => Ok(api::DeduplicationScope::Zone),
        Some("cell") => Ok(api::DeduplicationScope::Shard),
        _ => Err(unknown_value(format!("grades[{number}].group"))),
    }
}

fn translate_plan(plan: &Plan) -> api::QosPlan {
    api::QosPlan {
        nominal: plan.nominal.unwrap_or(0.0),
        reserve: plan.reserve.unwrap_or(0.0),
        weight: plan.weight.unwrap_or(1.0),
        price: plan.price.unwrap_or(1.0),
        limit: plan.max_rate().map(|rate| api::RateLimit {
            rate,
            burst: plan.burst.unwrap_or(0.0),
            debt_limit: plan.debt_limit.unwrap_or(0.0),
        }),
    }
}

/// The error for a key whose value is not one of those allowed; `field` is the key as it is written in the
/// settings.
fn unknown_value(field: String) -> SettingsError {
    SettingsError::new(field, SettingsProblem::UnknownValue)
}
