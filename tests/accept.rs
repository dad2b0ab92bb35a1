//! Recovery from a failed accept: the failure of one connection does not end another client's, and the
//! listener does not spin.

use rowanglade::net::accept::{AcceptFailures, AcceptRecovery};
use std::io;
use std::time::Duration;

/// Linux error numbers.
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EPROTO: i32 = 71;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const EHOSTUNREACH: i32 = 113;

fn recovery_from(failures: &mut AcceptFailures, errno: i32) -> AcceptRecovery {
    failures.record_failure(&io::Error::from_raw_os_error(errno), "a test")
}

// Every failure used to end the connection of an idle client and to stop accepting for 20 ms, even if the
// system had only reported that one connection was broken.
#[test]
fn only_a_shortage_of_descriptors_or_memory_frees_descriptors() {
    for errno in [EMFILE, ENFILE, ENOBUFS, ENOMEM] {
        let next = recovery_from(&mut AcceptFailures::default(), errno);
        assert!(matches!(next, AcceptRecovery::FreeDescriptors(_)), "{errno}: {next:?}");
    }
    for errno in [ECONNABORTED, ENETUNREACH, EHOSTUNREACH, ENETDOWN, EPROTO] {
        assert_eq!(recovery_from(&mut AcceptFailures::default(), errno), AcceptRecovery::Continue, "{errno}");
    }
}

// Every shortage used to be followed by a pause, so that a burst of clients stayed in the accept queue for
// longer than the slack in their time limits.
#[test]
fn listener_pauses_only_when_a_shortage_repeats() {
    let mut failures = AcceptFailures::default();
    assert_eq!(recovery_from(&mut failures, ENFILE), AcceptRecovery::FreeDescriptors(Duration::ZERO));
    assert!(
        matches!(recovery_from(&mut failures, ENFILE), AcceptRecovery::FreeDescriptors(wait) if !wait.is_zero())
    );
    failures.record_success();
    assert_eq!(recovery_from(&mut failures, EMFILE), AcceptRecovery::FreeDescriptors(Duration::ZERO));
}

#[test]
fn repeated_failures_pause_the_listener_until_an_accept_succeeds() {
    let mut failures = AcceptFailures::default();
    let next: Vec<AcceptRecovery> = (0..200).map(|_| recovery_from(&mut failures, ECONNABORTED)).collect();
    assert!(next[..10].iter().all(|next| *next == AcceptRecovery::Continue));
    assert!(next[100..].iter().all(|next| matches!(next, AcceptRecovery::Pause(_))));
    failures.record_success();
    assert_eq!(recovery_from(&mut failures, ECONNABORTED), AcceptRecovery::Continue);
}
