use std::collections::BTreeMap;

use super::Fleet;
use jackdawpin_wire::ServiceStatus;
use jackdawpin_wire::Status;
use jackdawpin_wire::Totals;

/// Rates and state of a service over all entries that answered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceSummary {
    /// The service.
    pub service: String,
    /// Admitted requests per second.
    pub accepted: f64,
    /// Requests with a complete answer per second.
    pub answered: f64,
    /// Requests that did not run, per second.
    pub refused: f64,
    /// Requests that may have run, per second.
    pub unknown: f64,
    /// Requests whose caller closed its connection before the answer, per second.
    pub abandoned: f64,
    /// Requests that wait in a queue.
    pub waiting: u64,
    /// Requests without an outcome, waiting ones included.
    pub in_flight: u64,
    /// The highest median latency of any entry, in microseconds. The percentiles of several entries
    /// cannot be combined.
    pub p50_us: u64,
    /// The highest 99th percentile of any entry, in microseconds.
    pub p99_us: u64,
    /// Servers that the entries hold.
    pub servers: usize,
}

/// Summaries of the services in `after`, sorted by name, with rates since `before`. An entry counts
/// towards the rates if it answered both times and did not restart in between.
pub fn service_summaries(before: &Fleet, after: &Fleet) -> Vec<ServiceSummary> {
    let mut summaries: BTreeMap<&str, ServiceSummary> = BTreeMap::new();
    for entry in &after.reachable {
        let status = &entry.status;
        let earlier =
            before.reachable.iter().map(|entry| &entry.status).find(|earlier| {
                earlier.vm == status.vm && earlier.incarnation == status.incarnation
            });
        for service in &status.services {
            let summary = summaries.entry(&service.name).or_default();
            summary.service.clone_from(&service.name);
            add_state(summary, service);
            if let Some(earlier) = earlier {
                add_rates(summary, earlier, status, service);
            }
        }
    }
    summaries.into_values().collect()
}

fn add_state(summary: &mut ServiceSummary, service: &ServiceStatus) {
    summary.waiting += u64::from(service.waiting);
    summary.in_flight += service.totals.in_flight;
    summary.p50_us = summary.p50_us.max(service.p50_us);
    summary.p99_us = summary.p99_us.max(service.p99_us);
    summary.servers += service.servers.len();
}

fn add_rates(
    summary: &mut ServiceSummary,
    earlier: &Status,
    status: &Status,
    service: &ServiceStatus,
) {
    // The uptime is the time at which the entry took the counts, on its own clock.
    let millis = status.uptime_ms.saturating_sub(earlier.uptime_ms);
    if millis == 0 {
        return;
    }
    let no_totals = Totals::default();
    let earlier_service = earlier.services.iter().find(|candidate| candidate.name == service.name);
    let before = earlier_service.map_or(&no_totals, |service| &service.totals);
    let now = &service.totals;
    let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 * 1e3 / millis as f64;
    summary.accepted += rate(now.accepted, before.accepted);
    summary.answered += rate(now.answered, before.answered);
    summary.refused += rate(now.refused, before.refused);
    summary.unknown += rate(now.unknown, before.unknown);
    summary.abandoned += rate(now.abandoned, before.abandoned);
}
