//! The servers of one service that this entry holds, and the requests that wait for them.
//!
//! The entry that holds a server is the only one that sends to it, so the pool knows the number of
//! requests in flight exactly and binds a request to a server only when that server has room. A
//! request that finds no room waits here, not in a server's queue. When a place becomes free the
//! oldest waiting request gets it; if none waits, one peer that asked for a vacancy is told.
//!
//! Each server has a [`Limit`] that follows what its answers show. A server below its full limit
//! is used only under a confirmed claim, whose end also bounds the work given to it.

mod limit;
mod load_report;
mod server;
mod state;
mod ticket;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use self::state::State;
use self::state::Waiter;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::time::Instant;

pub use self::limit::Change;
pub use self::limit::Kind;
pub use self::limit::Limit;
pub use self::limit::Sample;
pub use self::limit::Tuning;
pub use self::limit::Warmth;
pub use self::load_report::LoadReport;
pub use self::server::ServerSpec;
pub use self::server::ServerStatus;
pub use self::ticket::Ticket;

/// A place at a held server for one attempt.
///
/// A permit must be given back with [`Pool::finish`], [`Pool::abandon`] or [`Pool::release`].
#[derive(Debug)]
#[must_use = "a permit that is not given back keeps its place taken"]
pub struct Permit {
    pub(crate) key: u64,
    pub(crate) vm: name::Vm,
    pub(crate) address: SocketAddr,
    pub(crate) until: Option<Instant>,
    pub(crate) patience: Duration,
    pub(crate) needed: Duration,
}

impl Permit {
    /// The server's VM.
    pub fn vm(&self) -> &name::Vm {
        &self.vm
    }

    /// Where the server accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When work given to the server must have ended, for a server that is not warm.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }
}

/// Another entry that has room for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lead {
    /// The entry's VM.
    pub vm: name::Vm,
    /// Its control address.
    pub address: SocketAddr,
}

/// Where an attempt can go.
#[derive(Debug)]
pub enum Place {
    /// To a held server.
    Local(Permit),
    /// To a peer that reported room.
    Remote(Lead),
}

/// Sums over the held servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Sum of the limits of the servers that may receive work.
    pub limit: u32,
    /// Requests that could be dispatched at once.
    pub free: u32,
}

/// How the set of held servers has changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldDiff {
    /// Servers that are held from now on.
    pub added: Vec<name::Vm>,
    /// Servers that are no longer held.
    pub removed: Vec<name::Vm>,
    /// Servers that receive no new work from now on, and why.
    pub excluded: Vec<(name::Vm, Arc<str>)>,
    /// Servers that may receive work again.
    pub included: Vec<name::Vm>,
}

/// A server that may need a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeCandidate {
    /// The server.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Probes per minute from all entries together.
    pub probes_per_minute: u32,
    /// When its latest report arrived.
    pub reported_at: Option<Instant>,
}

/// Something that happened to a held server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerChange {
    /// The server.
    pub vm: name::Vm,
    /// What happened.
    pub change: Change,
}

/// The held servers and waiting requests of one service.
#[derive(Debug)]
pub struct Pool {
    service: name::Service,
    state: Mutex<State>,
    demand: Notify,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new(service: name::Service) -> Self {
        Self { service, state: Mutex::new(Rank::Pool, State::default()), demand: Notify::new() }
    }

    /// The service.
    pub fn service(&self) -> &name::Service {
        &self.service
    }

    /// Replaces the set of held servers. A server that stays keeps what is known of it; a new one
    /// counts as cold, and so does one that was out of service. Returns what has changed.
    pub fn set_held(&self, now: Instant, specs: &[ServerSpec]) -> HeldDiff {
        self.state.lock().set_held(now, specs)
    }

    /// Takes a place at the best server with room, if there is one that no earlier request waits
    /// for.
    pub fn acquire(&self, now: Instant, idempotent: bool) -> Option<Permit> {
        self.state.lock().acquire(now, idempotent)
    }

