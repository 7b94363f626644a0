//! Waits after failed reads.

use std::time::Duration;

use jackdawpin_core::port::Random;

/// First wait, before jitter.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait, before jitter.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Exponential backoff with jitter, so that the entries do not all read from the platform again at
/// the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    step: Duration,
}

impl Backoff {
    /// Starts with the first wait.
    pub fn new() -> Self {
        Self { step: FIRST_WAIT }
    }

    /// The next wait: a random time between half of the step and the whole step. The step doubles
    /// with each call.
    pub fn wait(&mut self, random: &impl Random) -> Duration {
        let step = self.step;
        self.step = (step * 2).min(MAX_WAIT);
        let half = step / 2;
        let nanos = u64::try_from(half.as_nanos()).unwrap_or(u64::MAX);
        half + Duration::from_nanos(random.below(nanos.saturating_add(1)))
    }

    /// Returns to the first wait, after a successful read.
    pub fn reset(&mut self) {
        self.step = FIRST_WAIT;
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}
