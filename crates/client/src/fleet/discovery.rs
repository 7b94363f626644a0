use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Fleet;
use super::ReachableEntry;
use super::UnreachableEntry;
use crate::entry_client::Error;
use jackdawpin_wire::Status;

/// Control endpoint of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Name of the VM, if known.
    pub vm: Option<String>,
    /// Its control address.
    pub address: String,
}

/// The endpoints that are still to be queried, and the answers so far.
#[derive(Debug, Default)]
pub struct Discovery {
    pending: VecDeque<Endpoint>,
    /// All addresses that were ever added to `pending`.
    known_addresses: BTreeSet<String>,
    /// Names of the entries that answered.
    answered_vms: BTreeSet<String>,
    fleet: Fleet,
}

impl Discovery {
    /// Starts with the addresses of `seeds`.
    pub fn new(seeds: &[String]) -> Self {
        let mut discovery = Self::default();
        for address in seeds {
            discovery.add_endpoint(None, address);
        }
        discovery
    }

    /// Up to `max` endpoints to query next. Empty if none is left.
    pub fn next_endpoints(&mut self, max: usize) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        while endpoints.len() < max {
            let Some(endpoint) = self.pending.pop_front() else { break };
            let answered = endpoint.vm.as_ref().is_some_and(|vm| self.answered_vms.contains(vm));
            if !answered {
                endpoints.push(endpoint);
            }
        }
        endpoints
    }

    /// Records the status of an entry and adds the entries that it names.
    pub fn record_status(&mut self, endpoint: Endpoint, status: Status) {
        if !self.answered_vms.insert(status.vm.clone()) {
            return;
        }
        for entry in &status.entries {
            if entry.address.is_empty() {
                self.add_without_address(&entry.vm);
            } else {
                self.add_endpoint(Some(&entry.vm), &entry.address);
            }
        }
        self.fleet.reachable.push(ReachableEntry { address: endpoint.address, status });
    }

    /// Records that an endpoint did not answer.
    pub fn record_failure(&mut self, endpoint: Endpoint, error: &Error) {
        self.fleet.add_unreachable(endpoint, error);
    }

    /// All answers. An entry that answered at one of its addresses does not count as unreachable at
    /// another.
    pub fn into_fleet(mut self) -> Fleet {
        self.set_unreachable_vms();
        let answered_vms = &self.answered_vms;
        let is_unreachable = |entry: &UnreachableEntry| {
            entry.vm.as_ref().is_none_or(|vm| !answered_vms.contains(vm))
        };
        self.fleet.unreachable.retain(is_unreachable);
        self.fleet.unreachable.sort();
        self.fleet.reachable.sort_by(|a, b| a.status.vm.cmp(&b.status.vm));
        self.fleet
    }

    /// Adds an entry that another one names and whose address is not on the VM list.
    fn add_without_address(&mut self, vm: &str) {
        let entry = UnreachableEntry {
            vm: Some(vm.to_owned()),
            address: "-".to_owned(),
            reason: "its address is not known".to_owned(),
        };
        if !self.fleet.unreachable.contains(&entry) {
            self.fleet.unreachable.push(entry);
        }
    }

    fn add_endpoint(&mut self, vm: Option<&str>, address: &str) {
        if self.known_addresses.insert(address.to_owned()) {
            let vm = vm.map(str::to_owned);
            self.pending.push_back(Endpoint { vm, address: address.to_owned() });
        }
    }

    /// Sets the VM name of unreachable seeds for which another entry's status gives it.
    fn set_unreachable_vms(&mut self) {
        let reachable = &self.fleet.reachable;
        let entries = || reachable.iter().flat_map(|entry| &entry.status.entries);
        for unreachable in self.fleet.unreachable.iter_mut().filter(|entry| entry.vm.is_none()) {
            let known = entries().find(|entry| entry.address == unreachable.address);
            unreachable.vm = known.map(|entry| entry.vm.clone());
        }
    }
}
