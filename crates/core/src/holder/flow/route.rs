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

/// A service that requests can go to.
#[derive(Debug)]
pub struct Route {
    settings: Service,
    pool: Arc<Pool>,
    retries: Arc<Mutex<RetryBudget>>,
    eligible: bool,
}

impl Route {
    /// Creates a route. `eligible` says whether any server of the service may receive work,
    /// whichever entry holds it. A route that replaces `previous` keeps its pool and its retries.
    pub fn new(
        name: &name::Service,
        settings: &Service,
        eligible: bool,
        previous: Option<&Route>,
    ) -> Self {
        let policy = &settings.policy;
        let budget = || RetryBudget::new(policy.retry_permille, policy.retry_burst);
        let retries = match previous {
            Some(route) if route.same_budget(settings) => route.retries.clone(),
            _ => Arc::new(Mutex::new(Rank::Ledger, budget())),
        };
        let pool = match previous {
            Some(route) => route.pool.clone(),
            None => Arc::new(Pool::new(name.clone())),
        };
        Self { settings: settings.clone(), pool, retries, eligible }
    }

    /// The service's values.
    pub fn settings(&self) -> &Service {
        &self.settings
    }

    /// The held servers and waiting requests.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Whether any server of the service may receive work.
    pub fn eligible(&self) -> bool {
        self.eligible
    }

    /// The retry budget.
    pub(super) fn retries(&self) -> &Mutex<RetryBudget> {
        &self.retries
    }

    fn same_budget(&self, settings: &Service) -> bool {
        let (old, new) = (&self.settings.policy, &settings.policy);
        old.retry_permille == new.retry_permille && old.retry_burst == new.retry_burst
    }
}

/// The services that requests can go to.
#[derive(Debug, Default)]
pub struct Routes {
    /// Sorted, so that events and probes have the same order in each run.
    services: BTreeMap<name::Service, Arc<Route>>,
    entries: HashMap<name::Vm, Endpoints>,
}

/// Where an entry accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// Of callers.
    pub caller: SocketAddr,
    /// Of other entries.
    pub control: SocketAddr,
}

impl Routes {
    /// Creates the routes to `services`, with the entries of `list`.
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

    /// The route of a service.
    pub fn get(&self, service: &str) -> Option<Arc<Route>> {
        self.services.get(service).cloned()
    }

    /// Where an entry of the VM list accepts connections.
    pub fn endpoints(&self, vm: &name::Vm) -> Option<Endpoints> {
        self.entries.get(vm).copied()
    }

    /// The entries of the VM list.
    pub fn entries(&self) -> impl Iterator<Item = (&name::Vm, Endpoints)> {
        self.entries.iter().map(|(vm, contact)| (vm, *contact))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Service, &Arc<Route>)> {
        self.services.iter()
    }
}
