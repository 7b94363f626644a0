//! How recently the state of this entry was known to be the store's latest, and what the entry may
//! claim with a state of that age.

use std::time::Duration;

use crate::time::Instant;

/// Age of the last freshness proof up to which an entry may claim that something does not exist.
/// Changes come into force within this time.
const MAX_UP_TO_DATE_AGE: Duration = Duration::from_secs(2);

/// Age of the last freshness proof from which on an entry without live peers is fenced and refuses
/// new requests: it cannot know which failure domains are out of service and which servers have
/// left.
const FENCE_AFTER: Duration = Duration::from_secs(5);

/// The last freshness proof of this entry.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    started_at: Instant,
    proved_at: Option<Instant>,
}

impl Freshness {
    /// Creates the state of an entry that has no proof yet.
    pub fn new(started_at: Instant) -> Self {
        Self { started_at, proved_at: None }
    }

    /// Records that the entry was known to hold the store's latest state at `at`.
    pub fn record_proof(&mut self, at: Instant) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Discards the proof after the process was suspended: messages that arrived meanwhile, and that
    /// were taken for proofs when they were read, may be older than they state.
    pub fn discard(&mut self) {
        self.proved_at = None;
    }

    /// Age of the last proof; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Whether changes that are not known here are too recent to be in force. Only then may the
    /// entry tell a caller that a route does not exist, which ends the request for good.
    pub fn is_up_to_date(&self, now: Instant) -> bool {
        self.proof_age(now).is_some_and(|age| age <= MAX_UP_TO_DATE_AGE)
    }

    /// Whether the entry must refuse new requests if it has no live peers either. An entry that has
    /// just started has had no time to get a proof.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.since(self.started_at) > FENCE_AFTER
            && self.proof_age(now).is_none_or(|age| age > FENCE_AFTER)
    }
}
