//! Listeners: accept loop and connection driver, with limits and a graceful stop.
//!
//! hyper reads and writes HTTP/1.1; this module decides when a connection ends. Each connection is
//! one task that polls hyper and, after each poll, looks at the connection's [`progress`]: idle,
//! receiving a head, in the service, or sending a response. Each of these but the service has a
//! time limit of its own; hyper's `header_read_timeout` is not used, because it starts when the
//! previous response ends and would close idle connections as well.
//!
//! A stop closes the listener, lets each exchange end, and closes idle connections after a short
//! wait, since a request may already be on its way. Nothing that a service handles is cut.

mod accept;
pub mod body;
mod counters;
mod drive;
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
    /// Number of connections at once.
    pub connections: usize,
    /// Size of a request's line and header fields in bytes, at least 8192.
    pub head_bytes: usize,
    /// Time from the first byte of a request to the end of its header fields.
    pub head_timeout: Duration,
    /// Time to receive a body, and the longest pause while a response is sent.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// What a service learns about the connection of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    /// The other end of the connection.
    pub remote: SocketAddr,
}
