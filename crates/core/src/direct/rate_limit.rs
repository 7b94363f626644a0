//! Rate limits that servers name, shared by all entries without coordination.
//!
//! Load pattern: a server in need takes one or two requests per second from many entries, each of
//! which gets several requests per second. An equal share for each entry would be a request in a
//! minute, so the first entries by rank for the server, its owners, share the limit. All others do
//! not send to it. Every entry probes a server before it sends to it, and the answer names the limit,
//! so no entry sends because it does not know the limit.

use std::time::Duration;

use quick_error::quick_error;

use crate::time::Instant;

/// Least number of owners of a server, so that its places stay in use when one of them ends.
const MIN_OWNERS: usize = 3;

/// Requests per second for which a server gets one more owner. Some services have only a few
/// requests per second at each entry.
const RATE_PER_OWNER: f64 = 2.0;

/// Tokens that an owner saves. The most urgent requests take one as soon as there is a whole one.
const MAX_TOKENS: f64 = 1.5;

/// Additional tokens that a request needs for each step of its priority. While requests are refused
/// because of the limits, the more urgent ones thus get the places first.
const TOKENS_PER_PRIORITY: f64 = 0.25;

quick_error! {
    /// Why a number is no rate limit.
    #[derive(Debug, Clone, Copy, PartialEq)]
    pub enum Error {
        /// The number is negative, infinite or not a number.
        Rate(per_second: f64) {
            display("{} requests per second is no rate limit", per_second)
        }
    }
}

/// Requests per second that a server takes from all entries together; zero if it takes none.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Requests per second, finite and not negative.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Self(per_second)).ok_or(Error::Rate(per_second))
    }
}

/// Requests per second that the entry with this `rank` for the server may send, of `entries` live
/// entries; zero if it is not one of its owners.
pub fn share(limit: RateLimit, rank: usize, entries: usize) -> f64 {
    // The cast saturates at the limits of usize; a limit is never negative.
    let wanted = (limit.0 / RATE_PER_OWNER).ceil() as usize;
    let owners = wanted.max(MIN_OWNERS).min(entries.max(1));
    if rank < owners { limit.0 / f64::from(u32::try_from(owners).unwrap_or(u32::MAX)) } else { 0.0 }
}

/// Token bucket of the requests that one entry may send to a server that names a limit.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    /// Tokens per second.
    share: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// A bucket with a part of a token and no share yet. If the parts of all entries spread evenly
    /// between 0 and 1, the server gets requests at its rate from the start, and no burst of them.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self { share: 0.0, tokens, refilled_at: now }
    }

    /// Sets the share from `now` on, in requests per second.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.share = share;
    }

    /// Whether a request of `priority` may be sent; 0 is the most urgent one.
    pub fn allows(&self, priority: u32, now: Instant) -> bool {
        self.share > 0.0 && self.tokens_at(now) >= tokens_needed(priority)
    }

    /// Takes a token for a request of `priority`; false if it may not be sent.
    pub fn try_send(&mut self, priority: u32, now: Instant) -> bool {
        let allowed = self.allows(priority, now);
        if allowed {
            self.tokens = self.tokens_at(now) - 1.0;
            self.refilled_at = now;
        }
        allowed
    }

    /// Time until a request of `priority` may be sent; `None` if this entry has no share.
    pub fn wait(&self, priority: u32, now: Instant) -> Option<Duration> {
        let missing = (tokens_needed(priority) - self.tokens_at(now)).max(0.0);
        (self.share > 0.0)
            .then(|| Duration::try_from_secs_f64(missing / self.share).unwrap_or(Duration::MAX))
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let refilled = self.share * now.since(self.refilled_at).as_secs_f64();
        (self.tokens + refilled).min(MAX_TOKENS)
    }
}

/// Tokens that must be there for a request of `priority`, of which it takes one.
fn tokens_needed(priority: u32) -> f64 {
    (1.0 + TOKENS_PER_PRIORITY * f64::from(priority)).min(MAX_TOKENS)
}
