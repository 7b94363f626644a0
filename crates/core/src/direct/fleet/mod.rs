//! The table of servers, and the choice of a server for a request.
//!
//! [`Fleet`] is one shared table. A choice has two steps, since no lock is held during I/O, such as
//! probes: [`Fleet::candidates`] returns servers to probe if they have no fresh load report, and
//! [`Fleet::choose`] picks the best with a fresh report and counts the attempt as in flight there.

mod score;
mod server;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use self::score::Observations;
use self::server::InFlight;
use self::server::Listing;
use self::server::ServerState;
use crate::direct::cold;
use crate::direct::port::ProbeAnswer;
use crate::direct::rendezvous;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

pub use self::score::Work;
pub use self::server::Load;
pub use self::server::LoadReport;
pub use self::server::Server;

/// How long a server is used, if there is no better one, after its item in the store expired while
/// it was not draining. It is below the time after which a server that left must get no requests.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(1_200);

/// [`EXPIRY_GRACE`] for items that expired while the store was unavailable. Live servers have
/// renewed them about 2 s after its return.
pub const EXPIRY_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(2_200);

/// Servers of a service in other failure domains that one entry probes. All entries of a domain
/// together probe several times as many.
const MAX_OTHER_DOMAIN_SERVERS: usize = 16;

/// Success probability from which on no further servers are probed for a request.
const LIKELY_PROBABILITY: f64 = 0.85;

/// Weight of a new answer time in the average that estimates the usual time of a route.
const USUAL_TIME_WEIGHT: f64 = 0.08;

/// Factor on the usual time above which an answer time is cut off before it is averaged.
const MAX_USUAL_TIME_FACTOR: f64 = 3.0;

/// Largest number of routes whose usual time is kept.
const MAX_ROUTES: usize = 2_048;

/// Names of servers, such as those that were probed for one request.
pub type ServerNames = SmallVec<[name::Vm; 12]>;

/// Names of servers and their failure domains.
type ServerDomains = SmallVec<[(name::Vm, name::Domain); 4]>;

/// A server that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the server.
    pub server: name::Vm,
    /// Where to probe the server.
    pub address: SocketAddr,
    /// Whether the server must be probed, because there is no fresh load report.
    pub needs_probe: bool,
}

/// Which servers may be candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Servers of the entry's own failure domain.
    SameDomain,
    /// Servers of all failure domains.
    All,
}

/// The server that was chosen. The attempt counts as in flight until [`Fleet::finish`].
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The server.
    pub server: name::Vm,
    /// Address of the server.
    pub address: SocketAddr,
    /// Identifies the attempt for [`Fleet::finish`].
    pub attempt_id: u64,
    /// The load report on which the choice is based.
    pub report: LoadReport,
    /// Age of the load report at the time of the choice.
    pub report_age: Duration,
    /// Expected time until the answer.
    pub expected_time: Duration,
    /// Probability that the answer arrives within the latency target.
    pub success_probability: f64,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// This server was chosen.
    Pick(Pick),
    /// The best server would answer too late; this is its expected time.
    Overloaded(Duration),
    /// No server can be used.
    NoServer,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered after this time, without an error.
    Answered(Duration),
    /// The server answered that it did not run the request.
    Shed,
    /// The server answered with an error, or gave no whole answer.
    Failed,
    /// The server could not be reached, or another server has its address.
    Unreachable,
    /// The entry dropped the attempt, which shows nothing about the server.
    Abandoned,
}

/// The conditions under which a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Criteria {
    /// The work of the request.
    pub work: Work,
    /// Longest expected time that is accepted.
    pub max_time: Duration,
    /// When a missing answer starts to count as a failure.
    pub overdue_at: Instant,
    /// Requests per second that this entry may send to a cold server that it owns.
    pub cold_limit: usize,
    /// Whether a server is chosen only if it is likely to answer within the latency target.
    pub only_likely: bool,
}

#[derive(Debug, Default)]
struct ServerTable {
    services: HashMap<name::Service, Vec<ServerState>>,
    service_of: HashMap<name::Vm, name::Service>,
    out_of_service: HashSet<name::Domain>,
    usual_seconds: HashMap<Box<str>, f64>,
    next_attempt_id: u64,
}

