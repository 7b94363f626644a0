//! The adapters of the clock and of random numbers.

use std::time::Duration;

use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_daemon::clock;
use jackdawpin_daemon::clock::BootClock;

/// Guards against a wait that ends early, also at the end of a step (250 ms), and against a wait for
/// a time that has passed.
#[tokio::test]
async fn waits_are_not_early() {
    for millis in [0, 1, 300] {
        let at = BootClock.now() + Duration::from_millis(millis);
        BootClock.sleep_until(at).await;
        assert!(BootClock.now() >= at);
    }
    let before = BootClock.now();
    BootClock.sleep_until(before.before(Duration::from_secs(60))).await;
    assert!(BootClock.now().since(before) < Duration::from_secs(1));
}

/// Guards against numbers outside the range, and against a panic on an empty range.
#[test]
fn random_numbers_are_in_range() {
    for bound in [1, 2, 7, u64::MAX] {
        assert!((0..100).all(|_| clock::Random.below(bound) < bound));
    }
    assert_eq!(clock::Random.below(0), 0);
}
