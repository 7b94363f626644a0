use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use quick_error::quick_error;

use super::Config;
use super::Exception;
use super::Outage;
use super::Override;
use super::Policy;
use super::Scope;
use super::Service;
use crate::name;

quick_error! {
    /// Why a configuration is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A value is outside its range; durations are in milliseconds.
        Range(field: &'static str, value: u64, range: RangeInclusive<u64>) {
            display("{} is {}, allowed is {} to {}", field, value, range.start(), range.end())
        }
        /// The first value must not be larger than the second.
        Order(smaller: &'static str, larger: &'static str) {
            display("{} must not be larger than {}", smaller, larger)
        }
        /// The revision is zero.
        Revision {
            display("revision must be at least 1")
        }
        /// An exception or an outage has no reason.
        Reason {
            display("a reason is mandatory and must not be blank")
        }
        /// A service appears twice.
        DuplicateService(name: name::Service) {
            display("service {} appears twice", name)
        }
        /// A failure domain is out of service twice.
        DuplicateOutage(name: name::Domain) {
            display("failure domain {} is out of service twice", name)
        }
        /// Two exceptions have the same scope.
        DuplicateException {
            display("another exception has the same scope")
        }
        /// An exception names a service that does not exist.
        UnknownService(name: name::Service) {
            display("service {} does not exist", name)
        }
        /// An exception changes nothing.
        EmptyException {
            display("the exception changes nothing")
        }
        /// A method is not in upper-case letters.
        Method(method: Box<str>) {
            display("method {:?} is not an HTTP method in upper case", method)
        }
        /// A path does not start with `/`.
        Path(path: Box<str>) {
            display("path {:?} does not start with \"/\"", path)
        }
        /// A value of a request cannot be changed for a single server or failure domain.
        RequestValue(field: &'static str) {
            display("{} applies to requests and cannot be changed for a server or a failure domain", field)
        }
    }
}

/// Collects the parts of a configuration and checks each as it is added.
#[derive(Debug)]
pub struct Builder {
    config: Config,
}

impl Builder {
    /// Starts a configuration with the given revision and fleet-wide values.
    ///
    /// # Errors
    ///
    /// Any value out of range, and revision 0.
    pub fn new(revision: u64, defaults: Policy) -> Result<Self, Error> {
        if revision == 0 {
            return Err(Error::Revision);
        }
        check_policy(&defaults)?;
        let config = Config {
            revision,
            defaults,
            services: BTreeMap::new(),
            exceptions: Vec::new(),
            outages: Vec::new(),
        };
        Ok(Self { config })
    }

    /// Adds a service.
    ///
    /// # Errors
    ///
    /// A service of that name exists, a value is out of range, or a path does not start with `/`.
    pub fn service(
        &mut self,
        name: name::Service,
        changes: Override,
        idempotent_paths: Vec<Box<str>>,
    ) -> Result<&mut Self, Error> {
        if self.config.services.contains_key(&name) {
            return Err(Error::DuplicateService(name));
        }
        if let Some(path) = idempotent_paths.iter().find(|path| !path.starts_with('/')) {
            return Err(Error::Path(path.clone()));
        }
        let mut policy = self.config.defaults.clone();
        policy.apply(&changes);
        check_policy(&policy)?;
        self.config.services.insert(name, Service { changes, policy, idempotent_paths });
        Ok(self)
    }

