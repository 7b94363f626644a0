//! Counts requests and retries: for the retry budget, the rates of requests and the metrics.

use std::collections::HashMap;
use std::time::Duration;

use super::Call;
use super::Dispatcher;
use super::caller_wait::CallerTimeouts;
use crate::direct::contention;
use crate::direct::contention::Demand;
use crate::direct::port::Backend;
use crate::direct::probes;
use crate::direct::retries;
use crate::name;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Fraction of the new requests that are refused for overload below which nearly all requests are new
/// ones.
const CALM_REFUSED_FRACTION: f64 = 0.01;

/// Numbers of requests that ended in each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// The caller got a server's answer.
    pub answered: u64,
    /// The request did not run.
    pub refused: u64,
    /// The request may have run.
    pub unknown: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Retries and hedges that the retry budget allowed.
    pub retries: u64,
    /// Probes of servers.
    pub probes: u64,
    /// Requests passed on to other entries, each as often as that was done.
    pub forwards: u64,
}

/// What was used of the retry and probe budgets, the rates of requests, and the counters.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub(super) retry_windows: HashMap<name::Service, retries::Window>,
    pub(super) demand: HashMap<name::Service, Demand>,
    pub(super) caller_timeouts: CallerTimeouts,
    /// Number of live entries at the last refill of the probe budget.
    pub(super) entries: usize,
    pub(super) probes: probes::Budget,
    pub(super) counts: Counts,
}

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// How long the caller of a request has already waited, by the time that it will still wait.
    pub(super) fn waited(&self, call: &Call<'_, B::Upload>) -> Duration {
        let Some(timeout) = call.caller_timeout else {
            return Duration::ZERO;
        };
        let now = self.clock.now();
        let mut usage = self.usage.lock();
        let mut services = call.route.services.iter();
        let calm = services.all(|weighted| {
            let demand = usage.demand.get(&weighted.service);
            demand.is_none_or(|demand| demand.refused_fraction(now) < CALM_REFUSED_FRACTION)
        });
        usage.caller_timeouts.waited(&call.route.name, timeout, calm)
    }

    /// Counts the request for the retry budget and the arrival rate of its service, unless the entry
    /// that passed it on has done so.
    pub(super) fn count_request(&self, call: &Call<'_, B::Upload>, service: &name::Service) {
        if call.origin.is_some() {
            return;
        }
        let limit = self.bounds.lock().retry;
        let now = self.clock.now();
        let mut usage = self.usage.lock();
        usage.retry_windows.entry(service.clone()).or_default().count_request(now, &limit);
        let new = call.waited.is_zero();
        usage.demand.entry(service.clone()).or_default().record_arrival(new, now);
    }

    /// Counts a request that is refused because all servers are overloaded, if it is a new one.
    pub(super) fn count_overload(&self, call: &Call<'_, B::Upload>, service: &name::Service) {
        if call.waited.is_zero() && call.origin.is_none() {
            let now = self.clock.now();
            let mut usage = self.usage.lock();
            usage.demand.entry(service.clone()).or_default().record_refusal(now);
        }
    }

    /// The fraction of the new requests for `service` that are refused for overload.
    pub(super) fn refused_fraction(&self, service: &name::Service, now: Instant) -> f64 {
        let usage = self.usage.lock();
        usage.demand.get(service).map_or(0.0, |demand| demand.refused_fraction(now))
    }

    /// Requests per second for `service` that the other entries receive together.
    pub(super) fn competing_rate(&self, service: &name::Service, now: Instant) -> f64 {
        let usage = self.usage.lock();
        let own_rate = usage.demand.get(service).map_or(0.0, |demand| demand.arrival_rate(now));
        contention::competing_rate(own_rate, usage.entries)
    }

    /// Takes one retry from this entry's share of the budget; false if the share is used up.
    pub(super) fn take_retry(&self, service: &name::Service) -> bool {
        let limit = self.bounds.lock().retry;
        let now = self.clock.now();
        let entries = self.peers.live_count(now);
        let mut usage = self.usage.lock();
        let taken =
            usage.retry_windows.entry(service.clone()).or_default().try_retry(now, &limit, entries);
        if taken {
            usage.counts.retries += 1;
        }
        taken
    }
}
