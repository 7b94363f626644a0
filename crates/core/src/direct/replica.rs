//! What the platform's store says, and how entries pass it on to each other.
//!
//! One entry, the first by rank among the live ones, reads the store and waits for changes; the
//! others get the changes from it. Each call to the store costs, so the number of calls does not
//! grow with the fleet.
//!
//! What counts is the last moment at which the items held were proved to be up to date: the store
//! answered a read then, or a peer passed such a proof on. An entry that has heard no proof from a
//! peer for its [`proof_timeout`] reads the store itself, whether the reader is gone, cut off or misled,
//! and goes on until it hears one. The entries lose patience one after the other, so usually the
//! second by rank takes over and the others hear its proofs.
//!
//! Items carry the revision of their last change. An ended item is kept as a mark with its revision,
//! so that an older message cannot bring it back, and so that a peer that fell behind can be told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::time::Instant;

/// Key by which the entries are ordered for reading the store.
pub const READER_KEY: &str = "reader";

/// Entries that read the store whatever they hear.
pub const READER_COUNT: usize = 1;

/// How long a watch of the store waits for changes. Its answer proves that the items are up to date.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Time without a peer's proof after which the second entry by rank reads. It is above [`WATCH_WAIT`] by
/// the time that a slow store takes to answer.
const TRUST: Duration = Duration::from_millis(1_300);

/// Time between two entries that read the store because there is no proof, so that the first of
/// them makes up for missing readers and the others get its proof.
const TURN: Duration = Duration::from_millis(60);

/// Turns after which all other entries read at once. Changes must be in force within 2 s, which
/// leaves the last ones 280 ms for a read.
const TURNS: u32 = 7;

/// First and longest pause after a call that the store did not answer; it doubles between them.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Doublings after which the pause is the longest one.
const MAX_DOUBLINGS: u32 = 3;

/// Time in which an entry that reads a whole list has passed it on.
const LIST_WAIT: Duration = Duration::from_millis(500);

/// Marks of ended items that are kept.
const MAX_MARKS: usize = 512;

/// How long a read of the store may wait for changes when the last proof has this age. An old proof is
/// renewed at once, since others may lose patience meanwhile.
pub fn watch_wait(age: Option<Duration>) -> Duration {
    match age {
        Some(age) if age < WATCH_WAIT / 2 => WATCH_WAIT,
        _ => Duration::ZERO,
    }
}

/// Whether the entry of `rank` passes on what it reads. If the store is away for many entries, those
/// that lose patience last read for themselves only: a whole fleet that passes everything on to
/// itself would fill the links.
pub fn sends_updates(rank: Option<usize>) -> bool {
    rank.is_some_and(|rank| rank < READER_COUNT + usize::try_from(TURNS).unwrap_or(usize::MAX))
}

/// Whether items that were proved up to date `age` ago are recent enough to start with. An entry that
/// has them reads the store as soon as any other one that hears no later proof.
pub fn is_recent(age: Duration) -> bool {
    age <= TRUST
}

/// Pause after the `failures`th call in a row that the store did not answer, before any jitter. All
/// entries lose a store that is away and ask it in vain; those that pass nothing on hear of its
/// return from the others, and ask half as often.
pub fn backoff(failures: u32, rank: Option<usize>) -> Duration {
    let pause = (FIRST_BACKOFF * (1 << failures.min(MAX_DOUBLINGS))).min(MAX_BACKOFF);
    if sends_updates(rank) { pause } else { pause * 2 }
}

/// How long an entry for which the store's history is gone waits for a peer's list, before it reads
/// the whole list itself.
pub fn peer_list_wait(rank: Option<usize>) -> Duration {
    if sends_updates(rank) { Duration::ZERO } else { LIST_WAIT }
}

/// Time without a peer's proof after which the entry of `rank` among the live ones reads the store:
/// none if it is the reader, else by turns.
pub fn proof_timeout(rank: usize) -> Duration {
    match rank.checked_sub(READER_COUNT) {
        None => Duration::ZERO,
        Some(turn) => TRUST + TURN * u32::try_from(turn).unwrap_or(TURNS).min(TURNS),
    }
}

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
    pub proof_age: Duration,
    /// The changes.
    pub items: Vec<Item>,
}

