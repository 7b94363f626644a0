use std::collections::VecDeque;

use super::Event;
use super::Stamp;

/// An event with its place on the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Number of the event in this process, from 1 without gaps.
    pub number: u64,
    /// When it happened.
    pub stamp: Stamp,
    /// What happened.
    pub event: Event,
}

/// The latest events of a process, in memory of a fixed size.
///
/// The numbers have no gaps, so a reader that asks for what follows a number learns how many events
/// it missed.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    last: u64,
    records: VecDeque<Record>,
}

impl Ring {
    /// Creates a ring that keeps the latest `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, last: 0, records: VecDeque::with_capacity(capacity) }
    }

    /// Number of the latest event; 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Adds an event, drops the oldest one if the ring is full, and returns the number of the new
    /// one. The event's text is cut to [`MAX_TEXT_BYTES`](super::MAX_TEXT_BYTES) bytes.
    pub fn push(&mut self, stamp: Stamp, event: Event) -> u64 {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.last += 1;
        let event = event.truncated();
        self.records.push_back(Record { number: self.last, stamp, event });
        self.last
    }

    /// Returns at most `max` of the events that follow `number`, oldest first, and how many events
    /// between `number` and the first one returned the ring no longer has. A number that has not
    /// been given yet has no events after it.
    pub fn events_after(&self, number: u64, max: usize) -> (u64, Vec<Record>) {
        let kept = self.records.len() as u64;
        let before_first = self.last - kept;
        let dropped = before_first.saturating_sub(number);
        let skipped = number.saturating_sub(before_first).min(kept);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let events = self.records.iter().skip(skipped).take(max).cloned().collect();
        (dropped, events)
    }
}
