//! Tests of the memory of idempotency keys.

use rowanglade_test_fleet::{Effect, Rack};
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_repeat_within_the_span_is_dropped_and_a_later_one_runs() {
    let rack = Rack::new(Duration::from_secs(3));
    assert_eq!(rack.take("a", Instant::now()), Effect::Ran);
    tokio::time::advance(Duration::from_millis(2_999)).await;
    assert_eq!(rack.clone().take("a", Instant::now()), Effect::Dropped);
    assert_eq!(rack.ran(), (1, 0));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(rack.take("a", Instant::now()), Effect::Ran);
    assert_eq!(rack.ran(), (1, 1));
}