/// The table of servers, as this entry sees them.
#[derive(Debug)]
pub struct Fleet {
    domain: name::Domain,
    ip: Ipv4Addr,
    table: Mutex<ServerTable>,
}

impl Fleet {
    /// Creates an empty table for the entry at `ip` in `domain`.
    pub fn new(domain: name::Domain, ip: Ipv4Addr) -> Self {
        Self { domain, ip, table: Mutex::new(Rank::Pool, ServerTable::default()) }
    }

    /// Adds a server or applies the platform's latest item of it.
    pub fn update(&self, server: Server, now: Instant) {
        let mut table = self.table.lock();
        let moved =
            table.service_of.get(&server.name).filter(|old| **old != server.service).cloned();
        if let Some(old) = moved {
            table.remove(&old, &server.name);
        }
        table.service_of.insert(server.name.clone(), server.service.clone());
        let states = table.services.entry(server.service.clone()).or_default();
        match states.iter_mut().find(|state| state.server.name == server.name) {
            Some(state) => state.update(server, now),
            None => states.push(ServerState::new(server, now)),
        }
    }

    /// Records that the platform no longer lists a server. A draining server is removed at once;
    /// another one is used for the time `grace` if there is no better one.
    pub fn unlist(&self, server: &str, grace: Duration, now: Instant) {
        let mut table = self.table.lock();
        let Some((name, service)) = table.service_of.get_key_value(server) else {
            return;
        };
        let (name, service) = (name.clone(), service.clone());
        table.remove_expired(now);
        match table.state(service.as_str(), name.as_str()) {
            Some(state) if !state.server.draining => {
                if state.listing == Listing::Listed {
                    state.listing = Listing::UsableUntil(now + grace);
                }
            }
            _ => table.remove(&service, &name),
        }
    }

    /// Takes a failure domain out of service, or puts it back.
    pub fn set_domain_out(&self, domain: &name::Domain, out: bool) {
        let mut table = self.table.lock();
        if out {
            table.out_of_service.insert(domain.clone());
        } else {
            table.out_of_service.remove(domain);
        }
    }

    /// Numbers of usable servers and of all servers.
    pub fn server_counts(&self, now: Instant) -> (usize, usize) {
        let table = self.table.lock();
        let states = || table.services.values().flatten();
        let usable = states().filter(|state| table.usable(state, now)).count();
        (usable, states().count())
    }

