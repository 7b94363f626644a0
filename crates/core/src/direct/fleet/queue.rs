//! How long a queue of a server may get.
//!
//! Servers do not publish how many requests they queue, and some never answer a request for which
//! their queue has no room. A queue is therefore trusted only up to the length that load reports
//! have shown, and no longer than the one at which a server last stayed silent.

/// Longest trusted queue of the servers of a service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Length that was shown; `None` before any server had a queue.
    shown: Option<u32>,
}

impl Queue {
    /// Requests that may wait at a server with `slots` slots. Before anything was shown, this is
    /// half as many as run, a wait that is short beside the work itself.
    pub(super) fn limit(&self, slots: u32) -> u32 {
        self.shown.unwrap_or(slots / 2)
    }

    /// Records that `waiting` requests wait at a server with `slots` slots.
    pub(super) fn record_waiting(&mut self, waiting: u32, slots: u32) {
        if waiting > self.limit(slots) {
            self.shown = Some(waiting);
        }
    }

    /// Records that a server did not answer a request that was sent when all its slots were in use
    /// and `waiting` requests waited.
    pub(super) fn record_silence(&mut self, waiting: u32, slots: u32) {
        self.shown = Some(waiting.min(self.limit(slots)));
    }
}
