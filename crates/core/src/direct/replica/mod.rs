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
//!
//! A store that is restored from an older copy begins a new epoch, in which revisions are given out
//! again. All messages therefore name a [`Cursor`], and revisions are compared within an epoch only.
//! A later epoch replaces all items at once; what the entry knew of servers and failure domains that
//! the copy does not show is decided where they are used ([`crate::direct::fleet`]).

mod cursor;
mod delta;
mod reader;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Instant;

pub use self::cursor::Cursor;
pub use self::cursor::FIRST_EPOCH;
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

/// The result of merging changes into the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeResult {
    /// The changes were merged, or are not later than the replica; these items changed.
    Changed(Vec<Item>),
    /// The changes are the whole state of a later epoch; these items differ from before, and some
    /// of them may be older.
    Restored(Vec<Item>),
    /// The changes start from a later position than the replica's: earlier changes are missing.
    Gap,
}

/// Whether the first item is later than the second one, which has the same key and is from another
/// epoch, by versions that their values state.
pub type IsLater = fn(&Item, &Item) -> bool;

/// A copy of the store's items, with its position and freshness proofs.
#[derive(Debug)]
pub struct Replica {
    is_later: IsLater,
    items: BTreeMap<Arc<str>, Item>,
    /// Position that the items have reached.
    cursor: Cursor,
    /// The last freshness proof.
    proved_at: Option<Instant>,
    /// The last freshness proof that came from a peer.
    peer_proved_at: Option<Instant>,
    /// All changes of the epoch after this revision are known.
    known_from: u64,
}

impl Default for Replica {
    /// Creates an empty replica of items without versions of their own.
    fn default() -> Self {
        Self::new(|_, _| false)
    }
}

impl Replica {
    /// Creates an empty replica. A restored store does not replace an item by one that it is later
    /// than.
    pub fn new(is_later: IsLater) -> Self {
        Self {
            is_later,
            items: BTreeMap::new(),
            cursor: Cursor::default(),
            proved_at: None,
            peer_proved_at: None,
            known_from: 0,
        }
    }

