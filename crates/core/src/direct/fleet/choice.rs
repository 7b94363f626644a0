//! The choice among the servers that were probed for a request.
//!
//! Load pattern: when servers are scarce, many entries see the same free slot within milliseconds
//! and all send to it. The slot then gets several times the requests that it has room for, and all
//! of them are late. An entry that expects competitors therefore takes a place only with the
//! probability that there is one left for it, and then tries the next best server.

use std::time::Duration;

use smallvec::SmallVec;

use super::Choice;
use super::Criteria;
use super::Fleet;
use super::Pick;
use super::ServerNames;
use super::pool::Pool;
use super::score;
use super::score::Observations;
use super::server::InFlight;
use super::server::ServerState;
use super::table::ServerTable;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Largest number of places that are counted on one server.
const MAX_ROOM: u32 = 32;

/// Resolution of random fractions.
const FRACTION_STEPS: u64 = 1 << 32;

/// What a server offers for a request.
#[derive(Debug)]
struct Rating {
    server: name::Vm,
    /// Value of sending to the server.
    value: f64,
    expected_time: Duration,
    success_probability: f64,
    /// Requests that the server can take, this one included, before they are no longer accepted.
    room: u32,
    /// Requests of other entries that are expected to reach the server before this one, and that
    /// its load report does not count.
    competitors: f64,
}

impl Rating {
    /// Whether this entry takes one of the places on the server: always if there is one for each
    /// competitor, otherwise at random.
    fn takes_place(&self, random: &impl Random) -> bool {
        let chance = f64::from(self.room) / (self.competitors + 1.0);
        chance >= 1.0 || (random.below(FRACTION_STEPS) as f64) < chance * FRACTION_STEPS as f64
    }
}

impl Fleet {
    /// Chooses the best of the servers in `considered` that have a fresh load report and room. A
    /// cold one is chosen only if it is in `owned`. The attempt at the chosen server counts as in
    /// flight.
    pub fn choose(
        &self,
        service: &str,
        considered: &ServerNames,
        criteria: &Criteria,
        owned: &ServerNames,
        now: Instant,
        random: &impl Random,
    ) -> Choice {
        let mut table = self.table.lock();
        let Some(pool) = table.pools.get(service) else {
            return Choice::NoServer;
        };
        let mut ratings = self.rate(&table, pool, considered, criteria, owned, now);
        ratings.sort_by(|a, b| b.value.total_cmp(&a.value));
        let Some(best) = ratings.first() else {
            return Choice::NoServer;
        };
        let best_time = best.expected_time;
        let Some(chosen) = ratings.iter().find(|rating| rating.takes_place(random)) else {
            return Choice::Overloaded(best_time);
        };
        table.start_attempt(service, chosen, criteria, now).map_or(Choice::NoServer, Choice::Pick)
    }

    /// Rates the servers in `considered` that may get the request.
    fn rate(
        &self,
        table: &ServerTable,
        pool: &Pool,
        considered: &ServerNames,
        criteria: &Criteria,
        owned: &ServerNames,
        now: Instant,
    ) -> SmallVec<[Rating; 12]> {
        let usable = || pool.servers().iter().filter(|state| table.usable(state, now));
        // Each competitor considers as many servers, so a part of them considers a given one.
        let contended = usable().filter(|state| state.rate_limit(now).is_none()).count();
        let share = considered.len() as f64 / contended.max(1) as f64;
        let competing_rate = criteria.competing_rate * share.min(1.0);
        usable()
            .filter(|state| considered.contains(&state.server.name))
            .filter_map(|state| {
                let owned = owned.contains(&state.server.name);
                self.rate_server(pool, state, criteria, owned, competing_rate, now)
            })
            .collect()
    }

    /// Rates one server. `None` without a fresh load report, or if it may get no further request
    /// from this entry because it is cold, names a rate limit or wants a pause.
    fn rate_server(
        &self,
        pool: &Pool,
        state: &ServerState,
        criteria: &Criteria,
        owned: bool,
        competing_rate: f64,
        now: Instant,
    ) -> Option<Rating> {
        let report = state.fresh_report(now)?;
        let cold = !report.cold_for.is_zero();
        if cold && !(owned && state.cold_sent.allows(now, criteria.cold_limit)) {
            return None;
        }
        if state.wait(criteria.priority, now).is_some() {
            return None;
        }
        let observations = self.observations(state, now);
        let work = &criteria.work;
        let expected =
            |further| score::expected_time(report, &observations.after(further), work, &pool.curve);
        let accepted = |further: &u32| {
            score::fits_queue(report, &observations.after(*further), &pool.queue)
                && criteria.accepts(expected(*further))
        };
        let expected_time = expected(0);
        Some(Rating {
            server: state.server.name.clone(),
            value: score::value(expected_time, &observations, work),
            expected_time,
            success_probability: score::success_probability(expected_time, work.time_left),
            room: u32::try_from((0..MAX_ROOM).take_while(accepted).count()).unwrap_or(MAX_ROOM),
            // The few owners of a server share its rate and do not compete for it.
            competitors: if cold || state.rate_limit(now).is_some() {
                0.0
            } else {
                competing_rate * state.unseen_time(now).as_secs_f64()
            },
        })
    }

    fn observations(&self, state: &ServerState, now: Instant) -> Observations {
        Observations {
            unreported: state.unreported(),
            possibly_unreported: state.possibly_unreported(),
            slots: state.server.slots,
            in_flight: u32::try_from(state.in_flight.len()).unwrap_or(u32::MAX),
            failure_rate: state.failure_rate(now),
            other_domain: state.server.domain != self.domain,
            unlisted: !state.listing.is_listed(now),
        }
    }
}

impl ServerTable {
    /// Counts an attempt as in flight. `None` if a limit of the server is reached.
    fn start_attempt(
        &mut self,
        service: &str,
        rating: &Rating,
        criteria: &Criteria,
        now: Instant,
    ) -> Option<Pick> {
        let id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let state = self.state(service, rating.server.as_str())?;
        let report = *state.fresh_report(now)?;
        if !report.cold_for.is_zero() && !state.cold_sent.try_send(now, criteria.cold_limit) {
            return None;
        }
        if let Some(limited) = state.limited.as_mut().filter(|limited| limited.holds(now))
            && !limited.bucket.try_send(criteria.priority, now)
        {
            return None;
        }
        let occupancy = score::occupancy(&report, state.unreported());
        let rate_limit = state.rate_limit(now);
        state.in_flight.push(InFlight { id, sent_at: now, overdue_at: criteria.overdue_at });
        Some(Pick {
            server: rating.server.clone(),
            address: state.server.address,
            started_ms: state.server.started_ms,
            attempt_id: id,
            report,
            rate_limit,
            report_age: state.report_age(now).unwrap_or_default(),
            occupancy,
            expected_time: rating.expected_time,
            success_probability: rating.success_probability,
        })
    }
}
