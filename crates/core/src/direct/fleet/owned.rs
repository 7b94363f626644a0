//! The cold servers that this entry may send to.

use smallvec::SmallVec;

use super::Fleet;
use super::ServerNames;
use super::pool::Pool;
use super::server::ServerState;
use crate::direct::cold;
use crate::name;
use crate::time::Instant;

/// Names of servers and their failure domains.
type ServerDomains = SmallVec<[(name::Vm, name::Domain); 4]>;

impl Fleet {
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
}

/// Requests per second that one owner may send to a cold server that can take `rate` per second.
pub fn cold_allowance(rate: f64) -> usize {
    cold::allowance(rate, cold::OWNER_COUNT)
}
