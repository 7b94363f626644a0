//! The servers of one service that this entry holds, and the requests that wait for them.
//!
//! Only the entry that holds a server sends to it, so the pool knows the exact number of requests
//! in flight and binds a request to a server only when that server has room. It issues a [`Permit`]
//! for each request in flight. A request that gets no permit waits in the pool, not in a server's
//! queue. When a permit becomes free, the oldest waiting request gets it; if none waits, one peer
//! that waits for a vacancy is notified.
//!
//! Each server has a [`Limit`] that adapts to its answers. A server that is not warm, or that is
//! draining, is used only under a confirmed claim, and work sent to it must end before the claim
//! does.

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

pub use self::limit::AttemptResult;
pub use self::limit::Change;
pub use self::limit::Limit;
pub use self::limit::LimitPolicy;
pub use self::limit::Sample;
pub use self::limit::Warmth;
pub use self::load_report::LoadReport;
pub use self::server::ServerSpec;
pub use self::server::ServerStatus;
pub use self::ticket::Ticket;

/// Permission to send one attempt or probe to a held server.
///
/// A permit must be returned with [`Pool::finish`], [`Pool::abandon`] or [`Pool::release`].
#[derive(Debug)]
#[must_use = "a permit that is not returned reduces the server's capacity for good"]
pub struct Permit {
    /// Identifies the server in the pool.
    pub(crate) key: u64,
    pub(crate) vm: name::Vm,
    pub(crate) address: SocketAddr,
    pub(crate) work_until: Option<Instant>,
    /// Timeout of an attempt that another one may follow.
    pub(crate) attempt_timeout: Duration,
    /// Time before the request's deadline within which an answer is likely.
    pub(crate) time_needed: Duration,
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

    /// When work sent to the server must have ended, if the server is used under a claim.
    pub fn work_until(&self) -> Option<Instant> {
        self.work_until
    }
}

/// Another entry that reported room for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// The entry's VM.
    pub vm: name::Vm,
    /// Where the entry accepts connections of other entries.
    pub address: SocketAddr,
}

/// Where an attempt is sent.
#[derive(Debug)]
pub enum Destination {
    /// A held server.
    Server(Permit),
    /// A peer that reported room.
    Peer(PeerEntry),
}

/// Capacity of the held servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Sum of the limits of the servers that may receive work.
    pub limit: u32,
    /// Requests that could be sent at once.
    pub free: u32,
}

/// Changes to the set of held servers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldDiff {
    /// Servers that are now held.
    pub added: Vec<name::Vm>,
    /// Servers that are no longer held.
    pub removed: Vec<name::Vm>,
    /// Servers that no longer receive new work, with the reason.
    pub excluded: Vec<(name::Vm, Arc<str>)>,
    /// Servers that may receive new work again.
    pub included: Vec<name::Vm>,
}

/// A held server that may need a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeCandidate {
    /// The server.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Largest number of probes per minute from all entries together.
    pub probes_per_minute: u32,
    /// When its latest load report arrived.
    pub reported_at: Option<Instant>,
}

/// A state change of a held server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerChange {
    /// The server.
    pub vm: name::Vm,
    /// The change.
    pub change: Change,
}

/// The held servers and waiting requests of one service.
#[derive(Debug)]
pub struct Pool {
    service: name::Service,
    state: Mutex<State>,
    /// Notified when a request starts to wait.
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

    /// Replaces the set of held servers and returns the changes. A server that stays in the set
    /// keeps its state. A new server counts as cold, and so does one that comes back into service.
    pub fn set_held(&self, now: Instant, specs: &[ServerSpec]) -> HeldDiff {
        self.state.lock().set_held(now, specs)
    }

    /// Acquires a permit for the server with room that is expected to answer soonest. `None` if no
    /// server has room or if earlier requests wait.
    pub fn acquire(&self, now: Instant, idempotent: bool) -> Option<Permit> {
        self.state.lock().acquire(now, idempotent)
    }

    /// Queues a request for the next free permit or vacancy at a peer. `None` if `queue_limit`
    /// requests wait already.
    pub fn enqueue(
        self: &Arc<Self>,
        now: Instant,
        idempotent: bool,
        queue_limit: u32,
    ) -> Option<Ticket> {
        let (sender, receiver) = oneshot::channel();
        let queued = self.state.lock().enqueue(now, Waiter::new(idempotent, sender), queue_limit);
        if !queued {
            return None;
        }
        self.demand.notify_waiters();
        Some(Ticket::new(self.clone(), receiver))
    }

