//! Records how requests end, for the metrics and the status.
//!
//! The request path counts ends, retries, forwards and latencies as they occur. Counts that the
//! tables of `jackdawpin-core` keep are copied to the metrics before each exposition.

mod window;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use self::window::LatencyWindow;
use crate::metrics::Metrics;
use crate::metrics::RequestEnd;
use crate::metrics::ServiceMetrics;
use jackdawpin_core::holder::flow::Completion;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::ledger::Totals;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::time::Instant;

/// The metrics of the process, with a window of recent latencies per service.
#[derive(Debug)]
pub struct Telemetry {
    metrics: Metrics,
    services: Mutex<HashMap<name::Service, Arc<ServiceSeries>>>,
}

/// The metrics and recent latencies of one service.
#[derive(Debug)]
struct ServiceSeries {
    metrics: ServiceMetrics,
    latencies: Mutex<LatencyWindow>,
    copied: Mutex<CopiedCounts>,
}

/// Counts of the tables that are already included in the metrics.
#[derive(Debug, Default)]
struct CopiedCounts {
    accepted: u64,
    abandoned: u64,
    probes: u64,
}

impl ServiceSeries {
    /// Adds to the metrics what the tables have counted since the last call.
    fn copy_counts(&self, totals: &Totals, probes: u64) {
        let mut copied = self.copied.lock();
        self.metrics.accepted.inc_by(totals.accepted.saturating_sub(copied.accepted));
        self.metrics.probes.inc_by(probes.saturating_sub(copied.probes));
        for _ in copied.abandoned..totals.abandoned {
            self.metrics.count_end(RequestEnd::Abandoned);
        }
        *copied = CopiedCounts { accepted: totals.accepted, abandoned: totals.abandoned, probes };
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self { metrics: Metrics::new(), services: Mutex::new(Rank::Telemetry, HashMap::new()) }
    }
}

impl Telemetry {
    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Records a request that has ended after the time `total`.
    pub fn record_completion(
        &self,
        tables: &Tables,
        service: &str,
        completion: &Completion,
        total: Duration,
    ) {
        let Some(series) = self.series(tables, service) else {
            self.record_refusal(tables, service, Refusal::UnknownService);
            return;
        };
        let stats = &completion.stats;
        series.metrics.count_end(&completion.outcome);
        series.metrics.retries.inc_by(stats.retries.into());
        series.metrics.forwards.inc_by(stats.forwards.into());
        if matches!(completion.outcome, Outcome::Answered(_)) {
            series.metrics.record_latency(total, total.saturating_sub(stats.attempt_time));
            series.latencies.lock().record(total);
        }
    }

    /// Records a request that was refused before it was admitted.
    pub fn record_refusal(&self, tables: &Tables, service: &str, refusal: Refusal) {
        match self.series(tables, service) {
            Some(series) => series.metrics.count_end(refusal),
            None => self.metrics.entry.count_unrouted(refusal),
        }
    }

    /// Median and 99th percentile of the latency of recent answered requests.
    pub fn latency_percentiles(&self, service: &str) -> (Duration, Duration) {
        let series = self.services.lock().get(service).cloned();
        series.map_or_else(Default::default, |series| series.latencies.lock().percentiles())
    }

    /// Updates the metrics and returns the text exposition. `probes_sent` returns the number of
    /// probes sent to the servers of a service.
    ///
    /// # Errors
    ///
    /// A metric has no encoding.
    pub fn exposition(
        &self,
        tables: &Tables,
        now: Instant,
        probes_sent: impl Fn(&str) -> u64,
    ) -> Result<String, std::fmt::Error> {
        self.update(tables, now, probes_sent);
        self.metrics.exposition()
    }

    fn update(&self, tables: &Tables, now: Instant, probes_sent: impl Fn(&str) -> u64) {
        let entry = &self.metrics.entry;
        let (config, list) = tables.intent.versions();
        entry.fenced.set(tables.gate.is_fenced(now).into());
        entry.ready.set(tables.gate.is_ready().into());
        entry.config_revision.set(config.map_or(0, |version| saturating_i64(version.number)));
        entry.vms_version.set(list.map_or(0, |version| saturating_i64(version.number)));
        let connectivity = tables.peers.connectivity();
        entry.peers_heard.set(saturating_i64(connectivity.heard as u64));
        let routes = tables.routes();
        for (service, route) in routes.iter() {
            let Some(series) = self.series(tables, service.as_str()) else {
                continue;
            };
            let totals = tables.ledger.totals(service.as_str());
            series.copy_counts(&totals, probes_sent(service.as_str()));
            series.metrics.in_flight.set(saturating_i64(totals.in_flight));
            series.metrics.waiting.set(saturating_i64(route.pool().waiting() as u64));
            series.metrics.limit.set(route.pool().capacity(now).limit.into());
        }
        self.services.lock().retain(|service, _| {
            let configured = routes.get(service.as_str()).is_some();
            if !configured {
                self.metrics.remove_service(service);
            }
            configured
        });
    }

    /// The series of a service; `None` if the configuration does not have it.
    fn series(&self, tables: &Tables, service: &str) -> Option<Arc<ServiceSeries>> {
        if let Some(series) = self.services.lock().get(service) {
            return Some(series.clone());
        }
        let route = tables.routes().get(service)?;
        let name = route.pool().service();
        let series = Arc::new(ServiceSeries {
            metrics: self.metrics.service(name),
            latencies: Mutex::new(Rank::Telemetry, LatencyWindow::default()),
            copied: Mutex::new(Rank::Telemetry, CopiedCounts::default()),
        });
        Some(self.services.lock().entry(name.clone()).or_insert(series).clone())
    }
}

impl From<Refusal> for RequestEnd {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

fn saturating_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
