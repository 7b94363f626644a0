//! The state behind [`Fleet`](super::Fleet): servers by service, and what is learned from answers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::AttemptEnd;
use super::Pick;
use super::pool::Pool;
use super::restored::Departure;
use super::server::Listing;
use super::server::Load;
use super::server::Server;
use super::server::ServerState;
use super::withdrawn::Withdrawals;
use crate::direct::rendezvous;
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
    /// Failure domains out of service; until a time if the store no longer says so.
    pub(super) out_of_service: HashMap<name::Domain, Option<Instant>>,
    /// Servers that have left, the earliest first.
    pub(super) departures: VecDeque<Departure>,
    pub(super) withdrawals: Withdrawals,
    pub(super) usual_seconds: HashMap<Box<str>, f64>,
    pub(super) next_attempt_id: u64,
}

impl ServerTable {
    pub(super) fn state(&mut self, service: &str, server: &str) -> Option<&mut ServerState> {
        self.pools.get_mut(service)?.server(server)
    }

    pub(super) fn remove(&mut self, service: &name::Service, server: &name::Vm) {
        self.service_of.remove(server);
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(removed) = pool.remove(server) {
            self.withdrawals.record(&removed);
        }
    }

    /// Adds a server or applies the platform's latest item of it. `ip` is this entry's address.
    pub(super) fn update(
        &mut self,
        server: Server,
        ip: Ipv4Addr,
        now: Instant,
    ) -> Option<&mut ServerState> {
        let name = server.name.clone();
        let moved = self.service_of.get(&name).filter(|old| **old != server.service).cloned();
        if let Some(old) = moved {
            self.remove(&old, &name);
        }
        self.service_of.insert(name.clone(), server.service.clone());
        let pool = self.pools.entry(server.service.clone()).or_default();
        match pool.server(name.as_str()) {
            Some(state) => state.update(server, now),
            None => {
                let score = rendezvous::score(name.as_str(), ip);
                let mut state = ServerState::new(server, score, now);
                self.withdrawals.restore(&mut state);
                pool.add(state);
            }
        }
        pool.server(name.as_str())
    }

    /// Removes unlisted servers whose grace period is over and that have no attempts in flight.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        let expired = |state: &ServerState| match state.listing {
            Listing::Listed | Listing::UsableFrom(_) => false,
            Listing::UsableUntil(end) => end < now && state.in_flight.is_empty(),
        };
        let servers = self.pools.values().flat_map(Pool::servers);
        let expired: Vec<Server> =
            servers.filter(|state| expired(state)).map(|state| state.server.clone()).collect();
        for server in expired {
            self.record_departure(&server, now);
            self.remove(&server.service, &server.name);
        }
    }

    /// Whether a server may receive work.
    pub(super) fn usable(&self, state: &ServerState, now: Instant) -> bool {
        let domain_out = self
            .out_of_service
            .get(&state.server.domain)
            .is_some_and(|until| until.is_none_or(|until| now < until));
        let leaving = state.server.draining || state.leaving;
        state.listing.is_usable(now) && !leaving && !domain_out
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
