//! Support for the tests that run a fleet of processes: load, the audit of its outcomes, and
//! samples of the servers' request counts.
//!
//! Each test starts its own fleet, sends load with [`start_load`], injects faults, and ends with
//! [`check_accounting`], which compares the outcomes that callers received with the journals of the
//! servers and checks the accounting identity on each running entry.

#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Arrivals;
use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Class;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Record;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Service;
use jackdawpin_testkit::fleet::VmRole;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::server::Counts;
use jackdawpin_wire::Status;
use jackdawpin_wire::Totals;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::STATUS;

/// Time within which a fleet must become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the test's own requests to entries and servers.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two samples of counts or of an entry's status.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which requests in flight must end after the load has ended.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(5);

/// The layout of a fleet whose entries and servers are spread over `domains` failure domains. Each
/// service has a name, a number of servers and the flags of these servers.
pub fn layout(domains: usize, entries: usize, services: &[(&str, usize, &[&str])]) -> Layout {
    let service = |(name, servers, flags): &(&str, usize, &[&str])| Service {
        name: (*name).to_owned(),
        server_count: *servers,
        server_flags: flags.iter().map(|flag| (*flag).to_owned()).collect(),
    };
    let services = services.iter().map(service).collect();
    Layout { domain_count: domains, entry_count: entries, services, ..Layout::default() }
}

/// Starts a fleet and waits until its entries are ready.
pub async fn start_fleet(layout: Layout) -> Fleet {
    let mut fleet = Fleet::start(layout).await.unwrap();
    fleet.start_entries(READY_TIMEOUT).await.unwrap();
    fleet
}

/// Sends open-loop load of `rate` requests per second to a service in the background for `time`;
/// every other request is idempotent.
pub async fn start_load(fleet: &Fleet, service: &str, rate: f64, time: Duration) -> Load {
    let options = Options { arrivals: Arrivals::Open(rate), duration: time, ..Options::default() };
    start_load_with(fleet, service, options).await
}

/// Sends load to a service in the background.
pub async fn start_load_with(fleet: &Fleet, service: &str, options: Options) -> Load {
    let target = Target::Entries { initial: fleet.entry_addresses(), service: service.to_owned() };
    let caller = Caller::new(options, &[target]).await.unwrap();
    let started = Instant::now();
    let cancel = CancellationToken::new();
    let task_cancel = cancel.clone();
    let task = tokio::spawn(async move { caller.run(&task_cancel).await });
    Load { started, cancel, task }
}

/// Load that is sent in the background.
pub struct Load {
    /// When the load began.
    pub started: Instant,
    cancel: CancellationToken,
    task: JoinHandle<Vec<Record>>,
}

impl Load {
    /// Waits until the load and each of its requests have ended.
    pub async fn finish(self) -> Vec<Record> {
        self.task.await.unwrap()
    }

    /// Stops the load and waits until each of its requests has ended.
    pub async fn stop(self) -> Vec<Record> {
        self.cancel.cancel();
        self.finish().await
    }
}

/// Checks the audit against the servers' journals, that the callers' report balances, and the
/// accounting identity of each entry in `running`.
pub async fn check_accounting(fleet: &Fleet, records: &[Record], running: &[&str]) -> Report {
    let report = Report::from_records(records);
    let audit = Audit::compare(records, &fleet.ledgers().unwrap());
    println!("{report}\n{audit}");
    assert!(report.balanced, "{report}");
    assert_eq!(report.wrong_answers, 0, "{report}");
    assert!(audit.is_clean(), "{audit}");
    for name in running {
        check_identity(fleet, name).await;
    }
    report
}

/// Checks the accounting identity of an entry, that each accepted request has an outcome or is in
/// flight, and waits until none is in flight.
async fn check_identity(fleet: &Fleet, name: &str) {
    let deadline = Instant::now() + IN_FLIGHT_TIMEOUT;
    loop {
        let status = status(fleet, name).await.unwrap_or_else(|| panic!("{name} is silent"));
        let service_totals = status.services.iter().map(|service| &service.totals);
        for totals in service_totals.chain([&status.totals]) {
            assert_eq!(totals.accepted, accounted_for(totals), "{name}: {totals:?}");
        }
        if status.totals.in_flight == 0 {
            return;
        }
        assert!(Instant::now() < deadline, "{name} keeps requests: {:?}", status.totals);
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Number of requests that have an outcome or are in flight.
fn accounted_for(totals: &Totals) -> u64 {
    let Totals { answered, refused, unknown, abandoned, in_flight, .. } = totals;
    answered + refused + unknown + abandoned + in_flight
}

/// The status of an entry; `None` if it does not answer.
pub async fn status(fleet: &Fleet, name: &str) -> Option<Status> {
    status_at(fleet.control_address(name).unwrap()).await
}

/// The status of the entry with this control address; `None` if it does not answer.
pub async fn status_at(control: SocketAddr) -> Option<Status> {
    let response = fetch(control, "GET", STATUS, "", FETCH_TIMEOUT).await.ok()?;
    decode(&response.body).ok()
}

/// Request counts of a server; `None` if it does not answer.
pub async fn server_counts(fleet: &Fleet, name: &str) -> Option<Counts> {
    let address = fleet.request_address(name).unwrap();
    let response = fetch(address, "GET", "/test/counts", "", FETCH_TIMEOUT).await.ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Number of requests that these servers have received so far, including those they shed.
pub async fn requests_received(fleet: &Fleet, names: &[String]) -> u64 {
    let mut sum = 0;
    for name in names {
        sum += server_counts(fleet, name).await.map_or(0, |counts| counts.received);
    }
    sum
}

/// Samples servers until `time` after `since` and returns how long after `since` the last request
/// arrived at one of them, rounded up to the next sample; zero if none arrived while sampling.
pub async fn last_request_after(
    fleet: &Fleet,
    names: &[String],
    since: Instant,
    time: Duration,
) -> Duration {
    let mut before = requests_received(fleet, names).await;
    let mut last = Duration::ZERO;
    while since.elapsed() < time {
        sleep(SAMPLE_INTERVAL).await;
        let now = requests_received(fleet, names).await;
        if now > before {
            last = since.elapsed();
        }
        before = now;
    }
    last
}

/// Names of the servers for which `matches`, given the name and the failure domain, is true.
pub fn server_names(fleet: &Fleet, matches: impl Fn(&str, &str) -> bool) -> Vec<String> {
    fleet.vm_names(|vm| matches!(vm.role, VmRole::Server { .. }) && matches(&vm.name, &vm.domain))
}

/// Number of times that a cold server had more than one request in flight, from the servers'
/// journals.
pub fn cold_overruns(fleet: &Fleet) -> u64 {
    fleet.ledgers().unwrap().iter().map(|ledger| ledger.counts.overrun).sum()
}

/// The report of the requests scheduled at or after a time of the load.
pub fn report_from(records: &[Record], from: Duration) -> Report {
    Report::from_records(records.iter().filter(|record| record.at >= from))
}

/// Fraction of the requests scheduled between two times of the load that were answered with a
/// status below 500.
pub fn answered_fraction(records: &[Record], from: Duration, to: Duration) -> f64 {
    let scheduled = records.iter().filter(|record| record.at >= from && record.at < to);
    let (mut total, mut good) = (0_u32, 0_u32);
    for record in scheduled {
        total += 1;
        good += u32::from(record.class == Class::Answered && record.status < 500);
    }
    f64::from(good) / f64::from(total.max(1))
}
