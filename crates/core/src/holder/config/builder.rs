use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use quick_error::quick_error;

use super::Config;
use super::Exception;
use super::FIELDS;
use super::Outage;
use super::Override;
use super::Policy;
use super::Scope;
use super::Service;
use super::field;
use crate::name;

quick_error! {
    /// Why a configuration is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A value is outside its range; durations are in milliseconds.
        Range(field: &'static str, value: u64, range: RangeInclusive<u64>) {
            display("{} is {}, allowed is {} to {}", field, value, range.start(), range.end())
        }
        /// The first field must not have a larger value than the second.
        Order(smaller: &'static str, larger: &'static str) {
            display("{} must not be larger than {}", smaller, larger)
        }
        /// A server must accept more connections than it runs requests.
        Connections {
            display("connections must be larger than slots")
        }
        /// The revision is zero.
        Revision {
            display("revision must be at least 1")
        }
        /// The reason of an exception or an outage is blank.
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
        /// A field that applies before a server is chosen cannot be changed for a server or a
        /// failure domain.
        RequestValue(field: &'static str) {
            display("{} applies to requests and cannot be changed for a server or a failure domain", field)
        }
    }
}

/// Collects the sections of a configuration and checks each as it is added.
///
/// The sets keep the checks fast for the largest document, which has room for some 20,000
/// exceptions.
#[derive(Debug)]
pub struct Builder {
    config: Config,
    exception_scopes: BTreeSet<Scope>,
    outage_domains: BTreeSet<name::Domain>,
    /// The distinct capacities in exceptions for failure domains; any server may be in any of them.
    domain_capacities: BTreeSet<ServerCapacity>,
    /// The distinct capacities in exceptions for servers of each service.
    server_capacities: BTreeMap<name::Service, BTreeSet<ServerCapacity>>,
}

impl Default for Builder {
    /// Starts a configuration with revision 1 and the built-in defaults.
    fn default() -> Self {
        Self::unchecked(1, Policy::default())
    }
}

impl Builder {
    /// Starts a configuration with the given revision and fleet-wide defaults.
    ///
    /// # Errors
    ///
    /// The revision is 0, a value is out of range, or the defaults contradict each other.
    pub fn new(revision: u64, defaults: Policy) -> Result<Self, Error> {
        if revision == 0 {
            return Err(Error::Revision);
        }
        defaults.check()?;
        Ok(Self::unchecked(revision, defaults))
    }

    /// Starts a configuration without checking the values.
    fn unchecked(revision: u64, defaults: Policy) -> Self {
        let config = Config {
            revision,
            defaults,
            services: BTreeMap::new(),
            exceptions: Vec::new(),
            outages: Vec::new(),
        };
        Self {
            config,
            exception_scopes: BTreeSet::new(),
            outage_domains: BTreeSet::new(),
            domain_capacities: BTreeSet::new(),
            server_capacities: BTreeMap::new(),
        }
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
        policy.check()?;
        self.config.services.insert(name, Service { changes, policy, idempotent_paths });
        Ok(self)
    }

    /// Adds an exception. All services must have been added.
    ///
    /// # Errors
    ///
    /// The service does not exist, the scope has an exception already, the exception changes
    /// nothing, or a value is out of range or contradicts another value of a server to which the
    /// exception applies.
    pub fn exception(&mut self, exception: Exception) -> Result<&mut Self, Error> {
        if let Scope::Service(name) | Scope::Server(name, _) = &exception.scope {
            self.existing_service(name)?;
        }
        if self.exception_scopes.contains(&exception.scope) {
            return Err(Error::DuplicateException);
        }
        if exception.changes == Override::default() && !exception.out {
            return Err(Error::EmptyException);
        }
        check_scope(&exception)?;
        match &exception.scope {
            Scope::Service(name) => {
                let mut policy = self.existing_service(name)?.policy.clone();
                policy.apply(&exception.changes);
                policy.check()?;
                self.check_service(name, &policy)?;
                if let Some(service) = self.config.services.get_mut(name) {
                    service.policy = policy;
                }
            }
            Scope::Server(name, _) => {
                let mut policy = self.existing_service(name)?.policy.clone();
                policy.apply(&exception.changes);
                policy.check()?;
                let capacity = capacity(&exception.changes);
                self.check_server(name, capacity)?;
                self.server_capacities.entry(name.clone()).or_default().insert(capacity);
            }
            Scope::Domain(_) => {
                let mut policy = self.config.defaults.clone();
                policy.apply(&exception.changes);
                policy.check()?;
                let capacity = capacity(&exception.changes);
                self.check_domain(capacity)?;
                self.domain_capacities.insert(capacity);
            }
        }
        self.exception_scopes.insert(exception.scope.clone());
        self.config.exceptions.push(exception);
        Ok(self)
    }

