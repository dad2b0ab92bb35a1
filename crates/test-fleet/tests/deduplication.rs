//! Tests the deduplication of keyed writes.

use rowanglade_test_fleet::{DeduplicationScope, KeyedWrite};
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_repeat_within_the_window_is_suppressed_and_a_later_one_is_executed() {
    let scope = DeduplicationScope::new(Duration::from_secs(3));
    assert_eq!(scope.execute("a", Instant::now()), KeyedWrite::Executed);
    tokio::time::advance(Duration::from_millis(2_999)).await;
    assert_eq!(scope.clone().execute("a", Instant::now()), KeyedWrite::Suppressed);
    assert_eq!(scope.executed_keys(), (1, 0));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(scope.execute("a", Instant::now()), KeyedWrite::Executed);
    assert_eq!(scope.executed_keys(), (1, 1));
}
