use std::net::SocketAddr;

use super::Error;
use super::Fleet;
use super::Vm;
use super::VmRole;

impl Fleet {
    /// Where callers reach an entry, or entries a server.
    ///
    /// # Errors
    ///
    /// There is no such VM.
    pub fn request_address(&self, name: &str) -> Result<SocketAddr, Error> {
        Ok(match &self.vm(name)?.role {
            VmRole::Entry { caller, .. } => *caller,
            VmRole::Server { address, .. } => *address,
        })
    }

    /// Where operators reach an entry.
    ///
    /// # Errors
    ///
    /// There is no such entry.
    pub fn control_address(&self, name: &str) -> Result<SocketAddr, Error> {
        match &self.vm(name)?.role {
            VmRole::Entry { control, .. } => Ok(*control),
            VmRole::Server { .. } => Err(Error::UnknownVm(name.to_owned())),
        }
    }

    /// Where operators reach all entries.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let control = |vm: &Vm| match &vm.role {
            VmRole::Entry { control, .. } => Some(*control),
            VmRole::Server { .. } => None,
        };
        self.documents.vms.iter().filter_map(control).collect()
    }

    /// Where callers reach all entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let caller = |vm: &Vm| match &vm.role {
            VmRole::Entry { caller, .. } => Some(*caller),
            VmRole::Server { .. } => None,
        };
        self.documents.vms.iter().filter_map(caller).collect()
    }

    /// Where entries reach the servers of a service, or of all services.
    pub fn server_addresses(&self, service: Option<&str>) -> Vec<SocketAddr> {
        let address = |vm: &Vm| match &vm.role {
            VmRole::Server { service: own, address } if service.is_none_or(|name| name == own) => {
                Some(*address)
            }
            _ => None,
        };
        self.documents.vms.iter().filter_map(address).collect()
    }

    /// Names of the VMs that match.
    pub fn vm_names(&self, matches: impl Fn(&Vm) -> bool) -> Vec<String> {
        let found = self.documents.vms.iter().filter(|vm| matches(vm));
        found.map(|vm| vm.name.clone()).collect()
    }

    /// The VM of this name.
    pub(super) fn vm(&self, name: &str) -> Result<&Vm, Error> {
        let found = self.documents.vms.iter().find(|vm| vm.name == name);
        found.ok_or_else(|| Error::UnknownVm(name.to_owned()))
    }
}
