use std::collections::BTreeSet;
use std::fmt;

use super::Config;
use super::Scope;
use crate::holder::member::Role;
use crate::holder::member::VmList;
use crate::name;

/// A name in a configuration that the VM list does not have.
///
/// The section that names it has no effect. It is not an error, because the platform may list the
/// VMs later, so a misspelt name is visible only here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownName {
    /// Header of the section, as written in the document.
    pub section: &'static str,
    /// The service, server or failure domain that the section names.
    pub scope: Scope,
}

impl fmt::Display for UnknownName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: the VM list has no {}", self.section, self.scope)
    }
}

/// The names that a VM list has.
struct Names<'a> {
    services: BTreeSet<&'a str>,
    servers: BTreeSet<(&'a str, &'a str)>,
    domains: BTreeSet<&'a str>,
}

impl<'a> Names<'a> {
    fn new(list: &'a VmList) -> Self {
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

    fn contains(&self, scope: &Scope) -> bool {
        match scope {
            Scope::Service(service) => self.services.contains(service.as_str()),
            Scope::Server(service, vm) => self.servers.contains(&(service.as_str(), vm.as_str())),
            Scope::Domain(domain) => self.domains.contains(domain.as_str()),
        }
    }
}

impl Config {
    /// The services, servers and failure domains that the configuration names and the VM list does
    /// not have: first those of services, then of exceptions, then of failure domains out of
    /// service.
    pub fn unknown_names(&self, list: &VmList) -> Vec<UnknownName> {
        let names = Names::new(list);
        let services = self.services.keys().map(service_name);
        let exceptions = self.exceptions.iter().map(|exception| UnknownName {
            section: "[[exception]]",
            scope: exception.scope.clone(),
        });
        let outages = self.outages.iter().map(|outage| UnknownName {
            section: "[[out]]",
            scope: Scope::Domain(outage.domain.clone()),
        });
        let configured = services.chain(exceptions).chain(outages);
        configured.filter(|name| !names.contains(&name.scope)).collect()
    }
}

fn service_name(name: &name::Service) -> UnknownName {
    UnknownName { section: "[[service]]", scope: Scope::Service(name.clone()) }
}
