//! How many servers an entry may ask for one request.
//!
//! The limit counts the probes of a server from all entries over a long time. Each entry takes its
//! part by the numbers of servers and live entries, saves up for bursts, and asks fewer servers for
//! each request as its savings shrink.

use std::time::Duration;

use crate::time::Instant;

/// WeightedService of the limit that entries use; the rest covers entries that count each other differently.
const USED_PART: f64 = 0.8;

/// Time over which unused probes are saved up.
const SAVED: Duration = Duration::from_secs(4);

/// Time between two counts of the servers and entries, which walk over all of them.
const FILL_EVERY: Duration = Duration::from_millis(50);

/// Servers asked at once while the savings are high.
pub const MAX_PARALLEL: usize = 4;

/// The probes that one entry may send.
#[derive(Debug, Default)]
pub struct Budget {
    tokens: f64,
    capacity: f64,
    filled: Option<Instant>,
}

impl Budget {
    /// Whether it is time to fill up.
    pub fn is_refill_due(&self, now: Instant) -> bool {
        self.filled.is_none_or(|at| now.since(at) >= FILL_EVERY)
    }

    /// Adds what `rate` probes a second and server allow this entry, one of `entries`, for `servers`
    /// servers since the last call.
    pub fn refill(&mut self, now: Instant, rate: f64, servers: usize, entries: usize) {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let share = USED_PART * rate * count(servers) / count(entries.max(1));
        self.capacity = share * SAVED.as_secs_f64();
        self.tokens = match self.filled {
            None => self.capacity,
            Some(at) => (self.tokens + share * now.since(at).as_secs_f64()).min(self.capacity),
        };
        self.filled = Some(now);
    }

    /// Servers that may be asked at once now, at least 1.
    pub fn allowed_now(&self) -> usize {
        let part = self.tokens / self.capacity.max(1.0);
        match part {
            part if part > 0.5 => MAX_PARALLEL,
            part if part > 0.3 => 3,
            part if part > 0.1 => 2,
            _ => 1,
        }
    }

    /// Counts `probes` sent.
    pub fn spend(&mut self, probes: usize) {
        self.tokens -= f64::from(u32::try_from(probes).unwrap_or(u32::MAX));
    }
}
