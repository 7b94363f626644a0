use std::time::Duration;

use serde_json::Value;

use super::Error;
use super::Scrape;
use super::Table;
use super::setup;
use super::setup::millis;
use crate::caller::Latency;
use crate::caller::Options;
use crate::caller::Pace;
use crate::caller::Record;
use crate::caller::Report;
use crate::caller::Target;
use crate::fleet::Fleet;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Servers, and requests that each runs at once; together far more than any rate needs, so that nothing waits.
const SERVERS: usize = 4;
const SLOTS: usize = 16;
/// Added latency that 99 of 100 calls must not exceed, in milliseconds.
const TARGET_MS: f64 = 0.7;
/// Longest time for one rate.
const MAX_TIME: Duration = Duration::from_secs(300);

/// Compares requests that go straight to servers with requests through an entry, in turn and in one run.
#[derive(Debug, Clone)]
pub struct Added {
    /// Requests per second, for each of the two ways.
    pub rates: Vec<f64>,
    /// Requests for each of the two ways and each rate.
    pub requests: u64,
    /// Fixed time of work in microseconds; 0 uses no timer, whose granularity is 1 ms.
    pub work_us: u64,
}

impl Added {
    /// Runs the comparison.
    ///
    /// # Errors
    ///
    /// The fleet does not start or ends early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            format!("--work-us={}", self.work_us),
            "--fixed".to_owned(),
            format!("--slots={SLOTS}"),
            "--queue=64".to_owned(),
        ];
        let services = vec![setup::service(SERVICE, SERVERS, &flags)];
        let fleet = setup::start(1, services, &format!("slots = {SLOTS}")).await?;
        setup::warm(&fleet, SERVICE).await?;
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
        table.note(format!(
            "{SERVERS} servers, work of {} us, one entry with 2 workers. Latency counts from when the load tool sent \
             the request. \"Added\" is the difference of the percentiles.",
            self.work_us
        ));
        Ok(table)
    }

    async fn compare(&self, fleet: &Fleet, rate: f64, table: &mut Table) -> Result<(), Error> {
        let targets = [
            Target::Servers(fleet.server_addresses(Some(SERVICE))),
            setup::through(fleet, SERVICE),
        ];
        let options = Options {
            pace: Pace::Open(rate * targets.len() as f64),
            time: MAX_TIME,
            max_requests: self.requests * targets.len() as u64,
            ..Options::default()
        };
        let before = own(fleet).await?;
        let records = setup::load(options, &targets).await?;
        let after = own(fleet).await?;
        let direct = report(&records, 0);
        let entry = report(&records, 1);
        add(table, "direct", rate, &direct);
        add(table, "entry", rate, &entry);
        let added =
            |of: fn(&Latency) -> u64| millis(of(&entry.latency)) - millis(of(&direct.latency));
        let p99 = added(|latency| latency.p99_us);
        let verdict = if p99 <= TARGET_MS { "met" } else { "missed" };
        table.row([
            "added".into(),
            rate.into(),
            Value::from(""),
            Value::from(""),
            added(|latency| latency.p50_us).into(),
            p99.into(),
            added(|latency| latency.p999_us).into(),
            verdict.into(),
        ]);
        let share = (after.0 - before.0) / (after.1 - before.1) * 100.0;
        table.note(format!(
            "At {rate}/s the entry's own histogram (`added_latency_seconds`) has {share:.2}% of the requests within \
             0.7 ms."
        ));
        Ok(())
    }
}

/// Requests within the target and in all, according to the entry's own histogram.
async fn own(fleet: &Fleet) -> Result<(f64, f64), Error> {
    let scrape = Scrape::of(fleet.control_address("e1")?).await?;
    let within = scrape.sum("jackdawpin_added_latency_seconds_bucket", "le=\"0.0007\"");
    Ok((within, scrape.sum("jackdawpin_added_latency_seconds_count", "")))
}

/// Summarises the requests of one way, without the time by which the load tool itself was late.
fn report(records: &[Record], target: usize) -> Report {
    let own = records.iter().filter(|record| record.target == target);
    let sent: Vec<Record> = own
        .map(|record| Record {
            latency: record.latency.saturating_sub(record.late),
            ..record.clone()
        })
        .collect();
    Report::of(&sent)
}

fn add(table: &mut Table, way: &str, rate: f64, report: &Report) {
    table.row([
        way.into(),
        rate.into(),
        report.sent.into(),
        (report.sent - report.answered).into(),
        millis(report.latency.p50_us).into(),
        millis(report.latency.p99_us).into(),
        millis(report.latency.p999_us).into(),
        Value::from(""),
    ]);
}
