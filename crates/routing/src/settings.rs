//! The part of the platform's settings that routes and expectations refer to.

/// The settings that routes and expectations can refer to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSettings {
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The QoS plans.
    pub plans: Vec<PlanSettings>,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// How long requests may still be sent to a target after its drain was announced, in milliseconds.
    pub drain_grace_ms: u64,
}

impl ServiceSettings {
    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Whether there is a plan with this name.
    pub fn has_plan(&self, name: &str) -> bool {
        self.plans.iter().any(|plan| plan.name == name)
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The name that routes refer to.
    pub name: String,
    /// Whether requests of the class are writes.
    pub writes: bool,
}

/// A QoS plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The name that routes refer to.
    pub name: String,
    /// Maximum units per second for each volume with this plan; `None` if the plan has no limit.
    pub max_units_per_second: Option<f64>,
}
