//! The configuration in force: hosts, routes, services and limits.

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smallvec::SmallVec;

use crate::name;

/// The fractional part of the golden ratio in units of 2^-32. Steps of this size cover the unit
/// interval more evenly than random numbers, so a split is exact after a few requests.
const GOLDEN_STEP: u32 = 0x9E37_79B9;

/// A service that a route sends to, and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: name::Service,
    /// Its share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// How often the requests of a route may run, and how their bodies are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// A request runs at most once, and its large body is passed on as it arrives.
    Upload,
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

/// Where requests to a host are sent whose path has a prefix, and how they are handled.
#[derive(Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Prefix of the paths of the route; starts and ends with a slash.
    pub prefix: Box<str>,
    /// How often a request may run, and how its body is passed on.
    pub kind: Kind,
    /// Longest time from the arrival of a request to its answer.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value.
    pub latency_target: Option<Duration>,
    /// Priority of the route's requests under overload; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of servers that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// The services, at least one.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Position of the next request in the split, in units of 2^-32.
    pub split_position: AtomicU32,
}

impl Route {
    /// The service for the next request. Services get requests in proportion to their weights;
    /// `None` if the route has no service.
    pub fn next_service(&self) -> Option<&name::Service> {
        if let [only] = self.services.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let position = self.split_position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = (u64::from(position) * total) >> 32;
        for weighted in &self.services {
            match point.checked_sub(weighted.weight.into()) {
                None => return Some(&weighted.service),
                Some(rest) => point = rest,
            }
        }
        self.services.last().map(|weighted| &weighted.service)
    }
}

/// The routes of one host name.
#[derive(Debug)]
pub struct Host {
    /// The host name, in lower case and without a port.
    pub name: Box<str>,
    /// Its routes, the longest prefix first.
    pub routes: Vec<Arc<Route>>,
}

impl Host {
    /// The route with the longest prefix of `path`.
    fn route(&self, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// The operators' settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Path of the request that probes a server.
    pub probe_path: Box<str>,
    /// Connections that one server accepts from all entries together.
    pub connections: u32,
    /// Requests per second that a cold server can take.
    pub cold_rate: f64,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

/// The configuration in force.
#[derive(Debug)]
pub struct Config {
    /// Version; a process only changes to a higher one.
    pub version: u64,
    /// All hosts.
    pub hosts: Vec<Host>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Kinds of routes that are not known here. The requests of such routes run at most once.
    pub unknown_kinds: SmallVec<[Box<str>; 1]>,
}

impl Config {
    /// The route of a request: of the routes of `host`, the one with the longest prefix of `path`.
    /// The port and the case of `host` are ignored, and so is a dot at the end of its name. A host may
    /// be listed more than once.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        let is_named = |entry: &&Host| host_name(&entry.name).eq_ignore_ascii_case(name);
        let hosts = self.hosts.iter().filter(is_named);
        let routes = hosts.filter_map(|host| host.route(path));
        routes.min_by_key(|route| Reverse(route.prefix.len()))
    }

    /// The settings of the service `name`.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// The name in `host`, without a port and without the dot at the end of a fully qualified name. An
/// IPv6 address in brackets has colons that begin no port.
fn host_name(host: &str) -> &str {
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let name = match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name,
        _ => host,
    };
    name.strip_suffix('.').unwrap_or(name)
}
