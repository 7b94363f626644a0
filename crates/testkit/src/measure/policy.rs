use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::Error;
use super::Table;
use super::setup;
use super::setup::millis;
use super::slowdown::Slowdown;
use crate::caller::Caller;
use crate::caller::Options;
use crate::caller::Pace;
use crate::caller::Record;
use crate::caller::Report;
use crate::fleet::Fleet;
use crate::fleet::Service;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Requests that a server runs at once.
const SLOTS: usize = 3;
/// The failure domain that leaves and returns.
const DOMAIN: &str = "d2";
/// Load while it does, as a share of the slots. Three of four failure domains can carry it.
const DOMAIN_SHARE: f64 = 0.5;
/// Load of the first seconds.
const WARM_SHARE: f64 = 0.2;

/// Measures the quality of service on servers that become slow at random.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Number of entries.
    pub entries: usize,
    /// Number of servers.
    pub servers: usize,
    /// Mean time of work, exponentially distributed.
    pub work: Duration,
    /// Mean time between two slow times of a server.
    pub gap: Duration,
    /// Loads as shares of all slots.
    pub shares: Vec<f64>,
    /// Time for each load, and for each part of the run with a failure domain that leaves.
    pub time: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

/// How the failure domain leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// The operators take it out of service.
    Planned,
    /// All its processes, entries and servers, are killed; they start again later.
    Lost,
}

impl Policy {
    /// Runs all loads, then both ways for a failure domain to leave.
    ///
    /// # Errors
    ///
    /// The fleet does not start or ends early.
    pub async fn run(&self) -> Result<Vec<Table>, Error> {
        let mut fleet = setup::start(self.entries, vec![self.service()], "").await?;
        self.warm(&fleet).await?;
        let mut tables = vec![self.shares(&fleet).await?];
        for departure in [Departure::Planned, Departure::Lost] {
            tables.push(self.departure(&mut fleet, departure).await?);
        }
        Ok(tables)
    }

    fn service(&self) -> Service {
        let flags =
            vec![format!("--work-us={}", self.work.as_micros()), format!("--slots={SLOTS}")];
        Service { name: SERVICE.to_owned(), server_count: self.servers, server_flags: flags }
    }

    /// Requests per second that take up this share of the slots.
    fn rate(&self, share: f64) -> f64 {
        (self.servers * SLOTS) as f64 * share / self.work.as_secs_f64()
    }

    fn options(&self, share: f64, time: Duration) -> Options {
        Options {
            pace: Pace::Open(self.rate(share)),
            time,
            idempotent: 0.9,
            seed: self.seed,
            max_in_flight: 4_000,
            ..Options::default()
        }
    }

    async fn warm(&self, fleet: &Fleet) -> Result<(), Error> {
        let options = self.options(WARM_SHARE, Duration::from_secs(8));
        setup::load(options, &[setup::through(fleet, SERVICE)]).await?;
        Ok(())
    }

    async fn shares(&self, fleet: &Fleet) -> Result<Table, Error> {
        let columns = [
            "load (share of slots)",
            "requests/s",
            "sent",
            "answered",
            "refused",
            "unknown",
            "p50 (ms)",
            "p99 (ms)",
            "p99.9 (ms)",
        ];
        let mut table = Table::new("Tail latency with servers that become slow", &columns);
        for share in &self.shares {
            let _slowdown = Slowdown::start(fleet.server_addresses(None), self.gap, self.seed);
            let options = self.options(*share, self.time);
            let records = setup::load(options, &[setup::through(fleet, SERVICE)]).await?;
            let report = Report::of(&records);
            table.row([
                (*share).into(),
                self.rate(*share).into(),
                report.sent.into(),
                report.answered.into(),
                report.refused.into(),
                (report.unknown + report.unexplained).into(),
                millis(report.latency.p50_us).into(),
                millis(report.latency.p99_us).into(),
                millis(report.latency.p999_us).into(),
            ]);
        }
        table.note(self.conditions());
        Ok(table)
    }

    async fn departure(&self, fleet: &mut Fleet, departure: Departure) -> Result<Table, Error> {
        let load = self.start_load(fleet).await?;
        tokio::time::sleep(self.time).await;
        self.leave(fleet, departure)?;
        tokio::time::sleep(self.time).await;
        self.back(fleet, departure)?;
        let records = load.await?;
        let second = self.time.as_secs();
        let title = match departure {
            Departure::Planned => "Failure domain taken out of service by the operators",
            Departure::Lost => "Failure domain killed, entries and servers",
        };
        let mut table = seconds(title, &records);
        table.note(format!(
            "{DOMAIN} leaves at {second} s and returns at {} s; load {DOMAIN_SHARE} of all slots. {}",
            2 * second,
            self.conditions()
        ));
        Ok(table)
    }

    async fn start_load(&self, fleet: &Fleet) -> Result<JoinHandle<Vec<Record>>, Error> {
        let options = self.options(DOMAIN_SHARE, self.time * 3);
        let caller = Caller::new(options, &[setup::through(fleet, SERVICE)]).await?;
        Ok(tokio::spawn(async move { caller.run(&CancellationToken::new()).await }))
    }

    fn leave(&self, fleet: &mut Fleet, departure: Departure) -> Result<(), Error> {
        if departure == Departure::Planned {
            fleet.documents.out_domains.push((DOMAIN.to_owned(), "Measurement.".to_owned()));
            fleet.documents.publish_config()?;
            return Ok(());
        }
        for name in fleet.vm_names(|vm| vm.domain == DOMAIN) {
            fleet.kill(&name)?;
        }
        Ok(())
    }

    fn back(&self, fleet: &mut Fleet, departure: Departure) -> Result<(), Error> {
        if departure == Departure::Planned {
            fleet.documents.out_domains.clear();
            fleet.documents.publish_config()?;
            return Ok(());
        }
        for name in fleet.vm_names(|vm| vm.domain == DOMAIN) {
            fleet.start_vm(&name)?;
        }
        Ok(())
    }

    fn conditions(&self) -> String {
        format!(
            "{} entries, {} servers with {SLOTS} slots, mean work {:?} (exponential), 4 failure domains, 90% idempotent; \
             each server takes 8 times as long for 50 to 400 ms every {:?} on average where that is measured; seed {}.",
            self.entries, self.servers, self.work, self.gap, self.seed
        )
    }
}

/// Answered share and latency for each second of a run.
fn seconds(title: &str, records: &[Record]) -> Table {
    let columns = ["second", "sent", "answered (%)", "refused", "unknown", "p50 (ms)", "p99 (ms)"];
    let mut table = Table::new(title, &columns);
    let last = records.iter().map(|record| record.at.as_secs()).max().unwrap_or_default();
    for second in 0..=last {
        let report = Report::of(records.iter().filter(|record| record.at.as_secs() == second));
        table.row([
            second.into(),
            report.sent.into(),
            (report.answered as f64 / report.sent.max(1) as f64 * 100.0).into(),
            report.refused.into(),
            (report.unknown + report.unexplained).into(),
            millis(report.latency.p50_us).into(),
            millis(report.latency.p99_us).into(),
        ]);
    }
    table
}
