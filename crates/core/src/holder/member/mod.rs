//! Membership: the VM list of the platform, and the state of the other entries from their
//! heartbeats.
//!
//! The VM list lags behind reality, and it says which VMs exist and which are leaving, not which of
//! them answer. [`Peers`] adds the information in heartbeats: which entries are live, the capacity
//! of the servers that they hold and which documents they have.

mod peers;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::name;

pub use self::peers::Capacity;
pub use self::peers::Connectivity;
pub use self::peers::Heartbeat;
pub use self::peers::HeartbeatKind;
pub use self::peers::MAX_PEERS;
pub use self::peers::PeerCapacity;
pub use self::peers::PeerStatus;
pub use self::peers::Peers;
pub use self::peers::RESUME_GRACE;
pub use self::peers::SILENT_AFTER;
pub use self::peers::SUSPENDED_AFTER;

/// Whether a VM is in use or about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM may receive work.
    Live,
    /// The VM finishes its requests in flight and receives no new work.
    Leaving,
}

/// The kind of process that a VM runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// An entry, that is, a process of this load balancer.
    Entry {
        /// Address to which callers connect.
        caller: SocketAddr,
        /// Address to which other entries and the operators' client connect.
        control: SocketAddr,
    },
    /// A server of a service.
    Server {
        /// The service.
        service: name::Service,
        /// Address at which the server accepts requests.
        address: SocketAddr,
    },
}

/// A VM on the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: name::Vm,
    /// The process that it runs.
    pub role: Role,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Whether it is in use or about to leave.
    pub state: VmState,
}

quick_error! {
    /// Why a VM list is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The version is zero.
        Version {
            display("version must be at least 1")
        }
        /// A VM appears twice.
        Duplicate(name: name::Vm) {
            display("VM {} appears twice", name)
        }
    }
}

/// A valid VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmList {
    version: u64,
    vms: Vec<Vm>,
}

impl VmList {
    /// Creates a list after checking it.
    ///
    /// # Errors
    ///
    /// The version is 0, or a VM appears twice.
    pub fn new(version: u64, vms: Vec<Vm>) -> Result<Self, Error> {
        if version == 0 {
            return Err(Error::Version);
        }
        let mut names = BTreeSet::new();
        if let Some(vm) = vms.iter().find(|vm| !names.insert(&vm.name)) {
            return Err(Error::Duplicate(vm.name.clone()));
        }
        Ok(Self { version, vms })
    }

    /// The version that the platform assigned to the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All VMs.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// The VM of the given name.
    pub fn vm(&self, name: &str) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.name.as_str() == name)
    }

    /// The control address of the entry of the given name.
    pub fn control_address(&self, name: &name::Vm) -> Option<SocketAddr> {
        match self.vm(name.as_str())?.role {
            Role::Entry { control, .. } => Some(control),
            Role::Server { .. } => None,
        }
    }

    /// The entries that are not leaving.
    pub fn live_entries(&self) -> impl Iterator<Item = &Vm> {
        self.vms
            .iter()
            .filter(|vm| vm.state == VmState::Live && matches!(vm.role, Role::Entry { .. }))
    }
}
