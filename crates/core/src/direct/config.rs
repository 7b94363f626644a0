//! The configuration in force: hosts, routes, services and limits.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smallvec::SmallVec;

use crate::name;

/// The fractional part of the golden ratio in units of 2^-32. Steps of this size spread over the
/// unit interval more evenly than random numbers, so that a split is exact after few requests.
const GOLDEN_STEP: u32 = 0x9E37_79B9;

/// A service that a route sends to, and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: name::Service,
    /// Its share relative to the other parts.
    pub weight: u32,
}

/// Where requests of a host below a prefix go, and how they may be handled.
#[derive(Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Beginning of the paths of the route; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value.
    pub latency_target: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of servers that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// The services, at least one.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Position of the next request in the split.
    pub split_position: AtomicU32,
}

impl Route {
    /// The service for the next request, in the proportions of the weights.
    pub fn next_service(&self) -> Option<&name::Service> {
        if let [part] = self.services.as_slice() {
            return Some(&part.service);
        }
        let total: u64 = self.services.iter().map(|part| u64::from(part.weight)).sum();
        let turn = self.split_position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = (u64::from(turn) * total) >> 32;
        for part in &self.services {
            match point.checked_sub(part.weight.into()) {
                None => return Some(&part.service),
                Some(rest) => point = rest,
            }
        }
        self.services.last().map(|part| &part.service)
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

/// What the operators say of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Path of a probe.
    pub probe_path: Box<str>,
    /// Connections that one server accepts from all entries together.
    pub connections: u32,
    /// Requests a second that a cold server bears.
    pub cold_rate: f64,
}

/// Limits of what a caller may send.
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
    /// Version; a process only moves to higher ones.
    pub version: u64,
    /// All hosts.
    pub hosts: Vec<Host>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits of callers.
    pub limits: Limits,
}

impl Config {
    /// The route of a request: of the routes of `host`, the one with the longest prefix that begins
    /// `path`. A port in `host` and the case of its letters make no difference.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = self.hosts.iter().find(|entry| entry.name.eq_ignore_ascii_case(host))?;
        host.routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// What the operators say of the service `name`.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
