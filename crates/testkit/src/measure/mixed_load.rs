use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use super::MetricsSnapshot;
use super::ProcessUsage;
use super::Table;
use super::setup;
use super::setup::to_millis;
use crate::caller::Arrivals;
use crate::caller::Audit;
use crate::caller::Class;
use crate::caller::Options;
use crate::caller::Record;
use crate::caller::Report;
use crate::fleet::Fleet;
use crate::http::fetch;
use jackdawpin_wire::Status;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::STATUS;

/// The services: name, number of servers, share of all requests, share of idempotent requests.
const SERVICES: [(&str, usize, f64, f64); 2] = [("lookup", 8, 0.8, 0.9), ("orders", 4, 0.2, 0.0)];
/// Mean time of work per request, exponentially distributed, in microseconds.
const MEAN_WORK_US: u64 = 3_000;
/// Time within which an entry must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest duration of the load.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(400);
/// Time after the last answer until the counters are read, so that they are complete.
const COUNTER_DELAY: Duration = Duration::from_millis(500);

/// Sends requests of two services through several entries and checks that the outcome of each is
/// accounted for.
#[derive(Debug, Clone)]
pub struct MixedLoad {
    /// Number of entries.
    pub entry_count: usize,
    /// Number of requests of both services together.
    pub total_requests: u64,
    /// Requests per second of both services together.
    pub total_rate: f64,
}

impl MixedLoad {
    /// Runs the load and the checks. The second value is true if all checks passed.
    ///
    /// # Errors
    ///
    /// The fleet does not start or exits early.
    pub async fn run(&self) -> Result<(Vec<Table>, bool), Error> {
        let flags = [format!("--work-us={MEAN_WORK_US}")];
        let services =
            SERVICES.iter().map(|(name, servers, ..)| setup::service(name, *servers, &flags));
        let mut fleet = setup::start(self.entry_count, services.collect(), "").await?;
        let mut warm_up_records = Vec::new();
        for (name, ..) in SERVICES {
            warm_up_records.extend(setup::warm_up(&fleet, name).await?);
        }
        let [first, second] = SERVICES.map(|service| self.run_service_load(&fleet, service));
        let (first, second) = tokio::join!(first, second);
        let loads = [first?, second?];
        tokio::time::sleep(COUNTER_DELAY).await;
        let outcome_table = outcome_table(&loads);
        let (account_table, balanced) = check_accounts(&mut fleet).await?;
        let all_records = loads.iter().flatten().chain(&warm_up_records);
        let audit = Audit::compare(all_records, &fleet.ledgers()?);
        let explained = loads.iter().flatten().all(|record| record.class != Class::Unexplained);
        let passed = balanced && audit.is_clean() && explained;
        Ok((vec![outcome_table, account_table, audit_table(&audit)], passed))
    }

    /// Runs the load of one service.
    async fn run_service_load(
        &self,
        fleet: &Fleet,
        (name, _, share, idempotent): (&str, usize, f64, f64),
    ) -> Result<Vec<Record>, Error> {
        let options = Options {
            arrivals: Arrivals::Open(self.total_rate * share),
            duration: MAX_LOAD_DURATION,
            max_requests: (self.total_requests as f64 * share).ceil() as u64,
            idempotent_share: idempotent,
            ..Options::default()
        };
        setup::run_load(options, &[setup::entries_target(fleet, name)]).await
    }
}

/// Tabulates the outcomes and latencies of each service.
fn outcome_table(loads: &[Vec<Record>; 2]) -> Table {
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
        let report = Report::from_records(records);
        table.add_row([
            (*name).into(),
            report.sent.into(),
            report.answered.into(),
            report.refused.into(),
            report.unknown.into(),
            report.unexplained.into(),
            to_millis(report.latency.p50_us).into(),
            to_millis(report.latency.p99_us).into(),
            to_millis(report.latency.p999_us).into(),
        ]);
        for (reason, count) in &report.reasons {
            table.add_note(format!("{name}: {reason}: {count}"));
        }
    }
    table
}

/// Tabulates the request counts that each entry reports. The second value is true if the counts of
/// every entry add up.
async fn check_accounts(fleet: &mut Fleet) -> Result<(Table, bool), Error> {
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
        let Status { vm, totals, .. } = fetch_status(control).await?;
        let ended = totals.answered + totals.refused + totals.unknown + totals.abandoned;
        let adds_up = totals.accepted == ended + totals.in_flight && totals.in_flight == 0;
        balanced &= adds_up;
        let forwarded = MetricsSnapshot::fetch(control).await?.sum("jackdawpin_forwards_total", "");
        let usage = ProcessUsage::read(fleet.process_id(&vm)?)?;
        table.add_row([
            vm.into(),
            totals.accepted.into(),
            totals.answered.into(),
            totals.refused.into(),
            totals.unknown.into(),
            totals.abandoned.into(),
            totals.in_flight.into(),
            adds_up.into(),
            (forwarded as u64).into(),
            usage.cpu_time.as_secs_f64().into(),
        ]);
    }
    table.add_note(
        "The accounts include the requests that made the servers warm. CPU time since the start, \
         in steps of 10 ms; forwarded attempts also cost CPU time on the entry that takes them.",
    );
    Ok((table, balanced))
}

async fn fetch_status(control: SocketAddr) -> Result<Status, Error> {
    let answer = fetch(control, "GET", STATUS, "", ANSWER_TIMEOUT).await?;
    decode(&answer.body).map_err(|err| Error::Decode("a status", err.to_string()))
}

/// Tabulates the comparison of the callers' records with the servers' ledgers.
fn audit_table(audit: &Audit) -> Table {
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
    table.add_row([
        audit.doubled.into(),
        audit.lost.into(),
        audit.false_refusals.into(),
        audit.unsure_ran.into(),
        audit.unsure_not_run.into(),
        audit.repeated.into(),
    ]);
    for finding in &audit.named {
        table.add_note(finding.clone());
    }
    table
}
