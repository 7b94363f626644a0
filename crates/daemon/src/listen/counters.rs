//! Counters of a listener and its connections.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use crate::traffic::Traffic;

/// Counters of a listener. Clones share the values.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Connections accepted within the limit.
    pub accepted: Counter,
    /// Connections open now.
    pub open: Gauge,
    /// Connections refused because the limit was reached.
    pub refused: Counter,
    /// Connections closed because the bytes received were not a valid request or its head was too
    /// large.
    pub invalid: Counter,
    /// Those of the invalid ones whose bytes were not a valid request.
    pub malformed: Counter,
    /// Those of the invalid ones whose request had too large a head.
    pub large_heads: Counter,
    /// Connections closed at the timeout of the head, of the response or of an idle connection.
    pub expired: Counter,
    /// Failed attempts to accept a connection.
    pub accept_failures: Counter,
    /// Bytes received and sent on all connections.
    pub traffic: Traffic,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenGuard(Gauge);

impl OpenGuard {
    pub(super) fn new(counters: &Counters) -> Self {
        counters.accepted.inc();
        counters.open.inc();
        Self(counters.open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
