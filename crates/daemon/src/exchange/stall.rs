use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

/// A body that fails when nothing of it arrives for a time. A large body on a slow link may take
/// long, and would begin anew if it were cut off.
#[derive(Debug)]
pub(super) struct StallGuard {
    body: Incoming,
    limit: Duration,
    stalled: Pin<Box<Sleep>>,
}

impl StallGuard {
    /// Guards `body`, of which something must arrive within each `limit`.
    pub(super) fn new(body: Incoming, limit: Duration) -> Self {
        Self { body, limit, stalled: Box::pin(tokio::time::sleep(limit)) }
    }
}

impl Body for StallGuard {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        match Pin::new(&mut this.body).poll_frame(context) {
            Poll::Ready(frame) => {
                this.stalled.as_mut().reset(Instant::now() + this.limit);
                Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
            }
            Poll::Pending => match this.stalled.as_mut().poll(context) {
                Poll::Ready(()) => Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into()))),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
