//! Reads a body as a whole, within limits.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use prometheus_client::metrics::gauge::Gauge;
use quick_error::quick_error;
use tokio::time::timeout;

quick_error! {
    /// Why a body was not read.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The body is larger than the limit.
        Large(limit: usize) {
            display("the body has more than {} bytes", limit)
        }
        /// The body did not arrive in time.
        Timeout(limit: Duration) {
            display("the body did not arrive within {} ms", limit.as_millis())
        }
        /// All bodies together would hold more bytes than the budget allows.
        Budget {
            display("too many bytes of bodies are held")
        }
        /// The connection broke, or the body is not encoded as HTTP says.
        Broken {
            display("the connection broke before the end of the body")
        }
    }
}

/// Limit of the bytes of all bodies held at once. Clones share the limit.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    limit: usize,
    held: AtomicUsize,
    gauge: Gauge,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes; `gauge` follows the bytes held.
    pub fn new(limit: usize, gauge: Gauge) -> Self {
        Self { state: Arc::new(State { limit, held: AtomicUsize::new(0), gauge }) }
    }

    /// The bytes held now.
    pub fn used(&self) -> usize {
        self.state.held.load(Ordering::Relaxed)
    }

    fn share(&self) -> Share {
        Share { state: Arc::clone(&self.state), bytes: 0 }
    }
}

/// What one body holds of a budget, until it is dropped.
#[derive(Debug)]
struct Share {
    state: Arc<State>,
    bytes: usize,
}

impl Share {
    fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        let limit = self.state.limit;
        let fits = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
        self.state
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .map_err(|_| Error::Budget)?;
        self.bytes += bytes;
        self.state.gauge.inc_by(signed(bytes));
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.state.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.state.gauge.dec_by(signed(self.bytes));
    }
}

fn signed(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

/// Bytes together with their share of the budget.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads `body` as a whole. The bytes count against `budget` as they arrive, and until the last
/// clone of the result is dropped.
///
/// # Errors
///
/// The body has more than `limit` bytes, does not end within `time`, does not fit in the budget, or
/// breaks off. What was read is given up.
pub async fn read<B>(
    body: B,
    limit: usize,
    time: Duration,
    budget: &BufferBudget,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A declared length above the limit is refused before the body is received.
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(Error::Large(limit));
    }
    let share = budget.share();
    timeout(time, collect(body, declared, limit, share)).await.map_err(|_| Error::Timeout(time))?
}

async fn collect<B>(
    mut body: B,
    declared: usize,
    limit: usize,
    mut share: Share,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    // Most bodies arrive in one piece, which is kept as it is.
    let mut first = Bytes::new();
    let mut all: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        if first.len().max(all.len()) + data.len() > limit {
            return Err(Error::Large(limit));
        }
        share.grow(data.len())?;
        if first.is_empty() && all.is_empty() {
            first = data;
            continue;
        }
        if all.is_empty() {
            all.reserve(declared.max(first.len() + data.len()));
            all.extend_from_slice(&first);
            first = Bytes::new();
        }
        all.extend_from_slice(&data);
    }
    let bytes = if all.is_empty() { first } else { Bytes::from(all) };
    Ok(Bytes::from_owner(Held { bytes, _share: share }))
}
