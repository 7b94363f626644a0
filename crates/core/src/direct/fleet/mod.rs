//! The servers, what this entry knows of them, and the choice among them.
//!
//! [`Fleet`] is one shared table. A choice has two steps, because probes are I/O and no lock is held
//! meanwhile: [`Fleet::candidates`] names servers, of which those without a fresh report are to be
//! probed, and [`Fleet::choose`] takes the best of those with a fresh report and counts the request
//! as in flight there.

mod score;
mod server;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use self::score::Standing;
use self::server::Flight;
use self::server::Listed;
use self::server::State;
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

/// How long a server whose entry ended without notice is still used if there is no better one. It
/// stays below the time in which a server that left must get no more work.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(1_200);

/// The same after the store was away: entries that lapsed meanwhile are back within about 2 s.
pub const EXPIRY_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(2_200);

/// Servers of a service in other failure domains that an entry asks. All entries of a domain together
/// reach several times as many.
const FAR_SERVERS: usize = 16;

/// A chance to be in time from which on no further servers are asked.
const GOOD_CHANCE: f64 = 0.85;

/// Weight of a new answer time in the estimate of the usual one.
const USUAL_GAIN: f64 = 0.08;

/// Largest answer time that counts in full, as a factor on the estimate.
const MAX_USUAL_STEP: f64 = 3.0;

/// Routes whose usual time is kept.
const MAX_USUAL: usize = 2_048;

/// Names of servers that were asked for one request.
pub type ServerNames = SmallVec<[name::Vm; 12]>;

/// Cold servers and their failure domains.
type Cold = SmallVec<[(name::Vm, name::Domain); 4]>;

/// A server that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub server: name::Vm,
    /// Where to probe it.
    pub address: SocketAddr,
    /// Whether it needs a probe, because there is no fresh report.
    pub needs_probe: bool,
}

/// Which servers are to be asked next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those of the entry's own failure domain.
    SameDomain,
    /// All.
    All,
}

/// The server that was chosen. The request counts as in flight until [`Fleet::finish`].
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The server.
    pub server: name::Vm,
    /// Its address.
    pub address: SocketAddr,
    /// The flight, for [`Fleet::finish`].
    pub attempt_id: u64,
    /// The report that decided.
    pub report: LoadReport,
    /// Age of the report.
    pub report_age: Duration,
    /// Expected time until the answer.
    pub expected_time: Duration,
    /// The chance that the answer is in time.
    pub success_probability: f64,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// This server.
    Pick(Pick),
    /// Every server would take longer than allowed; this is the shortest expected time.
    Overloaded(Duration),
    /// No server can be used.
    NoServer,
}

/// How a flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// With an answer after this time.
    Answered(Duration),
    /// The server did not run the request, and said so.
    Shed,
    /// The server failed it.
    Failed,
    /// The server could not be reached, or is another one.
    Unreachable,
    /// The entry gave it up; nothing is known.
    Abandoned,
}

/// Conditions of a choice.
#[derive(Debug, Clone, Copy)]
pub struct Criteria {
    /// What is known of the request.
    pub work: Work,
    /// Longest expected time that is accepted.
    pub max_time: Duration,
    /// From when on a missing answer counts as a fault.
    pub overdue_at: Instant,
    /// Requests a second that this entry may send to a cold server it owns.
    pub cold_allowance: usize,
    /// Whether nobody is chosen unless a server is likely to answer in time.
    pub only_likely: bool,
}

#[derive(Debug, Default)]
struct Table {
    services: HashMap<name::Service, Vec<State>>,
    homes: HashMap<name::Vm, name::Service>,
    out: HashSet<name::Domain>,
    usual: HashMap<Box<str>, f64>,
    next_ticket: u64,
}

/// The table of servers.
#[derive(Debug)]
pub struct Fleet {
    domain: name::Domain,
    own: Ipv4Addr,
    table: Mutex<Table>,
}