    /// Returns a permit after an attempt and applies the result of the attempt. Returns the state
    /// change of the server that it causes, if any.
    pub fn finish(&self, now: Instant, permit: Permit, sample: &Sample) -> Option<ServerChange> {
        self.state.lock().finish(now, permit, sample)
    }

    /// Returns the permit of a cancelled attempt. The server may still be working on the attempt,
    /// so it counts as in flight for a while longer.
    pub fn abandon(&self, now: Instant, permit: Permit) {
        self.state.lock().abandon(now, permit);
    }

    /// Checks right before a permit is used whether it is still valid: since it was acquired, the
    /// server may have been taken out of service, or its limit or claim may have changed. Updates
    /// [`Permit::work_until`].
    pub fn recheck(&self, now: Instant, permit: &mut Permit) -> bool {
        self.state.lock().recheck(now, permit)
    }

    /// Returns a permit whose request was not sent, or whose probe has ended.
    pub fn release(&self, now: Instant, permit: Permit) {
        self.state.lock().release(now, permit);
    }

    /// Returns a permit that was assigned to a waiting request and not received.
    fn release_unused(&self, permit: Permit) {
        self.state.lock().release_unused(permit);
    }

    /// Applies the load report of a probe. Returns the state change of the server that it causes,
    /// if any.
    pub fn record_probe(
        &self,
        now: Instant,
        vm: &name::Vm,
        report: LoadReport,
    ) -> Option<ServerChange> {
        self.state.lock().record_probe(now, vm, report)
    }

    /// Sets the time until which the claim on a server is confirmed, if any. If this changes
    /// whether a server that needs a claim has a confirmed one, returns whether it has one now.
    pub fn set_claim(&self, now: Instant, vm: &name::Vm, until: Option<Instant>) -> Option<bool> {
        self.state.lock().set_claim(now, vm, until)
    }

    /// The held servers in service that may be used only under a claim.
    pub fn needing_claim(&self) -> Vec<name::Vm> {
        self.state.lock().needing_claim()
    }

    /// Acquires a permit for a probe, which counts as load. `None` if the server has no room.
    pub fn acquire_for_probe(&self, now: Instant, vm: &name::Vm) -> Option<Permit> {
        self.state.lock().acquire_for_probe(now, vm)
    }

    /// The held servers in service, which are probed when their load reports are too old.
    pub fn probe_candidates(&self) -> Vec<ProbeCandidate> {
        self.state.lock().probe_candidates()
    }

    /// Assigns free permits to waiting requests and notifies waiting peers of the rest. Must be
    /// called from time to time, because back-offs and orphaned attempts end by time alone.
    pub fn assign_free(&self, now: Instant) {
        self.state.lock().assign_free(now);
    }

    /// The capacity of the held servers.
    pub fn capacity(&self, now: Instant) -> Capacity {
        self.state.lock().capacity(now)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting()
    }

    /// The status of each held server, for operators.
    pub fn statuses(&self, now: Instant) -> Vec<ServerStatus> {
        self.state.lock().statuses(now)
    }

    /// Waits until a request waits in the queue.
    pub async fn wait_for_demand(&self) {
        loop {
            let mut notified = pin!(self.demand.notified());
            // Registers before the check, so that a request that arrives in between is not missed.
            notified.as_mut().enable();
            if self.waiting() > 0 {
                return;
            }
            notified.await;
        }
    }

    /// Assigns a vacancy at a peer to the oldest waiting request. Returns whether one waited.
    pub fn assign_peer(&self, peer: &PeerEntry) -> bool {
        self.state.lock().assign_peer(peer)
    }

    /// The number of requests that could be sent at once, if any, or a channel that is notified
    /// when a permit becomes free for which no local request waits.
    ///
    /// # Errors
    ///
    /// The channel. It is closed at once if too many peers wait already.
    pub fn vacancy(&self, now: Instant) -> Result<u32, oneshot::Receiver<u32>> {
        self.state.lock().vacancy(now)
    }
}