    /// The time that work of `route` takes at a slowdown of 100%; `default` until it is known.
    pub fn usual_time(&self, route: &str, default: Duration) -> Duration {
        let table = self.table.lock();
        table.usual_seconds.get(route).map_or(default, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Up to `count` random servers of `service` that are usable and not in `excluded`.
    pub fn candidates(
        &self,
        service: &str,
        scope: Scope,
        excluded: &ServerNames,
        count: usize,
        now: Instant,
        random: &impl Random,
    ) -> SmallVec<[Candidate; 8]> {
        let table = self.table.lock();
        let Some(states) = table.services.get(service) else {
            return SmallVec::new();
        };
        let wanted = |state: &&ServerState| {
            table.usable(state, now)
                && !state.is_backing_off(now)
                && (scope == Scope::All || state.server.domain == self.domain)
                && !excluded.contains(&state.server.name)
        };
        let mut found: SmallVec<[&ServerState; 32]> = states.iter().filter(wanted).collect();
        if scope == Scope::All {
            self.limit_other_domains(&mut found, count);
        }
        let mut chosen = SmallVec::new();
        while chosen.len() < count && !found.is_empty() {
            let bound = u64::try_from(found.len()).unwrap_or(u64::MAX);
            let index = usize::try_from(random.below(bound)).unwrap_or(0);
            let state = found.swap_remove(index);
            chosen.push(Candidate {
                server: state.server.name.clone(),
                address: state.server.address,
                needs_probe: state.fresh_report(now).is_none(),
            });
        }
        chosen
    }

    /// Of the servers of other failure domains, keeps those that come first for this entry. Probes
    /// of all of them would open many connections, of which servers accept a limited number.
    fn limit_other_domains(&self, found: &mut SmallVec<[&ServerState; 32]>, count: usize) {
        let same_domain = |state: &&ServerState| state.server.domain == self.domain;
        let mut others: Vec<&ServerState> =
            found.iter().copied().filter(|state| !same_domain(state)).collect();
        let limit = MAX_OTHER_DOMAIN_SERVERS.max(count);
        if others.len() <= limit {
            return;
        }
        others.sort_by_key(|state| Reverse(rendezvous::score(state.server.name.as_str(), self.ip)));
        others.truncate(limit);
        found.retain(|state| same_domain(state));
        found.extend(others);
    }

    /// Records the answer to a probe of `vm`. `None` and an answer of another server count as none.
    pub fn record_probe(&self, service: &str, vm: &str, probe: Option<&ProbeAnswer>, now: Instant) {
        let mut table = self.table.lock();
        let Some(state) = table.state(service, vm) else {
            return;
        };
        match probe {
            Some(probe) if probe.server.as_ref().is_none_or(|name| name.as_str() == vm) => {
                state.record_report(now, probe.report);
                state.record_health(probe.healthy);
            }
            _ => state.record_no_answer(now),
        }
    }

    /// The servers in `considered` that are cold by a fresh load report and that this entry `owns`.
    pub fn owned_cold(
        &self,
        service: &str,
        considered: &ServerNames,
        now: Instant,
        owns: impl Fn(&name::Vm, &name::Domain) -> bool,
    ) -> ServerNames {
        let cold = self.cold_among(service, considered, now);
        cold.into_iter()
            .filter(|(server, domain)| owns(server, domain))
            .map(|(server, _)| server)
            .collect()
    }

    fn cold_among(&self, service: &str, considered: &ServerNames, now: Instant) -> ServerDomains {
        let table = self.table.lock();
        let states = table.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let cold = |state: &&ServerState| {
            considered.contains(&state.server.name)
                && state.fresh_report(now).is_some_and(|report| !report.cold_for.is_zero())
        };
        let named = |state: &ServerState| (state.server.name.clone(), state.server.domain.clone());
        states.iter().filter(cold).map(named).collect()
    }

    /// Chooses the best of the servers in `considered` that have a fresh load report. A cold one is
    /// chosen only if it is in `owned`. The attempt at the chosen server counts as in flight.
    pub fn choose(
        &self,
        service: &str,
        considered: &ServerNames,
        criteria: &Criteria,
        owned: &ServerNames,
        now: Instant,
    ) -> Choice {
        let mut table = self.table.lock();
        let mut best: Option<(f64, name::Vm, Duration)> = None;
        for state in table.services.get(service).map(Vec::as_slice).unwrap_or_default() {
            let name = &state.server.name;
            if !considered.contains(name) || !table.usable(state, now) {
                continue;
            }
            let Some(report) = state.fresh_report(now) else {
                continue;
            };
            let cold = !report.cold_for.is_zero();
            if cold && !(state.cold_sent.allows(now, criteria.cold_limit) && owned.contains(name)) {
                continue;
            }
            let observations = self.observations(state, now);
            let expected_time = score::expected_time(report, &observations, &criteria.work);
            let value = score::value(expected_time, &observations, &criteria.work);
            if best.as_ref().is_none_or(|(highest, ..)| value > *highest) {
                best = Some((value, name.clone(), expected_time));
            }
        }
        let Some((_, name, expected_time)) = best else {
            return Choice::NoServer;
        };
        let probability = score::success_probability(expected_time, criteria.work.time_left);
        if expected_time > criteria.max_time {
            return Choice::Overloaded(expected_time);
        }
        if criteria.only_likely && probability < LIKELY_PROBABILITY {
            return Choice::Overloaded(expected_time);
        }
        table
            .start_attempt(service, &name, criteria, expected_time, probability, now)
            .map_or(Choice::NoServer, Choice::Pick)
    }

    fn observations(&self, state: &ServerState, now: Instant) -> Observations {
        Observations {
            unreported: state.unreported(),
            slots: state.server.slots,
            in_flight: u32::try_from(state.in_flight.len()).unwrap_or(u32::MAX),
            failure_rate: state.failure_rate(now),
            other_domain: state.server.domain != self.domain,
            unlisted: state.listing != Listing::Listed,
        }
    }

    /// Records how an attempt ended. An answer updates the usual time of `route`, corrected for the
    /// load that `pick` reports.
    pub fn finish(&self, service: &str, route: &str, pick: &Pick, end: AttemptEnd, now: Instant) {
        let mut table = self.table.lock();
        if let AttemptEnd::Answered(time) = end {
            table.update_usual_time(route, pick, time);
        }
        let Some(state) = table.state(service, pick.server.as_str()) else {
            return;
        };
        state.in_flight.retain(|attempt| attempt.id != pick.attempt_id);
        match end {
            AttemptEnd::Answered(_) => state.record_success(now),
            AttemptEnd::Failed => state.record_failure(now),
            AttemptEnd::Unreachable => {
                state.record_failure(now);
                state.record_no_answer(now);
            }
            AttemptEnd::Shed | AttemptEnd::Abandoned => {}
        }
    }
}

impl ServerTable {
    fn state(&mut self, service: &str, server: &str) -> Option<&mut ServerState> {
        let states = self.services.get_mut(service)?;
        states.iter_mut().find(|state| state.server.name.as_str() == server)
    }

    fn remove(&mut self, service: &name::Service, server: &name::Vm) {
        self.service_of.remove(server);
        if let Some(states) = self.services.get_mut(service) {
            states.retain(|state| state.server.name != *server);
        }
    }

    /// Removes unlisted servers whose grace period is over and that have no attempts in flight.
    fn remove_expired(&mut self, now: Instant) {
        let expired = |state: &ServerState| match state.listing {
            Listing::Listed => false,
            Listing::UsableUntil(end) => end < now && state.in_flight.is_empty(),
        };
        for states in self.services.values_mut() {
            for state in states.iter().filter(|state| expired(state)) {
                self.service_of.remove(&state.server.name);
            }
            states.retain(|state| !expired(state));
        }
    }

    /// Whether a server may receive work.
    fn usable(&self, state: &ServerState, now: Instant) -> bool {
        let in_grace = match state.listing {
            Listing::Listed => true,
            Listing::UsableUntil(end) => now <= end,
        };
        in_grace && !state.server.draining && !self.out_of_service.contains(&state.server.domain)
    }

    /// Counts an attempt as in flight. `None` if the server is cold and its limit is reached.
    fn start_attempt(
        &mut self,
        service: &str,
        server: &name::Vm,
        criteria: &Criteria,
        expected_time: Duration,
        probability: f64,
        now: Instant,
    ) -> Option<Pick> {
        let id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let state = self.state(service, server.as_str())?;
        let report = *state.fresh_report(now)?;
        if !report.cold_for.is_zero() && !state.cold_sent.try_send(now, criteria.cold_limit) {
            return None;
        }
        state.in_flight.push(InFlight { id, sent_at: now, overdue_at: criteria.overdue_at });
        Some(Pick {
            server: server.clone(),
            address: state.server.address,
            attempt_id: id,
            report,
            report_age: state.report_age(now).unwrap_or_default(),
            expected_time,
            success_probability: probability,
        })
    }

    /// Updates the usual time of a route by the time of one answer, divided by the slowdown.
    fn update_usual_time(&mut self, route: &str, pick: &Pick, time: Duration) {
        if self.usual_seconds.len() >= MAX_ROUTES && !self.usual_seconds.contains_key(route) {
            return;
        }
        let old = self.usual_seconds.get(route).copied();
        let Some(load) = pick.report.load else {
            self.average(route, old, time.as_secs_f64());
            return;
        };
        // Answers of servers that are busy, slow or cold show more about the server than the work.
        if load.slowdown <= 130
            && load.running + load.waiting <= 1
            && pick.report.cold_for.is_zero()
        {
            self.average(route, old, time.as_secs_f64() * 100.0 / f64::from(load.slowdown.max(20)));
        }
    }

    fn average(&mut self, route: &str, old: Option<f64>, seconds: f64) {
        let average = old.map_or(seconds, |old| {
            // One delayed answer, for example after this process was suspended, shows little.
            old + (seconds.min(old * MAX_USUAL_TIME_FACTOR) - old) * USUAL_TIME_WEIGHT
        });
        self.usual_seconds.insert(route.into(), average);
    }
}

/// Requests per second that one owner may send to a cold server that can take `rate` per second.
pub fn cold_allowance(rate: f64) -> usize {
    cold::allowance(rate, cold::OWNER_COUNT)
}
