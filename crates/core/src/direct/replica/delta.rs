//! Items of the store, and the changes that entries send to each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Cursor;

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

impl Item {
    /// The tombstone of this item, which was removed at `revision`.
    pub(super) fn tombstone(&self, revision: u64) -> Self {
        Self { key: self.key.clone(), revision, value: None }
    }
}

/// Changes that lead from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Epoch of the revisions.
    pub epoch: u64,
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
    /// The position that the changes lead to.
    pub fn cursor(&self) -> Cursor {
        Cursor { epoch: self.epoch, revision: self.to }
    }

    /// Whether these are all items instead of changes.
    pub fn is_whole(&self) -> bool {
        self.from == 0
    }

    /// Splits the changes into parts that follow each other, each of at most `limit` bytes by
    /// `size`. Only the last part has the proof: the others lead to revisions that are no longer
    /// the store's latest. The second result is false if the parts are not complete: they end
    /// before the first item that is larger than `limit`, and there are none if this is the whole
    /// state.
    pub fn split(self, limit: usize, size: impl Fn(&Item) -> usize) -> (Vec<Self>, bool) {
        if self.is_whole() {
            return (Vec::new(), false);
        }
        let mut parts = Vec::new();
        let epoch = self.epoch;
        let part_from = |revision| Self {
            epoch,
            from: revision,
            to: revision,
            proof_age: Duration::MAX,
            items: Vec::new(),
        };
        let mut part = part_from(self.from);
        let mut part_bytes = 0;
        for item in self.items {
            let bytes = size(&item);
            if bytes > limit {
                parts.push(part);
                return (parts, false);
            }
            if part_bytes + bytes > limit {
                let next = part_from(part.to);
                parts.push(std::mem::replace(&mut part, next));
                part_bytes = 0;
            }
            part_bytes += bytes;
            // An item may be newer than the position, if the pages of a list were read in between.
            part.to = item.revision.min(self.to);
            part.items.push(item);
        }
        part.to = self.to;
        part.proof_age = self.proof_age;
        parts.push(part);
        (parts, true)
    }
}

/// The items of a list after `changes`, which may contain several changes of one item.
pub fn replay(items: Vec<Item>, changes: Vec<Item>) -> Vec<Item> {
    let mut latest: BTreeMap<Arc<str>, Item> = BTreeMap::new();
    for item in items.into_iter().chain(changes) {
        let known = latest.get(&item.key);
        if known.is_none_or(|known| known.revision < item.revision) {
            latest.insert(item.key.clone(), item);
        }
    }
    latest.into_values().filter(|item| item.value.is_some()).collect()
}
