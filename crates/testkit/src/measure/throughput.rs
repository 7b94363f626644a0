use std::time::Duration;
use std::time::Instant;

use super::Error;
use super::Table;
use super::Usage;
use super::setup;
use super::setup::millis;
use crate::caller::Arrivals;
use crate::caller::Options;
use crate::caller::Report;
use crate::fleet::Fleet;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Servers, and requests that each runs at once: fewer than the connections that an entry keeps per server (16), so that
/// no request pays for a new one.
const SERVERS: usize = 4;
const SLOTS: usize = 12;
/// The entry that is measured.
const ENTRY: &str = "e1";

/// Raises the load on one entry, in closed loop, and reads the CPU time that it takes.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// Requests in flight at once, one value after the other.
    pub workers: Vec<usize>,
    /// Time for each of them.
    pub time: Duration,
}

impl Throughput {
    /// Runs the loads.
    ///
    /// # Errors
    ///
    /// The fleet does not start or ends early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            "--work-us=0".to_owned(),
            "--fixed".to_owned(),
            format!("--slots={SLOTS}"),
            "--queue=64".to_owned(),
        ];
        let services = vec![setup::service(SERVICE, SERVERS, &flags)];
        let mut fleet = setup::start(1, services, &format!("slots = {SLOTS}")).await?;
        setup::warm(&fleet, SERVICE).await?;
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
        for workers in &self.workers {
            self.raise(&mut fleet, *workers, &mut table).await?;
        }
        table.note(format!(
            "{SERVERS} servers without work, 64 bytes of body in half of the requests, one entry with 2 workers; the \
             CPU time is that of the entry alone."
        ));
        Ok(table)
    }

    async fn raise(
        &self,
        fleet: &mut Fleet,
        workers: usize,
        table: &mut Table,
    ) -> Result<(), Error> {
        let process = fleet.process_id(ENTRY)?;
        let options = Options {
            arrivals: Arrivals::Closed(workers),
            duration: self.time,
            ..Options::default()
        };
        let before = Usage::of(process)?;
        let start = Instant::now();
        let records = setup::load(options, &[setup::through(fleet, SERVICE)]).await?;
        let seconds = start.elapsed().as_secs_f64();
        let after = Usage::of(process)?;
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        let report = Report::from_records(&records);
        let answered = report.answered as f64;
        table.row([
            workers.into(),
            report.sent.into(),
            (report.sent - report.answered).into(),
            (answered / seconds).into(),
            (cpu / seconds).into(),
            (answered / cpu).into(),
            (cpu / answered * 1e6).into(),
            millis(report.latency.p50_us).into(),
            millis(report.latency.p99_us).into(),
            (after.resident_kib as f64 / 1024.0).into(),
        ]);
        Ok(())
    }
}
