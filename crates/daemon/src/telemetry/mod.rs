//! What the request path reports, for metrics and for operators.

mod window;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use self::window::Window;
use crate::metrics::End;
use crate::metrics::Metrics;
use crate::metrics::Service;
use jackdawpin_core::holder::flow::Completion;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::ledger::Totals;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::time::Instant;

/// Metrics with a recent window of latencies per service.
#[derive(Debug)]
pub struct Telemetry {
    metrics: Metrics,
    services: Mutex<HashMap<name::Service, Arc<Series>>>,
}

/// What is recorded for one service.
#[derive(Debug)]
struct Series {
    metrics: Service,
    recent: Mutex<Window>,
    counted: Mutex<Counted>,
}

/// What the counters have taken over from the tables.
#[derive(Debug, Default)]
struct Counted {
    accepted: u64,
    abandoned: u64,
    probes: u64,
}

impl Series {
    /// Adds what the tables have counted since the last call.
    fn count(&self, totals: &Totals, probes: u64) {
        let mut counted = self.counted.lock();
        self.metrics.accepted.inc_by(totals.accepted.saturating_sub(counted.accepted));
        self.metrics.probes.inc_by(probes.saturating_sub(counted.probes));
        for _ in counted.abandoned..totals.abandoned {
            self.metrics.ended(End::GivenUp);
        }
        *counted = Counted { accepted: totals.accepted, abandoned: totals.abandoned, probes };
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self { metrics: Metrics::new(), services: Mutex::new(Rank::Telemetry, HashMap::new()) }
    }
}

impl Telemetry {
    /// The metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Records a request that has ended after `total`.
    pub fn served(&self, tables: &Tables, service: &str, served: &Completion, total: Duration) {
        let Some(series) = self.series(tables, service) else {
            self.refused(tables, service, Refusal::UnknownService);
            return;
        };
        let trace = &served.stats;
        series.metrics.ended(&served.outcome);
        series.metrics.retries.inc_by(trace.retries.into());
        series.metrics.forwards.inc_by(trace.forwards.into());
        if matches!(served.outcome, Outcome::Answered(_)) {
            series.metrics.took(total, total.saturating_sub(trace.attempt_time));
            series.recent.lock().record(total);
        }
    }

    /// Records a request that was refused before it was read.
    pub fn refused(&self, tables: &Tables, service: &str, refusal: Refusal) {
        match self.series(tables, service) {
            Some(series) => series.metrics.ended(refusal),
            None => self.metrics.entry.unrouted(refusal),
        }
    }

    /// Median and 99th percentile of the latency of recent answered requests.
    pub fn latency(&self, service: &str) -> (Duration, Duration) {
        let series = self.services.lock().get(service).cloned();
        series.map_or_else(Default::default, |series| series.recent.lock().percentiles())
    }

    /// Brings the metrics up to date and returns the text exposition. `probes` gives the probes sent
    /// to servers of a service.
    ///
    /// # Errors
    ///
    /// A metric has no encoding.
    pub fn text(
        &self,
        tables: &Tables,
        now: Instant,
        probes: impl Fn(&str) -> u64,
    ) -> Result<String, std::fmt::Error> {
        self.refresh(tables, now, probes);
        self.metrics.text()
    }

    fn refresh(&self, tables: &Tables, now: Instant, probes: impl Fn(&str) -> u64) {
        let entry = &self.metrics.entry;
        let (config, list) = tables.intent.versions();
        entry.fenced.set(tables.gate.is_fenced(now).into());
        entry.ready.set(tables.gate.is_ready().into());
        entry.config_revision.set(config.map_or(0, |order| signed(order.number)));
        entry.vms_version.set(list.map_or(0, |order| signed(order.number)));
        let contact = tables.peers.connectivity();
        entry.peers_heard.set(signed(contact.heard as u64));
        let routes = tables.routes();
        for (service, route) in routes.iter() {
            let Some(series) = self.series(tables, service.as_str()) else {
                continue;
            };
            let totals = tables.ledger.totals(service.as_str());
            series.count(&totals, probes(service.as_str()));
            series.metrics.in_flight.set(signed(totals.in_flight));
            series.metrics.waiting.set(signed(route.pool().waiting() as u64));
            series.metrics.limit.set(route.pool().capacity(now).limit.into());
        }
        self.services.lock().retain(|service, _| {
            let kept = routes.get(service.as_str()).is_some();
            if !kept {
                self.metrics.remove(service);
            }
            kept
        });
    }

    /// The series of a service of the configuration.
    fn series(&self, tables: &Tables, service: &str) -> Option<Arc<Series>> {
        if let Some(series) = self.services.lock().get(service) {
            return Some(series.clone());
        }
        let route = tables.routes().get(service)?;
        let name = route.pool().service();
        let series = Arc::new(Series {
            metrics: self.metrics.service(name),
            recent: Mutex::new(Rank::Telemetry, Window::default()),
            counted: Mutex::new(Rank::Telemetry, Counted::default()),
        });
        Some(self.services.lock().entry(name.clone()).or_insert(series).clone())
    }
}

impl From<Refusal> for End {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
