//! The witness's side of leases.

use std::collections::BTreeMap;

use super::Claimant;
use super::PROMISE_DURATION;
use super::Target;
use crate::name;
use crate::time::Instant;

/// Largest number of promises kept, twice the number of servers in the design target. Further
/// claims are refused, because removing a promise early could promise a server to two entries.
pub const MAX_PROMISES: usize = 6_600;

/// The promises of a witness, with the claimant and the time of each.
#[derive(Debug, Clone)]
pub struct Promises {
    /// No promises are made before this time.
    no_promises_until: Instant,
    /// When expired promises are removed next.
    sweep_at: Instant,
    promises: BTreeMap<Target, Promise>,
}

#[derive(Debug, Clone)]
struct Promise {
    claimant: name::Vm,
    incarnation: u64,
    /// Highest round in which the claim was granted.
    round: u64,
    /// When the claim was last granted.
    renewed_at: Instant,
}

impl Promise {
    fn is_made_to(&self, claimant: Claimant<'_>) -> bool {
        self.incarnation == claimant.incarnation && self.claimant == *claimant.name
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.renewed_at + PROMISE_DURATION <= now
    }
}

impl Promises {
    /// Creates the state of a witness whose process started at `start`. It makes no promises for
    /// [`PROMISE_DURATION`], because the promises of an earlier process are not known.
    pub fn new(start: Instant) -> Self {
        let no_promises_until = start + PROMISE_DURATION;
        Self { no_promises_until, sweep_at: no_promises_until, promises: BTreeMap::new() }
    }

    /// Promises `target` to `claimant`, or refuses. Returns whether it is promised.
    ///
    /// `now` must be read after the claim arrived: the claimant counts from before it sent the
    /// claim, and with an earlier time the promise could expire while the claimant still counts it.
    ///
    /// A promise to another claimant or another incarnation is kept for [`PROMISE_DURATION`] after
    /// its last renewal, unless it is released.
    pub fn promise(&mut self, now: Instant, claimant: Claimant<'_>, target: &Target) -> bool {
        if now < self.no_promises_until {
            return false;
        }
        self.sweep(now);
        let full = self.promises.len() >= MAX_PROMISES;
        match self.promises.get_mut(target) {
            Some(promise) if promise.is_made_to(claimant) => {
                promise.round = promise.round.max(claimant.round);
                promise.renewed_at = promise.renewed_at.max(now);
                return true;
            }
            Some(promise) if !promise.is_expired(now) => return false,
            None if full => return false,
            _ => {}
        }
        self.insert(now, claimant, target);
        true
    }

    /// Removes the promise of `target` to `claimant`, unless it was renewed in the round of the
    /// release or a later one: the release was then delayed, and the claimant counts on the newer
    /// promise.
    pub fn release(&mut self, claimant: Claimant<'_>, target: &Target) {
        let promise = self.promises.get(target);
        if promise.is_some_and(|found| found.is_made_to(claimant) && found.round < claimant.round) {
            self.promises.remove(target);
        }
    }

    /// Number of promises, including those that expired since the last sweep.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn insert(&mut self, now: Instant, claimant: Claimant<'_>, target: &Target) {
        let promise = Promise {
            claimant: claimant.name.clone(),
            incarnation: claimant.incarnation,
            round: claimant.round,
            renewed_at: now,
        };
        self.promises.insert(target.clone(), promise);
    }

    /// Removes expired promises, once per [`PROMISE_DURATION`] to keep the cost per claim small.
    fn sweep(&mut self, now: Instant) {
        if now >= self.sweep_at {
            self.promises.retain(|_, promise| !promise.is_expired(now));
            self.sweep_at = now + PROMISE_DURATION;
        }
    }
}
