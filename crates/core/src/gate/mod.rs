//! Whether this entry may take new work, as a check that costs a few atomic loads.
//!
//! The fence is stored as the time at which what the entry has heard becomes too old. A process that
//! was paused compares that time with the clock when it wakes, so it is fenced at once, without any
//! task having to notice the pause first.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::outcome::Refusal;
use crate::time::Instant;

/// The conditions under which new work is taken.
#[derive(Debug, Default)]
pub struct Gate {
    ready: AtomicBool,
    leaving: AtomicBool,
    closed: AtomicBool,
    reported: AtomicBool,
    fresh_until: AtomicU64,
}

impl Gate {
    /// Checks whether a request of a caller may be admitted.
    ///
    /// # Errors
    ///
    /// The reason to refuse it.
    pub fn admits(&self, now: Instant) -> Result<(), Refusal> {
        if self.closed.load(Ordering::Acquire) {
            return Err(Refusal::Leaving);
        }
        if !self.ready.load(Ordering::Acquire) {
            return Err(Refusal::NotReady);
        }
        self.dispatches(now)
    }

    /// Checks whether an admitted request may be sent on.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] if this entry cannot know the operators' intent.
    pub fn dispatches(&self, now: Instant) -> Result<(), Refusal> {
        if self.is_fenced(now) { Err(Refusal::Fenced) } else { Ok(()) }
    }

    /// Whether what this entry has heard is too old.
    pub fn is_fenced(&self, now: Instant) -> bool {
        now.as_nanos() >= self.fresh_until.load(Ordering::Acquire)
    }

    /// Whether the entry has what it needs to serve callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether the entry is fenced, if that has changed since the last call.
    pub fn fence_change(&self, now: Instant) -> Option<bool> {
        let fenced = self.is_fenced(now);
        let before = self.reported.swap(fenced, Ordering::AcqRel);
        (fenced != before).then_some(fenced)
    }

    /// Sets until when what this entry has heard is recent enough.
    pub fn set_fresh_until(&self, until: Instant) {
        self.fresh_until.store(until.as_nanos(), Ordering::Release);
    }

    /// Opens the gate; it stays open until the process ends.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Starts the planned stop: callers are told to use other entries, and requests are still taken
    /// from callers that have not asked again.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Refuses all new work.
    pub fn close(&self) {
        self.leave();
        self.closed.store(true, Ordering::Release);
    }
}
