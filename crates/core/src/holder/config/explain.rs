use std::fmt;

use super::Config;
use super::Override;
use super::Policy;
use super::Reason;
use super::Scope;
use crate::name;

/// The part of the configuration that set a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The fleet-wide defaults.
    Default,
    /// The section of the service.
    Service,
    /// An exception, with its scope and reason.
    Exception(&'a Scope, &'a Reason),
}

/// One value in force for a server, with its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting<'a> {
    /// Name of the field in the configuration document.
    pub field: &'static str,
    /// The value, as written in the document.
    pub value: String,
    /// The part of the configuration that set the value.
    pub origin: Origin<'a>,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(service) => write!(f, "service {service}"),
            Self::Server(service, server) => write!(f, "server {server} of service {service}"),
            Self::Domain(domain) => write!(f, "failure domain {domain}"),
        }
    }
}

impl Config {
    /// The values in force for a server, each with its origin. `None` if the service does not
    /// exist.
    pub fn explain<'a>(
        &'a self,
        service: &'a str,
        server: &'a name::Vm,
        domain: &'a name::Domain,
    ) -> Option<Vec<Setting<'a>>> {
        let service_section = self.service(service)?;
        let mut settings = values(&self.defaults, Origin::Default);
        override_settings(&mut settings, &service_section.changes, Origin::Service);
        for exception in self.exceptions_for(service, server, domain) {
            let origin = Origin::Exception(&exception.scope, &exception.reason);
            override_settings(&mut settings, &exception.changes, origin);
        }
        Some(settings)
    }
}

/// Replaces the settings that `changes` sets.
fn override_settings<'a>(settings: &mut [Setting<'a>], changes: &Override, origin: Origin<'a>) {
    let mut policy = Policy::default();
    policy.apply(changes);
    for (setting, changed) in settings.iter_mut().zip(values(&policy, origin)) {
        if changes.changes(changed.field) {
            *setting = changed;
        }
    }
}

/// The values of a policy, in the order of [`FIELDS`](super::FIELDS).
fn values<'a>(policy: &Policy, origin: Origin<'a>) -> Vec<Setting<'a>> {
    let setting = |field, value: String| Setting { field, value, origin };
    let numbers = policy.numbers().map(|(field, value)| setting(field, value.to_string()));
    let methods = format!("{:?}", policy.idempotent_methods);
    numbers.into_iter().chain([setting("idempotent_methods", methods)]).collect()
}
