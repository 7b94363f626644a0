//! A stream that reports its reads and writes, and whose reads can be limited and put off.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Is told what a stream reads and writes.
pub trait Observer: Unpin {
    /// Whether other tasks are to run before the next read. Asked before each read.
    fn must_yield(&self) -> bool {
        false
    }

    /// The largest number of bytes that the next read may return.
    ///
    /// # Errors
    ///
    /// The stream must not be read any more; the read fails with the error.
    fn max_read(&self) -> io::Result<usize> {
        Ok(usize::MAX)
    }

    /// `bytes` bytes were read, at least one.
    fn received(&self, bytes: usize);

    /// A write took `bytes` bytes.
    fn sent(&self, bytes: usize);

    /// Everything written before was flushed.
    fn flushed(&self) {}
}

/// A stream that tells an [`Observer`] about its reads and writes.
#[derive(Debug)]
pub struct ObservedStream<T, O> {
    stream: T,
    observer: O,
}

impl<T, O: Observer> ObservedStream<T, O> {
    /// Wraps `stream`, whose reads and writes `observer` is told about.
    pub fn new(stream: T, observer: O) -> Self {
        Self { stream, observer }
    }

    fn report_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.observer.sent(*bytes);
        }
    }
}

/// Lets the other tasks run, and first those that wait for input which has arrived, which waking this
/// task at once would not.
fn yield_now<T>(cx: &mut Context<'_>) -> Poll<T> {
    let _ = pin!(tokio::task::yield_now()).poll(cx);
    Poll::Pending
}

impl<T: AsyncRead + Unpin, O: Observer> AsyncRead for ObservedStream<T, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.observer.must_yield() {
            return yield_now(cx);
        }
        let max_bytes = self.observer.max_read()?;
        let before = buffer.filled().len();
        let stream = Pin::new(&mut self.stream);
        let result = if max_bytes < buffer.remaining() {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
            let result = stream.poll_read(cx, &mut part);
            let bytes = part.filled().len();
            buffer.advance(bytes);
            result
        } else {
            stream.poll_read(cx, buffer)
        };
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.observer.received(bytes);
        }
        result
    }
}

impl<T: AsyncWrite + Unpin, O: Observer> AsyncWrite for ObservedStream<T, O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.report_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.report_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.observer.flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
