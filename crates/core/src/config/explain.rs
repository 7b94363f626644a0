use std::fmt;

use super::Config;
use super::Override;
use super::Policy;
use super::Reason;
use super::Scope;
use crate::name;

/// Where a value comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The fleet-wide defaults.
    Default,
    /// The service's own values.
    Service,
    /// An exception, with its scope and reason.
    Exception(&'a Scope, &'a Reason),
}

/// One value in force for a server and where it comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting<'a> {
    /// Name of the field in the configuration document.
    pub field: &'static str,
    /// The value, as written in the document.
    pub value: String,
    /// Where the value comes from.
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
    /// Each value in force for a server, with its origin. `None` if the service does not exist.
    pub fn explain<'a>(
        &'a self,
        service: &'a str,
        server: &'a name::Vm,
        domain: &'a name::Domain,
    ) -> Option<Vec<Setting<'a>>> {
        let own = self.service(service)?;
        let mut settings = values(&self.defaults, Origin::Default);
        overlay(&mut settings, &own.changes, Origin::Service);
        for exception in self.applying(service, server, domain) {
            let origin = Origin::Exception(&exception.scope, &exception.reason);
            overlay(&mut settings, &exception.changes, origin);
        }
        Some(settings)
    }
}

fn overlay<'a>(settings: &mut [Setting<'a>], changes: &Override, origin: Origin<'a>) {
    let mut policy = Policy::default();
    policy.apply(changes);
    let changed = changed(changes);
    let values = values(&policy, origin);
    for ((setting, value), changed) in settings.iter_mut().zip(values).zip(changed) {
        if changed {
            *setting = value;
        }
    }
}

/// The fields of a policy, in the order of the document.
fn values<'a>(policy: &Policy, origin: Origin<'a>) -> Vec<Setting<'a>> {
    let setting = |field, value: String| Setting { field, value, origin };
    vec![
        setting("slots", policy.slots.to_string()),
        setting("connections", policy.connections.to_string()),
        setting("queue", policy.queue.to_string()),
        setting("timeout_ms", policy.timeout.as_millis().to_string()),
        setting("max_timeout_ms", policy.max_timeout.as_millis().to_string()),
        setting("attempts", policy.attempts.to_string()),
        setting("retry_permille", policy.retry_permille.to_string()),
        setting("retry_burst", policy.retry_burst.to_string()),
        setting("probes_per_minute", policy.probes_per_minute.to_string()),
        setting("address_ttl_ms", policy.address_ttl.as_millis().to_string()),
        setting("warm_after", policy.warm_after.to_string()),
        setting("cold_factor", policy.cold_factor.to_string()),
        setting("body_limit_bytes", policy.body_limit.to_string()),
        setting("idempotent_methods", format!("{:?}", policy.idempotent_methods)),
    ]
}

/// Which fields `changes` names, in the order of [`values`].
fn changed(changes: &Override) -> [bool; 14] {
    [
        changes.slots.is_some(),
        changes.connections.is_some(),
        changes.queue.is_some(),
        changes.timeout.is_some(),
        changes.max_timeout.is_some(),
        changes.attempts.is_some(),
        changes.retry_permille.is_some(),
        changes.retry_burst.is_some(),
        changes.probes_per_minute.is_some(),
        changes.address_ttl.is_some(),
        changes.warm_after.is_some(),
        changes.cold_factor.is_some(),
        changes.body_limit.is_some(),
        changes.idempotent_methods.is_some(),
    ]
}