    /// Queues a request for the next free place. `None` if `queue` requests wait already.
    pub fn wait(self: &Arc<Self>, now: Instant, idempotent: bool, queue: u32) -> Option<Ticket> {
        let (sender, receiver) = oneshot::channel();
        let queued = self.state.lock().wait(now, Waiter::new(idempotent, sender), queue);
        if !queued {
            return None;
        }
        self.demand.notify_waiters();
        Some(Ticket::new(self.clone(), receiver))
    }

    /// Gives back a place after an attempt, with what the attempt showed.
    pub fn finish(&self, now: Instant, permit: Permit, sample: &Sample) -> Option<ServerChange> {
        self.state.lock().finish(now, permit, sample)
    }

    /// Gives back a place whose attempt was cancelled. The server may still be working on it, so
    /// the place stays taken for a while.
    pub fn abandon(&self, now: Instant, permit: Permit) {
        self.state.lock().abandon(now, permit);
    }

    /// Checks a place again right before it is used: since it was taken, the server may have been
    /// taken out, or its limit or claim may have changed. Brings [`Permit::until`] up to date.
    pub fn confirm(&self, now: Instant, permit: &mut Permit) -> bool {
        self.state.lock().confirm(now, permit)
    }

    /// Gives back a place that was never used.
    pub fn release(&self, now: Instant, permit: Permit) {
        self.state.lock().release(now, permit);
    }

    /// Gives back a place that was assigned to a waiting request and not taken.
    fn return_place(&self, permit: Permit) {
        self.state.lock().return_place(permit);
    }

    /// Takes over a report that came from a probe.
    pub fn record_probe(
        &self,
        now: Instant,
        vm: &name::Vm,
        report: LoadReport,
    ) -> Option<ServerChange> {
        self.state.lock().record_probe(now, vm, report)
    }

    /// Sets until when the claim on a server is confirmed. For a server that needs a claim, returns
    /// whether it is confirmed now if that has changed.
    pub fn set_claim(&self, now: Instant, vm: &name::Vm, until: Option<Instant>) -> Option<bool> {
        self.state.lock().set_claim(now, vm, until)
    }

    /// The held servers that may be used only under a claim.
    pub fn needing_claim(&self) -> Vec<name::Vm> {
        self.state.lock().needing_claim()
    }

    /// Takes a place for a probe if the server has one; probes count as load.
    pub fn acquire_for_probe(&self, now: Instant, vm: &name::Vm) -> Option<Permit> {
        self.state.lock().acquire_at(now, vm)
    }

    /// The servers that could be probed, if their reports are old enough.
    pub fn probe_candidates(&self) -> Vec<ProbeCandidate> {
        self.state.lock().probe_candidates()
    }

    /// Hands free places to waiting requests; to be called when time may have freed some.
    pub fn assign_free(&self, now: Instant) {
        self.state.lock().assign_free(now);
    }

    /// Sums over the held servers.
    pub fn capacity(&self, now: Instant) -> Capacity {
        self.state.lock().capacity(now)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting()
    }

    /// What is known of each held server.
    pub fn statuses(&self, now: Instant) -> Vec<ServerStatus> {
        self.state.lock().statuses(now)
    }

    /// Waits until a request waits here.
    pub async fn demand(&self) {
        loop {
            let mut notified = pin!(self.demand.notified());
            // Registered before the check, so that a request that comes in between is not missed.
            notified.as_mut().enable();
            if self.waiting() > 0 {
                return;
            }
            notified.await;
        }
    }

    /// Gives a place at a peer to the oldest waiting request. Returns whether one waited.
    pub fn lead(&self, lead: &Lead) -> bool {
        self.state.lock().lead(lead)
    }

    /// Free places now, or a channel that is told when a place becomes free that no local request
    /// waits for.
    pub fn vacancy(&self, now: Instant) -> Result<u32, oneshot::Receiver<u32>> {
        self.state.lock().vacancy(now)
    }
}
