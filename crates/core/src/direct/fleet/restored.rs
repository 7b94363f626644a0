//! What an entry does with the platform's items after the store was restored from an older copy.
//!
//! The copy may list servers that have left since, may lack servers that have registered since, and
//! may lack failure domains that were taken out of service since. Live servers and the operators
//! write their items again within seconds. Until then, what the entry knew goes before the copy, for
//! a limited time: an item that is still in the store after that is renewed by someone.

use std::time::Duration;

use super::Fleet;
use super::pool::Pool;
use super::server::Listing;
use super::server::Server;
use super::table::ServerTable;
use crate::name;
use crate::time::Instant;

/// How long the items of a restored store may differ from the truth. An item of a server that has
/// left expires in the store after three missed heartbeats of 1.5 s.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// How long a server that left is remembered: longer than the age of a copy.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// Largest number of servers that left and are remembered.
const MAX_DEPARTURES: usize = 1_024;

/// A server that has left.
#[derive(Debug, Clone)]
pub(super) struct Departure {
    name: name::Vm,
    registration: Registration,
    at: Instant,
}

/// Orders the items that a server has written, whatever their revisions in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Registration {
    started_ms: u64,
    sequence: u64,
}

impl Registration {
    fn of(server: &Server) -> Self {
        Self { started_ms: server.started_ms, sequence: server.sequence }
    }
}

/// The last item of a server that the entry knows.
#[derive(Debug, Clone, Copy)]
struct LastKnown {
    registration: Registration,
    /// Whether the server was leaving or had left.
    leaving: bool,
}

impl Fleet {
    /// Restarts the settling time of servers and failure domains that are still held back after an
    /// earlier restoration, because another copy is in force. To be called before the items of the
    /// copy are applied.
    pub fn restart_settling(&self, now: Instant) {
        let mut table = self.table.lock();
        let settled = now + SETTLING_TIME;
        for state in table.pools.values_mut().flat_map(Pool::servers_mut) {
            // The grace of a server without an item is not extended: it may have been removed by an
            // ordinary change since the first restoration.
            if let Listing::UsableFrom(start) = &mut state.listing
                && *start > now
            {
                *start = settled;
            }
        }
        for until in table.out_of_service.values_mut().flatten().filter(|until| **until > now) {
            *until = settled;
        }
    }

    /// Applies the item of a server from a restored copy of the store. An item that is older than
    /// the last one known changes nothing. If the server was leaving or had left by then, it is used
    /// only once it writes its item again, or if its item has not expired within a few seconds.
    pub fn restore(&self, server: Server, now: Instant) {
        let restored = Registration::of(&server);
        let mut table = self.table.lock();
        let left = match table.last_known(&server, now) {
            Some(known) if known.leaving => !server.draining && restored <= known.registration,
            Some(known) if restored < known.registration => return,
            _ => false,
        };
        let state = table.update(server, self.ip, now);
        if let Some(state) = state.filter(|_| left) {
            state.listing = Listing::UsableFrom(now + SETTLING_TIME);
        }
    }

    /// Puts a failure domain back into service whose removal from service a restored copy of the
    /// store does not show, once the operators have had time to write it again.
    pub fn restore_domain(&self, domain: &name::Domain, now: Instant) {
        if let Some(until) = self.table.lock().out_of_service.get_mut(domain) {
            *until = Some(now + SETTLING_TIME);
        }
    }
}

impl ServerTable {
    /// Remembers a server that has left, in case a restored copy of the store lists it again.
    pub(super) fn record_departure(&mut self, server: &Server, now: Instant) {
        self.departures.retain(|departure| {
            departure.name != server.name && now.since(departure.at) < DEPARTURE_MEMORY
        });
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure {
            name: server.name.clone(),
            registration: Registration::of(server),
            at: now,
        });
    }

    fn last_known(&mut self, server: &Server, now: Instant) -> Option<LastKnown> {
        let service = self.service_of.get(&server.name).cloned();
        if let Some(service) = service
            && let Some(state) = self.state(service.as_str(), server.name.as_str())
        {
            let leaving = state.server.draining || !state.listing.is_listed(now);
            return Some(LastKnown { registration: Registration::of(&state.server), leaving });
        }
        let departure = self.departures.iter().find(|departure| departure.name == server.name)?;
        Some(LastKnown { registration: departure.registration, leaving: true })
    }
}
