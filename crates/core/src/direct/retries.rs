//! The share of an entry in the retry budget of a service.
//!
//! The budget counts, over all entries and any window, what reaches servers beyond the first
//! arrival of each request. Each entry uses the fraction of its own requests, and its part of the
//! fixed allowance by the number of live entries. The parts stay below the whole, because entries
//! may disagree about who lives.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// WeightedService of the budget that entries use; the rest covers entries that count each other differently.
const USED_PART: f64 = 0.7;

/// Steps in which a window is counted.
const STEPS: u32 = 20;

/// The limits that the operators state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed in a window beside the ratio, for all entries together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service in the last window.
#[derive(Debug, Default)]
pub struct Window {
    steps: VecDeque<(u64, Counts)>,
}

impl Window {
    /// Counts one request.
    pub fn count_request(&mut self, now: Instant, limit: &Limit) {
        self.current(now, limit).requests += 1;
    }

    /// Takes one repeat from the share of one entry among `entries`; false if it is used up.
    pub fn try_retry(&mut self, now: Instant, limit: &Limit, entries: usize) -> bool {
        self.current(now, limit);
        let total = |count: fn(&Counts) -> u32| -> f64 {
            self.steps.iter().map(|(_, counts)| f64::from(count(counts))).sum()
        };
        let (requests, repeats) = (total(|counts| counts.requests), total(|counts| counts.repeats));
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let allowed = USED_PART * (limit.ratio * requests + limit.slack / entries);
        let free = repeats + 1.0 <= allowed;
        if free {
            self.current(now, limit).repeats += 1;
        }
        free
    }

    /// The counts of the current step, after steps that left the window are gone.
    fn current(&mut self, now: Instant, limit: &Limit) -> &mut Counts {
        let step = (limit.window / STEPS).max(Duration::from_millis(1));
        let number = now.as_nanos() / u64::try_from(step.as_nanos()).unwrap_or(u64::MAX).max(1);
        while self.steps.front().is_some_and(|(at, _)| at + u64::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|(at, _)| *at != number) {
            self.steps.push_back((number, Counts::default()));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last].1
    }
}
