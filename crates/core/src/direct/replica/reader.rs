//! When an entry reads the store, how long it waits, and whether it sends on what it reads.

use std::time::Duration;

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
