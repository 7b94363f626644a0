//! Request bodies that are passed on as they arrive.
//!
//! A body that is read whole before it is sent needs memory for all of it, and its server gets it
//! later. An [`Upload`] holds the caller's body instead, and the exchange with the server reads from
//! it: a server that reads slowly slows down the caller. Each frame exists once. The end of the
//! body is sent only if the caller has sent it, so a server never takes a cut body for a whole one.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::Notify;

use jackdawpin_core::direct::port;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;

quick_error! {
    /// Why a body could not be passed on to its end.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The body is larger than the limit.
        Large(limit: usize) {
            display("the body has more than {} bytes", limit)
        }
        /// The caller's connection broke, or the body's encoding is not valid HTTP.
        Broken {
            display("the caller's connection broke before the end of the body")
        }
        /// Another exchange has the body, or has read a part of it.
        Taken {
            display("the body was passed on by another exchange")
        }
    }
}

/// The body of a request, which is passed on to one server as it arrives.
#[derive(Debug)]
pub struct Upload {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when an exchange gives the body back.
    returned: Notify,
}

#[derive(Debug)]
struct State {
    /// The caller's body, unless an exchange has it.
    body: Option<Incoming>,
    /// Bytes that may still arrive.
    bytes_left: usize,
    limit: usize,
    begun: bool,
    ended: bool,
    error: Option<Error>,
}

impl State {
    /// The caller's body, if no exchange has it and nothing of it was passed on. What an earlier
    /// exchange has read is gone, and the rest alone would look like a whole body.
    fn take_untouched(&mut self) -> Option<Incoming> {
        if self.begun { None } else { self.body.take() }
    }
}

impl Upload {
    /// Passes `body` on, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Large`], with the body, if it states a length above the limit.
    pub fn new(body: Incoming, limit: usize) -> Result<Self, (Error, Incoming)> {
        if usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX) > limit {
            return Err((Error::Large(limit), body));
        }
        let state = State {
            ended: body.is_end_stream(),
            body: Some(body),
            bytes_left: limit,
            limit,
            begun: false,
            error: None,
        };
        let state = Mutex::new(Rank::Connections, state);
        Ok(Self { shared: Arc::new(Shared { state, returned: Notify::new() }) })
    }

    /// The body for one exchange.
    pub fn stream(&self) -> Stream {
        let state = self.shared.state.lock();
        let size_hint = state.body.as_ref().map_or_else(SizeHint::default, Body::size_hint);
        Stream { shared: Arc::clone(&self.shared), body: None, size_hint, ended: state.ended }
    }

    /// Whether the whole body was passed on.
    pub fn has_ended(&self) -> bool {
        self.shared.state.lock().ended
    }

    /// Why the body could not be passed on to its end, if that is so.
    pub fn error(&self) -> Option<Error> {
        self.shared.state.lock().error
    }

    /// Reads and discards the rest of the body, once no exchange has it.
    pub async fn discard_rest(&self) {
        loop {
            let returned = self.shared.returned.notified();
            let body = self.shared.state.lock().body.take();
            if let Some(mut body) = body {
                while body.frame().await.is_some_and(|frame| frame.is_ok()) {}
                return;
            }
            if self.has_ended() {
                return;
            }
            returned.await;
        }
    }
}

impl port::Upload for Upload {
    fn has_begun(&self) -> bool {
        self.shared.state.lock().begun
    }
}

/// The body of an [`Upload`] in one exchange. Dropping it returns the rest of the body.
#[derive(Debug)]
pub struct Stream {
    shared: Arc<Shared>,
    /// The caller's body, from the first poll on.
    body: Option<Incoming>,
    size_hint: SizeHint,
    ended: bool,
}

impl Stream {
    /// Records the next frame, or the end of the body.
    fn record(&self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<FrameResult> {
        let mut state = self.shared.state.lock();
        let result = match frame {
            None => {
                state.ended = true;
                return None;
            }
            Some(Err(_)) => Err(Error::Broken),
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                state.begun = true;
                match state.bytes_left.checked_sub(bytes) {
                    Some(left) => {
                        state.bytes_left = left;
                        Ok(frame)
                    }
                    None => Err(Error::Large(state.limit)),
                }
            }
        };
        state.error = state.error.or(result.as_ref().err().copied());
        Some(result)
    }
}

type FrameResult = Result<Frame<Bytes>, Error>;

impl Body for Stream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let stream = self.get_mut();
        if stream.body.is_none() {
            stream.body = stream.shared.state.lock().take_untouched();
        }
        let Some(body) = &mut stream.body else {
            return Poll::Ready(Some(Err(Error::Taken)));
        };
        let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) else {
            return Poll::Pending;
        };
        let body_ended = body.is_end_stream();
        let result = stream.record(frame);
        if result.is_none() || (body_ended && matches!(result, Some(Ok(_)))) {
            stream.ended = true;
            stream.shared.state.lock().ended = true;
        }
        Poll::Ready(result)
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            self.shared.state.lock().body = Some(body);
        }
        self.shared.returned.notify_waiters();
    }
}

/// The body of a request to a server or peer.
#[derive(Debug)]
pub enum RequestBody {
    /// A body that is held whole.
    Full(Full<Bytes>),
    /// A body that is passed on as it arrives.
    Upload(Stream),
}

impl From<Full<Bytes>> for RequestBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Full(body)
    }
}

impl From<Stream> for RequestBody {
    fn from(body: Stream) -> Self {
        Self::Upload(body)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(cx).map(|frame| {
                frame.map(|frame| match frame {
                    Ok(frame) => Ok(frame),
                    Err(never) => match never {},
                })
            }),
            Self::Upload(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Upload(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Upload(body) => body.size_hint(),
        }
    }
}
