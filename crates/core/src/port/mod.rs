//! Ports that all decisions need from the outside.
//!
//! Adapters implement these traits. Decisions take them as type parameters, so calls on the request
//! path are static. Ports that only one way of choosing servers needs are in its own module:
//! [`crate::direct::port`], [`crate::holder::port`].

use std::future::Future;

use crate::time::Instant;

/// Time, including the time a VM is suspended.
pub trait Clock: Send + Sync + 'static {
    /// The current time.
    fn now(&self) -> Instant;

    /// Milliseconds since the Unix epoch on the wall clock, for the time line only.
    fn wall_millis(&self) -> u64;

    /// Waits until `at`; returns at once if it has passed.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;
}

/// A source of random numbers.
pub trait Random: Send + Sync + 'static {
    /// A uniformly distributed number in `0..bound`; 0 if `bound` is 0.
    fn below(&self, bound: u64) -> u64;

    /// A uniformly distributed index of a slice of length `len`; 0 if `len` is 0.
    fn index(&self, len: usize) -> usize {
        let bound = u64::try_from(len).unwrap_or(u64::MAX);
        usize::try_from(self.below(bound)).unwrap_or(0)
    }
}
