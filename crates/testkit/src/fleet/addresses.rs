use std::net::SocketAddr;

use super::Error;
use super::Fleet;
use super::Vm;
use super::VmRole;

impl Fleet {
    /// The address on which an entry accepts callers, or a server accepts entries.
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

    /// The control address of an entry, for peers and operators.
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

    /// The control addresses of all entries.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let control = |vm: &Vm| match &vm.role {
            VmRole::Entry { control, .. } => Some(*control),
            VmRole::Server { .. } => None,
        };
        self.documents.vms.iter().filter_map(control).collect()
    }

    /// The addresses on which the entries accept callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let caller = |vm: &Vm| match &vm.role {
            VmRole::Entry { caller, .. } => Some(*caller),
            VmRole::Server { .. } => None,
        };
        self.documents.vms.iter().filter_map(caller).collect()
    }

    /// The addresses of the servers of a service; with `None`, of all services.
    pub fn server_addresses(&self, service: Option<&str>) -> Vec<SocketAddr> {
        let address = |vm: &Vm| match &vm.role {
            VmRole::Server { service: server_service, address }
                if service.is_none_or(|name| name == server_service) =>
            {
                Some(*address)
            }
            _ => None,
        };
        self.documents.vms.iter().filter_map(address).collect()
    }

    /// Names of the VMs for which `matches` is true.
    pub fn vm_names(&self, matches: impl Fn(&Vm) -> bool) -> Vec<String> {
        let found = self.documents.vms.iter().filter(|vm| matches(vm));
        found.map(|vm| vm.name.clone()).collect()
    }

    /// The VM of this name in the VM list.
    ///
    /// # Errors
    ///
    /// There is no such VM.
    pub(super) fn vm(&self, name: &str) -> Result<&Vm, Error> {
        let found = self.documents.vms.iter().find(|vm| vm.name == name);
        found.ok_or_else(|| Error::UnknownVm(name.to_owned()))
    }
}
