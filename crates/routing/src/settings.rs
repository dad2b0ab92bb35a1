//! The part of the platform's settings that routes and expectations refer to.

/// What the settings say that routes and expectations can refer to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSettings {
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The QoS plans.
    pub plans: Vec<PlanSettings>,
    /// How many attempts a request gets, at most.
    pub max_attempts: u32,
    /// How long after a drain was announced a target may still be sent requests, in milliseconds.
    pub drain_grace_ms: u64,
}

impl ServiceSettings {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Whether there is a plan of this name.
    pub fn has_plan(&self, name: &str) -> bool {
        self.plans.iter().any(|plan| plan.name == name)
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Whether its requests are writes.
    pub writes: bool,
}

/// A QoS plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// Its name.
    pub name: String,
    /// The units a second that no volume on it exceeds; none: it has no limit.
    pub max_units_per_second: Option<f64>,
}
