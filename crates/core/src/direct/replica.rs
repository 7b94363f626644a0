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

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::time::Instant;

/// Key of the rendezvous hash that ranks the entries as store readers.
pub const READER_KEY: &str = "reader";

/// Number of entries that read the store all the time, even while they receive proofs.
pub const READER_COUNT: usize = 1;

/// How long a read of the store waits for changes. Its answer proves that the replica is up to
/// date.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Age of the last proof from a peer after which the second entry by rank reads the store. It is
/// above [`WATCH_WAIT`] by the time that a slow store takes to answer.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_300);

/// Difference of the timeouts of two entries that follow each other by rank. It gives the first of
/// them time to take over from a missing reader and the others time to receive its proof.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(60);

/// Number of entries with different timeouts; all others have the longest one. Changes must be in
/// force within 2 s, which leaves the last entries 280 ms for a read.
const MAX_TAKEOVER_TURNS: u32 = 7;

/// Pause after the first call in a row that the store did not answer; it doubles with each further
/// one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after a call that the store did not answer.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Number of doublings after which the pause has reached [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 3;

/// Time in which an entry that reads the whole state has sent it to the others.
const PEER_LIST_WAIT: Duration = Duration::from_millis(500);

/// Largest number of tombstones that are kept.
const MAX_TOMBSTONES: usize = 512;

/// How long a read of the store may wait for changes when the last proof has the age `proof_age`.
/// An old proof is renewed at once, since the proof timeouts of other entries may end meanwhile.
pub fn watch_wait(proof_age: Option<Duration>) -> Duration {
    match proof_age {
        Some(age) if age < WATCH_WAIT / 2 => WATCH_WAIT,
        _ => Duration::ZERO,
    }
}

/// Whether the entry of `rank` sends what it reads to the others. If the store is unavailable for
/// many entries, those whose proof timeout is the longest read for themselves only: if all entries
/// sent everything to all others, they would saturate the links.
pub fn sends_updates(rank: Option<usize>) -> bool {
    rank.is_some_and(|rank| {
        rank < READER_COUNT + usize::try_from(MAX_TAKEOVER_TURNS).unwrap_or(usize::MAX)
    })
}

/// Whether an entry may start with a peer's replica whose last proof has the age `proof_age`.
/// Without a later proof it reads the store as soon as any other entry does. While the store is
/// unavailable, no entry has a recent proof: then the entry starts with what its peers use, since it
/// would otherwise refuse all requests until the store is back.
pub fn may_start_with(proof_age: Duration, store_failed: bool) -> bool {
    store_failed || proof_age <= MAX_PROOF_AGE
}

/// Pause, before any jitter, after a call that the store did not answer and that followed
/// `failures` such calls in a row. While the store is unavailable, all entries call it; those that
/// send no updates learn of its return from the others, and call half as often.
pub fn backoff(failures: u32, rank: Option<usize>) -> Duration {
    let pause = (MIN_BACKOFF * (1 << failures.min(MAX_DOUBLINGS))).min(MAX_BACKOFF);
    if sends_updates(rank) { pause } else { pause * 2 }
}

/// How long an entry that the store cannot send the changes to, because its history starts later,
/// waits for the whole state from a peer before it reads that itself.
pub fn peer_list_wait(rank: Option<usize>) -> Duration {
    if sends_updates(rank) { Duration::ZERO } else { PEER_LIST_WAIT }
}

/// Age of the last proof from a peer after which the entry of `rank` among the live ones reads the
/// store: zero for a store reader, then longer by rank.
pub fn proof_timeout(rank: usize) -> Duration {
    match rank.checked_sub(READER_COUNT) {
        None => Duration::ZERO,
        Some(turn) => {
            MAX_PROOF_AGE
                + TAKEOVER_INTERVAL
                    * u32::try_from(turn).unwrap_or(MAX_TAKEOVER_TURNS).min(MAX_TAKEOVER_TURNS)
        }
    }
}

/// An item of the store, or the tombstone of a removed one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key in the store.
    pub key: Arc<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    pub value: Option<Bytes>,
}

/// Changes that lead from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the changes start from; 0 if `items` is the whole state.
    pub from: u64,
    /// Revision that the changes lead to.
    pub to: u64,
    /// Age of the proof that `to` is the store's latest revision.
    pub proof_age: Duration,
    /// Changed items, oldest first.
    pub items: Vec<Item>,
}

impl Delta {
    /// Splits the changes into parts that follow each other, each of at most `limit` bytes by
    /// `size`. Only the last part has the proof: the others lead to revisions that are no longer
    /// the store's latest. The second result is false if the parts are not complete: they end
    /// before the first item that is larger than `limit`, and there are none if this is the whole
    /// state.
    pub fn split(self, limit: usize, size: impl Fn(&Item) -> usize) -> (Vec<Self>, bool) {
        if self.from == 0 {
            return (Vec::new(), false);
        }
        let mut parts = Vec::new();
        let mut part =
            Self { from: self.from, to: self.from, proof_age: Duration::MAX, items: Vec::new() };
        let mut part_bytes = 0;
        for item in self.items {
            let bytes = size(&item);
            if bytes > limit {
                parts.push(part);
                return (parts, false);
            }
            if part_bytes + bytes > limit {
                let next = Self {
                    from: part.to,
                    to: part.to,
                    proof_age: Duration::MAX,
                    items: Vec::new(),
                };
                parts.push(std::mem::replace(&mut part, next));
                part_bytes = 0;
            }
            part_bytes += bytes;
            part.to = item.revision;
            part.items.push(item);
        }
        part.to = self.to;
        part.proof_age = self.proof_age;
        parts.push(part);
        (parts, true)
    }
}

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
