use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use super::Scrape;
use super::Table;
use super::Usage;
use super::setup;
use super::setup::millis;
use crate::caller::Audit;
use crate::caller::Class;
use crate::caller::Options;
use crate::caller::Pace;
use crate::caller::Record;
use crate::caller::Report;
use crate::fleet::Fleet;
use crate::http::fetch;
use jackdawpin_wire::Status;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::STATUS;

/// The services: name, servers, share of the requests, share of idempotent requests.
const SERVICES: [(&str, usize, f64, f64); 2] = [("lookup", 8, 0.8, 0.9), ("orders", 4, 0.2, 0.0)];
/// Mean time of work, exponentially distributed, in microseconds.
const WORK_US: u64 = 3_000;
/// Time for an entry to answer.
const LIMIT: Duration = Duration::from_secs(5);
/// Longest time of the load.
const MAX_TIME: Duration = Duration::from_secs(400);
/// Time for counters to settle after the last answer.
const SETTLE: Duration = Duration::from_millis(500);

/// Sends requests of two services through several entries and checks that each is accounted for.
#[derive(Debug, Clone)]
pub struct Mixed {
    /// Number of entries.
    pub entries: usize,
    /// Requests in all.
    pub requests: u64,
    /// Requests per second in all.
    pub rate: f64,
}

impl Mixed {
    /// Runs the load and the checks. The second value says whether all checks passed.
    ///
    /// # Errors
    ///
    /// The fleet does not start or ends early.
    pub async fn run(&self) -> Result<(Vec<Table>, bool), Error> {
        let flags = [format!("--work-us={WORK_US}")];
        let services =
            SERVICES.iter().map(|(name, servers, ..)| setup::service(name, *servers, &flags));
        let mut fleet = setup::start(self.entries, services.collect(), "").await?;
        let mut warm = Vec::new();
        for (name, ..) in SERVICES {
            warm.extend(setup::warm(&fleet, name).await?);
        }
        let [first, second] = SERVICES.map(|service| self.load(&fleet, service));
        let (first, second) = tokio::join!(first, second);
        let loads = [first?, second?];
        tokio::time::sleep(SETTLE).await;
        let outcomes = outcomes(&loads);
        let (accounts, balanced) = accounts(&mut fleet).await?;
        let all = loads.iter().flatten().chain(&warm);
        let audit = Audit::of(all, &fleet.ledgers()?);
        let explained = loads.iter().flatten().all(|record| record.class != Class::Unexplained);
        let passed = balanced && audit.is_clean() && explained;
        Ok((vec![outcomes, accounts, findings(&audit)], passed))
    }

    async fn load(
        &self,
        fleet: &Fleet,
        (name, _, share, idempotent): (&str, usize, f64, f64),
    ) -> Result<Vec<Record>, Error> {
        let options = Options {
            pace: Pace::Open(self.rate * share),
            time: MAX_TIME,
            max_requests: (self.requests as f64 * share).ceil() as u64,
            idempotent,
            ..Options::default()
        };
        setup::load(options, &[setup::through(fleet, name)]).await
    }
}

fn outcomes(loads: &[Vec<Record>; 2]) -> Table {
    let columns = [
        "service",
        "sent",
        "answered",
        "refused",
        "unknown",
        "unexplained",
        "p50 (ms)",
        "p99 (ms)",
        "p99.9 (ms)",
    ];
    let mut table = Table::new("Mixed load: outcomes", &columns);
    for ((name, ..), records) in SERVICES.iter().zip(loads) {
        let report = Report::of(records);
        table.row([
            (*name).into(),
            report.sent.into(),
            report.answered.into(),
            report.refused.into(),
            report.unknown.into(),
            report.unexplained.into(),
            millis(report.latency.p50_us).into(),
            millis(report.latency.p99_us).into(),
            millis(report.latency.p999_us).into(),
        ]);
        for (reason, count) in &report.reasons {
            table.note(format!("{name}: {reason}: {count}"));
        }
    }
    table
}

/// Each entry's own account, and whether all of them add up.
async fn accounts(fleet: &mut Fleet) -> Result<(Table, bool), Error> {
    let columns = [
        "entry",
        "accepted",
        "answered",
        "refused",
        "unknown",
        "given up",
        "in flight",
        "adds up",
        "forwarded",
        "CPU time (s)",
    ];
    let mut table = Table::new("Mixed load: accounts of the entries", &columns);
    let mut balanced = true;
    for control in fleet.control_addresses() {
        let Status { vm, totals, .. } = status(control).await?;
        let ended = totals.answered + totals.refused + totals.unknown + totals.abandoned;
        let adds_up = totals.accepted == ended + totals.in_flight && totals.in_flight == 0;
        balanced &= adds_up;
        let forwarded = Scrape::of(control).await?.sum("jackdawpin_forwards_total", "");
        let usage = Usage::of(fleet.process_id(&vm)?)?;
        table.row([
            vm.into(),
            totals.accepted.into(),
            totals.answered.into(),
            totals.refused.into(),
            totals.unknown.into(),
            totals.abandoned.into(),
            totals.in_flight.into(),
            adds_up.into(),
            (forwarded as u64).into(),
            usage.cpu.as_secs_f64().into(),
        ]);
    }
    table.note("The accounts include the requests that made the servers warm. CPU time since the start, in steps of 10 ms; \
         forwarded attempts also cost CPU time on the entry that takes them.");
    Ok((table, balanced))
}

async fn status(control: SocketAddr) -> Result<Status, Error> {
    let whole = fetch(control, "GET", STATUS, "", LIMIT).await?;
    decode(&whole.body).map_err(|err| Error::Decode("a status", err.to_string()))
}

fn findings(audit: &Audit) -> Table {
    let columns = [
        "doubled",
        "lost",
        "false refusals",
        "unsure and ran",
        "unsure and did not run",
        "idempotent and repeated",
    ];
    let mut table =
        Table::new("Mixed load: callers' records against the servers' ledgers", &columns);
    table.row([
        audit.doubled.into(),
        audit.lost.into(),
        audit.false_refusals.into(),
        audit.unsure_ran.into(),
        audit.unsure_not_run.into(),
        audit.repeated.into(),
    ]);
    for named in &audit.named {
        table.note(named.clone());
    }
    table
}
