//! Which servers are good enough for a request under overload.
//!
//! Load pattern: a burst brings more requests than the servers can answer in time. While the queues
//! of the servers can still absorb it, a request that may be answered in time is better sent than
//! refused. Once many new requests have to be refused, each one that ends late has taken the place
//! of one that could have been in time, so only servers that almost surely answer in time are
//! accepted. Requests that have spent a part of their latency target, for example because they were
//! refused before, do not take room from new ones.

use std::time::Duration;

/// Least success probability of an accepted server, by priority. Less urgent requests are refused
/// first.
const MIN_PROBABILITIES: [f64; 3] = [0.3, 0.45, 0.6];

/// Least success probability when all new requests have to be refused, whatever their priority.
const OVERLOAD_MIN_PROBABILITY: f64 = 0.9;

/// By how much the least success probability is higher for a request that has spent its whole
/// latency target.
const LATE_MARGIN: f64 = 0.25;

/// Limit of the least success probability, which an idle server at its usual speed has for most
/// work.
const MAX_MIN_PROBABILITY: f64 = 0.96;

/// Least success probability of an accepted server for a new request of `priority`, when
/// `refused_fraction` of the new requests are refused for overload.
pub(super) fn min_probability(priority: u32, refused_fraction: f64) -> f64 {
    let priority = usize::try_from(priority).unwrap_or(usize::MAX);
    let least = MIN_PROBABILITIES[priority.min(MIN_PROBABILITIES.len() - 1)];
    least + (OVERLOAD_MIN_PROBABILITY - least) * refused_fraction
}

/// `least`, the probability for a new request, raised for one that has `time_left` of its latency
/// `target`. The probability is still that of an answer within the whole target: what is left would
/// rule out all servers for a request that is late, also idle ones.
pub(super) fn raised_for_spent_time(least: f64, target: Duration, time_left: Duration) -> f64 {
    let left = time_left.as_secs_f64() / target.as_secs_f64().max(1e-3);
    (least + LATE_MARGIN * (1.0 - left).max(0.0)).min(MAX_MIN_PROBABILITY)
}
