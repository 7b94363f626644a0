//! The share of an entry in the retry budget of a service.
//!
//! The budget limits, over all entries and in any window, the attempts that reach servers after the
//! first arrival of each request. Each entry uses a fraction of its own requests and, by the number
//! of live entries, its share of a fixed allowance. The shares add up to less than the budget,
//! because entries may disagree about which entries are live.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Fraction of the budget that entries use; the rest covers entries that disagree about the number
/// of live entries.
const USED_FRACTION: f64 = 0.7;

/// Number of slices in which a window is counted.
const SLICES: u32 = 20;

/// The retry budget of a service, as the operators set it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in a window beside the ratio, for all entries together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in the last window.
#[derive(Debug, Default)]
pub struct Window {
    /// Counts by the number of the slice, oldest first.
    slices: VecDeque<(u64, Counts)>,
}

impl Window {
    /// Counts one request.
    pub fn count_request(&mut self, now: Instant, limit: &Limit) {
        self.current(now, limit).requests += 1;
    }

    /// Takes one retry from the share of one of `entries` entries; false if the share is used up.
    pub fn try_retry(&mut self, now: Instant, limit: &Limit, entries: usize) -> bool {
        self.current(now, limit);
        let total = |count: fn(&Counts) -> u32| -> f64 {
            self.slices.iter().map(|(_, counts)| f64::from(count(counts))).sum()
        };
        let (requests, retries) = (total(|counts| counts.requests), total(|counts| counts.retries));
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let share = USED_FRACTION * (limit.ratio * requests + limit.slack / entries);
        let allowed = retries + 1.0 <= share;
        if allowed {
            self.current(now, limit).retries += 1;
        }
        allowed
    }

    /// The counts of the current slice. Slices that have left the window are removed.
    fn current(&mut self, now: Instant, limit: &Limit) -> &mut Counts {
        let length = (limit.window / SLICES).max(Duration::from_millis(1));
        let current = now.as_nanos() / u64::try_from(length.as_nanos()).unwrap_or(u64::MAX).max(1);
        while self.slices.front().is_some_and(|(slice, _)| slice + u64::from(SLICES) < current) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(slice, _)| *slice != current) {
            self.slices.push_back((current, Counts::default()));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last].1
    }
}
