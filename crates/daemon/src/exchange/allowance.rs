//! Bounds what a server may send without getting its answer any further.
//!
//! Interim answers, the digits of a chunk's size and the like may go on without end, and the HTTP
//! client reads them as fast as they come: one such server occupies the thread that serves all
//! callers. A connection therefore has an allowance of bytes, which each exchange begins anew and
//! each piece of a body raises. When it is used up, reading fails.
//!
//! Within the allowance, the client would still read and decode all that has arrived before any
//! other task runs, also before the request's own task has seen the head. Bytes without progress are
//! therefore read in turns, between which the other tasks run.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::MAX_HEAD_BYTES;
use crate::stream::Observer;

/// Bytes that may arrive up to the end of the head of an answer: a head of the largest size, and
/// interim answers before it.
const HEAD_BYTES: usize = MAX_HEAD_BYTES + (16 << 10);

/// Bytes that may arrive after the head before the first piece of a body, such as the extension of a
/// chunk's size.
const BODY_START_BYTES: usize = 16 << 10;

/// Bytes that may arrive for each byte of a body. A chunk of one byte takes six.
const BYTES_PER_BODY_BYTE: usize = 16;

/// Bytes that are read in one turn without a piece of a body. Most heads are smaller.
const TURN_BYTES: usize = 8 << 10;

/// Most bytes that are read in one turn, however much of the body has arrived.
const MAX_TURN_BYTES: usize = 256 << 10;

/// Least limit of a read. Smaller reads would only cost time.
const MIN_READ_BYTES: usize = 4 << 10;

/// The bytes that a connection may still receive. Clones share the values.
#[derive(Debug, Clone)]
pub(super) struct Allowance {
    left: Arc<AtomicUsize>,
    left_in_turn: Arc<AtomicUsize>,
}

impl Allowance {
    /// The allowance of a connection before its first exchange.
    pub(super) fn new() -> Self {
        let bytes = |bytes| Arc::new(AtomicUsize::new(bytes));
        Self { left: bytes(HEAD_BYTES), left_in_turn: bytes(TURN_BYTES) }
    }

    /// Begins an exchange.
    pub(super) fn begin_head(&self) {
        self.left.store(HEAD_BYTES, Ordering::Relaxed);
        self.begin_turn();
    }

    /// Begins the body of an answer.
    pub(super) fn begin_body(&self) {
        self.left.store(BODY_START_BYTES, Ordering::Relaxed);
    }

    fn begin_turn(&self) {
        self.left_in_turn.store(TURN_BYTES, Ordering::Relaxed);
    }

    /// Raises the allowance for a piece of a body.
    fn extend(&self, body_bytes: usize) {
        let more = body_bytes.saturating_mul(BYTES_PER_BODY_BYTE);
        update(&self.left, |left| left.saturating_add(more));
        update(&self.left_in_turn, |left| left.saturating_add(more).min(MAX_TURN_BYTES));
    }
}

fn update(bytes: &AtomicUsize, update: impl Fn(usize) -> usize) {
    let update = |bytes| Some(update(bytes));
    let _ = bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
}

impl Observer for Allowance {
    /// At the end of a turn, once; the next turn begins with that.
    fn must_yield(&self) -> bool {
        let ends = self.left_in_turn.load(Ordering::Relaxed) == 0;
        if ends {
            self.begin_turn();
        }
        ends
    }

    /// Half of what is left: the connection may read on before the last piece of the body is counted.
    fn max_read(&self) -> io::Result<usize> {
        let in_turn = self.left_in_turn.load(Ordering::Relaxed);
        match self.left.load(Ordering::Relaxed) {
            0 => Err(io::Error::new(io::ErrorKind::InvalidData, "the answer makes no progress")),
            left => Ok(left.div_ceil(2).max(MIN_READ_BYTES).min(in_turn)),
        }
    }

    fn received(&self, bytes: usize) {
        update(&self.left, |left| left.saturating_sub(bytes));
        update(&self.left_in_turn, |left| left.saturating_sub(bytes));
    }

    fn sent(&self, _bytes: usize) {}
}

/// A body that raises the allowance of its connection with each piece that is read.
#[derive(Debug)]
pub(super) struct CreditedBody<B> {
    body: B,
    allowance: Allowance,
}

impl<B> CreditedBody<B> {
    pub(super) fn new(body: B, allowance: Allowance) -> Self {
        Self { body, allowance }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for CreditedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let result = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &result {
            self.allowance.extend(frame.data_ref().map_or(0, Bytes::len));
        }
        result
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
