use std::collections::VecDeque;

use super::Event;
use super::Stamp;

/// An event on the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Sequence number of the event in this process, from 1 without gaps.
    pub number: u64,
    /// Time of the event.
    pub stamp: Stamp,
    /// The event.
    pub event: Event,
}

/// A ring buffer of the latest events of a process.
///
/// Sequence numbers have no gaps, so a client that asks for the events after a number learns how
/// many of them were overwritten.
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

    /// Sequence number of the latest event; 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Adds an event and returns its sequence number. If the ring is full, the oldest event is
    /// overwritten. The event's text is truncated to [`MAX_TEXT_BYTES`](super::MAX_TEXT_BYTES).
    pub fn push(&mut self, stamp: Stamp, event: Event) -> u64 {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.last += 1;
        let event = event.truncated();
        self.records.push_back(Record { number: self.last, stamp, event });
        self.last
    }

    /// Returns at most `max` of the events after sequence number `number`, oldest first, and how
    /// many events between `number` and the first one returned were overwritten. A number that was
    /// not assigned yet has no events after it.
    pub fn events_after(&self, number: u64, max: usize) -> (u64, Vec<Record>) {
        let stored = self.records.len() as u64;
        let last_overwritten = self.last - stored;
        let dropped = last_overwritten.saturating_sub(number);
        let skipped = number.saturating_sub(last_overwritten).min(stored);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let events = self.records.iter().skip(skipped).take(max).cloned().collect();
        (dropped, events)
    }
}
