//! What the process tests of the invariants share: a fleet under load, its audit, and counts that
//! are sampled while faults are on.
//!
//! Each test starts its own fleet, sends mixed load with [`start_load`], injects faults by hand, and ends
//! with [`check_accounting`], which compares what callers were told with the journals of the servers and
//! checks the accounting identity on each entry that runs.

#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Class;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Pace;
use jackdawpin_testkit::caller::Record;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Role;
use jackdawpin_testkit::fleet::Service;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::server::Counts;
use jackdawpin_wire::Status;
use jackdawpin_wire::Totals;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::STATUS;

/// Time for a fleet to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for an answer to a question of the test itself.
const ASK: Duration = Duration::from_secs(2);
/// Time between two samples of the servers' counts.
const SAMPLE: Duration = Duration::from_millis(50);
/// Time for requests in flight to end after the load has.
const QUIET: Duration = Duration::from_secs(5);

/// A fleet's size: entries and servers are spread over `domains` failure domains.
pub fn layout(domains: usize, entries: usize, services: &[(&str, usize, &[&str])]) -> Layout {
    let service = |(name, servers, flags): &(&str, usize, &[&str])| Service {
        name: (*name).to_owned(),
        servers: *servers,
        flags: flags.iter().map(|flag| (*flag).to_owned()).collect(),
    };
    let services = services.iter().map(service).collect();
    Layout { domains, entries, services, ..Layout::default() }
}

/// Starts a fleet whose entries are ready.
pub async fn start_fleet(layout: Layout) -> Fleet {
    let mut fleet = Fleet::start(layout).await.unwrap();
    fleet.start_entries(READY_TIMEOUT).await.unwrap();
    fleet
}

/// Sends open-loop load to a service in the background; every other request is idempotent.
pub async fn start_load(fleet: &Fleet, service: &str, rate: f64, time: Duration) -> Load {
    let options = Options { pace: Pace::Open(rate), time, ..Options::default() };
    start_load_with(fleet, service, options).await
}

/// Sends load to a service in the background.
pub async fn start_load_with(fleet: &Fleet, service: &str, options: Options) -> Load {
    let target = Target::Entries { first: fleet.entries(), service: service.to_owned() };
    let caller = Caller::new(options, &[target]).await.unwrap();
    let started = Instant::now();
    let cancel = CancellationToken::new();
    let token = cancel.clone();
    let task = tokio::spawn(async move { caller.run(&token).await });
    Load { started, cancel, task }
}

/// Load that is being sent.
pub struct Load {
    /// When it began.
    pub started: Instant,
    cancel: CancellationToken,
    task: JoinHandle<Vec<Record>>,
}

impl Load {
    /// Waits for the end of the load and of each request.
    pub async fn finish(self) -> Vec<Record> {
        self.task.await.unwrap()
    }

    /// Sends nothing more and waits for the end of each request.
    pub async fn stop(self) -> Vec<Record> {
        self.cancel.cancel();
        self.finish().await
    }
}

/// Checks the audit, the callers' balance and the accounting identity of each entry in `running`.
pub async fn check_accounting(fleet: &Fleet, records: &[Record], running: &[&str]) -> Report {
    let report = Report::of(records);
    let audit = Audit::of(records, &fleet.ledgers().unwrap());
    println!("{report}\n{audit}");
    assert!(report.balanced, "{report}");
    assert_eq!(report.wrong_answers, 0, "{report}");
    assert!(audit.is_clean(), "{audit}");
    for name in running {
        identity(fleet, name).await;
    }
    report
}

/// Checks that an entry accounts for each admitted request and that none stays in flight.
async fn identity(fleet: &Fleet, name: &str) {
    let end = Instant::now() + QUIET;
    loop {
        let status = status(fleet, name).await.unwrap_or_else(|| panic!("{name} is silent"));
        let all = status.services.iter().map(|service| &service.totals);
        for totals in all.chain([&status.totals]) {
            assert_eq!(totals.accepted, explained(totals), "{name}: {totals:?}");
        }
        if status.totals.in_flight == 0 {
            return;
        }
        assert!(Instant::now() < end, "{name} keeps requests: {:?}", status.totals);
        sleep(SAMPLE).await;
    }
}

fn explained(totals: &Totals) -> u64 {
    let Totals { answered, refused, unknown, abandoned, in_flight, .. } = totals;
    answered + refused + unknown + abandoned + in_flight
}

/// What an entry says of itself; `None` if it does not answer.
pub async fn status(fleet: &Fleet, name: &str) -> Option<Status> {
    status_at(fleet.control(name).unwrap()).await
}

/// What the entry with this control address says of itself; `None` if it does not answer.
pub async fn status_at(control: SocketAddr) -> Option<Status> {
    let whole = fetch(control, "GET", STATUS, "", ASK).await.ok()?;
    decode(&whole.body).ok()
}

/// Counts of a server.
pub async fn server_counts(fleet: &Fleet, name: &str) -> Option<Counts> {
    let address = fleet.address(name).unwrap();
    let whole = fetch(address, "GET", "/test/counts", "", ASK).await.ok()?;
    serde_json::from_slice(&whole.body).ok()
}

/// Requests that these servers received so far, refused ones included.
pub async fn requests_received(fleet: &Fleet, names: &[String]) -> u64 {
    let mut sum = 0;
    for name in names {
        sum += server_counts(fleet, name).await.map_or(0, |counts| counts.received);
    }
    sum
}

/// Watches servers for `time` and returns how long after `since` the last request arrived at one of
/// them, rounded up to the next sample; zero if none did while it watched.
pub async fn last_request_after(
    fleet: &Fleet,
    names: &[String],
    since: Instant,
    time: Duration,
) -> Duration {
    let mut before = requests_received(fleet, names).await;
    let mut last = Duration::ZERO;
    while since.elapsed() < time {
        sleep(SAMPLE).await;
        let now = requests_received(fleet, names).await;
        if now > before {
            last = since.elapsed();
        }
        before = now;
    }
    last
}

/// Names of the servers that match.
pub fn server_names(fleet: &Fleet, matches: impl Fn(&str, &str) -> bool) -> Vec<String> {
    fleet.names(|vm| matches!(vm.role, Role::Server { .. }) && matches(&vm.name, &vm.domain))
}

/// Times that a cold server got more than one request at once, from the servers' journals.
pub fn cold_overruns(fleet: &Fleet) -> u64 {
    fleet.ledgers().unwrap().iter().map(|ledger| ledger.counts.overrun).sum()
}

/// The report of the requests meant to be sent from a time of the load on.
pub fn report_from(records: &[Record], from: Duration) -> Report {
    Report::of(records.iter().filter(|record| record.at >= from))
}

/// Share of the requests meant to be sent between two times of the load that were answered.
pub fn answered_fraction(records: &[Record], from: Duration, to: Duration) -> f64 {
    let sent = records.iter().filter(|record| record.at >= from && record.at < to);
    let (mut all, mut good) = (0_u32, 0_u32);
    for record in sent {
        all += 1;
        good += u32::from(record.class == Class::Answered && record.status < 500);
    }
    f64::from(good) / f64::from(all.max(1))
}
