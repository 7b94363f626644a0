//! What the platform's store says, and how entries pass it on to each other.
//!
//! Two entries, chosen by rank among the live ones, read the store and wait for changes; the others
//! get the changes from them. Each call to the store costs, so the number of readers does not grow
//! with the fleet.
//!
//! What counts is the last moment at which the items held were proved to be up to date: the store
//! answered a read then, or a peer passed such a proof on. An entry whose proof has aged beyond
//! [`TRUST`] reads the store itself, whether its readers are gone, cut off or misled.
//!
//! Items carry the revision of their last change. An ended item is kept as a mark with its revision,
//! so that an older message cannot bring it back, and so that a peer that fell behind can be told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::time::Instant;

/// Entries that read the store.
pub const READERS: usize = 2;

/// Age of the proof from which on an entry reads the store itself. Changes must be in force within
/// 2 s; this leaves time for one read, and is above the time between two proofs of a reader.
pub const TRUST: Duration = Duration::from_millis(1_350);

/// Marks of ended items that are kept.
const MAX_MARKS: usize = 512;

/// An item of the store, or the mark of one that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// Value; `None` if the item ended.
    pub value: Option<Bytes>,
}

/// Changes that lead from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the changes start from; 0 if they are the whole state.
    pub from: u64,
    /// Revision that they reach.
    pub to: u64,
    /// Age of the proof that `to` is the store's revision.
    pub age: Duration,
    /// The changes.
    pub items: Vec<Item>,
}

/// What became of a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It was taken in; these items changed.
    Changed(Vec<Item>),
    /// It starts from a revision that was not reached here: the whole state is needed.
    Gap,
}

/// The items held, and how fresh they are.
#[derive(Debug, Default)]
pub struct Feed {
    items: BTreeMap<Arc<str>, Item>,
    at: u64,
    proved: Option<Instant>,
    /// Changes before this revision are no longer all known.
    floor: u64,
}

impl Feed {
    /// The revision reached; 0 if nothing was read.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Age of the last proof that the items are up to date; `None` if there is none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved.map(|at| now.since(at))
    }

    /// Takes in changes that follow the revision reached. `proved` is when they were up to date.
    pub fn advance(&mut self, to: u64, items: Vec<Item>, proved: Instant) -> Vec<Item> {
        let changed: Vec<Item> = items.into_iter().filter(|item| self.put(item)).collect();
        self.reach(to, proved);
        changed
    }

    /// Takes in a whole list, read at revision `at` and later. Items that are missing there ended.
    pub fn replace(&mut self, at: u64, items: Vec<Item>, proved: Instant) -> Vec<Item> {
        let listed: std::collections::BTreeSet<Arc<str>> =
            items.iter().map(|item| item.key.clone()).collect();
        let ended = |item: &&Item| {
            item.value.is_some() && item.revision <= at && !listed.contains(&item.key)
        };
        let ended: Vec<Item> = self
            .items
            .values()
            .filter(ended)
            .map(|item| Item {
                key: item.key.clone(),
                revision: at.max(item.revision + 1),
                value: None,
            })
            .collect();
        let mut changed: Vec<Item> = items.into_iter().filter(|item| self.put(item)).collect();
        changed.extend(ended.into_iter().filter(|item| self.put(item)));
        // What ended and came back within a gap is not known, so peers cannot start before it.
        self.floor = at;
        self.reach(at, proved);
        changed
    }

    /// The process stood still: what arrived meanwhile may be older than it says.
    pub fn distrust(&mut self) {
        self.proved = None;
    }

    /// Takes in what a peer passes on.
    pub fn take(&mut self, delta: Delta, now: Instant) -> Taken {
        let proved = now.before(delta.age);
        if delta.to == 0 || delta.to < self.at {
            // The peer is behind; its proof says nothing about the later changes known here.
            return Taken::Changed(Vec::new());
        }
        if delta.from == 0 {
            return Taken::Changed(self.replace(delta.to, delta.items, proved));
        }
        if delta.from > self.at {
            return Taken::Gap;
        }
        Taken::Changed(self.advance(delta.to, delta.items, proved))
    }

    /// The changes since revision `from`, or the whole state if they are not all known.
    pub fn since(&self, from: u64, now: Instant) -> Delta {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let whole = from == 0 || from < self.floor;
        let items = self
            .items
            .values()
            .filter(|item| if whole { item.value.is_some() } else { item.revision > from });
        let items = items.cloned().collect();
        Delta { from: if whole { 0 } else { from }, to: self.at, age, items }
    }

    fn put(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return false;
        }
        if known.is_none() && item.value.is_none() {
            self.items.insert(item.key.clone(), item.clone());
            return false;
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    fn reach(&mut self, to: u64, proved: Instant) {
        self.at = self.at.max(to);
        if self.proved.is_none_or(|at| proved > at) {
            self.proved = Some(proved);
        }
        self.prune();
    }

    fn prune(&mut self) {
        let marks = || self.items.values().filter(|item| item.value.is_none());
        let excess = marks().count().saturating_sub(MAX_MARKS);
        if excess == 0 {
            return;
        }
        let mut revisions: Vec<u64> = marks().map(|item| item.revision).collect();
        revisions.sort_unstable();
        let floor = revisions[excess - 1];
        self.items.retain(|_, item| item.value.is_some() || item.revision > floor);
        self.floor = self.floor.max(floor);
    }
}
