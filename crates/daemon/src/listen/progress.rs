//! The phase of a connection's current exchange and the time of its last progress.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::time::Instant;

use super::Limits;
use crate::stream::ObservedStream;
use crate::stream::Observer;

/// Phase of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has been received since the last response.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The service handles a request.
    Service,
    /// A response is being sent.
    Response,
}

impl Phase {
    fn from_code(code: u8) -> Self {
        match code {
            1 => Phase::Head,
            2 => Phase::Service,
            3 => Phase::Response,
            _ => Phase::Idle,
        }
    }
}

/// Phase of a connection and the time of its last progress. Only the connection's task uses it; the
/// atomics let the stream, the service and the driver in that task share it without a lock.
#[derive(Debug)]
pub(super) struct Progress {
    created: Instant,
    phase: AtomicU8,
    /// Nanoseconds from `created` to the last progress.
    progressed_at_nanos: AtomicU64,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self {
            created: Instant::now(),
            phase: AtomicU8::new(0),
            progressed_at_nanos: AtomicU64::new(0),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        Phase::from_code(self.phase.load(Relaxed))
    }

    /// Enters `phase`, or records progress within it.
    pub(super) fn enter(&self, phase: Phase) {
        // 2^64 ns are more than 500 years.
        let nanos = u64::try_from(self.created.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.progressed_at_nanos.store(nanos, Relaxed);
        self.phase.store(phase as u8, Relaxed);
    }

    /// When the connection is closed unless it makes progress. `None` while the service handles a
    /// request, since the service has time limits of its own.
    pub(super) fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let limit = match self.phase() {
            Phase::Idle => limits.idle_timeout,
            Phase::Head => limits.head_timeout,
            Phase::Response => limits.body_timeout,
            Phase::Service => return None,
        };
        Some(self.created + Duration::from_nanos(self.progressed_at_nanos.load(Relaxed)) + limit)
    }
}

/// A stream that records its reads and writes in a [`Progress`].
pub(super) type ProgressStream<T> = ObservedStream<T, Arc<Progress>>;

impl Observer for Arc<Progress> {
    fn received(&self, _bytes: usize) {
        if self.phase() == Phase::Idle {
            self.enter(Phase::Head);
        }
    }

    fn sent(&self, _bytes: usize) {
        if self.phase() == Phase::Response {
            self.enter(Phase::Response);
        }
    }

    /// Ends the response: hyper flushes only after it has written the whole response, because the
    /// body is a single buffer.
    fn flushed(&self) {
        if self.phase() == Phase::Response {
            self.enter(Phase::Idle);
        }
    }
}
