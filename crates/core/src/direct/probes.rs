//! The probe budget of an entry, and how many servers it may probe for one request.
//!
//! The platform limits the probes per second to each server, summed over all entries and averaged
//! over a long time. Each live entry may send an equal share of the probes that this allows for all
//! servers. A token bucket saves unused probes for bursts; the emptier it is, the fewer servers are
//! probed for each request.

use std::time::Duration;

use crate::time::Instant;

/// Fraction of the limit that entries use; the rest covers entries that disagree about the number
/// of live entries.
const USED_FRACTION: f64 = 0.8;

/// Time over which unused probes are saved.
const MAX_SAVED_TIME: Duration = Duration::from_secs(4);

/// Time between two refills, each of which counts all servers and entries.
const REFILL_INTERVAL: Duration = Duration::from_millis(50);

/// Servers probed at once while the bucket is more than half full.
pub const MAX_PARALLEL: usize = 4;

/// Token bucket of the probes that one entry may send.
#[derive(Debug, Default)]
pub struct Budget {
    tokens: f64,
    capacity: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Whether [`Budget::refill`] is due.
    pub fn is_refill_due(&self, now: Instant) -> bool {
        self.refilled_at.is_none_or(|at| now.since(at) >= REFILL_INTERVAL)
    }

    /// Adds the tokens for the time since the last call; the first call fills the bucket. Each of
    /// `entries` entries has an equal share of `rate` probes per second to each of `servers`
    /// servers.
    pub fn refill(&mut self, now: Instant, rate: f64, servers: usize, entries: usize) {
        let float = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let share = USED_FRACTION * rate * float(servers) / float(entries.max(1));
        self.capacity = share * MAX_SAVED_TIME.as_secs_f64();
        self.tokens = match self.refilled_at {
            None => self.capacity,
            Some(at) => (self.tokens + share * now.since(at).as_secs_f64()).min(self.capacity),
        };
        self.refilled_at = Some(now);
    }

    /// Number of servers that may be probed at once now, at least 1.
    pub fn allowed_now(&self) -> usize {
        let level = self.tokens / self.capacity.max(1.0);
        match level {
            level if level > 0.5 => MAX_PARALLEL,
            level if level > 0.3 => 3,
            level if level > 0.1 => 2,
            _ => 1,
        }
    }

    /// Subtracts the tokens of `probes` sent probes. The level may become negative.
    pub fn spend(&mut self, probes: usize) {
        self.tokens -= f64::from(u32::try_from(probes).unwrap_or(u32::MAX));
    }
}
