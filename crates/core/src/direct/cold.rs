//! The rate of a cold server, shared by all entries without a vote.
//!
//! The first entries by rank for a server are its owners and send to it while it is cold, each with
//! an equal part of half the rate that the server bears. Entries whose views of the members differ
//! may choose other owners; the other half covers one complete second set of them.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Instant;

/// Entries that send to a cold server.
pub const OWNER_COUNT: usize = 3;

/// The span over which the rate is limited.
const SPAN: Duration = Duration::from_secs(1);

/// WeightedService of the rate that one set of owners uses.
const OWNED_PART: f64 = 0.5;

/// Requests that one owner may send in any second to a server that bears `bound` a second from all
/// entries.
pub fn allowance(bound: f64, owners: usize) -> usize {
    let part = bound * OWNED_PART / f64::from(u32::try_from(owners.max(1)).unwrap_or(u32::MAX));
    // Saturates at the bounds of usize; a rate is never negative.
    part.max(0.0) as usize
}

/// When the last requests were sent to a cold server.
#[derive(Debug, Default)]
pub struct SendWindow {
    times: SmallVec<[Instant; 4]>,
}

impl SendWindow {
    /// Takes one of `allowance` requests a second; false if they are used up.
    pub fn try_send(&mut self, now: Instant, allowance: usize) -> bool {
        self.times.retain(|at| now.since(*at) < SPAN);
        if self.times.len() >= allowance {
            return false;
        }
        self.times.push(now);
        true
    }

    /// Whether one more request may be sent now.
    pub fn has_room(&self, now: Instant, allowance: usize) -> bool {
        self.times.iter().filter(|at| now.since(**at) < SPAN).count() < allowance
    }
}
