use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Fleet;
use super::Member;
use super::Unreachable;
use crate::ask::Error;
use jackdawpin_wire::Status;

/// An entry to ask.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the VM, if known.
    pub vm: Option<String>,
    /// Its control address.
    pub address: String,
}

/// Whom to ask next, and what was answered.
#[derive(Debug, Default)]
pub struct Roster {
    pending: VecDeque<Place>,
    /// Addresses that are or were to be asked.
    addresses: BTreeSet<String>,
    /// Names of the entries that answered.
    names: BTreeSet<String>,
    fleet: Fleet,
}

impl Roster {
    /// Starts with the given addresses.
    pub fn new(first: &[String]) -> Self {
        let mut roster = Self::default();
        for address in first {
            roster.add(None, address);
        }
        roster
    }

    /// Up to `max` places to ask. Empty when there is nobody left.
    pub fn next(&mut self, max: usize) -> Vec<Place> {
        let mut places = Vec::new();
        while places.len() < max {
            let Some(place) = self.pending.pop_front() else { break };
            let answered = place.vm.as_ref().is_some_and(|vm| self.names.contains(vm));
            if !answered {
                places.push(place);
            }
        }
        places
    }

    /// Notes an answer and learns of the entries that it names.
    pub fn answered(&mut self, place: Place, status: Status) {
        if !self.names.insert(status.vm.clone()) {
            return;
        }
        for entry in &status.entries {
            if entry.address.is_empty() {
                self.without_address(&entry.vm);
            } else {
                self.add(Some(&entry.vm), &entry.address);
            }
        }
        self.fleet.members.push(Member { address: place.address, status });
    }

    /// Notes that there was no answer.
    pub fn failed(&mut self, place: Place, error: &Error) {
        self.fleet.lose(place, error);
    }

    /// All answers. An entry that answered at one address is not unreachable because of another
    /// one.
    pub fn finish(mut self) -> Fleet {
        self.name_unreachable();
        let names = &self.names;
        let lost = |entry: &Unreachable| entry.vm.as_ref().is_none_or(|vm| !names.contains(vm));
        self.fleet.unreachable.retain(lost);
        self.fleet.unreachable.sort();
        self.fleet.members.sort_by(|a, b| a.status.vm.cmp(&b.status.vm));
        self.fleet
    }

    /// Notes an entry that another one has heard of and whose address is not on the VM list.
    fn without_address(&mut self, vm: &str) {
        let lost = Unreachable {
            vm: Some(vm.to_owned()),
            address: "-".to_owned(),
            reason: "its address is not known".to_owned(),
        };
        if !self.fleet.unreachable.contains(&lost) {
            self.fleet.unreachable.push(lost);
        }
    }

    fn add(&mut self, vm: Option<&str>, address: &str) {
        if self.addresses.insert(address.to_owned()) {
            let vm = vm.map(str::to_owned);
            self.pending.push_back(Place { vm, address: address.to_owned() });
        }
    }

    /// Gives unreachable addresses that an operator named the VM's name, if another entry knows it.
    fn name_unreachable(&mut self) {
        let members = &self.fleet.members;
        let entries = || members.iter().flat_map(|member| &member.status.entries);
        for lost in self.fleet.unreachable.iter_mut().filter(|lost| lost.vm.is_none()) {
            let known = entries().find(|entry| entry.address == lost.address);
            lost.vm = known.map(|entry| entry.vm.clone());
        }
    }
}