impl Fleet {
    /// Creates an empty table for the entry at `own` in `domain`.
    pub fn new(domain: name::Domain, own: Ipv4Addr) -> Self {
        Self { domain, own, table: Mutex::new(Rank::Pool, Table::default()) }
    }

    /// Takes over what the platform says of a server.
    pub fn update(&self, server: Server, now: Instant) {
        let mut table = self.table.lock();
        let moved = table.homes.get(&server.name).filter(|home| **home != server.service).cloned();
        if let Some(old) = moved {
            table.remove(&old, &server.name);
        }
        table.homes.insert(server.name.clone(), server.service.clone());
        let states = table.services.entry(server.service.clone()).or_default();
        match states.iter_mut().find(|state| state.server.name == server.name) {
            Some(state) => state.update(server, now),
            None => states.push(State::new(server, now)),
        }
    }

    /// The platform no longer lists a server. One that had said that it leaves is dropped at once;
    /// another one is used for `keep` if there is no better one.
    pub fn unlist(&self, server: &str, keep: Duration, now: Instant) {
        let mut table = self.table.lock();
        let Some((name, service)) = table.homes.get_key_value(server) else {
            return;
        };
        let (name, service) = (name.clone(), service.clone());
        table.sweep(now);
        match table.state(service.as_str(), name.as_str()) {
            Some(state) if !state.server.draining => {
                if state.listed == Listed::Yes {
                    state.listed = Listed::Until(now + keep);
                }
            }
            _ => table.remove(&service, &name),
        }
    }

    /// Takes a failure domain out of service, or back.
    pub fn set_domain_out(&self, domain: &name::Domain, out: bool) {
        let mut table = self.table.lock();
        if out {
            table.out.insert(domain.clone());
        } else {
            table.out.remove(domain);
        }
    }

    /// Numbers of usable servers and of all servers.
    pub fn server_counts(&self, now: Instant) -> (usize, usize) {
        let table = self.table.lock();
        let states = || table.services.values().flatten();
        let usable = states().filter(|state| table.usable(state, now)).count();
        (usable, states().count())
    }

    /// The time that work of `route` takes at the usual pace, or `guess` while none was seen.
    pub fn usual_time(&self, route: &str, guess: Duration) -> Duration {
        let table = self.table.lock();
        table.usual.get(route).map_or(guess, |seconds| Duration::from_secs_f64(*seconds))
    }

    /// Up to `count` servers of `service`, none of which is in `asked`; those with a fresh report
    /// come first.
    pub fn candidates(
        &self,
        service: &str,
        reach: Scope,
        asked: &ServerNames,
        count: usize,
        now: Instant,
        random: &impl Random,
    ) -> SmallVec<[Candidate; 8]> {
        let table = self.table.lock();
        let Some(states) = table.services.get(service) else {
            return SmallVec::new();
        };
        let wanted = |state: &&State| {
            table.usable(state, now)
                && !state.resting(now)
                && (reach == Scope::All || state.server.domain == self.domain)
                && !asked.contains(&state.server.name)
        };
        let mut found: SmallVec<[&State; 32]> = states.iter().filter(wanted).collect();
        if reach == Scope::All {
            self.narrow(&mut found, count);
        }
        let mut chosen = SmallVec::new();
        while chosen.len() < count && !found.is_empty() {
            let bound = u64::try_from(found.len()).unwrap_or(u64::MAX);
            let index = usize::try_from(random.below(bound)).unwrap_or(0);
            let state = found.swap_remove(index);
            chosen.push(Candidate {
                server: state.server.name.clone(),
                address: state.server.address,
                needs_probe: state.fresh(now).is_none(),
            });
        }
        chosen
    }

    /// Keeps the servers of other failure domains that this entry usually asks. Entries that asked any
    /// of them would open a connection for each probe; servers bear a limited number of these.
    fn narrow(&self, found: &mut SmallVec<[&State; 32]>, count: usize) {
        let is_near = |state: &&State| state.server.domain == self.domain;
        let mut far: Vec<&State> = found.iter().copied().filter(|state| !is_near(state)).collect();
        let usual = FAR_SERVERS.max(count);
        if far.len() <= usual {
            return;
        }
        far.sort_by_key(|state| Reverse(rendezvous::score(state.server.name.as_str(), self.own)));
        far.truncate(usual);
        found.retain(|state| is_near(state));
        found.extend(far);
    }

