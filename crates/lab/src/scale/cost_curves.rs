//! Converts the costs of probes to curves.

use super::cost::{Cost, Size};
use crate::curve::Curve;
use crate::failure::Failure;

/// Curve of one component of a probe's costs, by targets or initiators.
pub fn curve(
    name: &str,
    (axis, size): (&'static str, fn(&Size) -> f64),
    unit: &'static str,
    costs: &[(Size, Cost)],
    cost: impl Fn(&Cost) -> f64,
) -> Result<Curve, Failure> {
    Curve::new(name, axis, unit, costs.iter().map(|(s, c)| (size(s), cost(c))).collect())
}

/// Axis and size of a curve by targets.
pub const BY_TARGETS: (&str, fn(&Size) -> f64) = ("targets", |size| size.targets as f64);
/// Axis and size of a curve by initiators.
pub const BY_INITIATORS: (&str, fn(&Size) -> f64) = ("instances", |size| f64::from(size.initiators));
