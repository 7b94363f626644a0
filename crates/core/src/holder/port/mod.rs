//! Ports through which holder-based server selection reaches servers, peers and documents.

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
use crate::holder::pool::LoadReport;
use crate::name;
use crate::outcome::Evidence;
use crate::port::Clock;
use crate::port::Random;
use crate::request::Attempt;
use crate::time::Instant;

/// The result of an attempt sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Whether the attempt ran, and its answer if it did.
    pub evidence: Evidence,
    /// The load report in the answer, if any.
    pub report: Option<LoadReport>,
}

/// Sends attempts to servers.
pub trait Upstream: Send + Sync + 'static {
    /// Sends one attempt to the server at `address` and waits for its whole answer, at most until
    /// the attempt's deadline. Dropping the future closes the connection.
    fn send(&self, address: SocketAddr, attempt: Attempt<'_>)
    -> impl Future<Output = Reply> + Send;

    /// Requests a load report from the server at `address`. `None` if there is none within
    /// `timeout`.
    fn probe(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}

/// The result of an attempt forwarded to another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardReply {
    /// Whether the attempt ran, and its answer if it did.
    pub evidence: Evidence,
    /// Free slots that the peer has for the service; `None` if the reply does not say.
    pub free: Option<u32>,
}

/// Forwards attempts to other entries.
pub trait Peer: Send + Sync + 'static {
    /// Forwards one attempt to the entry `vm` at `address`, which dispatches it at once or refuses
    /// it.
    fn forward(
        &self,
        vm: &name::Vm,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> impl Future<Output = ForwardReply> + Send;

    /// Waits until the entry at `address` has free slots for `service`, at most until `deadline`.
    /// Returns the number of free slots, or 0 if there are none or the entry cannot be reached.
    fn vacancy(
        &self,
        address: SocketAddr,
        service: &name::Service,
        deadline: Instant,
    ) -> impl Future<Output = u32> + Send;
}

/// Exchanges heartbeats, claims and documents with other entries.
pub trait Coordination: Send + Sync + 'static {
    /// Sends a heartbeat to the entry at `address` and returns the one in its answer. `None` if it
    /// does not answer within `timeout`.
    fn heartbeat(
        &self,
        address: SocketAddr,
        message: &HeartbeatMessage,
        timeout: Duration,
    ) -> impl Future<Output = Option<HeartbeatMessage>> + Send;

    /// Asks the witness at `address` for promises. `None` if it does not answer within `timeout`.
    fn claim(
        &self,
        address: SocketAddr,
        claim: &Claim<'_>,
        timeout: Duration,
    ) -> impl Future<Output = Option<Grant>> + Send;

    /// Fetches the document in force at the entry at `address`. `None` if the entry has none or
    /// does not answer within `timeout`.
    fn document(
        &self,
        address: SocketAddr,
        kind: DocumentKind,
        timeout: Duration,
    ) -> impl Future<Output = Option<Vec<u8>>> + Send;
}

/// Parses documents as the platform publishes them.
pub trait Parser: Send + Sync + 'static {
    /// Parses a configuration. The error text is for operators.
    ///
    /// # Errors
    ///
    /// The reason why the document is not valid.
    fn config(&self, bytes: &[u8]) -> Result<Config, String>;

    /// Parses a VM list. The error text is for operators.
    ///
    /// # Errors
    ///
    /// The reason why the document is not valid.
    fn list(&self, bytes: &[u8]) -> Result<VmList, String>;

    /// The revision or version that a document states, even if the document is not valid; 0 if it
    /// states none.
    fn number(&self, kind: DocumentKind, bytes: &[u8]) -> u64;
}

/// All ports of an entry, so that the code that uses them has one type parameter.
pub trait Ports: Send + Sync + 'static {
    /// The clock.
    type Clock: Clock;
    /// The source of random numbers.
    type Random: Random;
    /// The client of servers.
    type Upstream: Upstream;
    /// The client of other entries.
    type Peer: Peer + Coordination;
    /// The parser of documents.
    type Parser: Parser;

    /// The clock.
    fn clock(&self) -> &Self::Clock;

    /// The source of random numbers.
    fn random(&self) -> &Self::Random;

    /// The client of servers.
    fn upstream(&self) -> &Self::Upstream;

    /// The client of other entries.
    fn peer(&self) -> &Self::Peer;

    /// The parser of documents.
    fn parser(&self) -> &Self::Parser;
}

/// Records events on the time line.
pub trait Journal {
    /// Records one event.
    fn record(&self, event: Event);
}
