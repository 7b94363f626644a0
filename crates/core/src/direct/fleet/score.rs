//! Scores a server for a request: the expected time until its answer, and the value of sending to
//! it.

use std::time::Duration;

use super::LoadReport;
use super::curve::Curve;
use super::queue::Queue;

/// Factor on the time of work on a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Standard deviation of the logarithm of answer times.
const LOG_TIME_DEVIATION: f64 = 0.35;

/// Slope of the logistic function that approximates the normal distribution best.
const LOGISTIC_SLOPE: f64 = 1.7;

/// Cost of sending to another failure domain, as a fraction of the value of a request.
const OTHER_DOMAIN_COST: f64 = 0.05;

/// Weight of the expected time beside the success probability, so that of two servers that are both
/// fast enough, or both too slow, the faster one is chosen.
const TIME_WEIGHT: f64 = 0.03;

/// Cost of a server that the platform no longer lists, as a fraction of the value of a request.
const UNLISTED_COST: f64 = 0.5;

/// The work of a request that is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time that the work takes on a server with free slots and a slowdown of 100%.
    pub usual_time: Duration,
    /// Time left until the latency target.
    pub time_left: Duration,
}

impl Work {
    /// The work, with the whole latency `target` left if it is late: if even an idle server at its
    /// usual speed would answer within the time left with less than `min_probability`. Of servers
    /// that are all too late, the one that leaves most room for others is then the best.
    pub(in crate::direct) fn or_whole_target(self, target: Duration, min_probability: f64) -> Self {
        let late = success_probability(self.usual_time, self.time_left) < min_probability;
        if late { Self { time_left: target, ..self } } else { self }
    }
}

/// What this entry knows of a server beside its load report.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observations {
    /// Requests that this entry sent since the report, which does not count them.
    pub(super) unreported: u32,
    /// Requests that this entry sent since it asked for the report, which may not count them.
    pub(super) possibly_unreported: u32,
    /// Requests that the server works on at the same time, as the platform lists it.
    pub(super) slots: u32,
    /// Requests in flight from this entry.
    pub(super) in_flight: u32,
    /// Fraction of requests that the server is expected to fail.
    pub(super) failure_rate: f64,
    /// Whether the server is in another failure domain.
    pub(super) other_domain: bool,
    /// Whether the platform no longer lists the server.
    pub(super) unlisted: bool,
}

impl Observations {
    /// The observations after `further` requests were sent to the server.
    pub(super) fn after(&self, further: u32) -> Self {
        Self {
            unreported: self.unreported.saturating_add(further),
            possibly_unreported: self.possibly_unreported.saturating_add(further),
            in_flight: self.in_flight.saturating_add(further),
            ..*self
        }
    }
}

/// The fraction of the slots of a server that are in use once it has one more request. It is above
/// 1 if the request has to wait, and 0 if the server reports no load.
pub(super) fn occupancy(report: &LoadReport, unreported: u32) -> f64 {
    let Some(load) = report.load else {
        return 0.0;
    };
    let busy = load.running.saturating_add(load.waiting).saturating_add(unreported);
    (f64::from(busy) + 1.0) / f64::from(load.slots.max(1))
}

/// Whether the queue of a server has room for one more request, even if its report does not count
/// requests that were on their way. Without a load report, its length is not known and is not
/// limited here.
pub(super) fn fits_queue(report: &LoadReport, observations: &Observations, queue: &Queue) -> bool {
    report.load.is_none_or(|load| {
        let busy = load.running.saturating_add(load.waiting);
        let busy = busy.saturating_add(observations.possibly_unreported);
        // A request that takes long to get there is in flight from here, but in no report.
        let busy = busy.max(observations.in_flight);
        busy < load.slots.saturating_add(queue.limit(load.slots))
    })
}

/// The expected time until the answer.
pub(super) fn expected_time(
    report: &LoadReport,
    observations: &Observations,
    work: &Work,
    curve: &Curve,
) -> Duration {
    let (busy, slots, slowdown) = match report.load {
        Some(load) => {
            let busy = load.running.saturating_add(load.waiting);
            let slowdown = f64::from(load.slowdown) / 100.0;
            (busy.saturating_add(observations.unreported), load.slots, slowdown)
        }
        None => (observations.in_flight, observations.slots, 1.0),
    };
    let (busy, slots) = (f64::from(busy), f64::from(slots.max(1)));
    let mut factor = slowdown * curve.factor((busy + 1.0) / slots);
    if !report.cold_for.is_zero() {
        factor *= COLD_FACTOR;
    }
    let queued = (busy - slots + 1.0).max(0.0);
    factor *= 1.0 + queued / slots;
    // `mul_f64` does not panic: the factor is finite and not negative, since all its terms are.
    work.usual_time.mul_f64(factor.min(1_000.0))
}

/// The probability that an answer expected after `expected_time` arrives within `time_left`.
pub(super) fn success_probability(expected_time: Duration, time_left: Duration) -> f64 {
    if time_left.is_zero() {
        return 0.0;
    }
    let ratio = time_left.as_secs_f64() / expected_time.as_secs_f64().max(1e-4);
    1.0 / (1.0 + (-LOGISTIC_SLOPE * ratio.ln() / LOG_TIME_DEVIATION).exp())
}

/// The value of sending to a server, as a fraction of the value of the request. It may be negative;
/// only the order of the values matters.
pub(super) fn value(expected_time: Duration, observations: &Observations, work: &Work) -> f64 {
    let in_time =
        success_probability(expected_time, work.time_left) * (1.0 - observations.failure_rate);
    let relative = expected_time.as_secs_f64() / work.usual_time.as_secs_f64().max(1e-4);
    let domain_cost = if observations.other_domain { OTHER_DOMAIN_COST } else { 0.0 };
    let unlisted_cost = if observations.unlisted { UNLISTED_COST } else { 0.0 };
    in_time
        - TIME_WEIGHT * (relative.min(20.0) + observations.failure_rate * 10.0)
        - domain_cost
        - unlisted_cost
}
