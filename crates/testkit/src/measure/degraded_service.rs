use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::Error;
use super::Table;
use super::setup;
use super::setup::to_millis;
use super::slowdown_injector::SlowdownInjector;
use crate::caller::Arrivals;
use crate::caller::Caller;
use crate::caller::Options;
use crate::caller::Record;
use crate::caller::Report;
use crate::fleet::Fleet;
use crate::fleet::Service;

/// The service that is called.
const SERVICE: &str = "lookup";
/// Number of requests that a server runs at once.
const SLOTS_PER_SERVER: usize = 3;
/// The failure domain that is removed and restored.
const REMOVED_DOMAIN: &str = "d2";
/// Load while the failure domain is removed, as a share of all slots. The remaining three of four
/// failure domains can carry it.
const REMOVAL_LOAD_SHARE: f64 = 0.5;
/// Load that makes the servers warm, as a share of all slots.
const WARM_UP_LOAD_SHARE: f64 = 0.2;

/// Measures outcomes and tail latency while servers become slow at random, and while a failure
/// domain is removed and restored.
#[derive(Debug, Clone)]
pub struct DegradedService {
    /// Number of entries.
    pub entry_count: usize,
    /// Number of servers.
    pub server_count: usize,
    /// Mean time of work per request, exponentially distributed.
    pub mean_work: Duration,
    /// Mean time between two slow periods of a server.
    pub mean_slowdown_gap: Duration,
    /// The loads to measure, each as a share of all slots.
    pub load_shares: Vec<f64>,
    /// Duration of each load, and of each of the three phases with a failure domain present,
    /// removed and restored.
    pub phase_duration: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// How the failure domain is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Removal {
    /// The operators take it out of service in the configuration.
    Planned,
    /// All its processes, entries and servers, are killed, and started again to restore it.
    Killed,
}

impl DegradedService {
    /// Runs all loads with slow servers, then both kinds of removal of a failure domain.
    ///
    /// # Errors
    ///
    /// The fleet does not start or exits early.
    pub async fn run(&self) -> Result<Vec<Table>, Error> {
        let mut fleet = setup::start(self.entry_count, vec![self.service()], "").await?;
        self.warm_up(&fleet).await?;
        let mut tables = vec![self.measure_slow_servers(&fleet).await?];
        for removal in [Removal::Planned, Removal::Killed] {
            tables.push(self.measure_removal(&mut fleet, removal).await?);
        }
        Ok(tables)
    }

    fn service(&self) -> Service {
        let flags = vec![
            format!("--work-us={}", self.mean_work.as_micros()),
            format!("--slots={SLOTS_PER_SERVER}"),
        ];
        Service { name: SERVICE.to_owned(), server_count: self.server_count, server_flags: flags }
    }

    /// The rate, in requests per second, that occupies this share of all slots.
    fn rate(&self, share: f64) -> f64 {
        (self.server_count * SLOTS_PER_SERVER) as f64 * share / self.mean_work.as_secs_f64()
    }

    fn options(&self, share: f64, duration: Duration) -> Options {
        Options {
            arrivals: Arrivals::Open(self.rate(share)),
            duration,
            idempotent_share: 0.9,
            seed: self.seed,
            max_in_flight: 4_000,
            ..Options::default()
        }
    }

    async fn warm_up(&self, fleet: &Fleet) -> Result<(), Error> {
        let options = self.options(WARM_UP_LOAD_SHARE, Duration::from_secs(8));
        setup::run_load(options, &[setup::entries_target(fleet, SERVICE)]).await?;
        Ok(())
    }

    /// Measures each load while servers become slow at random.
    async fn measure_slow_servers(&self, fleet: &Fleet) -> Result<Table, Error> {
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
        for share in &self.load_shares {
            let _slowdown = SlowdownInjector::start(
                fleet.server_addresses(None),
                self.mean_slowdown_gap,
                self.seed,
            );
            let options = self.options(*share, self.phase_duration);
            let records =
                setup::run_load(options, &[setup::entries_target(fleet, SERVICE)]).await?;
            let report = Report::from_records(&records);
            table.add_row([
                (*share).into(),
                self.rate(*share).into(),
                report.sent.into(),
                report.answered.into(),
                report.refused.into(),
                (report.unknown + report.unexplained).into(),
                to_millis(report.latency.p50_us).into(),
                to_millis(report.latency.p99_us).into(),
                to_millis(report.latency.p999_us).into(),
            ]);
        }
        table.add_note(self.conditions());
        Ok(table)
    }

