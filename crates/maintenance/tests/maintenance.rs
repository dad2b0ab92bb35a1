//! Targets that operators take out of service and return.

use rowanglade_maintenance::{Maintenance, Micros, State};

const TARGET: &str = "s-1";

fn state_while_active(maintenance: &Maintenance, started: Option<Micros>) -> (State, Option<Micros>) {
    maintenance.effective_state(TARGET, State::Active, started)
}

#[test]
fn a_target_in_maintenance_is_draining_whatever_discovery_reports() {
    let mut maintenance = Maintenance::default();
    assert!(maintenance.begin(10, TARGET));
    for (reported, effective) in [
        (State::Active, State::Draining),
        (State::Draining, State::Draining),
        (State::Removed, State::Removed),
    ] {
        assert_eq!(maintenance.effective_state(TARGET, reported, Some(5)), (effective, Some(5)));
    }
    assert_eq!(maintenance.effective_state("s-2", State::Active, None), (State::Active, None));
}

#[test]
fn a_repeated_begin_or_end_changes_nothing() {
    let mut maintenance = Maintenance::default();
    assert!(maintenance.begin(10, TARGET) && !maintenance.begin(11, TARGET));
    assert!(maintenance.end(20, TARGET) && !maintenance.end(21, TARGET));
    assert_eq!(state_while_active(&maintenance, None), (State::Active, Some(20)), "the first end counts");
}

// Discovery may report the restart late: the target would count as warm and be overloaded.
#[test]
fn a_returned_target_counts_as_just_started_until_discovery_reports_its_restart() {
    let mut maintenance = Maintenance::default();
    maintenance.begin(10, TARGET);
    maintenance.end(20, TARGET);
    assert_eq!(
        state_while_active(&maintenance, Some(10)),
        (State::Active, Some(20)),
        "a start before the maintenance"
    );
    assert_eq!(state_while_active(&maintenance, Some(15)), (State::Active, Some(15)), "the restart itself");
    maintenance.handle_endpoint_report(TARGET, State::Active, Some(9));
    assert_eq!(
        state_while_active(&maintenance, None),
        (State::Active, Some(20)),
        "a report of an earlier start changes nothing"
    );
    maintenance.handle_endpoint_report(TARGET, State::Active, Some(15));
    assert_eq!(
        state_while_active(&maintenance, None),
        (State::Active, None),
        "after a report of the restart, later reports are used unchanged"
    );
}

#[test]
fn a_restart_during_maintenance_does_not_end_it() {
    let mut maintenance = Maintenance::default();
    maintenance.begin(10, TARGET);
    maintenance.handle_endpoint_report(TARGET, State::Active, Some(15));
    assert_eq!(state_while_active(&maintenance, Some(15)), (State::Draining, Some(15)));
}

// If maintenance begins again before discovery reports the first restart, the assumed start of the first
// maintenance must not remain.
#[test]
fn each_end_of_maintenance_counts_as_a_start() {
    let mut maintenance = Maintenance::default();
    maintenance.begin(10, TARGET);
    maintenance.end(20, TARGET);
    maintenance.begin(30, TARGET);
    assert_eq!(state_while_active(&maintenance, Some(15)), (State::Draining, Some(15)));
    maintenance.end(40, TARGET);
    assert_eq!(state_while_active(&maintenance, Some(15)), (State::Active, Some(40)));
}

#[test]
fn a_removed_target_is_discarded_unless_it_is_in_maintenance() {
    let mut maintenance = Maintenance::default();
    maintenance.begin(10, TARGET);
    maintenance.handle_endpoint_report(TARGET, State::Removed, None);
    assert!(maintenance.is_in_maintenance(TARGET), "a removal by discovery does not end maintenance");
    maintenance.end(20, TARGET);
    maintenance.handle_endpoint_report(TARGET, State::Removed, None);
    assert_eq!(maintenance, Maintenance::default());
}
