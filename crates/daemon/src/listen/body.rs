//! Reads a message body into memory, limited in size, time and memory shared with other bodies.

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
    /// Why a body could not be read.
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
        /// The bytes of all buffered bodies would exceed the [`BufferBudget`].
        Budget {
            display("too many bytes of bodies are held")
        }
        /// The connection broke, or the body's encoding is not valid HTTP.
        Broken {
            display("the connection broke before the end of the body")
        }
    }
}

/// Largest size of a body that may use all of a budget, in bytes.
const SMALL_BODY_BYTES: usize = 32 << 10;

/// Fraction of a budget that is for small bodies only: one in this many parts.
const RESERVED_FRACTION: usize = 7;

/// Limit of the bytes of all bodies buffered at the same time. Clones share the limit.
///
/// A part is kept for small bodies: a few large ones, such as answers that never end, could
/// otherwise use up the budget, and the other requests would be refused or lose their answers.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    usage: Arc<Usage>,
}

#[derive(Debug)]
struct Usage {
    /// Limit in bytes.
    limit: usize,
    /// Bytes in use.
    used: AtomicUsize,
    gauge: Gauge,
}

impl Usage {
    /// The bytes that may be in use after a body has grown to `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BODY_BYTES {
            self.limit
        } else {
            self.limit - self.limit / RESERVED_FRACTION
        }
    }
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes; `gauge` shows the bytes in use.
    pub fn new(limit: usize, gauge: Gauge) -> Self {
        Self { usage: Arc::new(Usage { limit, used: AtomicUsize::new(0), gauge }) }
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.usage.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes yet.
    fn reservation(&self) -> Reservation {
        Reservation { usage: Arc::clone(&self.usage), bytes: 0 }
    }
}

/// The bytes that one body uses of a budget. Dropping it returns them.
#[derive(Debug)]
struct Reservation {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Reservation {
    /// Reserves further `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::Budget`] if they exceed the limit.
    fn reserve(&mut self, bytes: usize) -> Result<(), Error> {
        let limit = self.usage.limit_for(self.bytes.saturating_add(bytes));
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.usage
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| Error::Budget)?;
        self.bytes += bytes;
        self.usage.gauge.inc_by(to_i64(bytes));
        Ok(())
    }

    /// Reserves what is missing to `bytes` in all.
    ///
    /// # Errors
    ///
    /// As for [`Self::reserve`].
    fn extend_to(&mut self, bytes: usize) -> Result<(), Error> {
        self.reserve(bytes.saturating_sub(self.bytes))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.usage.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.usage.gauge.dec_by(to_i64(self.bytes));
    }
}

fn to_i64(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

/// Bytes of a body with the reservation that accounts for them.
struct BudgetedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for BudgetedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole of `body`. Its bytes count against `budget` from their arrival until the last
/// clone of the result is dropped.
///
/// # Errors
///
/// The body has more than `limit` bytes, does not end within `time_limit`, does not fit in the
/// budget, or breaks off. The bytes read so far are dropped.
pub async fn read<B>(
    body: B,
    limit: usize,
    time_limit: Duration,
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
    let reservation = budget.reservation();
    timeout(time_limit, collect(body, declared, limit, reservation))
        .await
        .map_err(|_| Error::Timeout(time_limit))?
}

/// Collects the frames of a body. `declared` is the length from its head, 0 if there is none.
async fn collect<B>(
    mut body: B,
    declared: usize,
    limit: usize,
    mut reservation: Reservation,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    // Most bodies arrive in a single frame, which is kept without a copy.
    let mut first = Bytes::new();
    let mut joined: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        let len = first.len().max(joined.len()) + data.len();
        if len > limit {
            return Err(Error::Large(limit));
        }
        if first.is_empty() && joined.is_empty() {
            reservation.reserve(data.len())?;
            first = data;
            continue;
        }
        grow(&mut joined, len, declared, &mut reservation)?;
        if joined.is_empty() {
            joined.extend_from_slice(&first);
            first = Bytes::new();
        }
        joined.extend_from_slice(&data);
    }
    let bytes = if joined.is_empty() { first } else { Bytes::from(joined) };
    Ok(Bytes::from_owner(BudgetedBytes { bytes, _reservation: reservation }))
}

/// Grows `joined` to hold `len` bytes at least, and reserves what it then takes. A declared length may
/// never arrive, so that it only limits the growth.
fn grow(
    joined: &mut Vec<u8>,
    len: usize,
    declared: usize,
    reservation: &mut Reservation,
) -> Result<(), Error> {
    if len <= joined.capacity() {
        return Ok(());
    }
    let doubled = joined.capacity() * 2;
    let wanted = if declared > 0 { doubled.min(declared) } else { doubled };
    let mut capacity = wanted.max(len);
    if reservation.extend_to(capacity).is_err() {
        reservation.extend_to(len)?;
        capacity = len;
    }
    joined.reserve_exact(capacity - joined.len());
    Ok(())
}
