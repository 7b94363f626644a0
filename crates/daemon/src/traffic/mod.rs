//! Counts the bytes that connections receive and send.
//!
//! The traffic budget for control messages is stated in bytes per second, so each entry counts what
//! its listeners and connection pools receive and send, including HTTP heads but not TCP and IP
//! headers.

use prometheus_client::metrics::counter::Counter;

use crate::stream::ObservedStream;
use crate::stream::Observer;

/// Byte counters of a group of connections. Clones share the values.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received: Counter,
    /// Bytes sent.
    pub sent: Counter,
}

/// A stream that counts the bytes read and written.
pub type CountingStream<T> = ObservedStream<T, Traffic>;

impl Observer for Traffic {
    fn received(&self, bytes: usize) {
        self.received.inc_by(bytes as u64);
    }

    fn sent(&self, bytes: usize) {
        self.sent.inc_by(bytes as u64);
    }
}
