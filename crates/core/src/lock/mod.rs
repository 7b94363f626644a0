//! Locks with a stated order.
//!
//! Each shared table has a [`Rank`]. A thread that holds a lock may only take locks of a higher
//! rank, so threads cannot deadlock. Debug builds check this at each lock and panic on a violation;
//! release builds do not check. Guards are not `Send`, so the compiler rejects a future that holds
//! one across an await.

use std::cell::RefCell;
use std::ops::Deref;
use std::ops::DerefMut;

use parking_lot::MutexGuard;

/// The lock order, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Documents in force and the fence.
    Intent = 1,
    /// Entries and the contents of their heartbeats.
    Members = 2,
    /// Promises given as a witness and claims obtained as a holder of servers.
    Promises = 3,
    /// The servers and waiting requests of one service. Two pools are never locked at once.
    Pool = 4,
    /// Requests in flight and outcome counters.
    Ledger = 5,
    /// The time line of events.
    Journal = 6,
    /// Idle connections of an adapter.
    Connections = 7,
    /// Latencies and metrics of an adapter.
    Telemetry = 8,
}

thread_local! {
    /// Ranks of the locks that this thread holds.
    static HELD: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct Mutex<T> {
    rank: Rank,
    inner: parking_lot::Mutex<T>,
}

impl<T> Mutex<T> {
    /// Creates a mutex of the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self { rank, inner: parking_lot::Mutex::new(value) }
    }

    /// Locks the mutex.
    ///
    /// # Panics
    ///
    /// Debug builds panic if this thread already holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        acquire(self.rank);
        Guard { rank: self.rank, inner: self.inner.lock() }
    }
}

/// Access to the value behind a [`Mutex`]. Dropping the guard releases the lock.
pub struct Guard<'a, T> {
    rank: Rank,
    inner: MutexGuard<'a, T>,
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        release(self.rank);
    }
}

fn acquire(rank: Rank) {
    if cfg!(debug_assertions) {
        HELD.with_borrow_mut(|held| {
            if let Some(highest) = held.iter().max() {
                assert!(
                    *highest < rank,
                    "lock order violated: {rank:?} taken while {highest:?} is held"
                );
            }
            held.push(rank);
        });
    }
}

fn release(rank: Rank) {
    if cfg!(debug_assertions) {
        HELD.with_borrow_mut(|held| {
            if let Some(index) = held.iter().rposition(|other| *other == rank) {
                held.remove(index);
            }
        });
    }
}
