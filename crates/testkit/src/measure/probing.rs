use std::time::Duration;

use super::Error;
use super::Table;
use super::setup;
use crate::caller::Options;
use crate::caller::Pace;
use crate::caller::fetch_ledger;
use crate::fleet::Fleet;

/// The service whose servers are probed.
const SERVICE: &str = "lookup";
/// Requests that a server runs at once.
const SLOTS: usize = 3;
/// Mean time of work, and time of a probe.
const WORK: Duration = Duration::from_millis(5);
const PROBE: Duration = Duration::from_millis(5);

/// Counts the probes that servers get, idle and under load.
#[derive(Debug, Clone)]
pub struct Probing {
    /// Number of entries.
    pub entries: usize,
    /// Number of servers.
    pub servers: usize,
    /// Loads as shares of all slots.
    pub shares: Vec<f64>,
    /// Time for each load.
    pub time: Duration,
}

/// What all servers have done so far.
struct Done {
    probes: u64,
    completed: u64,
}

impl Probing {
    /// Runs the loads.
    ///
    /// # Errors
    ///
    /// The fleet does not start or ends early.
    pub async fn run(&self) -> Result<Table, Error> {
        let flags = [
            format!("--work-us={}", WORK.as_micros()),
            format!("--slots={SLOTS}"),
            format!("--probe-ms={}", PROBE.as_millis()),
        ];
        let services = vec![setup::service(SERVICE, self.servers, &flags)];
        let fleet = setup::start(self.entries, services, "").await?;
        setup::warm(&fleet, SERVICE).await?;
        let columns = [
            "load (share of slots)",
            "seconds",
            "probes",
            "probes per server and second",
            "share of the slots' time (%)",
            "share of the work done (%)",
        ];
        let mut table = Table::new("Cost of measuring servers", &columns);
        for share in &self.shares {
            let before = done(&fleet).await?;
            self.load(&fleet, *share).await?;
            let after = done(&fleet).await?;
            self.add(&mut table, *share, &before, &after);
        }
        table.note(format!(
            "{} entries, {} servers with {SLOTS} slots, mean work {WORK:?}, a probe takes {PROBE:?}; the default limit \
             of 30 probes per minute and server, half of which each holder uses.",
            self.entries, self.servers
        ));
        Ok(table)
    }

    async fn load(&self, fleet: &Fleet, share: f64) -> Result<(), Error> {
        if share <= 0.0 {
            tokio::time::sleep(self.time).await;
            return Ok(());
        }
        let rate = (self.servers * SLOTS) as f64 * share / WORK.as_secs_f64();
        let options = Options { pace: Pace::Open(rate), time: self.time, ..Options::default() };
        setup::load(options, &[setup::through(fleet, SERVICE)]).await?;
        Ok(())
    }

    fn add(&self, table: &mut Table, share: f64, before: &Done, after: &Done) {
        let probes = (after.probes - before.probes) as f64;
        let completed = (after.completed - before.completed) as f64;
        let seconds = self.time.as_secs_f64();
        let servers = self.servers as f64;
        let cost = probes * PROBE.as_secs_f64();
        let work = completed * WORK.as_secs_f64();
        table.row([
            share.into(),
            seconds.into(),
            (after.probes - before.probes).into(),
            (probes / servers / seconds).into(),
            (cost / (servers * SLOTS as f64 * seconds) * 100.0).into(),
            if work > 0.0 { (cost / (cost + work) * 100.0).into() } else { "no work".into() },
        ]);
    }
}

async fn done(fleet: &Fleet) -> Result<Done, Error> {
    let mut sum = Done { probes: 0, completed: 0 };
    for server in fleet.server_addresses(Some(SERVICE)) {
        let counts = fetch_ledger(server).await?.counts;
        sum.probes += counts.probes;
        sum.completed += counts.completed;
    }
    Ok(sum)
}