    /// Takes a failure domain out of service.
    ///
    /// # Errors
    ///
    /// The failure domain is out of service already.
    pub fn outage(&mut self, outage: Outage) -> Result<&mut Self, Error> {
        if !self.outage_domains.insert(outage.domain.clone()) {
            return Err(Error::DuplicateOutage(outage.domain));
        }
        self.config.outages.push(outage);
        Ok(self)
    }

    fn existing_service(&self, name: &name::Service) -> Result<&Service, Error> {
        self.config.services.get(name).ok_or_else(|| Error::UnknownService(name.clone()))
    }

    /// Checks new settings of a service together with the exceptions that override them.
    fn check_service(&self, name: &name::Service, policy: &Policy) -> Result<(), Error> {
        self.check_servers(name, policy, ServerCapacity::default())?;
        self.domain_capacities
            .iter()
            .try_for_each(|domain| self.check_servers(name, policy, *domain))
    }

    /// Checks an exception for a server together with those for failure domains.
    fn check_server(&self, name: &name::Service, server: ServerCapacity) -> Result<(), Error> {
        let policy = &self.existing_service(name)?.policy;
        self.domain_capacities.iter().try_for_each(|domain| check_capacity(policy, *domain, server))
    }

    /// Checks an exception for a failure domain together with each service.
    fn check_domain(&self, domain: ServerCapacity) -> Result<(), Error> {
        let mut services = self.config.services.iter();
        services.try_for_each(|(name, service)| self.check_servers(name, &service.policy, domain))
    }

    /// Checks the settings of a service in one failure domain, without and with each exception for
    /// a server.
    fn check_servers(
        &self,
        name: &name::Service,
        policy: &Policy,
        domain: ServerCapacity,
    ) -> Result<(), Error> {
        check_capacity(policy, domain, ServerCapacity::default())?;
        let mut servers = self.server_capacities.get(name).into_iter().flatten();
        servers.try_for_each(|server| check_capacity(policy, domain, *server))
    }

    /// Returns the configuration.
    pub fn build(self) -> Config {
        self.config
    }
}

/// Rejects an exception for a server or a failure domain that changes a field which applies before
/// a server is chosen.
fn check_scope(exception: &Exception) -> Result<(), Error> {
    FIELDS
        .iter()
        .filter(|field| exception.changes.changes(field.name))
        .try_for_each(|field| field.check_scope(&exception.scope))
}

/// Slots and connections of an override; `None` where it leaves them as they are.
type ServerCapacity = (Option<u32>, Option<u32>);

fn capacity(changes: &Override) -> ServerCapacity {
    (changes.slots, changes.connections)
}

/// Checks slots and connections of a server to which both overrides apply; the one for the server
/// has precedence.
fn check_capacity(
    policy: &Policy,
    domain: ServerCapacity,
    server: ServerCapacity,
) -> Result<(), Error> {
    let slots = server.0.or(domain.0).unwrap_or(policy.slots);
    let connections = server.1.or(domain.1).unwrap_or(policy.connections);
    field::check_connections(slots, connections)
}
