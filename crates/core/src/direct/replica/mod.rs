//! The replica: a copy of the platform's store, and how entries keep it up to date together.
//!
//! Each read of the store costs, so one entry, the first by rank among the live ones, is the store
//! reader: it reads the store, waits for changes and sends them to the others. The number of reads
//! therefore does not grow with the number of entries.
//!
//! A freshness proof is the last moment at which the replica was known to be the store's latest
//! state: the store answered a read then, or a peer sent such a proof. An entry that has received
//! no proof from a peer for its [`proof_timeout`] reads the store itself, whether the reader has
//! ended, is cut off or was misinformed, and goes on until it receives one. The timeouts of the
//! entries differ, so usually the second by rank takes over and the others receive its proofs.
//!
//! Items carry the revision of their last change. A removed item is kept as a tombstone with its
//! revision, so that an older message cannot restore it and a peer that fell behind learns of the
//! removal.

mod delta;
mod reader;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Instant;

pub use self::delta::Delta;
pub use self::delta::Item;
pub use self::delta::replay;
pub use self::reader::READER_COUNT;
pub use self::reader::READER_KEY;
pub use self::reader::WATCH_WAIT;
pub use self::reader::backoff;
pub use self::reader::may_start_with;
pub use self::reader::peer_list_wait;
pub use self::reader::proof_timeout;
pub use self::reader::sends_updates;
pub use self::reader::watch_wait;

/// Largest number of tombstones that are kept.
const MAX_TOMBSTONES: usize = 512;

/// The result of merging a delta into the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// The delta was merged; these items changed.
    Changed(Vec<Item>),
    /// The delta starts from a later revision than the replica's: earlier changes are missing.
    Gap,
}

/// A copy of the store's items, with its revision and freshness proofs.
#[derive(Debug, Default)]
pub struct Replica {
    items: BTreeMap<Arc<str>, Item>,
    /// Revision that the items have reached.
    revision: u64,
    /// The last freshness proof.
    proved_at: Option<Instant>,
    /// The last freshness proof that came from a peer.
    peer_proved_at: Option<Instant>,
    /// All changes after this revision are known.
    known_from: u64,
}

impl Replica {
    /// The revision of the replica; 0 if nothing was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Age of the last freshness proof; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Age of the last freshness proof that came from a peer; `None` if there is none.
    pub fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.peer_proved_at.map(|at| now.since(at))
    }

    /// Applies changes that lead from the replica's revision to `revision`. `proved_at` is when
    /// `revision` was the store's latest. Returns the items that changed.
    pub fn apply(&mut self, revision: u64, items: Vec<Item>, proved_at: Instant) -> Vec<Item> {
        let changed: Vec<Item> = items.into_iter().filter(|item| self.insert_newer(item)).collect();
        self.advance(revision, proved_at);
        changed
    }

    /// Replaces the items by the whole state, read at `revision` and later. Items that are missing
    /// in it were removed. Returns the items that changed.
    pub fn replace(&mut self, revision: u64, items: Vec<Item>, proved_at: Instant) -> Vec<Item> {
        let listed: std::collections::BTreeSet<Arc<str>> =
            items.iter().map(|item| item.key.clone()).collect();
        let removed = |item: &&Item| {
            item.value.is_some() && item.revision <= revision && !listed.contains(&item.key)
        };
        let removed: Vec<Item> = self
            .items
            .values()
            .filter(removed)
            .map(|item| Item {
                key: item.key.clone(),
                revision: revision.max(item.revision + 1),
                value: None,
            })
            .collect();
        let mut changed: Vec<Item> =
            items.into_iter().filter(|item| self.insert_newer(item)).collect();
        changed.extend(removed.into_iter().filter(|item| self.insert_newer(item)));
        // Items that were removed and restored since the last revision are not known, so changes
        // can only be given from the new one.
        self.known_from = revision;
        self.advance(revision, proved_at);
        changed
    }

    /// Discards all proofs after the process was suspended: messages that arrived meanwhile may be
    /// older than they state.
    pub fn discard_proofs(&mut self) {
        self.proved_at = None;
        self.peer_proved_at = None;
    }

    /// Merges the changes that a peer sent.
    pub fn merge(&mut self, delta: Delta, now: Instant) -> MergeResult {
        let proved_at = now.before(delta.proof_age);
        if delta.to >= self.revision && delta.from <= self.revision {
            self.record_peer_proof(proved_at);
        }
        if delta.to == 0 || delta.to < self.revision {
            // The peer is behind; its proof does not cover the later changes that are known here.
            return MergeResult::Changed(Vec::new());
        }
        if delta.from == 0 {
            return MergeResult::Changed(self.replace(delta.to, delta.items, proved_at));
        }
        if delta.from > self.revision {
            return MergeResult::Gap;
        }
        MergeResult::Changed(self.apply(delta.to, delta.items, proved_at))
    }

    /// Records a peer's proof, of the age `proof_age`, that `revision` is the store's latest. False
    /// if the replica's revision is lower, so that the changes must be fetched.
    pub fn confirm(&mut self, revision: u64, proof_age: Duration, now: Instant) -> bool {
        if revision > self.revision {
            return false;
        }
        if revision == self.revision {
            self.record_peer_proof(now.before(proof_age));
            self.advance(revision, now.before(proof_age));
        }
        true
    }

    /// The changes since revision `from`, or the whole state if `from` is 0 or not all changes are
    /// known.
    pub fn changes_since(&self, from: u64, now: Instant) -> Delta {
        let proof_age = self.proof_age(now).unwrap_or(Duration::MAX);
        let whole = from == 0 || from < self.known_from;
        let items = self
            .items
            .values()
            .filter(|item| if whole { item.value.is_some() } else { item.revision > from });
        let mut items: Vec<Item> = items.cloned().collect();
        items.sort_by_key(|item| item.revision);
        Delta { from: if whole { 0 } else { from }, to: self.revision, proof_age, items }
    }

    fn record_peer_proof(&mut self, proved_at: Instant) {
        if self.peer_proved_at.is_none_or(|at| proved_at > at) {
            self.peer_proved_at = Some(proved_at);
        }
    }

    /// Inserts `item` unless a change of the same or a later revision is known. Returns whether the
    /// state of the item changed.
    fn insert_newer(&mut self, item: &Item) -> bool {
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

    /// Records that the items have reached `revision`, and that it was the store's latest at
    /// `proved_at`.
    fn advance(&mut self, revision: u64, proved_at: Instant) {
        self.revision = self.revision.max(revision);
        if self.proved_at.is_none_or(|at| proved_at > at) {
            self.proved_at = Some(proved_at);
        }
        self.prune_tombstones();
    }

    /// Removes the oldest tombstones above [`MAX_TOMBSTONES`].
    fn prune_tombstones(&mut self) {
        let tombstones = || self.items.values().filter(|item| item.value.is_none());
        let excess = tombstones().count().saturating_sub(MAX_TOMBSTONES);
        if excess == 0 {
            return;
        }
        let mut revisions: Vec<u64> = tombstones().map(|item| item.revision).collect();
        revisions.sort_unstable();
        let last_pruned = revisions[excess - 1];
        self.items.retain(|_, item| item.value.is_some() || item.revision > last_pruned);
        self.known_from = self.known_from.max(last_pruned);
    }
}
