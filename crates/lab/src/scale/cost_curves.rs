//! Costs of probes as curves.

use super::cost::{Cost, Size};
use crate::curve::Curve;
use crate::failure::Failure;

/// A probe's costs as a curve by targets or instances.
pub fn curve(
    name: &str,
    (axis, size): (&'static str, fn(&Size) -> f64),
    unit: &'static str,
    costs: &[(Size, Cost)],
    cost: impl Fn(&Cost) -> f64,
) -> Result<Curve, Failure> {
    Curve::new(name, axis, unit, costs.iter().map(|(s, c)| (size(s), cost(c))).collect())
}

/// The axis and the size of a curve by targets.
pub const BY_TARGETS: (&str, fn(&Size) -> f64) = ("targets", |size| size.targets as f64);
/// The axis and the size of a curve by initiators.
pub const BY_INSTANCES: (&str, fn(&Size) -> f64) = ("instances", |size| f64::from(size.instances));
