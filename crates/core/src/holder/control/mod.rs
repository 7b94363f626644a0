//! What an entry does besides serving requests.
//!
//! [`Control`] takes over documents from the platform and from peers, exchanges heartbeats, decides
//! which servers this entry holds, confirms claims on cold servers, probes quiet servers, and keeps
//! the [`Gate`](crate::holder::gate::Gate) up to date. Each task is a loop that an adapter runs
//! until it is cancelled; what a loop does in one round is a method of its own, which tests call
//! directly.

mod beat;
mod claims;
mod document;
mod fetch;
mod holding;
mod message;
mod probe;
mod reconcile;
mod tick;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::probe::Probes;
use self::reconcile::Basis;
use crate::holder::event::Event;
use crate::holder::flow::Tables;
use crate::holder::intent::FetchLimiter;
use crate::holder::lease;
use crate::holder::port::Journal;
use crate::holder::port::Ports;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::port::Clock;
use crate::time::Instant;

pub use self::holding::Holding;
pub use self::holding::holdings;
pub use self::message::Claim;
pub use self::message::DocumentKind;
pub use self::message::Grant;
pub use self::message::HeartbeatMessage;

/// Who this entry is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its VM.
    pub vm: name::Vm,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other entries connect.
    pub control: SocketAddr,
    /// Identifies the start of the process; a later start has a larger one.
    pub incarnation: u64,
}

/// Runs the tasks of an entry that serve no request directly.
#[derive(Debug)]
pub struct Control<O> {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    start: Instant,
    tables: Arc<Tables>,
    ports: Arc<O>,
    leases: Mutex<lease::Leases>,
    probes: Mutex<Probes>,
    fetching: Mutex<Fetching>,
    /// Where peers answered last, listed or not.
    contacts: Mutex<HashMap<name::Vm, SocketAddr>>,
    basis: Mutex<Option<Basis>>,
    changed: Notify,
    newer: Notify,
    leaving: Notify,
}

/// Paces the fetches of both kinds of documents.
#[derive(Debug, Default)]
struct Fetching {
    config: FetchLimiter,
    list: FetchLimiter,
}

impl Fetching {
    fn of(&mut self, kind: DocumentKind) -> &mut FetchLimiter {
        match kind {
            DocumentKind::Config => &mut self.config,
            DocumentKind::List => &mut self.list,
        }
    }
}

/// Joins the time line with the wall clock.
pub(crate) struct TimelineJournal<'a, C> {
    pub(crate) tables: &'a Tables,
    pub(crate) clock: &'a C,
}

impl<C: Clock> Journal for TimelineJournal<'_, C> {
    fn record(&self, event: Event) {
        self.tables.timeline.record(self.clock.wall_millis(), event);
    }
}

impl<O: Ports> Control<O> {
    /// Creates the control side of an entry that starts now. `seeds` are control addresses of other
    /// entries, which are asked until a VM list is in force.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        tables: Arc<Tables>,
        ports: Arc<O>,
    ) -> Self {
        let start = ports.clock().now();
        let leases = lease::Leases::new(identity.vm.clone(), identity.incarnation, start);
        let control = Self {
            leases: Mutex::new(Rank::Promises, leases),
            probes: Mutex::new(Rank::Members, Probes::default()),
            fetching: Mutex::new(Rank::Members, Fetching::default()),
            contacts: Mutex::new(Rank::Members, HashMap::new()),
            basis: Mutex::new(Rank::Intent, None),
            changed: Notify::new(),
            newer: Notify::new(),
            leaving: Notify::new(),
            identity,
            seeds,
            start,
            tables,
            ports,
        };
        control.record(Event::Started(control.identity.incarnation));
        control
    }

    /// Who this entry is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// When this entry started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// The tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Runs all tasks until cancelled.
    pub async fn run(&self, cancel: &CancellationToken) {
        let tasks = async {
            tokio::join!(self.beats(), self.ticks(), self.fetches(), self.leases(), self.probing(),);
        };
        tokio::select! {
            () = tasks => {}
            () = cancel.cancelled() => {}
        }
    }

    /// Starts the planned stop: peers and callers are told to use other entries.
    pub fn leave(&self) {
        self.tables.gate.leave();
        self.record(Event::Stopping);
        self.changed.notify_one();
        self.leaving.notify_one();
    }

    fn clock(&self) -> &O::Clock {
        self.ports.clock()
    }

    fn journal(&self) -> TimelineJournal<'_, O::Clock> {
        TimelineJournal { tables: &self.tables, clock: self.clock() }
    }

    fn record(&self, event: Event) {
        self.journal().record(event);
    }
}
