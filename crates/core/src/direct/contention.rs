//! How many requests of other entries compete for the same server.
//!
//! When servers are scarce, many entries probe the same one within milliseconds, all see its free
//! slot, and all send to it. An entry cannot see the others' requests, but callers spread over the
//! entries, so each of them receives about as many as this one.

use std::time::Duration;

use crate::time::Instant;

/// Time over which arrivals are averaged. Bursts begin within a second.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Rate of the requests of one service that arrive at this entry, averaged with exponentially
/// decaying weights.
#[derive(Debug, Default)]
pub struct ArrivalRate {
    /// Requests per second at `updated`.
    per_second: f64,
    updated: Instant,
}

impl ArrivalRate {
    /// Counts a request that arrives at `now`.
    pub fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + AVERAGING_TIME.as_secs_f64().recip();
        self.updated = now;
    }

    /// Requests per second at `now`.
    pub fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.per_second * (-elapsed).exp()
    }
}

/// The requests of one service that arrive at this entry, and those that it refuses.
#[derive(Debug, Default)]
pub struct Demand {
    arrivals: ArrivalRate,
    /// Arrivals of requests whose callers have not waited before.
    new: ArrivalRate,
    /// Those of them that were refused because all servers were overloaded.
    refused: ArrivalRate,
}

impl Demand {
    /// Counts a request that arrives at `now`. It is `new` if its caller has not waited before.
    pub fn record_arrival(&mut self, new: bool, now: Instant) {
        self.arrivals.record(now);
        if new {
            self.new.record(now);
        }
    }

    /// Counts a new request that is refused at `now` because all servers are overloaded.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused.record(now);
    }

    /// Requests per second.
    pub fn arrival_rate(&self, now: Instant) -> f64 {
        self.arrivals.per_second(now)
    }

    /// The fraction of new requests that are refused for overload.
    pub fn refused_fraction(&self, now: Instant) -> f64 {
        let new = self.new.per_second(now);
        if new > 0.0 { (self.refused.per_second(now) / new).min(1.0) } else { 0.0 }
    }
}

/// Requests per second that all other entries receive together, if each of `entries` entries
/// receives `own_rate`.
pub fn competing_rate(own_rate: f64, entries: usize) -> f64 {
    let others = u32::try_from(entries.saturating_sub(1)).unwrap_or(u32::MAX);
    own_rate * f64::from(others)
}
