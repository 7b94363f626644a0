//! The servers that may be probed for a request.

use std::cmp::Reverse;
use std::net::SocketAddr;

use smallvec::SmallVec;

use super::Fleet;
use super::ServerNames;
use super::server::ServerState;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Servers of a service in its own failure domain that an entry probes first. It keeps connections
/// to them, whatever the number of servers; all entries of the domain together use all servers. With
/// fewer, the random choice of a few of them would often find none with room.
const PREFERRED_SERVERS: usize = 24;

/// Servers of a service in other failure domains that one entry probes. All entries of a domain
/// together probe several times as many.
const MAX_OTHER_DOMAIN_SERVERS: usize = 16;

/// The priority of the most urgent requests.
const MOST_URGENT: u32 = 0;

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

impl Fleet {
    /// Up to `count` random servers of `service` that are usable, not in `excluded`, and not held back
    /// by a rate limit or a pause.
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
                && state.wait(MOST_URGENT, now).is_none()
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
            let state = found.swap_remove(random.index(found.len()));
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
}

/// Keeps the `limit` servers with the highest scores.
fn keep_preferred(servers: &mut SmallVec<[&ServerState; 32]>, limit: usize) {
    if servers.len() > limit {
        servers.select_nth_unstable_by_key(limit, |state| Reverse(state.score));
        servers.truncate(limit);
    }
}
