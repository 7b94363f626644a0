//! The rate limit of a cold server, shared by all entries without coordination.
//!
//! The first entries by rank for a server are its owners. Only they send to it while it is cold,
//! each at an equal part of half the rate that the server can take. Entries whose views of the
//! membership differ may choose other owners; the other half covers one complete second set of
//! them.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Instant;

/// Number of entries that send to a cold server.
pub const OWNER_COUNT: usize = 3;

/// Window over which the rate is limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the rate that one set of owners uses.
const OWNED_FRACTION: f64 = 0.5;

/// Requests that one of `owners` owners may send in any second to a server that can take `rate`
/// requests per second from all entries.
pub fn allowance(rate: f64, owners: usize) -> usize {
    let share = rate * OWNED_FRACTION / f64::from(u32::try_from(owners.max(1)).unwrap_or(u32::MAX));
    // The cast saturates at the limits of usize; a rate is never negative.
    share.max(0.0) as usize
}

/// Times of the requests that were sent to a cold server in the last second.
#[derive(Debug, Default)]
pub struct SendWindow {
    times: SmallVec<[Instant; 4]>,
}

impl SendWindow {
    /// Counts a request sent at `now`; false if `allowance` requests were sent in the last second.
    pub fn try_send(&mut self, now: Instant, allowance: usize) -> bool {
        self.times.retain(|sent| now.since(*sent) < RATE_WINDOW);
        if self.times.len() >= allowance {
            return false;
        }
        self.times.push(now);
        true
    }

    /// Whether [`SendWindow::try_send`] would allow a request now.
    pub fn allows(&self, now: Instant, allowance: usize) -> bool {
        self.times.iter().filter(|sent| now.since(**sent) < RATE_WINDOW).count() < allowance
    }
}
