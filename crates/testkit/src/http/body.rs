use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// A body in one frame, with or without a known size.
#[derive(Debug, Default)]
pub struct Body {
    data: Option<Bytes>,
    sized: bool,
}

impl Body {
    /// A body whose size is known, so that the header declares its length.
    pub fn sized(data: impl Into<Bytes>) -> Self {
        Self { data: Some(data.into()), sized: true }
    }

    /// A body of unknown size. With a larger `content-length` in the header the answer is
    /// truncated: hyper closes the connection when the body ends early.
    pub fn of_unknown_size(data: impl Into<Bytes>) -> Self {
        Self { data: Some(data.into()), sized: false }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = self.data.take().filter(|data| !data.is_empty());
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.sized && self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        if !self.sized {
            return SizeHint::default();
        }
        let len = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(len as u64)
    }
}
