//! Ports: what the decisions need from the outside.
//!
//! Adapters implement these traits. Decisions take them as type parameters, so calls on the request path are static.

use std::future::Future;
use std::net::SocketAddr;

use crate::event::Event;
use crate::name;
use crate::outcome::Evidence;
use crate::pool::Report;
use crate::request::Attempt;
use crate::time::Instant;

/// Time, including the time a VM is suspended.
pub trait Clock: Send + Sync + 'static {
    /// The current time.
    fn now(&self) -> Instant;

    /// Waits until `at`; returns at once if it has passed.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;
}

/// A source of random numbers.
pub trait Random: Send + Sync + 'static {
    /// A uniformly distributed number in `0..bound`; 0 if `bound` is 0.
    fn below(&self, bound: u64) -> u64;
}

/// What came back from a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// What the attempt proves.
    pub evidence: Evidence,
    /// The load report that came with the answer, if any.
    pub report: Option<Report>,
}

/// Sends attempts to servers.
pub trait Upstream: Send + Sync + 'static {
    /// Sends one attempt to the server at `address` and waits for its whole answer, at most until the attempt's
    /// deadline. Dropping the future closes the connection.
    fn send(&self, address: SocketAddr, attempt: Attempt<'_>)
    -> impl Future<Output = Reply> + Send;
}

/// Sends attempts to other entries.
pub trait Peer: Send + Sync + 'static {
    /// Forwards one attempt to the entry `vm` at `address`, which dispatches it at once or refuses it.
    fn forward(
        &self,
        vm: &name::Vm,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> impl Future<Output = Evidence> + Send;

    /// Waits until the entry at `address` has room for `service`, at most until `deadline`. Returns the number of
    /// free places, or 0 if there are none or the entry cannot be reached.
    fn vacancy(
        &self,
        address: SocketAddr,
        service: &name::Service,
        deadline: Instant,
    ) -> impl Future<Output = u32> + Send;
}

/// Records events for the time line.
pub trait Journal: Send + Sync + 'static {
    /// Records one event.
    fn record(&self, event: Event);
}
