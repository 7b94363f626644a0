//! Counts the bytes that connections receive and send.
//!
//! The traffic budget for control messages is stated in bytes per second, so each entry counts what
//! its listeners and connection pools receive and send, including HTTP heads but not TCP and IP
//! headers.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use prometheus_client::metrics::counter::Counter;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Byte counters of a group of connections. Clones share the values.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received: Counter,
    /// Bytes sent.
    pub sent: Counter,
}

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub struct CountingStream<T> {
    stream: T,
    traffic: Traffic,
}

impl<T> CountingStream<T> {
    /// Wraps `stream` and counts its bytes in `traffic`.
    pub fn new(stream: T, traffic: Traffic) -> Self {
        Self { stream, traffic }
    }

    fn count_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.traffic.sent.inc_by(*bytes as u64);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountingStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.traffic.received.inc_by(bytes as u64);
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountingStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.count_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
