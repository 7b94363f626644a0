//! Keeps reading from a connection to which nothing can be written any more.
//!
//! A server may refuse a request before it has read all of it and close the connection. The rest of
//! the request can then not be written, while the refusal has arrived and waits to be read. The HTTP
//! client would end the connection with the failed write, and the refusal, which proves that the
//! request did not run, would be lost.
//!
//! The kernel reports a reset once. If the failed write has got that report, the reads would show the
//! end of the stream instead, and an answer without a length would look complete.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// What the writes to a connection have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// No write has failed.
    Open,
    /// The other end had closed the connection, so that the end of the stream is the end of what it
    /// sent.
    Closed,
    /// The connection was reset. What the other end sent may be incomplete.
    Reset,
}

/// A stream that discards what is written once the other end has closed the connection. Reads return
/// what has arrived, and then the end of the stream, or an error if the connection was reset.
#[derive(Debug)]
pub(super) struct EarlyAnswerStream<T> {
    stream: T,
    state: WriteState,
}

impl<T> EarlyAnswerStream<T> {
    pub(super) fn new(stream: T) -> Self {
        Self { stream, state: WriteState::Open }
    }

    /// The result of a write of `len` bytes.
    fn write_result(
        &mut self,
        result: Poll<io::Result<usize>>,
        len: usize,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Err(err)) => match state_after(&err) {
                Some(state) => {
                    self.state = state;
                    Poll::Ready(Ok(len))
                }
                None => Poll::Ready(Err(err)),
            },
            result => result,
        }
    }

    fn is_open(&self) -> bool {
        self.state == WriteState::Open
    }
}

/// The state after a write that failed because the other end has closed or reset the connection; `None`
/// if it failed for another reason. A reset that follows the end of the stream is a broken pipe.
fn state_after(err: &io::Error) -> Option<WriteState> {
    match err.kind() {
        io::ErrorKind::BrokenPipe => Some(WriteState::Closed),
        io::ErrorKind::ConnectionReset => Some(WriteState::Reset),
        _ => None,
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for EarlyAnswerStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let is_end = matches!(result, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_end && self.state == WriteState::Reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for EarlyAnswerStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.is_open() {
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
        if !self.is_open() {
            return Poll::Ready(Ok(len));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.write_result(result, len)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
