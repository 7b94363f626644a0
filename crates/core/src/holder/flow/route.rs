//! Routes to services, and the addresses of entries.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::holder::config::Service;
use crate::holder::member::Role;
use crate::holder::member::Vm;
use crate::holder::member::VmList;
use crate::holder::pool::Pool;
use crate::holder::retry::RetryBudget;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;

/// The settings and the state of a service that requests can be sent to.
#[derive(Debug)]
pub struct Route {
    settings: Service,
    pool: Arc<Pool>,
    retry_budget: Arc<Mutex<RetryBudget>>,
    eligible: bool,
}

impl Route {
    /// Creates a route. `eligible` says whether any server of the service may receive work,
    /// whichever entry holds it. The route takes over the pool of `previous`, and also its retry
    /// budget if the settings of the budget have not changed.
    pub fn new(
        name: &name::Service,
        settings: &Service,
        eligible: bool,
        previous: Option<&Route>,
    ) -> Self {
        let policy = &settings.policy;
        let budget = || RetryBudget::new(policy.retry_permille, policy.retry_burst);
        let retry_budget = match previous {
            Some(route) if route.has_same_budget(settings) => route.retry_budget.clone(),
            _ => Arc::new(Mutex::new(Rank::Ledger, budget())),
        };
        let pool = match previous {
            Some(route) => route.pool.clone(),
            None => Arc::new(Pool::new(name.clone())),
        };
        Self { settings: settings.clone(), pool, retry_budget, eligible }
    }

    /// The settings of the service.
    pub fn settings(&self) -> &Service {
        &self.settings
    }

    /// The held servers and the waiting requests of the service.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Whether any server of the service may receive work.
    pub fn eligible(&self) -> bool {
        self.eligible
    }

    /// The retry budget of the service.
    pub(super) fn retry_budget(&self) -> &Mutex<RetryBudget> {
        &self.retry_budget
    }

    fn has_same_budget(&self, settings: &Service) -> bool {
        let (old, new) = (&self.settings.policy, &settings.policy);
        old.retry_permille == new.retry_permille && old.retry_burst == new.retry_burst
    }
}

/// The routes to all services, and the addresses of all entries.
#[derive(Debug, Default)]
pub struct Routes {
    /// Sorted, so that events and probes have the same order in each run.
    services: BTreeMap<name::Service, Arc<Route>>,
    entries: HashMap<name::Vm, Endpoints>,
}

/// The addresses where an entry accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// For connections of callers.
    pub caller: SocketAddr,
    /// For connections of other entries.
    pub control: SocketAddr,
}

impl Routes {
    /// Creates the routes to `services`, with the addresses of the entries in `list`.
    pub fn new(
        services: impl IntoIterator<Item = (name::Service, Arc<Route>)>,
        list: &VmList,
    ) -> Self {
        let entry = |vm: &Vm| match vm.role {
            Role::Entry { caller, control } => {
                Some((vm.name.clone(), Endpoints { caller, control }))
            }
            Role::Server { .. } => None,
        };
        Self {
            services: services.into_iter().collect(),
            entries: list.vms().iter().filter_map(entry).collect(),
        }
    }

    /// The route to a service.
    pub fn get(&self, service: &str) -> Option<Arc<Route>> {
        self.services.get(service).cloned()
    }

    /// The addresses of an entry in the VM list.
    pub fn endpoints(&self, vm: &name::Vm) -> Option<Endpoints> {
        self.entries.get(vm).copied()
    }

    /// The entries in the VM list, with their addresses.
    pub fn entries(&self) -> impl Iterator<Item = (&name::Vm, Endpoints)> {
        self.entries.iter().map(|(vm, endpoints)| (vm, *endpoints))
    }

    /// All services with their routes, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Service, &Arc<Route>)> {
        self.services.iter()
    }
}
