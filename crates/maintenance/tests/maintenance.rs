//! Tests of targets that operators take out of service and bring back.

use rowanglade_maintenance::{Maintenance, Micros, State};

const BOX: &str = "s-1";

fn up(m: &Maintenance, started: Option<Micros>) -> (State, Option<Micros>) {
    m.effective_state(BOX, State::Active, started)
}

#[test]
fn a_target_that_is_out_drains_whatever_discovery_says() {
    let mut m = Maintenance::default();
    assert!(m.begin(10, BOX));
    for (told, held) in [
        (State::Active, State::Draining),
        (State::Draining, State::Draining),
        (State::Removed, State::Removed),
    ] {
        assert_eq!(m.effective_state(BOX, told, Some(5)), (held, Some(5)));
    }
    assert_eq!(m.effective_state("s-2", State::Active, None), (State::Active, None));
}

#[test]
fn two_calls_out_need_one_call_back() {
    let mut m = Maintenance::default();
    assert!(m.begin(10, BOX) && !m.begin(11, BOX));
    assert!(m.end(20, BOX) && !m.end(21, BOX));
    assert_eq!(up(&m, None), (State::Active, Some(20)), "the first call back is the one that counts");
}

// Discovery's news of the restart is late: the target would count as warm, and be pushed over.
#[test]
fn a_target_called_back_is_cold_until_discovery_tells_its_restart() {
    let mut m = Maintenance::default();
    m.begin(10, BOX);
    m.end(20, BOX);
    assert_eq!(up(&m, Some(10)), (State::Active, Some(20)), "a start from before");
    assert_eq!(up(&m, Some(15)), (State::Active, Some(15)), "the restart itself");
    m.handle_endpoint_report(BOX, State::Active, Some(9));
    assert_eq!(up(&m, None), (State::Active, Some(20)), "old news changes nothing");
    m.handle_endpoint_report(BOX, State::Active, Some(15));
    assert_eq!(up(&m, None), (State::Active, None), "what was told since is discovery's to say");
}

#[test]
fn a_restart_while_out_does_not_bring_it_back() {
    let mut m = Maintenance::default();
    m.begin(10, BOX);
    m.handle_endpoint_report(BOX, State::Active, Some(15));
    assert_eq!(up(&m, Some(15)), (State::Draining, Some(15)));
}

// Called out again before discovery told the first restart, what was made up for it must not be left behind.
#[test]
fn each_time_out_is_a_start_of_its_own() {
    let mut m = Maintenance::default();
    m.begin(10, BOX);
    m.end(20, BOX);
    m.begin(30, BOX);
    assert_eq!(up(&m, Some(15)), (State::Draining, Some(15)));
    m.end(40, BOX);
    assert_eq!(up(&m, Some(15)), (State::Active, Some(40)));
}

#[test]
fn a_target_that_left_is_forgotten_unless_it_is_out() {
    let mut m = Maintenance::default();
    m.begin(10, BOX);
    m.handle_endpoint_report(BOX, State::Removed, None);
    assert!(m.is_in_maintenance(BOX), "operators have the last word");
    m.end(20, BOX);
    m.handle_endpoint_report(BOX, State::Removed, None);
    assert_eq!(m, Maintenance::default());
}