impl Delta {
    /// Splits the changes into parts that follow each other, each of at most `limit` bytes by
    /// `size`. The proof goes with the last part only: the others lead to revisions that the store
    /// has left behind. False if a change is larger than that or the whole state is meant; the parts
    /// then lead up to it.
    pub fn split(self, limit: usize, size: impl Fn(&Item) -> usize) -> (Vec<Self>, bool) {
        if self.from == 0 {
            return (Vec::new(), false);
        }
        let mut parts = Vec::new();
        let mut part =
            Self { from: self.from, to: self.from, proof_age: Duration::MAX, items: Vec::new() };
        let mut filled = 0;
        for item in self.items {
            let bytes = size(&item);
            if bytes > limit {
                parts.push(part);
                return (parts, false);
            }
            if filled + bytes > limit {
                let next = Self {
                    from: part.to,
                    to: part.to,
                    proof_age: Duration::MAX,
                    items: Vec::new(),
                };
                parts.push(std::mem::replace(&mut part, next));
                filled = 0;
            }
            filled += bytes;
            part.to = item.revision;
            part.items.push(item);
        }
        part.to = self.to;
        part.proof_age = self.proof_age;
        parts.push(part);
        (parts, true)
    }
}

/// What became of a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// It was taken in; these items changed.
    Changed(Vec<Item>),
    /// It starts from a revision that was not reached here: the whole state is needed.
    Gap,
}

/// The items held, and how fresh they are.
#[derive(Debug, Default)]
pub struct Replica {
    items: BTreeMap<Arc<str>, Item>,
    at: u64,
    proved: Option<Instant>,
    /// The last proof that came from a peer.
    heard: Option<Instant>,
    /// Changes before this revision are no longer all known.
    floor: u64,
}

impl Replica {
    /// The revision reached; 0 if nothing was read.
    pub fn revision(&self) -> u64 {
        self.at
    }

    /// Age of the last proof that the items are up to date; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proved.map(|at| now.since(at))
    }

    /// Age of the last proof that came from a peer; `None` if there is none.
    pub fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|at| now.since(at))
    }

    /// Takes in changes that follow the revision reached. `proved` is when they were up to date.
    pub fn apply(&mut self, to: u64, items: Vec<Item>, proved: Instant) -> Vec<Item> {
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
    pub fn discard_proofs(&mut self) {
        self.proved = None;
        self.heard = None;
    }

    /// Takes in what a peer passes on.
    pub fn merge(&mut self, delta: Delta, now: Instant) -> MergeResult {
        let proved = now.before(delta.proof_age);
        if delta.to >= self.at && delta.from <= self.at {
            self.hear(proved);
        }
        if delta.to == 0 || delta.to < self.at {
            // The peer is behind; its proof says nothing about the later changes known here.
            return MergeResult::Changed(Vec::new());
        }
        if delta.from == 0 {
            return MergeResult::Changed(self.replace(delta.to, delta.items, proved));
        }
        if delta.from > self.at {
            return MergeResult::Gap;
        }
        MergeResult::Changed(self.apply(delta.to, delta.items, proved))
    }

    /// A peer proved `age` ago that `to` is the store's revision. False if later changes than those
    /// held here lead to it, so that they must be fetched.
    pub fn confirm(&mut self, to: u64, age: Duration, now: Instant) -> bool {
        if to > self.at {
            return false;
        }
        if to == self.at {
            self.hear(now.before(age));
            self.reach(to, now.before(age));
        }
        true
    }

    /// The changes since revision `from`, or the whole state if they are not all known.
    pub fn changes_since(&self, from: u64, now: Instant) -> Delta {
        let age = self.proof_age(now).unwrap_or(Duration::MAX);
        let whole = from == 0 || from < self.floor;
        let items = self
            .items
            .values()
            .filter(|item| if whole { item.value.is_some() } else { item.revision > from });
        let mut items: Vec<Item> = items.cloned().collect();
        items.sort_by_key(|item| item.revision);
        Delta { from: if whole { 0 } else { from }, to: self.at, proof_age: age, items }
    }

    fn hear(&mut self, proved: Instant) {
        if self.heard.is_none_or(|at| proved > at) {
            self.heard = Some(proved);
        }
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
