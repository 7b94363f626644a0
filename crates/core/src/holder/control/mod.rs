//! The background tasks of an entry.
//!
//! [`Control`] accepts documents from the platform and from peers, exchanges heartbeats, decides
//! which servers this entry holds, claims cold servers, probes held servers without a recent load
//! report, and updates the [`Gate`](crate::holder::gate::Gate). Each task is a loop that runs until
//! it is cancelled. One round of each loop is a public method, which tests call directly.

mod claims;
mod document;
mod fetch;
mod heartbeat;
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
use self::reconcile::RouteInputs;
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

/// The identity of this entry and its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its VM.
    pub vm: name::Vm,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Address to which callers connect.
    pub caller: SocketAddr,
    /// Address to which other entries connect.
    pub control: SocketAddr,
    /// Identifies the process; a process started later has a larger incarnation.
    pub incarnation: u64,
}

/// Runs the background tasks of an entry.
#[derive(Debug)]
pub struct Control<O> {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    start: Instant,
    tables: Arc<Tables>,
    ports: Arc<O>,
    leases: Mutex<lease::Leases>,
    probes: Mutex<Probes>,
    fetch_limiters: Mutex<FetchLimiters>,
    /// Address at which each peer last answered a heartbeat, whether or not it is on the VM list.
    peer_addresses: Mutex<HashMap<name::Vm, SocketAddr>>,
    /// The inputs of the current routes; `None` before the first ones.
    route_inputs: Mutex<Option<RouteInputs>>,
    /// Wakes the tick when state that it depends on has changed.
    tick_needed: Notify,
    /// Wakes the fetch when a peer may have a newer document.
    fetch_needed: Notify,
    /// Wakes the heartbeat when the planned stop begins.
    leaving: Notify,
}

/// The limiters of fetches, one for each kind of document.
#[derive(Debug, Default)]
struct FetchLimiters {
    config: FetchLimiter,
    list: FetchLimiter,
}

impl FetchLimiters {
    fn limiter(&mut self, kind: DocumentKind) -> &mut FetchLimiter {
        match kind {
            DocumentKind::Config => &mut self.config,
            DocumentKind::List => &mut self.list,
        }
    }
}

/// Records events on the time line with the wall time of a clock.
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
    /// Creates the background tasks of an entry that starts now. `seeds` are control addresses of
    /// other entries, with which it exchanges heartbeats until a VM list is in force.
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
            fetch_limiters: Mutex::new(Rank::Members, FetchLimiters::default()),
            peer_addresses: Mutex::new(Rank::Members, HashMap::new()),
            route_inputs: Mutex::new(Rank::Intent, None),
            tick_needed: Notify::new(),
            fetch_needed: Notify::new(),
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

    /// The identity of this entry.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// When the process of this entry started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// The tables that the workers share.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Runs all tasks until cancelled.
    pub async fn run(&self, cancel: &CancellationToken) {
        let tasks = async {
            tokio::join!(
                self.run_heartbeats(),
                self.run_ticks(),
                self.run_fetches(),
                self.run_claims(),
                self.run_probes(),
            );
        };
        tokio::select! {
            () = tasks => {}
            () = cancel.cancelled() => {}
        }
    }

    /// Begins the planned stop: from now on, peers and callers are referred to other entries.
    pub fn leave(&self) {
        self.tables.gate.leave();
        self.record(Event::Stopping);
        self.tick_needed.notify_one();
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