    /// Records the answer to a probe; `None` if there was none.
    pub fn record_probe(
        &self,
        service: &str,
        server: &str,
        probe: Option<&ProbeAnswer>,
        now: Instant,
    ) {
        let mut table = self.table.lock();
        let Some(state) = table.state(service, server) else {
            return;
        };
        match probe {
            Some(probe) if probe.server.as_ref().is_none_or(|name| name.as_str() == server) => {
                state.note_report(now, probe.report);
                state.note_health(probe.healthy);
            }
            _ => state.note_silence(now),
        }
    }

    /// The servers in `asked` that are cold by a fresh report, and of which `owns` says, by name and
    /// failure domain, that this entry sends to them.
    pub fn owned_cold(
        &self,
        service: &str,
        asked: &ServerNames,
        now: Instant,
        owns: impl Fn(&name::Vm, &name::Domain) -> bool,
    ) -> ServerNames {
        let cold = self.cold_among(service, asked, now);
        cold.into_iter()
            .filter(|(server, domain)| owns(server, domain))
            .map(|(server, _)| server)
            .collect()
    }

    fn cold_among(&self, service: &str, asked: &ServerNames, now: Instant) -> Cold {
        let table = self.table.lock();
        let states = table.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let cold = |state: &&State| {
            asked.contains(&state.server.name)
                && state.fresh(now).is_some_and(|report| !report.cold_for.is_zero())
        };
        let named = |state: &State| (state.server.name.clone(), state.server.domain.clone());
        states.iter().filter(cold).map(named).collect()
    }

    /// Chooses the best of the servers in `asked` that have a fresh report. A cold one is chosen
    /// only if it is in `owned`.
    pub fn choose(
        &self,
        service: &str,
        asked: &ServerNames,
        terms: &Criteria,
        owned: &ServerNames,
        now: Instant,
    ) -> Choice {
        let mut table = self.table.lock();
        let mut best: Option<(f64, name::Vm, Duration)> = None;
        for state in table.services.get(service).map(Vec::as_slice).unwrap_or_default() {
            let name = &state.server.name;
            if !asked.contains(name) || !table.usable(state, now) {
                continue;
            }
            let Some(report) = state.fresh(now) else {
                continue;
            };
            let cold = !report.cold_for.is_zero();
            if cold && !(state.sends.has_room(now, terms.cold_allowance) && owned.contains(name)) {
                continue;
            }
            let standing = self.standing(state, now);
            let expected = score::expected(report, &standing, &terms.work);
            let value = score::value(expected, &standing, &terms.work);
            if best.as_ref().is_none_or(|(most, ..)| value > *most) {
                best = Some((value, name.clone(), expected));
            }
        }
        let Some((_, name, expected)) = best else {
            return Choice::NoServer;
        };
        let chance = score::chance(expected, terms.work.time_left);
        if expected > terms.max_time {
            return Choice::Overloaded(expected);
        }
        if terms.only_likely && chance < GOOD_CHANCE {
            return Choice::Overloaded(expected);
        }
        table
            .launch(service, &name, terms, expected, chance, now)
            .map_or(Choice::NoServer, Choice::Pick)
    }

    fn standing(&self, state: &State, now: Instant) -> Standing {
        Standing {
            unreported: state.unreported(),
            slots: state.server.slots,
            in_flight: u32::try_from(state.flights.len()).unwrap_or(u32::MAX),
            faults: state.fault_rate(now),
            far: state.server.domain != self.domain,
            lapsed: state.listed != Listed::Yes,
        }
    }

