/// Number of the epoch before any restoration, and of stores that state none.
pub const FIRST_EPOCH: u64 = 1;

/// A position in the history of the store. Positions are ordered by epoch, then by revision.
///
/// A store that is restored from an older copy of its state begins a new epoch. Its revisions
/// continue from the copy's, so that those that it lost are given out again: they can be compared
/// within one epoch only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Cursor {
    /// Number of the epoch.
    pub epoch: u64,
    /// Revision in the epoch; 0 if nothing was read.
    pub revision: u64,
}

impl Cursor {
    /// Whether nothing was read.
    pub fn is_empty(&self) -> bool {
        self.revision == 0
    }

    /// Whether the store has been restored. An old list may then be from before the restoration,
    /// whatever epoch its answer names, and its revision may have been given out again.
    pub fn is_restored(&self) -> bool {
        self.epoch > FIRST_EPOCH
    }
}
