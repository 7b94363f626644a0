use super::Event;
use super::HybridClock;
use super::Record;
use super::Ring;
use super::Stamp;
use crate::lock::Mutex;
use crate::lock::Rank;

/// Largest number of events returned by one call, which bounds how long the lock is held.
pub const MAX_PAGE_EVENTS: usize = 256;

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: Ring,
}

/// The time line of this process, shared by all workers: its latest events and the clock that
/// stamps them.
///
/// Events and messages use the same clock, so an event recorded after the receipt of a message has
/// a later stamp than the events that the sender recorded before sending it.
#[derive(Debug)]
pub struct Timeline {
    state: Mutex<State>,
}

impl Timeline {
    /// Creates a time line that keeps the latest `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        let state = State { clock: HybridClock::new(), ring: Ring::new(capacity) };
        Self { state: Mutex::new(Rank::Journal, state) }
    }

    /// Records an event and returns its sequence number. Wall time is in milliseconds since the
    /// Unix epoch.
    pub fn record(&self, wall_millis: u64, event: Event) -> u64 {
        // Truncated before the lock is taken; the ring then has nothing left to truncate.
        let event = event.truncated();
        let mut state = self.state.lock();
        let stamp = state.clock.local(wall_millis);
        state.ring.push(stamp, event)
    }

    /// Issues the stamp of a message to be sent.
    pub fn stamp(&self, wall_millis: u64) -> Stamp {
        self.state.lock().clock.local(wall_millis)
    }

    /// Merges the stamp of a received message; see [`HybridClock::receive`].
    pub fn receive(&self, wall_millis: u64, remote: Stamp) -> Stamp {
        self.state.lock().clock.receive(wall_millis, remote)
    }

    /// Returns at most `max` and at most [`MAX_PAGE_EVENTS`] events after sequence number `number`;
    /// see [`Ring::events_after`].
    pub fn events_after(&self, number: u64, max: usize) -> (u64, Vec<Record>) {
        self.state.lock().ring.events_after(number, max.min(MAX_PAGE_EVENTS))
    }
}
