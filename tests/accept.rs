//! What follows when accept fails: no failure of one connection costs another client its own, and nothing
//! spins.

use rowanglade::net::accept::{AcceptFailures, AfterFailure};
use std::io;
use std::time::Duration;

/// Numbers of Linux.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EPROTO: i32 = 71;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const EHOSTUNREACH: i32 = 113;

fn after(failures: &mut AcceptFailures, errno: i32) -> AfterFailure {
    failures.record_failure(&io::Error::from_raw_os_error(errno), "a test")
}

// Any failure ended the connection of an idle client and stopped accepting for 20 ms, also where the system
// had only told that the one connection was broken.
#[test]
fn only_a_lack_of_descriptors_or_memory_ends_others() {
    for errno in [EMFILE, ENFILE, ENOBUFS, ENOMEM] {
        let next = after(&mut AcceptFailures::default(), errno);
        assert!(matches!(next, AfterFailure::FreeDescriptors(_)), "{errno}: {next:?}");
    }
    for errno in [ECONNABORTED, ENETUNREACH, EHOSTUNREACH, ENETDOWN, EPROTO] {
        assert_eq!(after(&mut AcceptFailures::default(), errno), AfterFailure::Continue, "{errno}");
    }
}

// Each such failure was waited for: a burst of clients stood in the queue for longer than the slack on their
// time.
#[test]
fn a_lack_that_is_over_at_once_is_not_waited_for() {
    let mut failures = AcceptFailures::default();
    assert_eq!(after(&mut failures, ENFILE), AfterFailure::FreeDescriptors(Duration::ZERO));
    assert!(matches!(after(&mut failures, ENFILE), AfterFailure::FreeDescriptors(wait) if !wait.is_zero()));
    failures.record_success();
    assert_eq!(after(&mut failures, EMFILE), AfterFailure::FreeDescriptors(Duration::ZERO));
}

#[test]
fn a_listener_that_goes_on_failing_does_not_spin_and_is_used_again() {
    let mut failures = AcceptFailures::default();
    let next: Vec<AfterFailure> = (0..200).map(|_| after(&mut failures, ECONNABORTED)).collect();
    assert!(next[..10].iter().all(|next| *next == AfterFailure::Continue));
    assert!(next[100..].iter().all(|next| matches!(next, AfterFailure::Pause(_))));
    failures.record_success();
    assert_eq!(after(&mut failures, ECONNABORTED), AfterFailure::Continue);
}
