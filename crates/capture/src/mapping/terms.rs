//! Checks the classes and plans of a mapping file.

use super::error::{MappingError, Source};
use super::format::{ClassTable, PlanTable};
use crate::trace::{ClassTerms, PlanTerms};

/// Checks the `class` tables.
///
/// # Errors
/// A name is listed twice or cannot be part of a URL path, or a deadline is zero or below the latency
/// objective.
pub fn classes(source: &Source<'_>, tables: Vec<ClassTable>) -> Result<Vec<ClassTerms>, MappingError> {
    let mut classes: Vec<ClassTerms> = Vec::new();
    for (index, table) in tables.into_iter().enumerate() {
        let name = table.name.get_ref();
        let name_error =
            |problem: &str| Err(source.error_at(&table.name, format!("class[{index}].name"), problem));
        if classes.iter().any(|known| known.name == *name) {
            return name_error("is already used by an earlier class");
        }
        if name.is_empty() || name.contains(['/', '?', '#', ' ']) {
            return name_error("must not be empty or contain '/', '?', '#' or a space");
        }
        if *table.deadline_ms.get_ref() < table.aim_ms.max(1) {
            let key = format!("class[{index}].deadline_ms");
            return Err(source.error_at(&table.deadline_ms, key, "must be above zero and not below aim_ms"));
        }
        classes.push(ClassTerms {
            name: table.name.into_inner(),
            write: table.write,
            repeat: table.repeat,
            aim_ms: table.aim_ms,
            deadline_ms: table.deadline_ms.into_inner(),
        });
    }
    Ok(classes)
}

/// Checks the `plan` tables.
///
/// # Errors
/// A name is listed twice, or a rate or limit is not a number above zero.
pub fn plans(source: &Source<'_>, tables: Vec<PlanTable>) -> Result<Vec<PlanTerms>, MappingError> {
    let mut plans: Vec<PlanTerms> = Vec::new();
    for (index, table) in tables.into_iter().enumerate() {
        let error = |key: &str, problem: &str| {
            Err(source.error_at(&table.name, format!("plan[{index}].{key}"), problem))
        };
        if plans.iter().any(|known| known.name == *table.name.get_ref()) {
            return error("name", "is already used by an earlier plan");
        }
        if !is_rate(table.rate) {
            return error("rate", "must be a finite number above zero");
        }
        if table.limit.is_some_and(|limit| !is_rate(limit)) {
            return error("limit", "must be a finite number above zero");
        }
        plans.push(PlanTerms { name: table.name.into_inner(), rate: table.rate, limit: table.limit });
    }
    Ok(plans)
}

fn is_rate(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
