//! Fault plans are parsed, and the error for an invalid plan contains the invalid part.

use rowanglade_fault_shim::{Call, Fault, Plan, Rule};
use std::time::Duration;

#[test]
fn a_plan_with_seed_calls_faults_rates_and_times_is_parsed() {
    let plan: Plan = "seed=7; accept4:ECONNABORTED:0.1;epoll_wait:late=150:0.01:2000-5000;clock:step=-5000:1"
        .parse()
        .expect("a valid plan was rejected");
    assert_eq!(plan.seed, 7);
    let always = (Duration::ZERO, Duration::MAX);
    let rule = |call, fault, rate, (from, to)| Rule { call, fault, rate, from, to };
    let late = Fault::Late(Duration::from_millis(150));
    assert_eq!(
        plan.rules,
        [
            rule(Call::Accept, Fault::Errno(103), 0.1, always),
            rule(Call::EpollWait, late, 0.01, (Duration::from_secs(2), Duration::from_secs(5))),
            rule(Call::Clock, Fault::Step(-5_000), 1.0, always),
        ]
    );
}

#[test]
fn an_invalid_part_of_a_plan_is_named_in_the_error() {
    for text in [
        "accept",
        "accept4:EWHAT:0.1",
        "accept4:EMFILE:2",
        "accept4:EMFILE:0.1:5",
        "seed=x",
        "read:EIO:1:1-2:3",
    ] {
        let error = text.parse::<Plan>().expect_err(text).to_string();
        assert!(error.contains(text), "the error does not name {text:?}: {error}");
    }
}
