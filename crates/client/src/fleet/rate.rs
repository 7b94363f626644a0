use std::collections::BTreeMap;

use super::Fleet;
use jackdawpin_wire::ServiceStatus;
use jackdawpin_wire::Status;
use jackdawpin_wire::Totals;

/// What happens to a service, over all entries that answered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Row {
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
    /// Requests whose caller went away, per second.
    pub abandoned: f64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests without an outcome, waiting ones included.
    pub in_flight: u64,
    /// The highest median latency of any entry, in microseconds. Percentiles of entries cannot be
    /// joined.
    pub p50_us: u64,
    /// The highest 99th percentile of any entry, in microseconds.
    pub p99_us: u64,
    /// Servers held.
    pub servers: usize,
}

/// Rates per service between two views of the fleet, by name of the service. An entry counts
/// towards the rates if it answered both times and did not start in between.
pub fn rows(before: &Fleet, after: &Fleet) -> Vec<Row> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for member in &after.members {
        let status = &member.status;
        let earlier =
            before.members.iter().map(|member| &member.status).find(|earlier| {
                earlier.vm == status.vm && earlier.incarnation == status.incarnation
            });
        for service in &status.services {
            let row = rows.entry(&service.name).or_default();
            row.service.clone_from(&service.name);
            add_state(row, service);
            if let Some(earlier) = earlier {
                add_rates(row, earlier, status, service);
            }
        }
    }
    rows.into_values().collect()
}

fn add_state(row: &mut Row, service: &ServiceStatus) {
    row.waiting += u64::from(service.waiting);
    row.in_flight += service.totals.in_flight;
    row.p50_us = row.p50_us.max(service.p50_us);
    row.p99_us = row.p99_us.max(service.p99_us);
    row.servers += service.servers.len();
}

fn add_rates(row: &mut Row, earlier: &Status, status: &Status, service: &ServiceStatus) {
    // The entry's own clock says when the counts were taken.
    let millis = status.uptime_ms.saturating_sub(earlier.uptime_ms);
    if millis == 0 {
        return;
    }
    let none = Totals::default();
    let known = earlier.services.iter().find(|known| known.name == service.name);
    let before = known.map_or(&none, |known| &known.totals);
    let now = &service.totals;
    let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 * 1e3 / millis as f64;
    row.accepted += rate(now.accepted, before.accepted);
    row.answered += rate(now.answered, before.answered);
    row.refused += rate(now.refused, before.refused);
    row.unknown += rate(now.unknown, before.unknown);
    row.abandoned += rate(now.abandoned, before.abandoned);
}
