//! The file descriptors of the process: those reserved ahead of clients, and that all reservations stay
//! within the limit.

use rowanglade::config::Limits;
use rowanglade::net::budget::{DISCOVERY_DESCRIPTORS, PUSHED_DISCOVERY_DESCRIPTORS};
use rowanglade::net::budget::{MemoryBound, MemoryBudget, MemoryUse, ResidentMemory};
use rowanglade::net::{OptionalParts, Reservations};

fn all_parts() -> impl Iterator<Item = OptionalParts> {
    (0..32).map(|bits| OptionalParts {
        admin: bits & 1 > 0,
        fleet: bits & 2 > 0,
        iscsi: bits & 4 > 0,
        pushed_list: bits & 8 > 0,
        peers: bits & 16 > 0,
    })
}

#[test]
fn sum_of_all_reservations_stays_within_the_limit() {
    for parts in all_parts() {
        for sockets in 80..4_096 {
            let shares = Reservations::of(sockets, parts);
            assert!(shares.total() <= sockets, "{sockets} {parts:?}: {shares:?}");
        }
    }
}

// Clients may use up their share, but never the connections to discovery.
#[test]
fn discovery_is_reserved_ahead_of_clients_at_any_limit() {
    for parts in all_parts() {
        for sockets in [0, 64, 96, 256, 512, 1_024, 65_536] {
            let shares = Reservations::of(sockets, parts);
            let discovery =
                if parts.pushed_list { PUSHED_DISCOVERY_DESCRIPTORS } else { DISCOVERY_DESCRIPTORS };
            assert_eq!(shares.discovery, discovery, "{sockets} {parts:?}");
            assert!(shares.clients > 0 && shares.targets > 0, "{sockets} {parts:?}: {shares:?}");
            assert_eq!(shares.sessions > 0, parts.iscsi, "{sockets} {parts:?}");
            assert_eq!((shares.admin > 0, shares.fleet > 0), (parts.admin, parts.fleet));
            assert_eq!(shares.peers > 0, parts.peers);
        }
    }
}

#[test]
fn descriptors_of_another_process_reduce_only_clients_sessions_and_targets() {
    let parts = OptionalParts { admin: true, fleet: true, peers: true, iscsi: true, pushed_list: false };
    let (alone, beside) = (Reservations::of(512, parts), Reservations::of(512 - 200, parts));
    let ahead = |s: &Reservations| (s.process, s.discovery, s.admin, s.fleet, s.unregistered);
    assert_eq!(ahead(&alone), ahead(&beside));
    let shared = |s: &Reservations| s.clients + s.targets + s.sessions;
    assert_eq!(shared(&alone) - shared(&beside), 200);
}

// Guards against exceeding the memory limit by what no budget counts: whoever takes more asks what the process really takes.
#[test]
fn a_budget_grants_nothing_while_the_process_is_over_its_bound() {
    let bound_of = |memory_mb| MemoryBound::of_process(&Limits { memory_mb, ..Limits::default() });
    let (wide, narrow) = (bound_of(1 << 20), bound_of(1));
    assert!(wide.admits(MemoryUse::NewContent) && !narrow.admits(MemoryUse::Connection));
    assert_eq!((wide.refused(), narrow.refused()), (0, 1));
    let taken = wide.usage().expect("the system tells");
    assert!(taken.total >= taken.anonymous && taken.anonymous > 0, "{taken:?}");
    assert!(MemoryBudget::below(wide, 100).reservation().try_grow(100));
    let budget = MemoryBudget::below(narrow, 100);
    let mut reservation = budget.reservation();
    assert!(!reservation.try_grow(1) && !reservation.admits_more());
    assert_eq!(budget.used(), 0);
}

// Guards against a limit that is checked for one kind of pages only: the anonymous ones may take 85 % of it.
#[test]
fn anonymous_memory_counts_against_a_smaller_part_of_the_limit() {
    let limit = 100 << 20;
    let percent = |total_mb: usize, anonymous_mb: usize| {
        ResidentMemory { total: total_mb << 20, anonymous: anonymous_mb << 20 }.percent_of(limit)
    };
    assert_eq!((percent(80, 34), percent(80, 68), percent(86, 85)), (80, 80, 100));
}

// Guards against memory that is counted twice or never given back.
#[test]
fn memory_that_is_reserved_is_available_again_once_its_reservation_is_dropped() {
    let budget = MemoryBudget::new(100);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.try_grow(60) && !second.try_grow(41) && second.try_grow(40));
    assert_eq!((budget.used(), budget.available()), (100, 0));
    assert!(first.try_resize(10) && !first.try_resize(61) && first.try_resize(60));
    // What is taken in any case may exceed the budget; nothing else is granted then.
    second.resize(70);
    assert_eq!((budget.used(), budget.available()), (130, 0));
    drop((first, second));
    assert_eq!((budget.used(), budget.available()), (0, 100));
}
