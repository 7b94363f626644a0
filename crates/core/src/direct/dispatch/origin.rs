//! Counts the requests that other entries have passed on to this one and that are in flight.
//!
//! Load pattern: when most entries have lost contact with the servers, a few carry the requests of
//! all. Those that come from other entries are limited, so that the callers of this one are served
//! as before.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Largest number of requests of other entries in flight. A small VM serves some dozens of requests a
/// second that take a tenth of a second each.
const MAX_REQUESTS: u32 = 64;

/// The requests of other entries in flight.
#[derive(Debug, Default)]
pub struct OriginRequests(AtomicU32);

/// A counted request. Dropping it ends its count.
#[derive(Debug)]
pub struct OriginGuard<'a>(&'a OriginRequests);

impl OriginRequests {
    /// Counts a request; `None` if there are too many.
    pub fn try_start(&self) -> Option<OriginGuard<'_>> {
        let count = self.0.fetch_add(1, Ordering::Relaxed);
        let guard = OriginGuard(self);
        (count < MAX_REQUESTS).then_some(guard)
    }

    /// The number of requests in flight.
    pub fn load(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for OriginGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
