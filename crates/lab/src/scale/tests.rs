use super::distribution::{all_start, faults};
use super::reads::all_served;
use crate::curve::{Curve, GrowthModel};

const SIZES: [f64; 4] = [100.0, 200.0, 400.0, 800.0];

fn curve(cost: impl Fn(f64) -> f64) -> Curve {
    let points = SIZES.into_iter().map(|size| (size, cost(size))).collect();
    Curve::new("made", "size", "unit", points).expect("the points allow a fit")
}

#[test]
fn a_square_is_a_power_law_of_two() {
    let made = curve(|size| 3.0 * size * size);
    let GrowthModel::Power { factor, exponent } = made.fit.law else { panic!("{:?}", made.fit) };
    assert!((factor - 3.0).abs() < 1e-6 && (exponent - 2.0).abs() < 1e-9, "{:?}", made.fit);
    assert!((made.at(1_600.0) / (3.0 * 1_600.0 * 1_600.0) - 1.0).abs() < 1e-6);
}

#[test]
fn a_base_and_a_slope_are_a_line() {
    let made = curve(|size| 50.0 + 2.0 * size);
    let GrowthModel::Linear { base, slope } = made.fit.law else { panic!("{:?}", made.fit) };
    assert!((base - 50.0).abs() < 1e-6 && (slope - 2.0).abs() < 1e-9, "{:?}", made.fit);
    assert!(made.fit.r_squared > 0.999_999 && made.fit.worst_residual < 1e-9);
}

// An outlier must show in the residual, whichever function fits best.
#[test]
fn a_point_beside_the_law_is_told() {
    let made = curve(|size| if size == 400.0 { 9.0 * size } else { size });
    assert!(made.fit.worst_residual > 0.3, "{:?}", made.fit);
}

#[test]
fn three_sizes_or_a_cost_of_zero_give_no_slope() {
    assert!(Curve::new("made", "size", "unit", vec![(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]).is_err());
    assert!(Curve::new("made", "size", "unit", SIZES.map(|size| (size, 0.0)).to_vec()).is_err());
}

// A discovery service that needs more time for the polls of a span than the span lasts cannot catch up, since
// it still processes polls whose initiators have timed out.
#[test]
fn an_overbooked_discovery_does_not_serve_all() {
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
fn with_relays_every_version_is_in_force_in_time_whatever_goes_wrong() {
    const INSTANCES: u32 = 160;
    let (network, poison) = faults(INSTANCES).expect("the simulation runs");
    for delay in network.delays(&[poison]) {
        assert!(delay.is_some_and(|delay| delay <= 14_000), "{delay:?}");
    }
    assert_eq!(network.current(), INSTANCES as usize);
    assert!(network.seen.iter().all(|seen| !seen.went_back));
    let most = network.seen.iter().map(|seen| seen.peak_rate()).fold(0.0, f64::max);
    assert!(most <= 11_000.0, "{most} bytes per second in a 14 s window");
    assert!(network.seen.iter().any(|seen| seen.refused > 0));
    assert_eq!(network.source().map(|source| source.rejecting(130_000)), Some(0));
    // The simulation is deterministic for a seed.
    let (again, _) = faults(INSTANCES).expect("the simulation runs");
    assert_eq!((again.messages, again.relay_bytes), (network.messages, network.relay_bytes));
}

#[test]
fn with_relays_all_that_start_from_nothing_have_a_state_in_time() {
    let last = all_start(160).expect("the simulation runs");
    assert!(last.is_some_and(|seconds| seconds <= 14.0), "{last:?}");
}
