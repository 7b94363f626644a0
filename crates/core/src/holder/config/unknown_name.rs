use std::collections::BTreeSet;
use std::fmt;

use super::Config;
use super::Scope;
use crate::holder::member::Role;
use crate::holder::member::VmList;
use crate::name;

/// A name in a configuration that a VM list does not have. The section that names it has no effect,
/// which nothing else would tell: the platform may list the VMs later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownName {
    /// The section, as written in the document.
    pub section: &'static str,
    /// What it names.
    pub scope: Scope,
}

impl fmt::Display for UnknownName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: the VM list has no {}", self.section, self.scope)
    }
}

/// The names of a VM list.
struct Names<'a> {
    services: BTreeSet<&'a str>,
    servers: BTreeSet<(&'a str, &'a str)>,
    domains: BTreeSet<&'a str>,
}

impl<'a> Names<'a> {
    fn of(list: &'a VmList) -> Self {
        let vms = list.vms().iter();
        let servers: BTreeSet<(&str, &str)> = vms
            .filter_map(|vm| match &vm.role {
                Role::Server { service, .. } => Some((service.as_str(), vm.name.as_str())),
                Role::Entry { .. } => None,
            })
            .collect();
        Self {
            services: servers.iter().map(|(service, _)| *service).collect(),
            servers,
            domains: list.vms().iter().map(|vm| vm.domain.as_str()).collect(),
        }
    }

    fn has(&self, scope: &Scope) -> bool {
        match scope {
            Scope::Service(service) => self.services.contains(service.as_str()),
            Scope::Server(service, vm) => self.servers.contains(&(service.as_str(), vm.as_str())),
            Scope::Domain(domain) => self.domains.contains(domain.as_str()),
        }
    }
}

impl Config {
    /// The services, servers and failure domains that sections name and the VM list does not have,
    /// in the order services, exceptions, failure domains out of service.
    pub fn unknown_names(&self, list: &VmList) -> Vec<UnknownName> {
        let names = Names::of(list);
        let services = self.services.keys().map(service);
        let exceptions = self.exceptions.iter().map(|exception| UnknownName {
            section: "[[exception]]",
            scope: exception.scope.clone(),
        });
        let outages = self.outages.iter().map(|outage| UnknownName {
            section: "[[out]]",
            scope: Scope::Domain(outage.domain.clone()),
        });
        let all = services.chain(exceptions).chain(outages);
        all.filter(|unknown| !names.has(&unknown.scope)).collect()
    }
}

fn service(name: &name::Service) -> UnknownName {
    UnknownName { section: "[[service]]", scope: Scope::Service(name.clone()) }
}