    /// Adds an exception. All services must have been added.
    ///
    /// # Errors
    ///
    /// The service does not exist, the scope has an exception already, nothing is changed, or a value is out of range.
    pub fn exception(&mut self, exception: Exception) -> Result<&mut Self, Error> {
        if exception.changes == Override::default() && !exception.out {
            return Err(Error::EmptyException);
        }
        if self.config.exceptions.iter().any(|other| other.scope == exception.scope) {
            return Err(Error::DuplicateException);
        }
        match &exception.scope {
            Scope::Service(name) => {
                let service = self
                    .config
                    .services
                    .get_mut(name)
                    .ok_or_else(|| Error::UnknownService(name.clone()))?;
                let mut policy = service.policy.clone();
                policy.apply(&exception.changes);
                check_policy(&policy)?;
                service.policy = policy;
            }
            Scope::Server(name, _) => {
                let service = self
                    .config
                    .services
                    .get(name)
                    .ok_or_else(|| Error::UnknownService(name.clone()))?;
                check_server_values(&exception.changes)?;
                let mut policy = service.policy.clone();
                policy.apply(&exception.changes);
                check_policy(&policy)?;
            }
            Scope::Domain(_) => {
                check_server_values(&exception.changes)?;
                let mut policy = self.config.defaults.clone();
                policy.apply(&exception.changes);
                check_policy(&policy)?;
            }
        }
        self.config.exceptions.push(exception);
        Ok(self)
    }

    /// Takes a failure domain out of service.
    ///
    /// # Errors
    ///
    /// The failure domain is out of service already.
    pub fn outage(&mut self, outage: Outage) -> Result<&mut Self, Error> {
        if self.config.is_out(&outage.domain) {
            return Err(Error::DuplicateOutage(outage.domain));
        }
        self.config.outages.push(outage);
        Ok(self)
    }

    /// The finished configuration.
    pub fn build(self) -> Config {
        self.config
    }
}

fn check_policy(policy: &Policy) -> Result<(), Error> {
    check_range("slots", policy.slots.into(), 1..=1_000)?;
    check_range("connections", policy.connections.into(), 1..=100_000)?;
    check_range("queue", policy.queue.into(), 0..=100_000)?;
    check_range("timeout_ms", millis(policy.timeout), 1..=600_000)?;
    check_range("max_timeout_ms", millis(policy.max_timeout), 1..=600_000)?;
    check_range("attempts", policy.attempts.into(), 1..=10)?;
    check_range("retry_permille", policy.retry_permille.into(), 0..=1_000)?;
    check_range("retry_burst", policy.retry_burst.into(), 0..=10_000)?;
    check_range("probes_per_minute", policy.probes_per_minute.into(), 1..=6_000)?;
    check_range("address_ttl_ms", millis(policy.address_ttl), 100..=60_000)?;
    check_range("warm_after", policy.warm_after.into(), 1..=1_000)?;
    check_range("cold_factor", policy.cold_factor.into(), 2..=1_000)?;
    check_range("body_limit_bytes", policy.body_limit, 1..=64 << 20)?;
    if policy.timeout > policy.max_timeout {
        return Err(Error::Order("timeout_ms", "max_timeout_ms"));
    }
    if policy.connections <= policy.slots {
        return Err(Error::Order("slots", "connections"));
    }
    match policy.idempotent_methods.iter().find(|method| !is_method(method)) {
        Some(method) => Err(Error::Method(method.clone())),
        None => Ok(()),
    }
}

/// Rejects changes for one server or failure domain that would have to be known before a server is chosen.
fn check_server_values(changes: &Override) -> Result<(), Error> {
    let request_values = [
        ("queue", changes.queue.is_some()),
        ("timeout_ms", changes.timeout.is_some()),
        ("max_timeout_ms", changes.max_timeout.is_some()),
        ("attempts", changes.attempts.is_some()),
        ("retry_permille", changes.retry_permille.is_some()),
        ("retry_burst", changes.retry_burst.is_some()),
        ("address_ttl_ms", changes.address_ttl.is_some()),
        ("body_limit_bytes", changes.body_limit.is_some()),
        ("idempotent_methods", changes.idempotent_methods.is_some()),
    ];
    match request_values.iter().find(|(_, changed)| *changed) {
        Some((field, _)) => Err(Error::RequestValue(field)),
        None => Ok(()),
    }
}

fn check_range(field: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), Error> {
    if range.contains(&value) { Ok(()) } else { Err(Error::Range(field, value, range)) }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
}
