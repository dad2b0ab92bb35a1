//! Tests of target start times if the wall clock was wrong at the start of the process.

use rowanglade::core::StartTimes;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// The current time on the list's clock, in microseconds.
const NOW: u64 = 1_000 * HOUR;

#[test]
fn with_a_correct_clock_a_start_time_is_unchanged() {
    let mut start_times = StartTimes::default();
    assert!(!start_times.learn_from_restart(NOW, NOW - 3 * SECOND));
    assert_eq!(start_times.on_clock(NOW, NOW - 3 * SECOND), NOW - 3 * SECOND);
    assert_eq!(start_times.on_clock(NOW, NOW - 5 * HOUR), NOW - 5 * HOUR, "a start long ago, in a snapshot");
}

// A process that started while the wall clock was an hour behind placed every start an hour in the future,
// and sent such targets almost no requests for as long.
#[test]
fn a_start_time_in_the_future_is_replaced_by_now() {
    let behind = NOW - HOUR;
    assert_eq!(StartTimes::default().on_clock(behind, NOW - 3 * SECOND), behind);
}

// With the wall clock an hour ahead, a target that had just started received its full load immediately.
#[test]
fn the_first_restart_reveals_a_clock_that_is_ahead() {
    let ahead = NOW + HOUR;
    let mut start_times = StartTimes::default();
    assert!(start_times.learn_from_restart(ahead, NOW - 2 * SECOND));
    assert_eq!(start_times.on_clock(ahead, NOW - 2 * SECOND), ahead, "the restart was just now");
    // Later starts are correct up to the delay with which the first restart was reported.
    let later = ahead + 30 * SECOND;
    let on_clock = start_times.on_clock(later, NOW + 28 * SECOND);
    assert!((later - 2 * SECOND..=later).contains(&on_clock), "{on_clock}");
    assert!(!start_times.learn_from_restart(later, NOW + 28 * SECOND), "the clock is already corrected");
}
