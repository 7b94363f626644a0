//! The adapters for the clock and for random numbers.

use std::time::Duration;

use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_daemon::clock;
use jackdawpin_daemon::clock::BootClock;

/// Guards against a wait that ends early, in particular at the end of a step of 250 ms, and against
/// a wait for a moment in the past.
#[tokio::test]
async fn waits_do_not_end_early() {
    for millis in [0, 1, 300] {
        let deadline = BootClock.now() + Duration::from_millis(millis);
        BootClock.sleep_until(deadline).await;
        assert!(BootClock.now() >= deadline);
    }
    let start = BootClock.now();
    BootClock.sleep_until(start.before(Duration::from_secs(60))).await;
    assert!(BootClock.now().since(start) < Duration::from_secs(1));
}

/// Guards against random numbers outside the range, and against a panic on an empty range.
#[test]
fn random_numbers_are_in_range() {
    for bound in [1, 2, 7, u64::MAX] {
        assert!((0..100).all(|_| clock::Random.below(bound) < bound));
    }
    assert_eq!(clock::Random.below(0), 0);
}
