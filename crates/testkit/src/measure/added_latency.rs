use std::time::Duration;

use serde_json::Value;

use super::Error;
use super::MetricsSnapshot;
use super::Table;
use super::setup;
use super::setup::to_millis;
use crate::caller::Arrivals;
use crate::caller::Latency;
use crate::caller::Options;
use crate::caller::Record;
use crate::caller::Report;
use crate::caller::Target;
use crate::fleet::Fleet;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Number of servers.
const SERVER_COUNT: usize = 4;
/// Number of requests that a server runs at once. All slots together are far more than any rate
/// needs, so that no request queues.
const SLOTS_PER_SERVER: usize = 16;
/// Target for the 99th percentile of the added latency, in milliseconds.
const P99_TARGET_MS: f64 = 0.7;
/// Longest duration of the load at one rate.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(300);

/// Measures the latency that an entry adds: compares requests sent to the servers directly with
/// requests through an entry. Both alternate within one load.
#[derive(Debug, Clone)]
pub struct AddedLatency {
    /// The rates to measure, in requests per second to each of the two targets.
    pub rates: Vec<f64>,
    /// Number of requests per target and rate.
    pub requests_per_target: u64,
    /// Fixed time of work per request in microseconds; 0 avoids the timer, whose resolution is 1
    /// ms.
    pub work_us: u64,
}

impl AddedLatency {
    /// Runs the comparison at each rate.
    ///
    /// # Errors
    ///
    /// The fleet does not start or exits early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            format!("--work-us={}", self.work_us),
            "--fixed".to_owned(),
            format!("--slots={SLOTS_PER_SERVER}"),
            "--queue=64".to_owned(),
        ];
        let services = vec![setup::service(SERVICE, SERVER_COUNT, &flags)];
        let fleet = setup::start(1, services, &format!("slots = {SLOTS_PER_SERVER}")).await?;
        setup::warm_up(&fleet, SERVICE).await?;
        let mut table = Table::new(
            "Added latency of one entry",
            &[
                "way",
                "rate each (1/s)",
                "requests",
                "not answered",
                "p50 (ms)",
                "p99 (ms)",
                "p99.9 (ms)",
                "target 0.7 ms at p99",
            ],
        );
        for rate in &self.rates {
            self.compare(&fleet, *rate, &mut table).await?;
        }
        table.add_note(format!(
            "{SERVER_COUNT} servers, work of {} us, one entry with 2 workers. Latency counts from \
             when the load tool sent \
             the request. \"Added\" is the difference of the percentiles.",
            self.work_us
        ));
        Ok(table)
    }

    async fn compare(&self, fleet: &Fleet, rate: f64, table: &mut Table) -> Result<(), Error> {
        let targets = [
            Target::Servers(fleet.server_addresses(Some(SERVICE))),
            setup::entries_target(fleet, SERVICE),
        ];
        let options = Options {
            arrivals: Arrivals::Open(rate * targets.len() as f64),
            duration: MAX_LOAD_DURATION,
            max_requests: self.requests_per_target * targets.len() as u64,
            ..Options::default()
        };
        let before = fetch_histogram(fleet).await?;
        let records = setup::run_load(options, &targets).await?;
        let after = fetch_histogram(fleet).await?;
        let direct = summarize(&records, 0);
        let entry = summarize(&records, 1);
        add_target_row(table, "direct", rate, &direct);
        add_target_row(table, "entry", rate, &entry);
        let added = |percentile: fn(&Latency) -> u64| {
            to_millis(percentile(&entry.latency)) - to_millis(percentile(&direct.latency))
        };
        let p99 = added(|latency| latency.p99_us);
        let verdict = if p99 <= P99_TARGET_MS { "met" } else { "missed" };
        table.add_row([
            "added".into(),
            rate.into(),
            Value::from(""),
            Value::from(""),
            added(|latency| latency.p50_us).into(),
            p99.into(),
            added(|latency| latency.p999_us).into(),
            verdict.into(),
        ]);
        let percent = (after.0 - before.0) / (after.1 - before.1) * 100.0;
        table.add_note(format!(
            "At {rate}/s the entry's own histogram (`added_latency_seconds`) has {percent:.2}% of \
             the requests within \
             0.7 ms."
        ));
        Ok(())
    }
}

/// Number of requests whose added latency is within 0.7 ms, and of all requests, from the entry's
/// own histogram.
async fn fetch_histogram(fleet: &Fleet) -> Result<(f64, f64), Error> {
    let metrics = MetricsSnapshot::fetch(fleet.control_address("e1")?).await?;
    let within = metrics.sum("jackdawpin_added_latency_seconds_bucket", "le=\"0.0007\"");
    Ok((within, metrics.sum("jackdawpin_added_latency_seconds_count", "")))
}

/// Summarises the requests to one target. Latencies exclude the delay with which the caller itself
/// sent the request.
fn summarize(records: &[Record], target: usize) -> Report {
    let selected = records.iter().filter(|record| record.target == target);
    let adjusted: Vec<Record> = selected
        .map(|record| Record {
            latency: record.latency.saturating_sub(record.late),
            ..record.clone()
        })
        .collect();
    Report::from_records(&adjusted)
}

/// Adds the row of one target.
fn add_target_row(table: &mut Table, way: &str, rate: f64, report: &Report) {
    table.add_row([
        way.into(),
        rate.into(),
        report.sent.into(),
        (report.sent - report.answered).into(),
        to_millis(report.latency.p50_us).into(),
        to_millis(report.latency.p99_us).into(),
        to_millis(report.latency.p999_us).into(),
        Value::from(""),
    ]);
}
