//! How long a server will take, and what sending to it is worth.

use std::time::Duration;

use super::LoadReport;

/// A server is nearly full, and slows down, above this part of its slots.
const NEARLY_FULL: f64 = 0.8;

/// How much longer work takes on a server that is nearly full.
const NEARLY_FULL_FACTOR: f64 = 1.6;

/// How much longer work takes on a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Spread of answer times: the standard deviation of their logarithm.
const SPREAD: f64 = 0.35;

/// Slope of the logistic function that is closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.7;

/// Cost of sending to another failure domain, as a part of the value of a request.
const FAR_COST: f64 = 0.05;

/// Weight of the expected time beside the chance to be in time, so that of two servers that are both
/// fast enough, or both too slow, the faster one is taken.
const TIME_WEIGHT: f64 = 0.03;

/// Cost of a server whose entry in the store has ended.
const LAPSED_COST: f64 = 0.5;

/// What is known of the request that is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time that the work takes on a server at its usual pace with free slots.
    pub usual_time: Duration,
    /// Time that is left for an answer of full value.
    pub time_left: Duration,
}

/// What speaks for and against a server, apart from its report.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standing {
    /// Requests sent since the report.
    pub(super) unreported: u32,
    /// Slots as the platform lists them.
    pub(super) slots: u32,
    /// Requests of this entry in flight.
    pub(super) in_flight: u32,
    /// WeightedService of requests that the server is expected to fail.
    pub(super) faults: f64,
    /// Whether the server is in another failure domain.
    pub(super) far: bool,
    /// Whether the platform no longer lists it.
    pub(super) lapsed: bool,
}

/// The expected time until the answer.
pub(super) fn expected(report: &LoadReport, standing: &Standing, work: &Work) -> Duration {
    let (busy, slots, pace) = match report.load {
        Some(load) => {
            let busy = load.running + load.waiting + standing.unreported;
            (busy, load.slots, f64::from(load.slowdown) / 100.0)
        }
        None => (standing.in_flight, standing.slots, 1.0),
    };
    let (busy, slots) = (f64::from(busy), f64::from(slots.max(1)));
    let mut factor = pace;
    if (busy + 1.0) / slots > NEARLY_FULL {
        factor *= NEARLY_FULL_FACTOR;
    }
    if !report.cold_for.is_zero() {
        factor *= COLD_FACTOR;
    }
    let queued = (busy - slots + 1.0).max(0.0);
    factor *= 1.0 + queued / slots;
    // The factor is finite and not negative, since all its parts are.
    work.usual_time.mul_f64(factor.min(1_000.0))
}

/// The chance that an answer expected after `expected` comes within `left`.
pub(super) fn chance(expected: Duration, left: Duration) -> f64 {
    if left.is_zero() {
        return 0.0;
    }
    let ratio = left.as_secs_f64() / expected.as_secs_f64().max(1e-4);
    1.0 / (1.0 + (-LOGISTIC_SLOPE * ratio.ln() / SPREAD).exp())
}

/// What sending is worth, as a part of the value of a request; only the order matters.
pub(super) fn value(expected: Duration, standing: &Standing, work: &Work) -> f64 {
    let in_time = chance(expected, work.time_left) * (1.0 - standing.faults);
    let relative = expected.as_secs_f64() / work.usual_time.as_secs_f64().max(1e-4);
    let far = if standing.far { FAR_COST } else { 0.0 };
    let lapsed = if standing.lapsed { LAPSED_COST } else { 0.0 };
    in_time - TIME_WEIGHT * (relative.min(20.0) + standing.faults * 10.0) - far - lapsed
}
