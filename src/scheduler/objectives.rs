//! The tightest latency objective, and the classes that are background work because their objectives are
//! long.

use crate::interface::{Micros, RequestClass};

/// A class that does not write, and whose objective is at least this multiple of the tightest one, is
/// background work: a delay costs its clients little. A delayed write would hold resources until it is done.
const BACKGROUND_OBJECTIVE_MULTIPLE: f64 = 2.5;

/// The tightest objective, and which classes are background work.
#[derive(Default)]
pub(super) struct Objectives {
    /// The smallest latency objective of all classes.
    pub tightest: Micros,
    background: Vec<bool>,
}

impl Objectives {
    pub fn new(classes: &[RequestClass]) -> Objectives {
        let tightest = classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let background = classes.iter().map(|class| is_background(class, tightest)).collect();
        Objectives { tightest, background }
    }

    /// Whether a class is background work: admitted whatever its prediction, and sent only into spare
    /// capacity.
    pub fn is_background(&self, class: usize) -> bool {
        self.background[class]
    }
}

fn is_background(class: &RequestClass, tightest: Micros) -> bool {
    let objective = class.latency_objective;
    !class.write
        && objective as f64 >= BACKGROUND_OBJECTIVE_MULTIPLE * tightest as f64
        && objective > tightest
}
