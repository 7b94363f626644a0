use std::time::Duration;

use super::Error;
use super::Table;
use super::setup;
use crate::caller::Arrivals;
use crate::caller::Options;
use crate::caller::fetch_ledger;
use crate::fleet::Fleet;

/// The service whose servers are probed.
const SERVICE: &str = "lookup";
/// Number of requests that a server runs at once.
const SLOTS_PER_SERVER: usize = 3;
/// Mean time of work of a request.
const MEAN_WORK: Duration = Duration::from_millis(5);
/// Time that a server spends on a probe.
const PROBE_WORK: Duration = Duration::from_millis(5);

/// Measures the probes that servers receive, and the share of their time that these take, without
/// and under load.
#[derive(Debug, Clone)]
pub struct ProbeCost {
    /// Number of entries.
    pub entry_count: usize,
    /// Number of servers.
    pub server_count: usize,
    /// The loads to measure, each as the share of all slots that it occupies.
    pub load_shares: Vec<f64>,
    /// Duration of each load.
    pub load_duration: Duration,
}

/// Numbers of probes and requests that all servers have completed so far.
struct ServerTotals {
    probes: u64,
    completed: u64,
}

impl ProbeCost {
    /// Runs the loads one after the other; the table has a row for each.
    ///
    /// # Errors
    ///
    /// The fleet does not start or exits early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            format!("--work-us={}", MEAN_WORK.as_micros()),
            format!("--slots={SLOTS_PER_SERVER}"),
            format!("--probe-ms={}", PROBE_WORK.as_millis()),
        ];
        let services = vec![setup::service(SERVICE, self.server_count, &flags)];
        let fleet = setup::start(self.entry_count, services, "").await?;
        setup::warm_up(&fleet, SERVICE).await?;
        let columns = [
            "load (share of slots)",
            "seconds",
            "probes",
            "probes per server and second",
            "share of the slots' time (%)",
            "share of the work done (%)",
        ];
        let mut table = Table::new("Cost of measuring servers", &columns);
        for share in &self.load_shares {
            let before = fetch_totals(&fleet).await?;
            self.apply_load(&fleet, *share).await?;
            let after = fetch_totals(&fleet).await?;
            self.add_load_row(&mut table, *share, &before, &after);
        }
        table.add_note(format!(
            "{} entries, {} servers with {SLOTS_PER_SERVER} slots, mean work {MEAN_WORK:?}, a \
             probe takes {PROBE_WORK:?}; the default limit \
             of 30 probes per minute and server, half of which each holder uses.",
            self.entry_count, self.server_count
        ));
        Ok(table)
    }

    /// Applies a load, or waits if it is 0.
    async fn apply_load(&self, fleet: &Fleet, share: f64) -> Result<(), Error> {
        if share <= 0.0 {
            tokio::time::sleep(self.load_duration).await;
            return Ok(());
        }
        let rate = (self.server_count * SLOTS_PER_SERVER) as f64 * share / MEAN_WORK.as_secs_f64();
        let options = Options {
            arrivals: Arrivals::Open(rate),
            duration: self.load_duration,
            ..Options::default()
        };
        setup::run_load(options, &[setup::entries_target(fleet, SERVICE)]).await?;
        Ok(())
    }

    /// Adds the row of one load.
    fn add_load_row(
        &self,
        table: &mut Table,
        share: f64,
        before: &ServerTotals,
        after: &ServerTotals,
    ) {
        let probe_count = (after.probes - before.probes) as f64;
        let completed = (after.completed - before.completed) as f64;
        let seconds = self.load_duration.as_secs_f64();
        let server_count = self.server_count as f64;
        let probe_time = probe_count * PROBE_WORK.as_secs_f64();
        let work_time = completed * MEAN_WORK.as_secs_f64();
        table.add_row([
            share.into(),
            seconds.into(),
            (after.probes - before.probes).into(),
            (probe_count / server_count / seconds).into(),
            (probe_time / (server_count * SLOTS_PER_SERVER as f64 * seconds) * 100.0).into(),
            if work_time > 0.0 {
                (probe_time / (probe_time + work_time) * 100.0).into()
            } else {
                "no work".into()
            },
        ]);
    }
}

/// Sums the counts of the service's servers.
async fn fetch_totals(fleet: &Fleet) -> Result<ServerTotals, Error> {
    let mut totals = ServerTotals { probes: 0, completed: 0 };
    for server in fleet.server_addresses(Some(SERVICE)) {
        let counts = fetch_ledger(server).await?.counts;
        totals.probes += counts.probes;
        totals.completed += counts.completed;
    }
    Ok(totals)
}
