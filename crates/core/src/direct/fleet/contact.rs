//! Whether this entry reaches the servers of a service.
//!
//! An entry may lose its links to all servers while its callers, the store and the other entries
//! still reach it. No single server shows that: each of them looks as if it had ended. An entry that
//! has had no answer for a while, and whose probes of several servers stay unanswered, has lost
//! contact, either because it is cut off or because the servers are down.

use std::time::Duration;

use super::Fleet;
use super::ServerNames;
use super::pool::Pool;
use super::server::ServerState;
use super::table::ServerTable;
use crate::name;
use crate::time::Instant;

/// Number of servers that must leave a probe unanswered, or all if there are fewer. A few servers
/// may end at the same time.
const LOST_SERVERS: usize = 4;

/// Time without an answer before contact counts as lost. Under load, an answer takes some
/// milliseconds, and the probes of an entry that is short of processor time end together.
const LOST_AFTER: Duration = Duration::from_millis(100);

/// What the answers of a service's servers show about the links to them.
#[derive(Debug, Default)]
pub(super) struct Contact {
    answered_at: Option<Instant>,
    /// Servers that left a probe unanswered since the last answer.
    unanswered: ServerNames,
    lost_at: Option<Instant>,
    /// When servers were last probed to find out whether contact is back.
    probed_at: Option<Instant>,
}

impl Contact {
    /// Records an answer. Returns for how long contact was lost, if it was.
    pub(super) fn record_answer(&mut self, now: Instant) -> Option<Duration> {
        self.answered_at = Some(now);
        self.unanswered.clear();
        self.lost_at.take().map(|lost_at| now.since(lost_at))
    }

    /// Records that `server`, one of `usable` servers, left a probe unanswered. Returns whether
    /// contact is lost by that.
    pub(super) fn record_no_answer(
        &mut self,
        server: &name::Vm,
        usable: usize,
        now: Instant,
    ) -> bool {
        if !self.unanswered.contains(server) && self.unanswered.len() < LOST_SERVERS {
            self.unanswered.push(server.clone());
        }
        let silent = self.answered_at.is_none_or(|at| now.since(at) >= LOST_AFTER);
        let is_lost = silent && self.unanswered.len() >= usable.clamp(1, LOST_SERVERS);
        let newly_lost = is_lost && self.lost_at.is_none();
        if newly_lost {
            self.lost_at = Some(now);
        }
        newly_lost
    }
}

impl Fleet {
    /// Whether contact with the servers of `service` is lost.
    pub fn has_lost_contact(&self, service: &str) -> bool {
        let table = self.table.lock();
        table.pools.get(service).is_some_and(|pool| pool.contact.lost_at.is_some())
    }

    /// The services whose servers this entry has lost contact with.
    pub fn lost_services(&self) -> Vec<name::Service> {
        let table = self.table.lock();
        let lost = table.pools.iter().filter(|(_, pool)| pool.contact.lost_at.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Whether it is time to probe servers of a lost service again, `interval` after the last time.
    pub fn start_contact_probe(&self, service: &str, interval: Duration, now: Instant) -> bool {
        let mut table = self.table.lock();
        let Some(pool) = table.pools.get_mut(service) else {
            return false;
        };
        let due = pool.contact.probed_at.is_none_or(|at| now.since(at) >= interval);
        if due {
            pool.contact.probed_at = Some(now);
        }
        due
    }

    /// Whether a server of `service` has answered since `since`.
    pub fn has_answered_since(&self, service: &str, since: Instant) -> bool {
        let table = self.table.lock();
        let pool = table.pools.get(service);
        pool.and_then(|pool| pool.contact.answered_at).is_some_and(|at| at >= since)
    }
}

impl ServerTable {
    /// Records that a server of `service` has answered. If contact was lost, all its servers may be
    /// probed again.
    pub(super) fn record_contact(&mut self, service: &str, now: Instant) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(lost_for) = pool.contact.record_answer(now) {
            let lost_ms = lost_for.as_millis();
            log::info!("event=contact service={service} state=regained lost_ms={lost_ms}");
            pool.servers_mut().iter_mut().for_each(ServerState::end_backoff);
        }
    }

    /// Records that the server `vm` of `service` left a probe unanswered.
    pub(super) fn record_no_contact(&mut self, service: &str, vm: &str, now: Instant) {
        let states = self.pools.get(service).map_or(&[][..], Pool::servers);
        let usable = states.iter().filter(|state| self.usable(state, now)).count();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let Some(name) = pool.server(vm).map(|state| state.server.name.clone()) else {
            return;
        };
        let silent_for = pool.contact.answered_at.map(|at| now.since(at).as_millis());
        if pool.contact.record_no_answer(&name, usable, now) {
            log::warn!(
                "event=contact service={service} state=lost unanswered={} usable={usable} \
                 last_answer_ms={silent_for:?}",
                pool.contact.unanswered.len()
            );
        }
    }
}