    /// Measures a load before the removal of the failure domain, while it is removed, and after it
    /// was restored; the table has a row for each second.
    async fn measure_removal(&self, fleet: &mut Fleet, removal: Removal) -> Result<Table, Error> {
        let load = self.start_load(fleet).await?;
        tokio::time::sleep(self.phase_duration).await;
        self.remove_domain(fleet, removal)?;
        tokio::time::sleep(self.phase_duration).await;
        self.restore_domain(fleet, removal)?;
        let records = load.await?;
        let phase_seconds = self.phase_duration.as_secs();
        let title = match removal {
            Removal::Planned => "Failure domain taken out of service by the operators",
            Removal::Killed => "Failure domain killed, entries and servers",
        };
        let mut table = per_second_table(title, &records);
        table.add_note(format!(
            "{REMOVED_DOMAIN} leaves at {phase_seconds} s and returns at {} s; load \
             {REMOVAL_LOAD_SHARE} of all slots. {}",
            2 * phase_seconds,
            self.conditions()
        ));
        Ok(table)
    }

    async fn start_load(&self, fleet: &Fleet) -> Result<JoinHandle<Vec<Record>>, Error> {
        let options = self.options(REMOVAL_LOAD_SHARE, self.phase_duration * 3);
        let caller = Caller::new(options, &[setup::entries_target(fleet, SERVICE)]).await?;
        Ok(tokio::spawn(async move { caller.run(&CancellationToken::new()).await }))
    }

    fn remove_domain(&self, fleet: &mut Fleet, removal: Removal) -> Result<(), Error> {
        if removal == Removal::Planned {
            fleet
                .documents
                .out_domains
                .push((REMOVED_DOMAIN.to_owned(), "Measurement.".to_owned()));
            fleet.documents.publish_config()?;
            return Ok(());
        }
        for name in fleet.vm_names(|vm| vm.domain == REMOVED_DOMAIN) {
            fleet.kill(&name)?;
        }
        Ok(())
    }

    fn restore_domain(&self, fleet: &mut Fleet, removal: Removal) -> Result<(), Error> {
        if removal == Removal::Planned {
            fleet.documents.out_domains.clear();
            fleet.documents.publish_config()?;
            return Ok(());
        }
        for name in fleet.vm_names(|vm| vm.domain == REMOVED_DOMAIN) {
            fleet.start_vm(&name)?;
        }
        Ok(())
    }

    fn conditions(&self) -> String {
        format!(
            "{} entries, {} servers with {SLOTS_PER_SERVER} slots, mean work {:?} (exponential), \
             4 failure domains, 90% idempotent; each server takes 8 times as long for 50 to 400 ms \
             every {:?} on average where that is measured; seed {}.",
            self.entry_count, self.server_count, self.mean_work, self.mean_slowdown_gap, self.seed
        )
    }
}

/// Tabulates the outcomes and latencies of the requests sent in each second of a run.
fn per_second_table(title: &str, records: &[Record]) -> Table {
    let columns = ["second", "sent", "answered (%)", "refused", "unknown", "p50 (ms)", "p99 (ms)"];
    let mut table = Table::new(title, &columns);
    let last = records.iter().map(|record| record.at.as_secs()).max().unwrap_or_default();
    for second in 0..=last {
        let report =
            Report::from_records(records.iter().filter(|record| record.at.as_secs() == second));
        table.add_row([
            second.into(),
            report.sent.into(),
            (report.answered as f64 / report.sent.max(1) as f64 * 100.0).into(),
            report.refused.into(),
            (report.unknown + report.unexplained).into(),
            to_millis(report.latency.p50_us).into(),
            to_millis(report.latency.p99_us).into(),
        ]);
    }
    table
}
