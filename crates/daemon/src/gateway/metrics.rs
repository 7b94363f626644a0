//! Metrics of the entry on the platform, and their text exposition.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::Dispatcher;
use super::own_answer::Reason;
use super::own_answer::ReasonLabels;
use crate::listen::Counters;
use jackdawpin_core::port::Clock;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1.0, 2.0];

/// Counters, gauges and histograms of the entry.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    pub(super) answered: Counter,
    pub(super) refused: Counter,
    pub(super) unknown: Counter,
    pub(super) abandoned: Counter,
    pub(super) forwarded: Counter,
    own_answers: Family<ReasonLabels, Counter>,
    pub(super) in_flight: Gauge,
    pub(super) latency: Histogram,
    pub(super) store_calls: Counter,
    pub(super) store_failures: Counter,
    attempts: Gauge,
    repeats: Gauge,
    probes: Gauge,
    forwards: Gauge,
    servers: Gauge,
    servers_usable: Gauge,
    servers_limited: Gauge,
    services_lost: Gauge,
    requests_held: Gauge,
    entries: Gauge,
    config_version: Gauge,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("jackdawpin"),
            answered: Counter::default(),
            refused: Counter::default(),
            unknown: Counter::default(),
            abandoned: Counter::default(),
            forwarded: Counter::default(),
            own_answers: Family::default(),
            in_flight: Gauge::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            attempts: Gauge::default(),
            repeats: Gauge::default(),
            probes: Gauge::default(),
            forwards: Gauge::default(),
            servers: Gauge::default(),
            servers_usable: Gauge::default(),
            servers_limited: Gauge::default(),
            services_lost: Gauge::default(),
            requests_held: Gauge::default(),
            entries: Gauge::default(),
            config_version: Gauge::default(),
        };
        metrics.register()
    }

    /// Registers all metrics with their names and help texts.
    fn register(mut self) -> Self {
        let registry = &mut self.registry;
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("answered", "requests that got a server's answer", &self.answered);
        counter("refused", "requests that did not run", &self.refused);
        counter("unknown", "requests that may have run", &self.unknown);
        counter("abandoned", "requests whose caller left", &self.abandoned);
        counter("forwarded", "requests that other entries passed on", &self.forwarded);
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
        gauge("forwards", "requests passed on to other entries since the start", &self.forwards);
        gauge("servers", "servers known", &self.servers);
        gauge("servers_usable", "servers that may receive work", &self.servers_usable);
        gauge("servers_limited", "servers that name a rate limit", &self.servers_limited);
        gauge("services_lost", "services none of whose servers answers", &self.services_lost);
        gauge("requests_held", "requests held back after crashes", &self.requests_held);
        gauge("entries", "live entries, this one included", &self.entries);
        gauge("config_version", "version of the configuration in force", &self.config_version);
        registry.register(
            "own_answers",
            "answers of the entry itself before a server answered, by reason",
            self.own_answers.clone(),
        );
        registry.register(
            "latency_seconds",
            "time from a request to its end",
            self.latency.clone(),
        );
        self
    }

    /// Counts an answer of the entry itself.
    pub(super) fn count_own_answer(&self, reason: Reason) {
        self.own_answers.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// The counters of the listener for callers. Answers that the listener gives before a request
    /// reaches its service are among the entry's own ones.
    pub(super) fn caller_counters(&self) -> Counters {
        let counter = |reason| self.own_answers.get_or_create(&ReasonLabels { reason }).clone();
        Counters {
            malformed: counter(Reason::InvalidHead),
            large_heads: counter(Reason::LargeHeadAtParser),
            refused: counter(Reason::Connections),
            ..Counters::default()
        }
    }

    /// The text exposition, with the current values of `dispatcher`.
    ///
    /// # Errors
    ///
    /// The text cannot be written.
    pub(super) fn exposition(&self, dispatcher: &Dispatcher) -> Result<String, fmt::Error> {
        let now = dispatcher.clock().now();
        let counts = dispatcher.counts();
        let (usable, servers) = dispatcher.fleet.server_counts(now);
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.attempts.set(signed(counts.attempts));
        self.repeats.set(signed(counts.retries));
        self.probes.set(signed(counts.probes));
        self.forwards.set(signed(counts.forwards));
        self.servers.set(signed(servers as u64));
        self.servers_usable.set(signed(usable as u64));
        self.servers_limited.set(signed(dispatcher.fleet.limited_count(now) as u64));
        self.services_lost.set(signed(dispatcher.fleet.lost_services().len() as u64));
        self.requests_held.set(signed(dispatcher.suspects.held_count(now) as u64));
        self.entries.set(signed(dispatcher.peers.live_count(now) as u64));
        self.config_version.set(dispatcher.config().map_or(0, |config| signed(config.version)));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
