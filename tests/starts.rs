//! Starts of targets where the wall clock was wrong when the process started.

use rowanglade::core::StartTimes;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// Now, on the list's clock.
const NOW: u64 = 1_000 * HOUR;

#[test]
fn a_start_is_taken_as_told_where_the_clock_is_right() {
    let mut starts = StartTimes::default();
    assert!(!starts.learn_from_restart(NOW, NOW - 3 * SECOND));
    assert_eq!(starts.on_clock(NOW, NOW - 3 * SECOND), NOW - 3 * SECOND);
    assert_eq!(starts.on_clock(NOW, NOW - 5 * HOUR), NOW - 5 * HOUR, "long ago, in a snapshot");
}

// A process that started while the wall clock was an hour behind took every start for an hour in the future,
// and sent such targets next to nothing for as long.
#[test]
fn a_start_is_never_in_the_future() {
    let behind = NOW - HOUR;
    assert_eq!(StartTimes::default().on_clock(behind, NOW - 3 * SECOND), behind);
}

// With the wall clock an hour ahead, a target that had just started got its full load at once.
#[test]
fn the_first_restart_shows_that_the_clock_is_ahead() {
    let ahead = NOW + HOUR;
    let mut starts = StartTimes::default();
    assert!(starts.learn_from_restart(ahead, NOW - 2 * SECOND));
    assert_eq!(starts.on_clock(ahead, NOW - 2 * SECOND), ahead, "just now");
    // Later ones are right within what the first one's update took.
    let later = ahead + 30 * SECOND;
    let on_clock = starts.on_clock(later, NOW + 28 * SECOND);
    assert!((later - 2 * SECOND..=later).contains(&on_clock), "{on_clock}");
    assert!(!starts.learn_from_restart(later, NOW + 28 * SECOND), "nothing new");
}
