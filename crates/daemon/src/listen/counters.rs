//! Counters of a listener.

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
    /// Connections above the limit.
    pub refused: Counter,
    /// Connections closed because the bytes received were not a valid request or its head was too
    /// large.
    pub invalid: Counter,
    /// Connections closed at the time limit of the head, of the response or of being idle.
    pub expired: Counter,
    /// Failed attempts to accept a connection.
    pub accept_failures: Counter,
    /// Bytes of all its connections.
    pub traffic: Traffic,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct Open(Gauge);

impl Open {
    pub(super) fn new(counters: &Counters) -> Self {
        counters.accepted.inc();
        counters.open.inc();
        Self(counters.open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}
