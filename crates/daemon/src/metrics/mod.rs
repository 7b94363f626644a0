//! Metrics and their text exposition.
//!
//! All families are created once, in [`Metrics::new`]. [`Metrics::service`] gives the metrics of
//! one service as handles, which the request path updates without a lookup; only refused and
//! unknown outcomes look up their counter, by labels that need no allocation. Label values are
//! services of the configuration and fixed words, so that callers cannot create series.
//!
//! prometheus-client guards each histogram and each family with a lock of its own, which is held
//! for one update or lookup only; no lock of ours is taken within.

mod entry;
mod labels;
mod service;

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use self::labels::EndLabels;
use self::labels::ServiceLabels;
use crate::listen::Counters;
use crate::traffic::Traffic;
use jackdawpin_core::name;

pub use self::entry::Entry;
pub use self::labels::End;
pub use self::service::Service;

/// Value of the `content-type` field of an exposition.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bounds of the latency buckets in seconds.
const LATENCY: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Upper bounds of the buckets of the added latency in seconds; 0.7 ms is the target for 99 of 100
/// calls.
const ADDED: [f64; 9] = [0.0001, 0.0002, 0.0004, 0.0007, 0.001, 0.002, 0.005, 0.02, 0.1];

type Counts = Family<ServiceLabels, Counter>;
type Gauges = Family<ServiceLabels, Gauge>;
type Histograms = Family<ServiceLabels, Histogram>;

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    families: Families,
    /// Metrics of the entry as a whole.
    pub entry: Entry,
    /// Counters of the listener for callers.
    pub callers: Counters,
    /// Counters of the listener for peers and operators.
    pub control: Counters,
    /// Bytes of the connections to servers.
    pub servers: Traffic,
    /// Bytes of the connections to other entries.
    pub peers: Traffic,
}

/// The families with the label `service`.
#[derive(Debug)]
struct Families {
    ends: Family<EndLabels, Counter>,
    accepted: Counts,
    retries: Counts,
    probes: Counts,
    forwards: Counts,
    in_flight: Gauges,
    waiting: Gauges,
    limit: Gauges,
    latency: Histograms,
    added: Histograms,
}

impl Families {
    fn new(registry: &mut Registry) -> Self {
        let families = Self {
            ends: Family::default(),
            accepted: Family::default(),
            retries: Family::default(),
            probes: Family::default(),
            forwards: Family::default(),
            in_flight: Family::default(),
            waiting: Family::default(),
            limit: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY)),
            added: Family::new_with_constructor(|| Histogram::new(ADDED)),
        };
        let f = &families;
        registry.register("requests_ended", "Requests by how they ended", f.ends.clone());
        registry.register("requests_accepted", "Requests accepted", f.accepted.clone());
        registry.register("retries", "Attempts after the first one", f.retries.clone());
        registry.register("probes", "Probes sent to servers", f.probes.clone());
        registry.register("forwards", "Attempts forwarded to other entries", f.forwards.clone());
        registry.register("requests_in_flight", "Requests in flight", f.in_flight.clone());
        registry.register("requests_waiting", "Requests that wait for room", f.waiting.clone());
        registry.register("limit", "Sum of the limits of the servers held", f.limit.clone());
        registry.register(
            "latency_seconds",
            "Time from the head of a request to its whole response",
            f.latency.clone(),
        );
        registry.register(
            "added_latency_seconds",
            "The part of the latency that was not spent waiting for a server's response",
            f.added.clone(),
        );
        families
    }

    fn remove(&self, service: &name::Service) {
        let labels = ServiceLabels::new(service);
        for family in [&self.accepted, &self.retries, &self.probes, &self.forwards] {
            family.remove(&labels);
        }
        for family in [&self.in_flight, &self.waiting, &self.limit] {
            family.remove(&labels);
        }
        for family in [&self.latency, &self.added] {
            family.remove(&labels);
        }
        for end in End::ALL {
            self.ends.remove(&EndLabels::new(service, end));
        }
    }
}

impl Metrics {
    /// Creates the registry with all families.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jackdawpin");
        let families = Families::new(&mut registry);
        let entry = Entry::new(&mut registry);
        let callers = listener(&mut registry, "callers");
        let control = listener(&mut registry, "control");
        let servers = client(&mut registry, "servers");
        let peers = client(&mut registry, "peers");
        Self { registry, families, entry, callers, control, servers, peers }
    }

    /// The metrics of `service`, which must be a service of the configuration. The caller keeps the
    /// result for as long as the service is configured.
    pub fn service(&self, service: &name::Service) -> Service {
        Service::new(&self.families, service)
    }

    /// Removes the series of a service that is no longer configured. Handles that are still in use
    /// go on to count, but are not exposed.
    pub fn remove(&self, service: &name::Service) {
        self.families.remove(service);
    }

    /// The text exposition.
    ///
    /// # Errors
    ///
    /// A metric has no encoding.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Registers the counters of a listener under the label `listener`.
fn listener(registry: &mut Registry, name: &'static str) -> Counters {
    let counters = Counters::default();
    let registry = registry.sub_registry_with_label(("listener".into(), name.into()));
    let c = &counters;
    registry.register("connections_accepted", "Connections accepted", c.accepted.clone());
    registry.register("connections_open", "Connections open", c.open.clone());
    registry.register("connections_refused", "Connections above the limit", c.refused.clone());
    registry.register("connections_invalid", "Connections closed for bad bytes", c.invalid.clone());
    registry.register("connections_expired", "Connections closed at a limit", c.expired.clone());
    registry.register("accepts_failed", "Failed attempts to accept", c.accept_failures.clone());
    let t = &c.traffic;
    registry.register("received_bytes", "Bytes received on connections", t.received.clone());
    registry.register("sent_bytes", "Bytes sent on connections", t.sent.clone());
    counters
}

/// Registers the counters of a pool of connections under the label `client`.
fn client(registry: &mut Registry, name: &'static str) -> Traffic {
    let traffic = Traffic::default();
    let registry = registry.sub_registry_with_label(("client".into(), name.into()));
    let t = &traffic;
    registry.register("client_received_bytes", "Bytes received by a client", t.received.clone());
    registry.register("client_sent_bytes", "Bytes sent by a client", t.sent.clone());
    traffic
}
