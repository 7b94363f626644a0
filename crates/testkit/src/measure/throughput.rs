use std::time::Duration;
use std::time::Instant;

use super::Error;
use super::ProcessUsage;
use super::Table;
use super::setup;
use super::setup::to_millis;
use crate::caller::Arrivals;
use crate::caller::Options;
use crate::caller::Report;
use crate::fleet::Fleet;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Number of servers.
const SERVER_COUNT: usize = 4;
/// Number of requests that a server runs at once. It is less than the number of idle connections
/// that an entry keeps per server (16), so that no request waits for a new connection.
const SLOTS_PER_SERVER: usize = 12;
/// The entry that is measured.
const ENTRY: &str = "e1";

/// Measures the throughput and the CPU time of one entry under closed-loop loads.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// The loads to measure, each as the number of requests in flight.
    pub in_flight_counts: Vec<usize>,
    /// Duration of each load.
    pub load_duration: Duration,
}

impl Throughput {
    /// Runs the loads one after the other; the table has a row for each.
    ///
    /// # Errors
    ///
    /// The fleet does not start or exits early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            "--work-us=0".to_owned(),
            "--fixed".to_owned(),
            format!("--slots={SLOTS_PER_SERVER}"),
            "--queue=64".to_owned(),
        ];
        let services = vec![setup::service(SERVICE, SERVER_COUNT, &flags)];
        let mut fleet = setup::start(1, services, &format!("slots = {SLOTS_PER_SERVER}")).await?;
        setup::warm_up(&fleet, SERVICE).await?;
        let mut table = Table::new(
            "Throughput of one entry",
            &[
                "in flight",
                "requests",
                "not answered",
                "requests/s",
                "cores used",
                "requests per CPU second",
                "CPU per request (us)",
                "p50 (ms)",
                "p99 (ms)",
                "VmRSS (MB)",
            ],
        );
        for in_flight in &self.in_flight_counts {
            self.measure(&mut fleet, *in_flight, &mut table).await?;
        }
        table.add_note(format!(
            "{SERVER_COUNT} servers without work, 64 bytes of body in half of the requests, one \
             entry with 2 workers; the \
             CPU time is that of the entry alone."
        ));
        Ok(table)
    }

    /// Applies one load and adds its row.
    async fn measure(
        &self,
        fleet: &mut Fleet,
        in_flight: usize,
        table: &mut Table,
    ) -> Result<(), Error> {
        let process_id = fleet.process_id(ENTRY)?;
        let options = Options {
            arrivals: Arrivals::Closed(in_flight),
            duration: self.load_duration,
            ..Options::default()
        };
        let before = ProcessUsage::read(process_id)?;
        let start = Instant::now();
        let records = setup::run_load(options, &[setup::entries_target(fleet, SERVICE)]).await?;
        let seconds = start.elapsed().as_secs_f64();
        let after = ProcessUsage::read(process_id)?;
        let cpu_seconds = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
        let report = Report::from_records(&records);
        let answered = report.answered as f64;
        table.add_row([
            in_flight.into(),
            report.sent.into(),
            (report.sent - report.answered).into(),
            (answered / seconds).into(),
            (cpu_seconds / seconds).into(),
            (answered / cpu_seconds).into(),
            (cpu_seconds / answered * 1e6).into(),
            to_millis(report.latency.p50_us).into(),
            to_millis(report.latency.p99_us).into(),
            (after.resident_kib as f64 / 1024.0).into(),
        ]);
        Ok(())
    }
}
