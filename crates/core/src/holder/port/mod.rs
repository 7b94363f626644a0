//! Ports of the choice by holders.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use crate::holder::config::Config;
use crate::holder::control::Claim;
use crate::holder::control::DocumentKind;
use crate::holder::control::Grant;
use crate::holder::control::HeartbeatMessage;
use crate::holder::event::Event;
use crate::holder::member::VmList;
use crate::holder::pool::Report;
use crate::name;
use crate::outcome::Evidence;
use crate::port::Clock;
use crate::port::Random;
use crate::request::Attempt;
use crate::time::Instant;

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
    /// Sends one attempt to the server at `address` and waits for its whole answer, at most until
    /// the attempt's deadline. Dropping the future closes the connection.
    fn send(&self, address: SocketAddr, attempt: Attempt<'_>)
    -> impl Future<Output = Reply> + Send;

    /// Asks the server at `address` for a report. `None` if it gives none in time.
    fn probe(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Option<Report>> + Send;
}

/// What came back from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardReply {
    /// What the attempt proves.
    pub evidence: Evidence,
    /// Requests of the service that the peer could dispatch at once, if it said so.
    pub free: Option<u32>,
}

/// Sends attempts to other entries.
pub trait Peer: Send + Sync + 'static {
    /// Forwards one attempt to the entry `vm` at `address`, which dispatches it at once or refuses
    /// it.
    fn forward(
        &self,
        vm: &name::Vm,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> impl Future<Output = ForwardReply> + Send;

    /// Waits until the entry at `address` has room for `service`, at most until `deadline`. Returns
    /// the number of free places, or 0 if there are none or the entry cannot be reached.
    fn vacancy(
        &self,
        address: SocketAddr,
        service: &name::Service,
        deadline: Instant,
    ) -> impl Future<Output = u32> + Send;
}

/// Keeps entries informed about each other.
pub trait Coordination: Send + Sync + 'static {
    /// Exchanges heartbeats with the entry at `address`. `None` if it does not answer in time.
    fn heartbeat(
        &self,
        address: SocketAddr,
        hello: &HeartbeatMessage,
        timeout: Duration,
    ) -> impl Future<Output = Option<HeartbeatMessage>> + Send;

    /// Asks the witness at `address` for promises. `None` if it does not answer in time.
    fn claim(
        &self,
        address: SocketAddr,
        claim: &Claim<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Option<Grant>> + Send;

    /// Fetches a document in force at the entry at `address`.
    fn document(
        &self,
        address: SocketAddr,
        kind: DocumentKind,
        timeout: Duration,
    ) -> impl Future<Output = Option<Vec<u8>>> + Send;
}

/// Reads documents as the platform publishes them.
pub trait Parser: Send + Sync + 'static {
    /// Reads a configuration; the error is for operators.
    ///
    /// # Errors
    ///
    /// Why the document is not valid.
    fn config(&self, bytes: &[u8]) -> Result<Config, String>;

    /// Reads a VM list; the error is for operators.
    ///
    /// # Errors
    ///
    /// Why the document is not valid.
    fn list(&self, bytes: &[u8]) -> Result<VmList, String>;

    /// The number that a document claims to have, even if it is not valid; 0 if it has none.
    fn number(&self, kind: DocumentKind, bytes: &[u8]) -> u64;
}

/// All ports of an entry, so that decisions take one type parameter.
pub trait Ports: Send + Sync + 'static {
    /// Time.
    type Clock: Clock;
    /// Random numbers.
    type Random: Random;
    /// Servers.
    type Upstream: Upstream;
    /// Other entries.
    type Peer: Peer + Coordination;
    /// Documents.
    type Parser: Parser;

    /// The clock.
    fn clock(&self) -> &Self::Clock;

    /// The source of random numbers.
    fn random(&self) -> &Self::Random;

    /// The way to servers.
    fn upstream(&self) -> &Self::Upstream;

    /// The way to other entries.
    fn peer(&self) -> &Self::Peer;

    /// The reader of documents.
    fn parser(&self) -> &Self::Parser;
}

/// Records events for the time line.
pub trait Journal {
    /// Records one event.
    fn record(&self, event: Event);
}
