//! How many unused connections an entry keeps to a server.
//!
//! A server accepts a limited number of connections from all entries together, and resets further
//! ones. Each entry keeps a share of half of them; the rest is for connections in use and for entries
//! that count each other differently.

/// Divisor of the part of a server's connections that all entries together keep unused.
const KEPT_PART: usize = 2;

/// Connections kept at most: a server runs only a few requests at the same time.
const MAX_KEPT: usize = 16;

/// Unused connections that one of `entries` keeps to a server that accepts `connections`, at least 1.
pub fn idle_limit(connections: u32, entries: usize) -> usize {
    let all = usize::try_from(connections).unwrap_or(usize::MAX) / KEPT_PART;
    (all / entries.max(1)).clamp(1, MAX_KEPT)
}
