//! Keeps reading from a connection to which nothing can be written any more.
//!
//! A server may refuse a request before it has read all of it and close the connection. The rest of
//! the request can then not be written, while the refusal has arrived and waits to be read. The HTTP
//! client would end the connection with the failed write, and the refusal, which proves that the
//! request did not run, would be lost.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A stream that discards what is written once the other end has closed the connection. Reads return
/// what has arrived, and then the end of the stream or an error.
#[derive(Debug)]
pub(super) struct EarlyAnswerStream<T> {
    stream: T,
    /// Whether a write has failed because the other end has closed the connection.
    closed: bool,
}

impl<T> EarlyAnswerStream<T> {
    pub(super) fn new(stream: T) -> Self {
        Self { stream, closed: false }
    }

    /// The result of a write of `len` bytes.
    fn write_result(
        &mut self,
        result: Poll<io::Result<usize>>,
        len: usize,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Err(err)) if is_close(&err) => {
                self.closed = true;
                Poll::Ready(Ok(len))
            }
            result => result,
        }
    }
}

/// Whether the error says that the other end has closed the connection.
fn is_close(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset)
}

impl<T: AsyncRead + Unpin> AsyncRead for EarlyAnswerStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for EarlyAnswerStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.closed {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.write_result(result, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bytes.iter().map(|slice| slice.len()).sum();
        if self.closed {
            return Poll::Ready(Ok(len));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.write_result(result, len)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closed {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