    /// The position of the replica.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Age of the last freshness proof; `None` if there is none.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Age of the last freshness proof that came from a peer; `None` if there is none.
    pub fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.peer_proved_at.map(|at| now.since(at))
    }

    /// Applies changes that lead from the replica's position, or an earlier one, to `cursor`.
    /// `proved_at` is when `cursor` was the store's latest position. Changes of another epoch do not
    /// follow the replica's, whatever their revisions.
    pub fn apply(&mut self, cursor: Cursor, items: Vec<Item>, proved_at: Instant) -> MergeResult {
        if cursor.epoch != self.cursor.epoch {
            return MergeResult::Gap;
        }
        let changed: Vec<Item> = items
            .into_iter()
            .filter(|item| !self.was_removed(item) && self.insert_newer(item))
            .collect();
        self.advance(cursor.revision, proved_at);
        MergeResult::Changed(changed)
    }

    /// Replaces the items by the whole state, read at `cursor` and later. Items that are missing in
    /// it were removed. The state of an earlier epoch changes and proves nothing; an earlier state of
    /// the same epoch restores no item.
    pub fn replace(
        &mut self,
        cursor: Cursor,
        mut items: Vec<Item>,
        proved_at: Instant,
    ) -> MergeResult {
        match cursor.epoch.cmp(&self.cursor.epoch) {
            Ordering::Less => MergeResult::Changed(Vec::new()),
            Ordering::Equal => {
                if cursor < self.cursor {
                    items.retain(|item| !self.was_removed(item));
                }
                MergeResult::Changed(self.replace_in_epoch(cursor.revision, items, proved_at))
            }
            Ordering::Greater => self.begin_epoch(cursor, items, proved_at),
        }
    }

    fn replace_in_epoch(
        &mut self,
        revision: u64,
        items: Vec<Item>,
        proved_at: Instant,
    ) -> Vec<Item> {
        let listed: BTreeSet<Arc<str>> = items.iter().map(|item| item.key.clone()).collect();
        let removed = |item: &&Item| {
            item.value.is_some() && item.revision <= revision && !listed.contains(&item.key)
        };
        let removed: Vec<Item> = self
            .items
            .values()
            .filter(removed)
            .map(|item| item.tombstone(revision.max(item.revision + 1)))
            .collect();
        let mut changed: Vec<Item> =
            items.into_iter().filter(|item| self.insert_newer(item)).collect();
        changed.extend(removed.into_iter().filter(|item| self.insert_newer(item)));
        // Items that were removed and restored since the last revision are not known, so changes
        // can only be given from the new one.
        self.known_from = self.known_from.max(revision);
        self.advance(revision, proved_at);
        changed
    }

    /// Replaces all items, whatever their revisions, by the whole state of a later epoch. An item
    /// that is later by its own version is kept, so that entries that start get it from this one.
    fn begin_epoch(&mut self, cursor: Cursor, items: Vec<Item>, proved_at: Instant) -> MergeResult {
        let is_first = self.cursor.is_empty();
        let known = std::mem::take(&mut self.items);
        let newest = |item: Item| match known.get(&item.key) {
            Some(known) if (self.is_later)(known, &item) => {
                Item { revision: cursor.revision.max(item.revision), ..known.clone() }
            }
            _ => item,
        };
        self.items = items.into_iter().map(newest).map(|item| (item.key.clone(), item)).collect();
        let differs = |item: &&Item| {
            known.get(&item.key).and_then(|item| item.value.as_ref()) != item.value.as_ref()
        };
        let mut changed: Vec<Item> = self.items.values().filter(differs).cloned().collect();
        let is_removed = |item: &&Item| item.value.is_some() && !self.items.contains_key(&item.key);
        let removed: Vec<Item> =
            known.values().filter(is_removed).map(|item| item.tombstone(cursor.revision)).collect();
        self.items.extend(removed.iter().map(|item| (item.key.clone(), item.clone())));
        changed.extend(removed);
        self.known_from = cursor.revision;
        self.cursor = cursor;
        self.advance(cursor.revision, proved_at);
        if is_first { MergeResult::Changed(changed) } else { MergeResult::Restored(changed) }
    }

    /// Discards all proofs after the process was suspended: messages that arrived meanwhile may be
    /// older than they state.
    pub fn discard_proofs(&mut self) {
        self.proved_at = None;
        self.peer_proved_at = None;
    }

    /// Merges the changes that a peer sent.
    pub fn merge(&mut self, mut delta: Delta, now: Instant) -> MergeResult {
        let proved_at = now.before(delta.proof_age);
        let (cursor, known) = (delta.cursor(), self.cursor);
        if cursor.is_empty() || cursor < known {
            // The peer is behind; its proof does not cover the later changes that are known here.
            return MergeResult::Changed(Vec::new());
        }
        let follows = delta.epoch == known.epoch && delta.from <= known.revision;
        if follows || delta.is_whole() {
            self.record_peer_proof(proved_at);
        }
        if delta.is_whole() {
            if delta.epoch == known.epoch {
                // The peer may lack a removal; only a list of the store restores an item.
                delta.items.retain(|item| !self.was_removed(item));
            }
            return self.replace(cursor, delta.items, proved_at);
        }
        if !follows {
            return MergeResult::Gap;
        }
        self.apply(cursor, delta.items, proved_at)
    }

    /// Records a peer's proof, of the age `proof_age`, that `cursor` is the store's latest position.
    /// False if the replica's position is earlier, so that the changes must be fetched.
    pub fn confirm(&mut self, cursor: Cursor, proof_age: Duration, now: Instant) -> bool {
        if cursor > self.cursor {
            return false;
        }
        if cursor == self.cursor {
            self.record_peer_proof(now.before(proof_age));
            self.advance(cursor.revision, now.before(proof_age));
        }
        true
    }

    /// The changes since `from`, or the whole state if `from` is empty, in another epoch, or not all
    /// changes since then are known.
    pub fn changes_since(&self, from: Cursor, now: Instant) -> Delta {
        let proof_age = self.proof_age(now).unwrap_or(Duration::MAX);
        let whole =
            from.is_empty() || from.epoch != self.cursor.epoch || from.revision < self.known_from;
        let items = self.items.values().filter(|item| {
            if whole { item.value.is_some() } else { item.revision > from.revision }
        });
        let mut items: Vec<Item> = items.cloned().collect();
        items.sort_by_key(|item| item.revision);
        Delta {
            epoch: self.cursor.epoch,
            from: if whole { 0 } else { from.revision },
            to: self.cursor.revision,
            proof_age,
            items,
        }
    }

    fn record_peer_proof(&mut self, proved_at: Instant) {
        if self.peer_proved_at.is_none_or(|at| proved_at > at) {
            self.peer_proved_at = Some(proved_at);
        }
    }

    /// Whether `item` was removed after its last change, although its tombstone may not be here: a
    /// whole state has no tombstones, and the oldest ones are pruned.
    fn was_removed(&self, item: &Item) -> bool {
        let is_present = self.items.get(&item.key).is_some_and(|known| known.value.is_some());
        !is_present && item.revision <= self.known_from
    }

    /// Inserts `item` unless a change of the same or a later revision is known. Returns whether the
    /// state of the item changed.
    fn insert_newer(&mut self, item: &Item) -> bool {
        let known = self.items.get_mut(&item.key);
        if known.as_ref().is_some_and(|known| known.revision >= item.revision) {
            return false;
        }
        if let Some(known) = known.filter(|known| (self.is_later)(known, item)) {
            // The writer writes again what the store has lost, the oldest version first.
            known.revision = item.revision;
            return false;
        }
        let known = self.items.get(&item.key);
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
        self.cursor.revision = self.cursor.revision.max(revision);
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
