//! The table of servers, and the choice of a server for a request.
//!
//! [`Fleet`] is one shared table. A choice has two steps, since no lock is held during I/O, such as
//! probes: [`Fleet::candidates`] returns servers to probe if they have no fresh load report, and
//! [`Fleet::choose`] picks the best with a fresh report and counts the attempt as in flight there.

mod attempt;
mod candidate;
mod choice;
mod contact;
mod curve;
mod limited;
mod owned;
mod pick;
mod pool;
mod queue;
mod restored;
mod score;
mod server;
mod table;
mod withdrawn;

use std::net::Ipv4Addr;
use std::time::Duration;

use smallvec::SmallVec;

use self::pool::Pool;
use self::server::Listing;
use self::table::ServerTable;
use crate::direct::port::ProbeAnswer;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::time::Instant;

pub use self::attempt::AttemptEnd;
pub use self::candidate::Candidate;
pub use self::candidate::Scope;
pub use self::owned::cold_allowance;
pub use self::pick::Choice;
pub use self::pick::Criteria;
pub use self::pick::Pick;
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

/// Time after the last freshness proof up to which a server is used whose removal was learned only
/// after that. It may have been removed right after the proof, and must get no requests 2 s after
/// its removal; the rest is for a request that is on its way.
const MAX_USE_AFTER_PROOF: Duration = Duration::from_millis(1_900);

/// How long a server is used after its item expired while the store was available. `proof_age` is
/// the age of the last freshness proof from before the expiry was known.
pub fn expiry_grace(proof_age: Duration) -> Duration {
    EXPIRY_GRACE.min(MAX_USE_AFTER_PROOF.saturating_sub(proof_age))
}

/// Names of servers, such as those that were probed for one request.
pub type ServerNames = SmallVec<[name::Vm; 12]>;

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

    /// Adds a server or applies the platform's latest item of it. Returns whether it was added.
    pub fn update(&self, server: Server, now: Instant) -> bool {
        let mut table = self.table.lock();
        let is_new = !table.service_of.contains_key(&server.name);
        table.update(server, self.ip, now);
        is_new
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
        let Some(state) = table.state(service.as_str(), name.as_str()) else {
            return;
        };
        match state.listing {
            Listing::UsableUntil(_) if !state.server.draining => {}
            listing if !state.server.draining && listing.is_usable(now) => {
                state.listing = Listing::UsableUntil(now + grace);
            }
            _ => {
                let server = state.server.clone();
                table.record_departure(&server, now);
                table.remove(&service, &name);
            }
        }
    }

    /// Takes a failure domain out of service, or puts it back.
    pub fn set_domain_out(&self, domain: &name::Domain, out: bool) {
        let mut table = self.table.lock();
        if out {
            table.out_of_service.insert(domain.clone(), None);
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

    /// Number of servers that name a rate limit.
    pub fn limited_count(&self, now: Instant) -> usize {
        let table = self.table.lock();
        let states = table.pools.values().flat_map(Pool::servers);
        states.filter(|state| state.rate_limit(now).is_some()).count()
    }

    /// How long a request of `priority` must wait for a server, if all servers that it may be sent to
    /// are held back by their rate limits or by pauses. `tried` servers do not count.
    pub fn wait(
        &self,
        service: &str,
        tried: &ServerNames,
        priority: u32,
        now: Instant,
    ) -> Option<Duration> {
        let table = self.table.lock();
        let states = table.pools.get(service)?.servers().iter();
        let in_use = states.filter(|state| {
            table.usable(state, now)
                && !state.is_backing_off(now)
                && !tried.contains(&state.server.name)
        });
        let waits: Option<SmallVec<[Duration; 32]>> =
            in_use.map(|state| state.wait(priority, now)).collect();
        waits?.into_iter().min()
    }

    /// The time that work of `route` takes at a slowdown of 100%; `default` until it is known.
    pub fn usual_time(&self, route: &str, default: Duration) -> Duration {
        let table = self.table.lock();
        table.usual_seconds.get(route).map_or(default, |seconds| Duration::from_secs_f64(*seconds))
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
        match probe {
            Some(_) => table.record_contact(service, now),
            None => table.record_no_contact(service, vm, now),
        }
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
                state.record_notice(&probe.notice, now);
                if let Some(load) = probe.report.load {
                    pool.queue.record_waiting(load.waiting, load.slots);
                }
            }
            _ => state.record_no_answer(now),
        }
    }
}
