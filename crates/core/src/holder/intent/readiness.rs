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

/// Bounds the wait for newer documents after a condition became true.
#[derive(Debug, Default)]
struct CatchUp {
    /// When the condition became true; `None` while it is false.
    true_since: Option<Instant>,
}

impl CatchUp {
    /// Whether the entry may proceed: the condition is true, and the entry has caught up or waited
    /// for [`CATCH_UP_TIMEOUT`] since the condition became true.
    fn is_done(&mut self, now: Instant, condition: bool, behind: bool) -> bool {
        if !condition {
            self.true_since = None;
            return false;
        }
        let since = *self.true_since.get_or_insert(now);
        !behind || now.since(since) >= CATCH_UP_TIMEOUT
    }
}

#[derive(Debug, Default)]
struct State {
    /// The state last reported by an event; `None` before the first report.
    reported_fenced: Option<bool>,
    unfence_catch_up: CatchUp,
    join_catch_up: CatchUp,
}

/// The fence and the readiness of this entry, shared by all workers.
///
/// The fence is stored as the point in time from which the entry is fenced if there is no further
/// contact. A check compares the current time with it without a lock, so that it is right
/// immediately after a suspension of the process, before any timer runs.
#[derive(Debug)]
pub struct Readiness {
    start: Instant,
    /// Nanoseconds of the [`Instant`] from which the entry is fenced.
    fenced_from: AtomicU64,
    ready: AtomicBool,
    state: Mutex<State>,
}

impl Readiness {
    /// Creates the state of a process that started at `start`: fenced and not ready.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            fenced_from: AtomicU64::new(0),
            ready: AtomicBool::new(false),
            state: Mutex::new(Rank::Intent, State::default()),
        }
    }

    /// Whether the entry cannot know the intent and so refuses new work. Costs one atomic load, as
    /// each dispatch checks it.
    pub fn is_fenced(&self, now: Instant) -> bool {
        now.as_nanos() >= self.fenced_from.load(Ordering::Acquire)
    }

    /// Whether the start is complete: the entry has its documents and has joined its peers. Once
    /// ready, it stays ready, even if it is fenced later.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Decides again and records changes. Must be called every second, and immediately after input
    /// that could end the fence. Only one task may call this at a time, so that older input does
    /// not replace newer input.
    pub fn update(&self, now: Instant, input: &ReadinessInput, journal: &impl Journal) {
        let mut events = SmallVec::<[Event; 3]>::new();
        let mut state = self.state.lock();
        self.update_fence(now, input, &mut state, &mut events);
        if !self.is_ready() {
            let joined = input.has_documents && input.joined(now, self.start);
            if state.join_catch_up.is_done(now, joined, input.behind) {
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
        input: &ReadinessInput,
        state: &mut State,
        events: &mut SmallVec<[Event; 3]>,
    ) {
        let known_until = input.intent_known_until();
        let known = known_until.is_some_and(|until| now <= until);
        let was_fenced = self.is_fenced(now);
        if was_fenced {
            // Recorded even if the fence ends in this call, such as after a suspension.
            events.extend(self.change_event(now, state, true));
        }
        // Being behind does not fence an entry: each change of a document makes entries behind for
        // a moment.
        let unfenced = match was_fenced {
            true => state.unfence_catch_up.is_done(now, known, input.behind),
            false => known,
        };
        if unfenced {
            state.unfence_catch_up = CatchUp::default();
            let from = known_until.map_or(0, |until| until.as_nanos().saturating_add(1));
            self.fenced_from.store(from, Ordering::Release);
        } else if !was_fenced {
            // A longer VM list needs a larger majority and can fence the entry early.
            self.fenced_from.store(0, Ordering::Release);
        }
        events.extend(self.change_event(now, state, !unfenced));
    }

    /// The event for a change. A fence is not reported within the first [`FENCE_AFTER`] of the
    /// process, when the entry may not have had contact yet.
    fn change_event(&self, now: Instant, state: &mut State, fenced: bool) -> Option<Event> {
        let starting = state.reported_fenced.is_none() && now.since(self.start) <= FENCE_AFTER;
        if state.reported_fenced == Some(fenced) || (fenced && starting) {
            return None;
        }
        let first_report = state.reported_fenced.replace(fenced).is_none();
        match fenced {
            true => Some(Event::Fenced),
            false if first_report => None,
            false => Some(Event::Unfenced),
        }
    }
}
