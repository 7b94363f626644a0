//! How updates reach all entries: down trees within each failure domain.
//!
//! Load pattern: servers join or leave by the dozen, and each change goes to every entry within a
//! second or two. If one entry sent all of them to each other one, its link would be full, datagrams
//! would be lost, and the entries without a freshness proof would all read the store themselves.
//! Instead, each entry on the way sends to a few others only and names those that they pass the
//! update on to, so that it reaches all entries that the first sender knows of, whatever the others
//! know.
//!
//! Each update takes two trees with other random orders, so an entry misses it only if messages are
//! lost in both. Entries that are leaving come last and pass nothing on.

use std::net::Ipv4Addr;

use crate::port::Random;

/// Number of trees that each update takes.
pub const TREE_COUNT: usize = 2;

/// Number of entries that one entry sends an update to in a tree. A domain of a hundred entries is
/// reached in three steps.
const FANOUT: usize = 6;

/// Largest number of entries that a message names; an address takes five bytes of a datagram.
pub const MAX_TARGETS: usize = 48;

/// The entries of a failure domain that an update is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Whether the sender is in the same failure domain.
    pub same_domain: bool,
    /// Entries that may pass the update on.
    pub staying: Vec<Ipv4Addr>,
    /// Entries that are leaving.
    pub leaving: Vec<Ipv4Addr>,
}

impl Group {
    /// All entries in a new random order; those that are leaving come last.
    pub fn shuffled(&self, random: &impl Random) -> Vec<Ipv4Addr> {
        let mut entries = self.staying.clone();
        for last in (1..entries.len()).rev() {
            entries.swap(last, random.index(last + 1));
        }
        entries.extend(&self.leaving);
        entries
    }
}

/// A part of a tree: an entry, and those that it passes the update on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Branch<'a> {
    /// The entry that the update is sent to.
    pub first: Ipv4Addr,
    /// The entries that it sends it on to.
    pub rest: &'a [Ipv4Addr],
}

/// Divides the entries of the sender's own failure domain into a few branches.
pub fn branches(entries: &[Ipv4Addr]) -> impl Iterator<Item = Branch<'_>> {
    split(entries, entries.len().div_ceil(FANOUT))
}

/// Divides the entries of another failure domain into as few branches as messages can name, since
/// bytes between failure domains cost.
pub fn remote_branches(entries: &[Ipv4Addr]) -> impl Iterator<Item = Branch<'_>> {
    split(entries, MAX_TARGETS + 1)
}

fn split(entries: &[Ipv4Addr], size: usize) -> impl Iterator<Item = Branch<'_>> {
    let chunks = entries.chunks(size.clamp(1, MAX_TARGETS + 1));
    chunks.filter_map(|chunk| {
        let (first, rest) = chunk.split_first()?;
        Some(Branch { first: *first, rest })
    })
}
