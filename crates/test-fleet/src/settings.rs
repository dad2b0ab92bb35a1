//! Settings of initiators as the platform provides them.

use rowanglade_capture::{Header, Repeat};
use serde_json::{Value, json};
use std::io;

/// The platform's settings for `initiators` initiators with these request classes and QoS plans.
pub fn settings(header: &Header, initiators: usize, zone: &str, shards: usize) -> Value {
    let class = |c: &rowanglade_capture::ClassTerms| {
        let mut class = json!({
            "name": c.name, "promise": u64::from(c.aim_ms) * 1_000, "hard-limit": u64::from(c.deadline_ms) * 1_000,
            "worth": 1.0, "late-worth": 0.2, "group": "all",
            "idempotency": match c.repeat {
                Repeat::Safe => "repeatable",
                Repeat::Keyed { .. } => "by_key",
                Repeat::Once => "once",
            },
        });
        if let Repeat::Keyed { span_ms } = c.repeat {
            class["group"] = "cell".into();
            class["memory-span"] = (u64::from(span_ms) * 1_000).into();
        }
        class
    };
    let plan = |p: &rowanglade_capture::PlanTerms| {
        let limit = p.limit.unwrap_or(0.0);
        json!({
            "name": p.name, "floor-rate": p.rate / 2.0, "nominal": p.rate, "weight": 1.0, "value-factor": 1.0,
            "never-over": limit, "burst": limit * 1.5, "tolerance": limit / 10.0,
        })
    };
    json!({
        "azs": [zone],
        "ceilings": {
            "cancel": true, "conn-idle": 30_000_000, "connect-timeout": 250_000, "max-attempts": 3,
            "max-retry-after": 500_000, "retry-after": true, "second-copies": true,
        },
        "discovery": "on_request",
        "family-info": {
            "cold-units": 51.0, "usual-units": 2.0, "n-shards": shards,
            "writes": header.classes.iter().map(|c| c.write).collect::<Vec<_>>(),
        },
        "grades": header.classes.iter().map(class).collect::<Vec<_>>(),
        "policies": header.plans.iter().map(plan).collect::<Vec<_>>(),
        "report": {"fields": ["depth"]},
        "rules": {
            "cold-from": 0.28, "drain-grace": 1_000_000, "fall-multiple": 2.5, "must-ask-in": 10_000_000,
            "tip-after": 3_000_000, "warm-within": 15_000_000,
        },
        "siblings": initiators,
    })
}

/// The platform's settings for the project's standard request classes and QoS plans.
///
/// # Errors
/// The project's standard mapping cannot be read.
pub fn standard_settings(initiators: usize, zone: &str, shards: usize) -> io::Result<Value> {
    let mapping = rowanglade_capture::Mapping::standard().map_err(io::Error::other)?;
    let header = Header {
        base_us: 0,
        sources: Vec::new(),
        classes: mapping.classes().to_vec(),
        plans: mapping.plans().to_vec(),
        anonymised: false,
    };
    Ok(settings(&header, initiators, zone, shards))
}
