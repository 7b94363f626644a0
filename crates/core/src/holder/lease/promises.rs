use std::collections::BTreeMap;

use super::Claimant;
use super::HOLD;
use super::Target;
use crate::name;
use crate::time::Instant;

/// Largest number of promises kept, twice the number of servers of the design target. More are
/// refused: dropping a promise early could give a server to two entries.
pub const MAX_PROMISES: usize = 6_600;

/// What a witness promised, to whom and when.
#[derive(Debug, Clone)]
pub struct Promises {
    /// No promises before this time.
    silent_until: Instant,
    /// When expired promises are dropped next.
    sweep_at: Instant,
    promises: BTreeMap<Target, Promise>,
}

#[derive(Debug, Clone)]
struct Promise {
    claimant: name::Vm,
    incarnation: u64,
    /// Highest round that was granted.
    round: u64,
    /// When the latest claim was granted.
    last: Instant,
}

impl Promise {
    fn is_to(&self, claimant: Claimant<'_>) -> bool {
        self.incarnation == claimant.incarnation && self.claimant == *claimant.name
    }

    fn expired(&self, now: Instant) -> bool {
        self.last + HOLD <= now
    }
}

impl Promises {
    /// Creates the state of a witness that started at `start`. It promises nothing for [`HOLD`],
    /// because it does not know what it promised before.
    pub fn new(start: Instant) -> Self {
        let silent_until = start + HOLD;
        Self { silent_until, sweep_at: silent_until, promises: BTreeMap::new() }
    }

    /// Promises `target` to `claimant`, or refuses.
    ///
    /// `now` must be read after the claim arrived: the claimant counts from before it sent the
    /// claim, and an earlier reading could end the promise while it still counts.
    ///
    /// A promise to another claimant or another incarnation stands until [`HOLD`] after its last
    /// renewal, unless it was released.
    pub fn promise(&mut self, now: Instant, claimant: Claimant<'_>, target: &Target) -> bool {
        if now < self.silent_until {
            return false;
        }
        self.sweep(now);
        let full = self.promises.len() >= MAX_PROMISES;
        match self.promises.get_mut(target) {
            Some(promise) if promise.is_to(claimant) => {
                promise.round = promise.round.max(claimant.round);
                promise.last = promise.last.max(now);
                return true;
            }
            Some(promise) if !promise.expired(now) => return false,
            None if full => return false,
            _ => {}
        }
        self.insert(now, claimant, target);
        true
    }

    /// Ends the promise of `target` to `claimant`, unless it was renewed in a later round: the
    /// release is then a delayed one, and the claimant counts on the newer promise.
    pub fn release(&mut self, claimant: Claimant<'_>, target: &Target) {
        let promise = self.promises.get(target);
        if promise.is_some_and(|found| found.is_to(claimant) && found.round < claimant.round) {
            self.promises.remove(target);
        }
    }

    /// Number of promises kept, with those that expired since the last sweep.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no promise is kept.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn insert(&mut self, now: Instant, claimant: Claimant<'_>, target: &Target) {
        let promise = Promise {
            claimant: claimant.name.clone(),
            incarnation: claimant.incarnation,
            round: claimant.round,
            last: now,
        };
        self.promises.insert(target.clone(), promise);
    }

    /// Drops expired promises. Done once per [`HOLD`], so its cost per claim stays small.
    fn sweep(&mut self, now: Instant) {
        if now >= self.sweep_at {
            self.promises.retain(|_, promise| !promise.expired(now));
            self.sweep_at = now + HOLD;
        }
    }
}
