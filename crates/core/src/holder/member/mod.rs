//! The VMs that the platform lists, and what the entries among them say about themselves.
//!
//! The list lags behind reality: it says which VMs exist and which are leaving, not which of them
//! answer. [`Peers`] adds what heartbeats tell: which entries answer, what they hold and which
//! documents they have.

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

/// Whether a VM stays or is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM may receive work.
    Live,
    /// The VM finishes what it has and receives no new work.
    Leaving,
}

/// What a VM runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// A process of this system.
    Entry {
        /// Where callers connect.
        caller: SocketAddr,
        /// Where other entries and the operators' client connect.
        control: SocketAddr,
    },
    /// A server of a service.
    Server {
        /// The service.
        service: name::Service,
        /// Where the server accepts requests.
        address: SocketAddr,
    },
}

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: name::Vm,
    /// What it runs.
    pub role: Role,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Whether it stays.
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
    /// Checks a list.
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

    /// The version that the platform gave the list.
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

    /// The control address of an entry.
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