    /// Records how a flight ended. `route` and `pick` tell what the time of an answer says about the
    /// usual one.
    pub fn finish(
        &self,
        service: &str,
        route: &str,
        pick: &Pick,
        landing: AttemptResult,
        now: Instant,
    ) {
        let mut table = self.table.lock();
        if let AttemptResult::Answered(time) = landing {
            table.learn(route, pick, time);
        }
        let Some(state) = table.state(service, pick.server.as_str()) else {
            return;
        };
        state.flights.retain(|flight| flight.ticket != pick.attempt_id);
        match landing {
            AttemptResult::Answered(_) => state.note_success(now),
            AttemptResult::Failed => state.note_fault(now),
            AttemptResult::Unreachable => {
                state.note_fault(now);
                state.note_silence(now);
            }
            AttemptResult::Shed | AttemptResult::Abandoned => {}
        }
    }
}

impl Table {
    fn state(&mut self, service: &str, server: &str) -> Option<&mut State> {
        let states = self.services.get_mut(service)?;
        states.iter_mut().find(|state| state.server.name.as_str() == server)
    }

    fn remove(&mut self, service: &name::Service, server: &name::Vm) {
        self.homes.remove(server);
        if let Some(states) = self.services.get_mut(service) {
            states.retain(|state| state.server.name != *server);
        }
    }

    /// Forgets the servers whose entries ended long ago.
    fn sweep(&mut self, now: Instant) {
        let gone = |state: &State| match state.listed {
            Listed::Yes => false,
            Listed::Until(end) => end < now && state.flights.is_empty(),
        };
        for states in self.services.values_mut() {
            for state in states.iter().filter(|state| gone(state)) {
                self.homes.remove(&state.server.name);
            }
            states.retain(|state| !gone(state));
        }
    }

    /// Whether a server may receive work.
    fn usable(&self, state: &State, now: Instant) -> bool {
        let listed = match state.listed {
            Listed::Yes => true,
            Listed::Until(end) => now <= end,
        };
        listed && !state.server.draining && !self.out.contains(&state.server.domain)
    }

    fn launch(
        &mut self,
        service: &str,
        server: &name::Vm,
        terms: &Criteria,
        expected: Duration,
        chance: f64,
        now: Instant,
    ) -> Option<Pick> {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let state = self.state(service, server.as_str())?;
        let report = *state.fresh(now)?;
        if !report.cold_for.is_zero() && !state.sends.try_send(now, terms.cold_allowance) {
            return None;
        }
        state.flights.push(Flight { ticket, since: now, overdue: terms.overdue_at });
        Some(Pick {
            server: server.clone(),
            address: state.server.address,
            attempt_id: ticket,
            report,
            report_age: state.report_age(now).unwrap_or_default(),
            expected_time: expected,
            success_probability: chance,
        })
    }

    /// Updates the usual time of a route from one answer, freed of what the report explains.
    fn learn(&mut self, route: &str, pick: &Pick, time: Duration) {
        if self.usual.len() >= MAX_USUAL && !self.usual.contains_key(route) {
            return;
        }
        let usual = self.usual.get(route).copied();
        let Some(load) = pick.report.load else {
            self.blend(route, usual, time.as_secs_f64());
            return;
        };
        // Answers of servers that are busy or slow say more about the server than about the work.
        if load.slowdown <= 130
            && load.running + load.waiting <= 1
            && pick.report.cold_for.is_zero()
        {
            self.blend(route, usual, time.as_secs_f64() * 100.0 / f64::from(load.slowdown.max(20)));
        }
    }

    fn blend(&mut self, route: &str, usual: Option<f64>, seconds: f64) {
        let mixed = usual.map_or(seconds, |old| {
            // One answer that was held up, such as by a pause of this process, says little.
            old + (seconds.min(old * MAX_USUAL_STEP) - old) * USUAL_GAIN
        });
        self.usual.insert(route.into(), mixed);
    }
}

/// Requests a second that one owner may send to a cold server that bears `bound` a second.
pub fn cold_allowance(bound: f64) -> usize {
    cold::allowance(bound, cold::OWNER_COUNT)
}
