use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use smallvec::SmallVec;

use super::CATCH_UP_TIMEOUT;
use super::FENCE_AFTER;
use super::ReadinessInput;
use crate::holder::event::Event;
use crate::holder::port::Journal;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::time::Instant;

/// Bounds the wait for newer documents.
#[derive(Debug, Default)]
struct Patience {
    since: Option<Instant>,
}

impl Patience {
    /// Whether the entry may go ahead: the condition holds, and the entry has caught up or waited
    /// for [`CATCH_UP_TIMEOUT`] since it holds.
    fn passed(&mut self, now: Instant, holds: bool, behind: bool) -> bool {
        if !holds {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        !behind || now.since(since) >= CATCH_UP_TIMEOUT
    }
}

#[derive(Debug, Default)]
struct State {
    /// Whether the last event was that the entry is fenced; `None` before the first change.
    fenced: Option<bool>,
    contact: Patience,
    join: Patience,
}

/// Whether this entry may take new work, shared by all workers.
///
/// The fence is kept as the point in time from which the entry is fenced if nothing more is heard.
/// A check compares the current time with it, without a lock, and so holds at once after a pause,
/// before any timer runs.
#[derive(Debug)]
pub struct Readiness {
    start: Instant,
    fenced_from: AtomicU64,
    ready: AtomicBool,
    state: Mutex<State>,
}

impl Readiness {
    /// Creates the gate of a process that started at `start`. It is fenced and not ready.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            fenced_from: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            state: Mutex::new(Rank::Intent, State::default()),
        }
    }

    /// Whether the entry cannot know the intent and refuses new work. Cheap enough for each
    /// dispatch.
    pub fn is_fenced(&self, now: Instant) -> bool {
        now.as_nanos() >= self.fenced_from.load(Ordering::Acquire)
    }

    /// Whether the start is complete: the entry has its documents and joined its peers. Once ready,
    /// it stays so; a fence later on does not change it.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Decides again and records changes. Due every second, and at once after evidence that could
    /// end the fence. One task at a time calls this, so that evidence is not overtaken by older
    /// one.
    pub fn update(&self, now: Instant, evidence: &ReadinessInput, journal: &impl Journal) {
        let mut events = SmallVec::<[Event; 3]>::new();
        let mut state = self.state.lock();
        self.update_fence(now, evidence, &mut state, &mut events);
        if !self.is_ready() {
            let holds = evidence.has_documents && evidence.joined(now, self.start);
            if state.join.passed(now, holds, evidence.behind) {
                self.ready.store(true, Ordering::Release);
                events.push(Event::Ready);
            }
        }
        drop(state);
        for event in events {
            journal.record(event);
        }
    }

    fn update_fence(
        &self,
        now: Instant,
        evidence: &ReadinessInput,
        state: &mut State,
        events: &mut SmallVec<[Event; 3]>,
    ) {
        let until = evidence.intent_known_until();
        let known = until.is_some_and(|until| now <= until);
        let was_fenced = self.is_fenced(now);
        if was_fenced {
            // Recorded even if it ends in this call, such as after a pause.
            events.extend(self.report(now, state, true));
        }
        // Being behind ends no work: every change of a document makes entries behind for a moment.
        let open = match was_fenced {
            true => state.contact.passed(now, known, evidence.behind),
            false => known,
        };
        if open {
            state.contact = Patience::default();
            let from = until.map_or(0, |until| until.as_nanos().saturating_add(1));
            self.fenced_from.store(from, Ordering::Release);
        } else if !was_fenced {
            // A longer VM list can withdraw the evidence before its time.
            self.fenced_from.store(0, Ordering::Release);
        }
        events.extend(self.report(now, state, !open));
    }

    /// The event for a change. A fence during the start is not reported before the entry had time
    /// to be heard.
    fn report(&self, now: Instant, state: &mut State, fenced: bool) -> Option<Event> {
        let starting = state.fenced.is_none() && now.since(self.start) <= FENCE_AFTER;
        if state.fenced == Some(fenced) || (fenced && starting) {
            return None;
        }
        let first = state.fenced.replace(fenced).is_none();
        match fenced {
            true => Some(Event::Fenced),
            false if first => None,
            false => Some(Event::Unfenced),
        }
    }
}
