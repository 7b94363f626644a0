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
/// which spares most of the hashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Domain,
    Region,
    Other,
}

/// Sorts entries by preference. The name decides between equal scores.
type Key<'a> = (Class, Reverse<u64>, &'a str);

/// The best entries found so far, in order.
type First<'a> = SmallVec<[(Key<'a>, &'a Vm); MAX_WITNESSES]>;

/// The live entries of a VM list, collected once to rank them for many servers.
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
        let mut keyed: Vec<_> =
            self.entries.iter().map(|vm| (key(class(vm, server), vm, seed), *vm)).collect();
        keyed.sort_unstable_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, vm)| vm).collect()
    }

    /// The entry of the best rank for `server` among those for which `available` is true.
    ///
    /// `available` is called only for entries that rank before the best one found so far.
    pub fn holder(&self, server: &Vm, available: impl Fn(&name::Vm) -> bool) -> Option<&'a Vm> {
        let seed = seed(server);
        let mut best: Option<(Key<'a>, &'a Vm)> = None;
        for vm in &self.entries {
            let class = class(vm, server);
            if best.is_some_and(|(found, _)| found.0 < class) {
                continue;
            }
            let key = key(class, vm, seed);
            let better = best.is_none_or(|(found, _)| key < found);
            if better && available(&vm.name) {
                best = Some((key, vm));
            }
        }
        best.map(|(_, vm)| vm)
    }

    /// The first [`MAX_WITNESSES`] live entries by rank, whether or not they are heard from.
    ///
    /// Witnesses depend on the list alone: if each entry left out those it does not hear, two sides
    /// of a partition would choose disjoint witnesses.
    pub fn witnesses(&self, server: &Vm) -> Witnesses<'a> {
        let seed = seed(server);
        let mut first = First::new();
        for vm in &self.entries {
            let class = class(vm, server);
            let full = first.len() == MAX_WITNESSES;
            if full && first.last().is_some_and(|(last, _)| last.0 < class) {
                continue;
            }
            insert(&mut first, (key(class, vm, seed), vm));
        }
        first.into_iter().map(|(_, vm)| vm).collect()
    }
}

/// Inserts `item` in order and drops the last item when there are too many.
fn insert<'a>(first: &mut First<'a>, item: (Key<'a>, &'a Vm)) {
    if first.len() == MAX_WITNESSES {
        if first.last().is_some_and(|(last, _)| *last < item.0) {
            return;
        }
        first.pop();
    }
    let index = first.partition_point(|(key, _)| *key < item.0);
    first.insert(index, item);
}

fn key(class: Class, entry: &Vm, seed: u64) -> Key<'_> {
    let name = entry.name.as_str();
    let score = xxh3_64_with_seed(name.as_bytes(), seed);
    (class, Reverse(score), name)
}

fn class(entry: &Vm, server: &Vm) -> Class {
    if entry.domain == server.domain {
        Class::Domain
    } else if entry.region == server.region {
        Class::Region
    } else {
        Class::Other
    }
}

/// The seed of the scores for `server`. A VM that is not a server counts as one of a service with
/// an empty name.
fn seed(server: &Vm) -> u64 {
    let service = match &server.role {
        Role::Server { service, .. } => service.as_str(),
        Role::Entry { .. } => "",
    };
    xxh3_64_with_seed(server.name.as_str().as_bytes(), xxh3_64(service.as_bytes()))
}
