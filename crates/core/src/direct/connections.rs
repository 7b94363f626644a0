//! How many idle connections an entry keeps to a server.
//!
//! A server accepts a limited number of connections from all entries together, and resets further
//! ones. Each entry keeps a share of half of them; the other half is for connections in use and for
//! entries that disagree about the number of live entries.

/// Divisor of a server's connection limit that gives the idle connections of all entries together.
const IDLE_DIVISOR: usize = 2;

/// Largest number of idle connections: a server runs only a few requests at the same time.
const MAX_IDLE: usize = 16;

/// Idle connections that one of `entries` entries keeps to a server that accepts `connections`
/// connections, at least 1.
pub fn idle_limit(connections: u32, entries: usize) -> usize {
    let all = usize::try_from(connections).unwrap_or(usize::MAX) / IDLE_DIVISOR;
    (all / entries.max(1)).clamp(1, MAX_IDLE)
}
