//! The state behind [`Fleet`](super::Fleet): servers by service, and what is learned from answers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::AttemptEnd;
use super::Pick;
use super::pool::Pool;
use super::server::Listing;
use super::server::Load;
use super::server::ServerState;
use crate::name;
use crate::time::Instant;

/// Weight of a new answer time in the average that estimates the usual time of a route.
const USUAL_TIME_WEIGHT: f64 = 0.08;

/// Factor on the usual time above which an answer time is cut off before it is averaged.
const MAX_USUAL_TIME_FACTOR: f64 = 3.0;

/// Largest number of routes whose usual time is kept.
const MAX_ROUTES: usize = 2_048;

/// Slowdown in percent up to which an answer shows the work rather than the server.
const MAX_LEARNING_SLOWDOWN: u32 = 130;

/// Least slowdown in percent by which an answer time is divided.
const MIN_LEARNING_SLOWDOWN: u32 = 20;

#[derive(Debug, Default)]
pub(super) struct ServerTable {
    pub(super) pools: HashMap<name::Service, Pool>,
    pub(super) service_of: HashMap<name::Vm, name::Service>,
    pub(super) out_of_service: HashSet<name::Domain>,
    pub(super) usual_seconds: HashMap<Box<str>, f64>,
    pub(super) next_attempt_id: u64,
}

impl ServerTable {
    pub(super) fn state(&mut self, service: &str, server: &str) -> Option<&mut ServerState> {
        self.pools.get_mut(service)?.server(server)
    }

    pub(super) fn remove(&mut self, service: &name::Service, server: &name::Vm) {
        self.service_of.remove(server);
        if let Some(pool) = self.pools.get_mut(service) {
            pool.remove(server);
        }
    }

    /// Removes unlisted servers whose grace period is over and that have no attempts in flight.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        let expired = |state: &ServerState| match state.listing {
            Listing::Listed => false,
            Listing::UsableUntil(end) => end < now && state.in_flight.is_empty(),
        };
        let servers = self.pools.values().flat_map(Pool::servers);
        let expired: Vec<_> = servers
            .filter(|state| expired(state))
            .map(|state| (state.server.service.clone(), state.server.name.clone()))
            .collect();
        for (service, name) in expired {
            self.remove(&service, &name);
        }
    }

    /// Whether a server may receive work.
    pub(super) fn usable(&self, state: &ServerState, now: Instant) -> bool {
        let in_grace = match state.listing {
            Listing::Listed => true,
            Listing::UsableUntil(end) => now <= end,
        };
        in_grace && !state.server.draining && !self.out_of_service.contains(&state.server.domain)
    }

    /// Records what the end of an attempt shows about the work of `route` and about the servers of
    /// `service`.
    pub(super) fn learn(&mut self, service: &str, route: &str, pick: &Pick, end: AttemptEnd) {
        let Some(load) = pick.report.load else {
            if let AttemptEnd::Answered(time) = end {
                self.average_usual_time(route, time.as_secs_f64());
            }
            return;
        };
        match end {
            AttemptEnd::Answered(time) => self.learn_time(service, route, pick, &load, time),
            AttemptEnd::Silent if load.running >= load.slots => {
                if let Some(pool) = self.pools.get_mut(service) {
                    pool.queue.record_silence(load.waiting, load.slots);
                }
            }
            _ => {}
        }
    }

    /// Learns the usual time of a route from answers of servers that are nearly idle, and how much
    /// servers slow down as their slots fill up from the others. Answers of slow or cold servers
    /// show more about the server than about either.
    fn learn_time(&mut self, service: &str, route: &str, pick: &Pick, load: &Load, time: Duration) {
        if load.slowdown > MAX_LEARNING_SLOWDOWN || !pick.report.cold_for.is_zero() {
            return;
        }
        let slowdown = load.slowdown.max(MIN_LEARNING_SLOWDOWN);
        let seconds = time.as_secs_f64() * 100.0 / f64::from(slowdown);
        let usual = self.usual_seconds.get(route).copied();
        if load.running + load.waiting <= 1 {
            self.average_usual_time(route, seconds);
        }
        let (Some(usual), Some(pool)) = (usual, self.pools.get_mut(service)) else {
            return;
        };
        if pick.occupancy <= 1.0 && usual > 0.0 {
            pool.curve.record(pick.occupancy, seconds / usual);
        }
    }

    /// Updates the usual time of a route by one answer.
    fn average_usual_time(&mut self, route: &str, seconds: f64) {
        let old = self.usual_seconds.get(route).copied();
        if old.is_none() && self.usual_seconds.len() >= MAX_ROUTES {
            return;
        }
        let average = old.map_or(seconds, |old| {
            // One delayed answer, for example after this process was suspended, shows little.
            old + (seconds.min(old * MAX_USUAL_TIME_FACTOR) - old) * USUAL_TIME_WEIGHT
        });
        self.usual_seconds.insert(route.into(), average);
    }
}
