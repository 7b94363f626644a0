//! Metrics of one service.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use super::ServiceFamilies;
use super::labels::EndLabels;
use super::labels::RequestEnd;
use super::labels::ServiceLabels;
use jackdawpin_core::name;

/// Metrics of one service. Clones share the values.
#[derive(Debug, Clone)]
pub struct ServiceMetrics {
    name: name::Service,
    ends: Family<EndLabels, Counter>,
    answered: Counter,
    latency: Histogram,
    added_latency: Histogram,
    /// Requests accepted.
    pub accepted: Counter,
    /// Attempts after the first one.
    pub retries: Counter,
    /// Probes sent to servers.
    pub probes: Counter,
    /// Attempts forwarded to other entries.
    pub forwards: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Requests that wait for a free slot of a server.
    pub waiting: Gauge,
    /// Sum of the limits of the servers that this entry holds.
    pub limit: Gauge,
}

impl ServiceMetrics {
    pub(super) fn new(families: &ServiceFamilies, name: &name::Service) -> Self {
        let labels = ServiceLabels::new(name);
        let answered = EndLabels::new(name, RequestEnd::Answered);
        Self {
            name: name.clone(),
            ends: families.ends.clone(),
            answered: families.ends.get_or_create_owned(&answered),
            latency: families.latency.get_or_create_owned(&labels),
            added_latency: families.added_latency.get_or_create_owned(&labels),
            accepted: families.accepted.get_or_create_owned(&labels),
            retries: families.retries.get_or_create_owned(&labels),
            probes: families.probes.get_or_create_owned(&labels),
            forwards: families.forwards.get_or_create_owned(&labels),
            in_flight: families.in_flight.get_or_create_owned(&labels),
            waiting: families.waiting.get_or_create_owned(&labels),
            limit: families.limit.get_or_create_owned(&labels),
        }
    }

    /// Counts the end of a request.
    pub fn count_end(&self, end: impl Into<RequestEnd>) {
        match end.into() {
            RequestEnd::Answered => self.answered.inc(),
            end => self.ends.get_or_create(&EndLabels::new(&self.name, end)).inc(),
        };
    }

    /// Records the time from the head of an answered request to its whole response, and the part of
    /// it that was not spent waiting for a server's response.
    pub fn record_latency(&self, total: Duration, added: Duration) {
        self.latency.observe(total.as_secs_f64());
        self.added_latency.observe(added.as_secs_f64());
    }
}
