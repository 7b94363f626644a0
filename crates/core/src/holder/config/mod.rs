//! The configuration in force: defaults, services, exceptions and failure domains out of service.
//!
//! Values are checked when they are built, so a [`Config`] is always valid. The table of documents
//! ([`DocumentTable`](crate::holder::intent::DocumentTable)) owns the one in force; everything else
//! reads it through shared references.

mod builder;
mod explain;
mod field;
mod policy;
mod unknown_name;

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::name;

pub use self::builder::Builder;
pub use self::builder::Error;
pub use self::explain::Origin;
pub use self::explain::Setting;
pub use self::field::FIELDS;
pub use self::field::Field;
pub use self::field::FieldKind;
pub use self::policy::Override;
pub use self::policy::Policy;
pub use self::unknown_name::UnknownName;

/// The reason for an exception or an outage, as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason(Arc<str>);

impl Reason {
    /// The reason as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Reason {
    type Error = Error;

    /// # Errors
    ///
    /// [`Error::Reason`] if the text has no visible character.
    fn try_from(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        if text.is_empty() { Err(Error::Reason) } else { Ok(Self(text.into())) }
    }
}

/// The servers that an exception applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All servers of a service.
    Service(name::Service),
    /// One server of a service.
    Server(name::Service, name::Vm),
    /// All servers of all services in a failure domain.
    Domain(name::Domain),
}

/// A deviation from the defaults for some servers, with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exception {
    /// The servers it applies to.
    pub scope: Scope,
    /// The changed values.
    pub changes: Override,
    /// Whether the servers in scope receive no new work.
    pub out: bool,
    /// Reason given by the operator.
    pub reason: Reason,
}

/// A failure domain out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// The failure domain.
    pub domain: name::Domain,
    /// Why it is out of service.
    pub reason: Reason,
}

/// A service with its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Settings that differ from the defaults.
    pub changes: Override,
    /// The settings for requests to the service: the defaults, overridden by `changes`, overridden
    /// by the exception for the service.
    pub policy: Policy,
    /// Path prefixes whose requests are idempotent whatever their method.
    pub idempotent_paths: Vec<Box<str>>,
}

/// A valid configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    revision: u64,
    defaults: Policy,
    services: BTreeMap<name::Service, Service>,
    exceptions: Vec<Exception>,
    outages: Vec<Outage>,
}

impl Config {
    /// The revision that the operators gave the document.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The fleet-wide settings.
    pub fn defaults(&self) -> &Policy {
        &self.defaults
    }

    /// The service of the given name.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.services.get(service)
    }

    /// All services, by name.
    pub fn services(&self) -> impl Iterator<Item = (&name::Service, &Service)> {
        self.services.iter()
    }

    /// All exceptions, in the order of the document.
    pub fn exceptions(&self) -> &[Exception] {
        &self.exceptions
    }

    /// All failure domains out of service.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Whether the failure domain is out of service.
    pub fn is_out(&self, domain: &name::Domain) -> bool {
        self.outages.iter().any(|outage| outage.domain == *domain)
    }

    /// The settings for one server: those of its service, overridden by the exception for its
    /// failure domain, overridden by the exception for the server itself. `None` if the service
    /// does not exist.
    pub fn policy(
        &self,
        service: &str,
        server: &name::Vm,
        domain: &name::Domain,
    ) -> Option<Policy> {
        let mut policy = self.services.get(service)?.policy.clone();
        for exception in self.exceptions_for(service, server, domain) {
            policy.apply(&exception.changes);
        }
        Some(policy)
    }

    /// The reason why the server receives no new work; `None` unless the operators took the server
    /// or its failure domain out of service.
    pub fn out_reason(
        &self,
        service: &str,
        server: &name::Vm,
        domain: &name::Domain,
    ) -> Option<&Reason> {
        let outage = self.outages.iter().find(|outage| outage.domain == *domain);
        let exceptions = self.exceptions_for(service, server, domain);
        outage.map(|outage| &outage.reason).or_else(|| {
            exceptions.iter().find(|exception| exception.out).map(|exception| &exception.reason)
        })
    }

    /// The exceptions that apply to one server, in ascending precedence: service, failure domain,
    /// server. There is at most one for each kind of scope.
    fn exceptions_for(
        &self,
        service: &str,
        server: &name::Vm,
        domain: &name::Domain,
    ) -> SmallVec<[&Exception; 3]> {
        let precedence = |scope: &Scope| match scope {
            Scope::Service(name) if name.as_str() == service => Some(0),
            Scope::Domain(name) if name == domain => Some(1),
            Scope::Server(name, vm) if name.as_str() == service && vm == server => Some(2),
            _ => None,
        };
        let mut exceptions: SmallVec<[&Exception; 3]> = self
            .exceptions
            .iter()
            .filter(|exception| precedence(&exception.scope).is_some())
            .collect();
        exceptions.sort_by_key(|exception| precedence(&exception.scope));
        exceptions
    }
}
