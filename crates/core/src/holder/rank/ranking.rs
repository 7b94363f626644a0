//! The order of entries for a server by proximity and score.

use std::cmp::Reverse;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::MAX_WITNESSES;
use super::Witnesses;
use crate::holder::member::Role;
use crate::holder::member::Vm;
use crate::holder::member::VmList;
use crate::name;

/// How close an entry is to a server, closest first. It is compared before the score is computed,
/// which avoids most of the hashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// The order of entries for a server, best first. The name decides between equal scores.
type SortKey<'a> = (Proximity, Reverse<u64>, &'a str);

/// The best entries found so far, best first.
type BestEntries<'a> = SmallVec<[(SortKey<'a>, &'a Vm); MAX_WITNESSES]>;

/// Ranks the live entries of a VM list, which are collected once for many servers.
#[derive(Debug, Clone)]
pub struct Ranking<'a> {
    entries: Vec<&'a Vm>,
}

impl<'a> Ranking<'a> {
    /// Collects the live entries of `list`.
    pub fn new(list: &'a VmList) -> Self {
        Self { entries: list.live_entries().collect() }
    }

    /// All live entries for `server`, best rank first.
    pub fn order(&self, server: &Vm) -> Vec<&'a Vm> {
        let seed = seed(server);
        let mut keyed: Vec<_> = self
            .entries
            .iter()
            .map(|vm| (sort_key(proximity(vm, server), vm, seed), *vm))
            .collect();
        keyed.sort_unstable_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, vm)| vm).collect()
    }

    /// The entry of the best rank for `server` among those for which `available` is true.
    ///
    /// `available` is called only for entries that rank before the best one found so far.
    pub fn holder(&self, server: &Vm, available: impl Fn(&name::Vm) -> bool) -> Option<&'a Vm> {
        let seed = seed(server);
        let mut best: Option<(SortKey<'a>, &'a Vm)> = None;
        for vm in &self.entries {
            let proximity = proximity(vm, server);
            if best.is_some_and(|(found, _)| found.0 < proximity) {
                continue;
            }
            let key = sort_key(proximity, vm, seed);
            let better = best.is_none_or(|(found, _)| key < found);
            if better && available(&vm.name) {
                best = Some((key, vm));
            }
        }
        best.map(|(_, vm)| vm)
    }

    /// The first [`MAX_WITNESSES`] live entries by rank, whether or not their heartbeats arrive.
    ///
    /// Witnesses depend on the list alone: if each entry left out its silent peers, two sides of a
    /// partition would choose disjoint witnesses.
    pub fn witnesses(&self, server: &Vm) -> Witnesses<'a> {
        let seed = seed(server);
        let mut best = BestEntries::new();
        for vm in &self.entries {
            let proximity = proximity(vm, server);
            let full = best.len() == MAX_WITNESSES;
            if full && best.last().is_some_and(|(last, _)| last.0 < proximity) {
                continue;
            }
            insert(&mut best, (sort_key(proximity, vm, seed), vm));
        }
        best.into_iter().map(|(_, vm)| vm).collect()
    }
}

/// Inserts `item` in order, and removes the last item if there are more than [`MAX_WITNESSES`].
fn insert<'a>(best: &mut BestEntries<'a>, item: (SortKey<'a>, &'a Vm)) {
    if best.len() == MAX_WITNESSES {
        if best.last().is_some_and(|(last, _)| *last < item.0) {
            return;
        }
        best.pop();
    }
    let index = best.partition_point(|(key, _)| *key < item.0);
    best.insert(index, item);
}

fn sort_key(proximity: Proximity, entry: &Vm, seed: u64) -> SortKey<'_> {
    let name = entry.name.as_str();
    let score = xxh3_64_with_seed(name.as_bytes(), seed);
    (proximity, Reverse(score), name)
}

fn proximity(entry: &Vm, server: &Vm) -> Proximity {
    if entry.domain == server.domain {
        Proximity::SameDomain
    } else if entry.region == server.region {
        Proximity::SameRegion
    } else {
        Proximity::OtherRegion
    }
}

/// The seed of the scores for `server`. A VM that is not a server counts as a server of a service
/// with an empty name.
fn seed(server: &Vm) -> u64 {
    let service = match &server.role {
        Role::Server { service, .. } => service.as_str(),
        Role::Entry { .. } => "",
    };
    xxh3_64_with_seed(server.name.as_str().as_bytes(), xxh3_64(service.as_bytes()))
}
