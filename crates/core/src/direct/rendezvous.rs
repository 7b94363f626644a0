//! Orders entries for a key without talking to them.
//!
//! Rendezvous hashing with xxh3: all entries compute the same order from the same members, and a
//! member that comes or goes changes nothing among the others.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64;

/// The score of the member at `ip` for `key`; the highest score comes first.
pub fn score(key: &str, ip: Ipv4Addr) -> u64 {
    let mut input: smallvec::SmallVec<[u8; 80]> = smallvec::SmallVec::new();
    input.extend_from_slice(&ip.octets());
    input.extend_from_slice(key.as_bytes());
    xxh3_64(&input)
}
