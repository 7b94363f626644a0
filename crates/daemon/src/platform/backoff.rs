//! Waits between failed reads.

use std::time::Duration;

use jackdawpin_core::port::Random;

/// First wait, before jitter.
const FIRST: Duration = Duration::from_millis(100);

/// Longest wait.
const LONGEST: Duration = Duration::from_secs(5);

/// Exponential backoff with jitter: the entries must not all come back to the platform at once.
#[derive(Debug, Clone)]
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Starts with the first wait.
    pub fn new() -> Self {
        Self { next: FIRST }
    }

    /// The next wait: between half of a step and the whole step, which doubles each time.
    pub fn wait(&mut self, random: &impl Random) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(LONGEST);
        let half = step / 2;
        let nanos = u64::try_from(half.as_nanos()).unwrap_or(u64::MAX);
        half + Duration::from_nanos(random.below(nanos.saturating_add(1)))
    }

    /// Starts over, after a good read.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}
