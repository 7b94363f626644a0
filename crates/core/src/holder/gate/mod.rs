//! Whether this entry may take new work, as a check that costs a few atomic loads.
//!
//! It joins the fence and readiness, which [`crate::holder::intent::Readiness`] decides, with the planned stop.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::holder::intent;
use crate::holder::intent::ReadinessInput;
use crate::holder::port::Journal;
use crate::outcome::Refusal;
use crate::time::Instant;

/// The conditions under which new work is taken.
#[derive(Debug)]
pub struct Gate {
    intent: intent::Readiness,
    leaving: AtomicBool,
    closed: AtomicBool,
}

impl Gate {
    /// Creates the gate of a process that started at `start`. It admits nothing yet.
    pub fn new(start: Instant) -> Self {
        Self {
            intent: intent::Readiness::new(start),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        }
    }

    /// Checks whether a request of a caller may be admitted.
    ///
    /// # Errors
    ///
    /// The reason to refuse it.
    pub fn check_admission(&self, now: Instant) -> Result<(), Refusal> {
        if self.closed.load(Ordering::Acquire) {
            return Err(Refusal::Leaving);
        }
        if !self.intent.is_ready() {
            return Err(Refusal::NotReady);
        }
        self.check_dispatch(now)
    }

    /// Checks whether an admitted request may be sent on.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] if this entry cannot know the operators' intent.
    pub fn check_dispatch(&self, now: Instant) -> Result<(), Refusal> {
        if self.is_fenced(now) { Err(Refusal::Fenced) } else { Ok(()) }
    }

    /// Whether what this entry has heard is too old.
    pub fn is_fenced(&self, now: Instant) -> bool {
        self.intent.is_fenced(now)
    }

    /// Whether the entry has what it needs to serve callers.
    pub fn is_ready(&self) -> bool {
        self.intent.is_ready()
    }

    /// Whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Decides again about the fence and readiness. One task at a time calls this.
    pub fn update(&self, now: Instant, evidence: &ReadinessInput, journal: &impl Journal) {
        self.intent.update(now, evidence, journal);
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
