//! Entries that reach services which this entry has lost contact with.
//!
//! Load pattern: an entry loses its links to all servers for seconds, while callers still use it and
//! other entries reach every server. It asks a few live entries which of its lost services they
//! reach, and passes its requests on to those that say so, the less loaded of two at random. Each
//! entry answers for itself, and what it says holds for a short time, so an entry that has just
//! started, leaves, or has lost contact too gets nothing, and a service that no entry reaches
//! causes no forwards. Without lost contact nobody is asked.
//!
//! A question also shows that its sender cannot use its share of a cold or limited server. Entries that
//! were asked leave the sender out when they rank themselves for such a server, and the sender uses no
//! share until they no longer do. Since an entry that was not asked counts the sender as before, those
//! that use a share are never more than without the cut.

mod table;

use std::net::Ipv4Addr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;

use self::table::ForwardTable;
use crate::direct::peers::Peers;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::port::Random;
use crate::time::Instant;

/// Time between two rounds of questions while entries are known that reach the services.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two rounds of questions while no such entry is known for a service, because those
/// that were asked have lost contact as well.
const SEARCH_INTERVAL: Duration = Duration::from_millis(60);

/// Number of entries that are asked in a round beside those that are known to reach a service.
const ASKED_ENTRIES: usize = 8;

/// Largest number of entries with a valid report that are asked again in a round.
const MAX_RENEWED: usize = 8;

/// Largest number of services in a question.
pub const MAX_SERVICES: usize = 8;

/// Names of services, as entries exchange them.
pub type ServiceNames = SmallVec<[name::Service; 4]>;

/// A short list of entries.
pub type EntryList = SmallVec<[Ipv4Addr; 16]>;

/// What an entry says of itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The services, of those that it was asked about, that it reaches.
    pub reached: ServiceNames,
    /// Requests of other entries that it is serving.
    pub load: u32,
}

/// The questions of one round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// The services to ask about.
    pub services: ServiceNames,
    /// The entries to ask.
    pub entries: EntryList,
    /// Time until the next round.
    pub pause: Duration,
}

/// The services that this entry does not reach, and the entries that do.
#[derive(Debug)]
pub struct Forwards {
    table: Mutex<ForwardTable>,
    /// Notified when a service is wanted.
    wanted: Notify,
}

impl Default for Forwards {
    fn default() -> Self {
        let table = Mutex::new(Rank::Members, ForwardTable::default());
        Self { table, wanted: Notify::new() }
    }
}

/// A forward in flight. Dropping it ends its count.
#[derive(Debug)]
pub struct Hop<'a> {
    forwards: &'a Forwards,
    /// The entry that the request is passed on to.
    pub entry: Ipv4Addr,
}

impl Drop for Hop<'_> {
    fn drop(&mut self) {
        self.forwards.table.lock().end(self.entry);
    }
}

impl Forwards {
    /// Asks for entries that reach `service` from now on, for a short time.
    pub fn want(&self, service: &name::Service, now: Instant) {
        self.table.lock().want(service, now);
        self.wanted.notify_one();
    }

    /// Waits until a service is wanted.
    pub async fn wait_until_wanted(&self) {
        self.wanted.notified().await;
    }

    /// The next round of questions; `None` if no service is wanted any more.
    pub fn next_round(&self, peers: &Peers, now: Instant, random: &impl Random) -> Option<Round> {
        let mut table = self.table.lock();
        let services = table.wanted(now);
        if services.is_empty() {
            return None;
        }
        table.record_own_question(&services, now);
        let is_reached = |service| table.reaching(service, &[], now).next().is_some();
        let pause = if services.iter().all(is_reached) { ASK_INTERVAL } else { SEARCH_INTERVAL };
        let mut entries: EntryList = table.valid_entries(now).collect();
        entries.truncate(MAX_RENEWED);
        // The lock of the peers has the same rank.
        drop(table);
        let mut others = peers.staying_peers(now);
        others.retain(|ip| !entries.contains(ip));
        for _ in 0..ASKED_ENTRIES.min(others.len()) {
            entries.push(others.swap_remove(random.index(others.len())));
        }
        Some(Round { services, entries, pause })
    }

    /// Records that `entry` has asked which of `services` this entry reaches.
    pub fn record_question(&self, entry: Ipv4Addr, services: &ServiceNames, now: Instant) {
        self.table.lock().record_question(entry, services, now);
    }

    /// The entries that have lost contact with `service`, as far as they have asked this one.
    pub fn entries_without(&self, service: &name::Service, now: Instant) -> EntryList {
        self.table.lock().entries_without(service, now)
    }

    /// Whether other entries may take over this entry's share of the servers of `service`, because this
    /// one has asked them for it.
    pub fn has_given_up_share(&self, service: &name::Service, now: Instant) -> bool {
        self.table.lock().has_given_up_share(service, now)
    }

    /// Records what `entry` says of itself. `near` is whether it is in this entry's failure domain.
    pub fn record_report(&self, entry: Ipv4Addr, near: bool, report: Report, now: Instant) {
        self.table.lock().record_report(entry, near, report, now);
    }

    /// Selects an entry that reaches `service` and is not in `tried`.
    pub fn choose(
        &self,
        service: &name::Service,
        tried: &[Ipv4Addr],
        now: Instant,
        random: &impl Random,
    ) -> Option<Hop<'_>> {
        let entry = self.table.lock().choose(service, tried, now, random)?;
        Some(Hop { forwards: self, entry })
    }

    /// Forgets what `entry` has said, because it could not take a request.
    pub fn discard_report(&self, entry: Ipv4Addr) {
        self.table.lock().discard_report(entry);
    }
}
