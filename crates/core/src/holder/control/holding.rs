use std::collections::BTreeMap;
use std::sync::Arc;

use crate::holder::config::Config;
use crate::holder::member::Role;
use crate::holder::member::Vm;
use crate::holder::member::VmList;
use crate::holder::member::VmState;
use crate::holder::pool::ServerSpec;
use crate::holder::rank;
use crate::name;

/// The servers of a service that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holding {
    /// The servers, including those that receive no new work.
    pub specs: Vec<ServerSpec>,
    /// Whether any server of the service may receive work, whichever entry holds it.
    pub eligible: bool,
}

/// The servers that the entry `own` holds, for each service of the configuration. `available` tells
/// whether an entry may hold servers.
pub fn holdings(
    config: &Config,
    list: &VmList,
    own: &name::Vm,
    available: impl Fn(&name::Vm) -> bool,
) -> BTreeMap<name::Service, Holding> {
    let ranking = rank::Ranking::new(list);
    let mut holdings: BTreeMap<name::Service, Holding> =
        config.services().map(|(name, _)| (name.clone(), Holding::default())).collect();
    for vm in list.vms() {
        let Role::Server { service, address } = &vm.role else {
            continue;
        };
        let Some(holding) = holdings.get_mut(service) else {
            continue;
        };
        let out_reason = out_reason(config, service, vm);
        holding.eligible |= out_reason.is_none();
        let held = ranking.holder(vm, &available).is_some_and(|holder| holder.name == *own);
        let policy = config.policy(service.as_str(), &vm.name, &vm.domain);
        if let (true, Some(policy)) = (held, policy) {
            holding.specs.push(ServerSpec {
                vm: vm.name.clone(),
                address: *address,
                domain: vm.domain.clone(),
                policy,
                out_reason,
            });
        }
    }
    holdings
}

/// The reason why the server receives no new work; `None` if it may receive work.
fn out_reason(config: &Config, service: &name::Service, vm: &Vm) -> Option<Arc<str>> {
    if vm.state == VmState::Leaving {
        return Some("the VM list says that it is leaving".into());
    }
    let reason = config.out_reason(service.as_str(), &vm.name, &vm.domain)?;
    Some(reason.as_str().into())
}
