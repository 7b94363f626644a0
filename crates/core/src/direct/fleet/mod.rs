//! The table of servers, and the choice of a server for a request.
//!
//! [`Fleet`] is one shared table. A choice has two steps, since no lock is held during I/O, such as
//! probes: [`Fleet::candidates`] returns servers to probe if they have no fresh load report, and
//! [`Fleet::choose`] picks the best with a fresh report and counts the attempt as in flight there.

mod choice;
mod curve;
mod pool;
mod queue;
mod score;
mod server;
mod table;

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use self::pool::Pool;
use self::server::Listing;
use self::server::ServerState;
use self::table::ServerTable;
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

/// Servers of a service in its own failure domain that an entry probes first. It keeps connections
/// to them, whatever the number of servers; all entries of the domain together use all servers. With
/// fewer, the random choice of a few of them would often find none with room.
const PREFERRED_SERVERS: usize = 24;

/// Servers of a service in other failure domains that one entry probes. All entries of a domain
/// together probe several times as many.
const MAX_OTHER_DOMAIN_SERVERS: usize = 16;

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
    /// The preferred servers of the entry's own failure domain.
    Preferred,
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
    /// Fraction of the server's slots in use with this attempt; above 1 if it has to wait.
    pub occupancy: f64,
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
    /// The server gave no answer until the deadline of the attempt.
    Silent,
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
    /// Time within which an accepted server is to answer.
    pub accept_within: Duration,
    /// Least probability of that.
    pub min_probability: f64,
    /// Expected time that is accepted whatever the probability.
    pub accepted_time: Duration,
    /// When a missing answer starts to count as a failure.
    pub overdue_at: Instant,
    /// Requests per second that this entry may send to a cold server that it owns.
    pub cold_limit: usize,
    /// Requests per second for the service that the other entries receive together.
    pub competing_rate: f64,
}

impl Criteria {
    /// Whether a server with this expected time is accepted.
    fn accepts(&self, expected_time: Duration) -> bool {
        expected_time <= self.accepted_time
            || score::success_probability(expected_time, self.accept_within) >= self.min_probability
    }
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
        let pool = table.pools.entry(server.service.clone()).or_default();
        match pool.server(server.name.as_str()) {
            Some(state) => state.update(server, now),
            None => {
                let score = rendezvous::score(server.name.as_str(), self.ip);
                pool.add(ServerState::new(server, score, now));
            }
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
        let states = || table.pools.values().flat_map(Pool::servers);
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
        let Some(pool) = table.pools.get(service) else {
            return SmallVec::new();
        };
        let wanted = |state: &&ServerState| {
            table.usable(state, now)
                && !state.is_backing_off(now)
                && (scope == Scope::All || state.server.domain == self.domain)
                && !excluded.contains(&state.server.name)
        };
        let mut found: SmallVec<[&ServerState; 32]> =
            pool.servers().iter().filter(wanted).collect();
        match scope {
            Scope::Preferred => keep_preferred(&mut found, PREFERRED_SERVERS),
            Scope::All => self.limit_other_domains(&mut found, count),
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
        let mut others: SmallVec<[&ServerState; 32]> =
            found.iter().copied().filter(|state| !same_domain(state)).collect();
        keep_preferred(&mut others, MAX_OTHER_DOMAIN_SERVERS.max(count));
        found.retain(|state| same_domain(state));
        found.extend(others);
    }

    /// Records the answer at `now` to a probe of `vm` that was sent at `sent_at`. `None` and an
    /// answer of another server count as none.
    pub fn record_probe(
        &self,
        service: &str,
        vm: &str,
        probe: Option<&ProbeAnswer>,
        sent_at: Instant,
        now: Instant,
    ) {
        let mut table = self.table.lock();
        let Some(pool) = table.pools.get_mut(service) else {
            return;
        };
        let Some(state) = pool.server(vm) else {
            return;
        };
        match probe {
            Some(probe) if probe.server.as_ref().is_none_or(|name| name.as_str() == vm) => {
                state.record_report(now, now.since(sent_at), probe.report);
                state.record_health(probe.healthy);
                if let Some(load) = probe.report.load {
                    pool.queue.record_waiting(load.waiting, load.slots);
                }
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
        let servers = table.pools.get(service).map_or(&[][..], Pool::servers);
        let cold = |state: &&ServerState| {
            considered.contains(&state.server.name)
                && state.fresh_report(now).is_some_and(|report| !report.cold_for.is_zero())
        };
        let named = |state: &ServerState| (state.server.name.clone(), state.server.domain.clone());
        servers.iter().filter(cold).map(named).collect()
    }

    /// Records how an attempt ended. An answer updates the usual time of `route` and how servers slow
    /// down, corrected for the load that `pick` reports.
    pub fn finish(&self, service: &str, route: &str, pick: &Pick, end: AttemptEnd, now: Instant) {
        let mut table = self.table.lock();
        table.learn(service, route, pick, end);
        let Some(state) = table.state(service, pick.server.as_str()) else {
            return;
        };
        state.in_flight.retain(|attempt| attempt.id != pick.attempt_id);
        match end {
            AttemptEnd::Answered(_) => state.record_success(now),
            AttemptEnd::Failed | AttemptEnd::Silent => state.record_failure(now),
            AttemptEnd::Unreachable => {
                state.record_failure(now);
                state.record_no_answer(now);
            }
            AttemptEnd::Shed | AttemptEnd::Abandoned => {}
        }
    }
}

/// Keeps the `limit` servers with the highest scores.
fn keep_preferred(servers: &mut SmallVec<[&ServerState; 32]>, limit: usize) {
    if servers.len() > limit {
        servers.select_nth_unstable_by_key(limit, |state| Reverse(state.score));
        servers.truncate(limit);
    }
}

/// Requests per second that one owner may send to a cold server that can take `rate` per second.
pub fn cold_allowance(rate: f64) -> usize {
    cold::allowance(rate, cold::OWNER_COUNT)
}
