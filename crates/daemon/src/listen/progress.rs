//! The phase of a connection's current exchange and the time of its last progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

use super::Limits;

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
#[derive(Debug)]
pub(super) struct ProgressStream<T> {
    stream: T,
    progress: Arc<Progress>,
}

impl<T> ProgressStream<T> {
    pub(super) fn new(stream: T, progress: Arc<Progress>) -> Self {
        Self { stream, progress }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(_)) = result
            && self.progress.phase() == Phase::Response
        {
            self.progress.enter(Phase::Response);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ProgressStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before && self.progress.phase() == Phase::Idle {
            self.progress.enter(Phase::Head);
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ProgressStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Ends the response: hyper flushes only after it has written the whole response, because the
    /// body is a single buffer.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) && self.progress.phase() == Phase::Response {
            self.progress.enter(Phase::Idle);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
