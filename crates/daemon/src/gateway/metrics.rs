//! Metrics of the entry on the platform, and their text exposition.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::Flow;
use jackdawpin_core::port::Clock;

/// Upper bounds of the latency buckets in seconds.
const LATENCY: [f64; 12] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1.0, 2.0];

/// The metrics.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    pub(super) answered: Counter,
    pub(super) refused: Counter,
    pub(super) unknown: Counter,
    pub(super) abandoned: Counter,
    pub(super) in_flight: Gauge,
    pub(super) latency: Histogram,
    pub(super) store_calls: Counter,
    pub(super) store_failures: Counter,
    attempts: Gauge,
    repeats: Gauge,
    probes: Gauge,
    servers: Gauge,
    usable: Gauge,
    entries: Gauge,
    version: Gauge,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("jackdawpin"),
            answered: Counter::default(),
            refused: Counter::default(),
            unknown: Counter::default(),
            abandoned: Counter::default(),
            in_flight: Gauge::default(),
            latency: Histogram::new(LATENCY),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            attempts: Gauge::default(),
            repeats: Gauge::default(),
            probes: Gauge::default(),
            servers: Gauge::default(),
            usable: Gauge::default(),
            entries: Gauge::default(),
            version: Gauge::default(),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("answered", "requests that got a server's answer", &self.answered);
        counter("refused", "requests that did not run", &self.refused);
        counter("unknown", "requests that may have run", &self.unknown);
        counter("abandoned", "requests whose caller left", &self.abandoned);
        counter("store_calls", "calls to the platform's store", &self.store_calls);
        counter(
            "store_failures",
            "calls to the platform's store that failed",
            &self.store_failures,
        );
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("in_flight", "requests being served", &self.in_flight);
        gauge("attempts", "attempts at servers since the start", &self.attempts);
        gauge("repeats", "attempts beyond the first of a request since the start", &self.repeats);
        gauge("probes", "probes of servers since the start", &self.probes);
        gauge("servers", "servers known", &self.servers);
        gauge("servers_usable", "servers that may receive work", &self.usable);
        gauge("entries", "live entries, this one included", &self.entries);
        gauge("config_version", "version of the configuration in force", &self.version);
        registry.register(
            "latency_seconds",
            "time from a request to its end",
            self.latency.clone(),
        );
        self
    }

    /// The exposition, with the values that `flow` holds now.
    pub(super) fn text(&self, flow: &Flow) -> Result<String, fmt::Error> {
        let now = flow.clock().now();
        let counts = flow.counts();
        let (usable, servers) = flow.fleet.server_counts(now);
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.attempts.set(signed(counts.attempts));
        self.repeats.set(signed(counts.retries));
        self.probes.set(signed(counts.probes));
        self.servers.set(signed(servers as u64));
        self.usable.set(signed(usable as u64));
        self.entries.set(signed(flow.peers.live_count(now) as u64));
        self.version.set(flow.config().map_or(0, |plan| signed(plan.version)));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
