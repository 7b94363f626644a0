//! Points in time on the clock that all decisions use.

use std::ops::Add;
use std::time::Duration;

/// A point in time: nanoseconds on a clock that never goes back and that counts the time a VM is
/// suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Instant {
    /// Creates a point in time from nanoseconds since the clock's origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Nanoseconds since the clock's origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The point in time `duration` before `self`; the origin if there is none.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(nanos(duration)))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    /// The point in time `duration` after `self`; the largest representable one if it is out of
    /// range.
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(nanos(duration)))
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
