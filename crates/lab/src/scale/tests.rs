use super::distribution::{run_with_faults, start_all};
use super::reads::all_served;
use crate::curve::{Curve, GrowthModel};

const SIZES: [f64; 4] = [100.0, 200.0, 400.0, 800.0];

fn curve(cost: impl Fn(f64) -> f64) -> Curve {
    let points = SIZES.into_iter().map(|size| (size, cost(size))).collect();
    Curve::new("made", "size", "unit", points).expect("the points allow a fit")
}

#[test]
fn quadratic_costs_fit_a_power_function_with_exponent_two() {
    let fitted = curve(|size| 3.0 * size * size);
    let GrowthModel::Power { factor, exponent } = fitted.fit.law else { panic!("{:?}", fitted.fit) };
    assert!((factor - 3.0).abs() < 1e-6 && (exponent - 2.0).abs() < 1e-9, "{:?}", fitted.fit);
    assert!((fitted.at(1_600.0) / (3.0 * 1_600.0 * 1_600.0) - 1.0).abs() < 1e-6);
}

#[test]
fn linear_costs_fit_a_line() {
    let fitted = curve(|size| 50.0 + 2.0 * size);
    let GrowthModel::Linear { base, slope } = fitted.fit.law else { panic!("{:?}", fitted.fit) };
    assert!((base - 50.0).abs() < 1e-6 && (slope - 2.0).abs() < 1e-9, "{:?}", fitted.fit);
    assert!(fitted.fit.r_squared > 0.999_999 && fitted.fit.worst_residual < 1e-9);
}

// An outlier must show in the residual, whichever function fits best.
#[test]
fn an_outlier_shows_in_the_worst_residual() {
    let fitted = curve(|size| if size == 400.0 { 9.0 * size } else { size });
    assert!(fitted.fit.worst_residual > 0.3, "{:?}", fitted.fit);
}

#[test]
fn three_sizes_or_a_zero_cost_are_rejected() {
    assert!(Curve::new("made", "size", "unit", vec![(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]).is_err());
    assert!(Curve::new("made", "size", "unit", SIZES.map(|size| (size, 0.0)).to_vec()).is_err());
}

// A discovery service that needs more time for the polls of a span than the span lasts cannot catch up, since
// it still processes polls whose initiators have timed out.
#[test]
fn overloaded_discovery_does_not_serve_all_initiators() {
    assert!(all_served(2_200, 2_200, 0.001).is_some_and(|last| last <= 11.0));
    assert_eq!(all_served(2_200, 2_200, 0.05), None);
    assert_eq!(
        all_served(2_200, 2_200, 0.05),
        all_served(2_200, 2_200, 0.05),
        "the same seed gives the same result"
    );
}

// A small fleet with all faults of the experiment: restarts, a relay that dies and returns with outdated
// state, a network partition, and an invalid configuration.
#[test]
fn relays_distribute_every_version_in_time_under_faults() {
    const INITIATORS: u32 = 160;
    let (network, poison) = run_with_faults(INITIATORS).expect("the simulation runs");
    for delay in network.delays(&[poison]) {
        assert!(delay.is_some_and(|delay| delay <= 14_000), "{delay:?}");
    }
    assert_eq!(network.current(), INITIATORS as usize);
    assert!(network.observations.iter().all(|observations| !observations.reverted));
    let most = network.observations.iter().map(|observations| observations.peak_rate()).fold(0.0, f64::max);
    assert!(most <= 11_000.0, "{most} bytes per second in a 14 s window");
    assert!(network.observations.iter().any(|observations| observations.rejected > 0));
    assert_eq!(network.source().map(|source| source.rejecting(130_000)), Some(0));
    // The simulation is deterministic for a seed.
    let (again, _) = run_with_faults(INITIATORS).expect("the simulation runs");
    assert_eq!((again.messages, again.relay_bytes), (network.messages, network.relay_bytes));
}

#[test]
fn relays_serve_all_initiators_in_time_when_all_start_without_state() {
    let last = start_all(160).expect("the simulation runs");
    assert!(last.is_some_and(|seconds| seconds <= 14.0), "{last:?}");
}
