//! HTTP listeners with limits on connections, message heads and time, and with a graceful stop.
//!
//! hyper reads and writes HTTP/1.1; this module decides when a connection ends. Each connection is
//! one task that polls hyper and then checks the phase in [`progress`]: idle, receiving a head, in
//! the service, or sending a response. Each phase except the service has its own timeout. hyper's
//! `header_read_timeout` is not used, because it starts at the end of the previous response and
//! would close idle connections as well.
//!
//! A stop closes the listener, lets each exchange end, and closes idle connections after a short
//! grace period, since a request may already be under way. A request in the service is never
//! interrupted.

mod accept;
pub mod body;
mod connection;
mod counters;
mod progress;
mod refusal;

use std::net::SocketAddr;
use std::time::Duration;

pub use self::accept::bind;
pub use self::accept::serve;
pub use self::body::BufferBudget;
pub use self::counters::Counters;

/// Limits of a listener and its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections open at the same time.
    pub connections: usize,
    /// Size of a request's line and header fields in bytes; at least 8192.
    pub head_bytes: usize,
    /// Time from the first byte of a request to the end of its header fields.
    pub head_timeout: Duration,
    /// Time to receive a body, and longest time without progress while a response is sent.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// The connection of a request, as passed to its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    /// Address of the other end.
    pub remote: SocketAddr,
}
