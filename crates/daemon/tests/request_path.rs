//! The whole request path with separate processes on loopback addresses: callers, entries, servers
//! and the platform.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Arrivals;
use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Record;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::caller::fetch_ledgers;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::Service;
use jackdawpin_testkit::http::fetch;

/// Time within which a fleet must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The layout of the fleet: two services in four failure domains.
fn layout() -> Layout {
    let service = |name: &str, servers| Service {
        name: name.to_owned(),
        server_count: servers,
        server_flags: Vec::new(),
    };
    Layout {
        domain_count: 4,
        entry_count: 4,
        services: vec![service("alerts", 8), service("orders", 4)],
        ..Layout::default()
    }
}

/// Sends load to a service and returns the records of its requests.
async fn send_load(fleet: &Fleet, service: &str, options: Options) -> Vec<Record> {
    let target = Target::Entries { initial: fleet.entry_addresses(), service: service.to_owned() };
    let caller = Caller::new(options, &[target]).await.unwrap();
    caller.run(&CancellationToken::new()).await
}

/// Number of requests that the entries have accepted, from their metrics.
async fn accepted_requests(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for address in fleet.control_addresses() {
        let response = fetch(address, "GET", "/metrics", "", READY_TIMEOUT).await.unwrap();
        let text = String::from_utf8(response.body.to_vec()).unwrap();
        let values = text
            .lines()
            .filter(|line| line.starts_with("jackdawpin_requests_accepted_total{"))
            .filter_map(|line| line.rsplit(' ').next());
        sum += values.map(|value| value.parse::<u64>().unwrap()).sum::<u64>();
    }
    sum
}

/// Open-loop load of `rate` requests per second, of which the fraction `idempotent` is idempotent.
fn options(rate: f64, seconds: u64, idempotent: f64) -> Options {
    Options {
        arrivals: Arrivals::Open(rate),
        duration: Duration::from_secs(seconds),
        idempotent_share: idempotent,
        ..Options::default()
    }
}

/// Guards against requests that are lost, run twice, are refused although they ran, or get the
/// answer of another request, on the whole path with all servers cold at the start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mixed_load_is_accounted_for() {
    let mut fleet = Fleet::start(layout()).await.unwrap();
    fleet.start_entries(READY_TIMEOUT).await.unwrap();
    // Entries promise no cold server to a claimant until 2.5 s after their start, so the first
    // requests wait or are refused.
    let warm_up = (
        send_load(&fleet, "alerts", options(200.0, 5, 0.9)),
        send_load(&fleet, "orders", options(50.0, 5, 0.0)),
    );
    let (warm_alerts, warm_orders) = tokio::join!(warm_up.0, warm_up.1);
    let warm_up_report = Report::from_records(warm_alerts.iter().chain(&warm_orders));
    println!("warm-up: {warm_up_report}");
    let alerts = send_load(&fleet, "alerts", options(400.0, 4, 0.9));
    let orders = send_load(&fleet, "orders", options(100.0, 4, 0.0));
    let (alerts, orders) = tokio::join!(alerts, orders);
    let measured: Vec<Record> = alerts.into_iter().chain(orders).collect();
    let report = Report::from_records(&measured);
    let warm_up = warm_alerts.into_iter().chain(warm_orders);
    let records: Vec<Record> = measured.into_iter().chain(warm_up).collect();
    let ledgers = fetch_ledgers(&fleet.server_addresses(None)).await.unwrap();
    let audit = Audit::compare(&records, &ledgers);
    println!("{report}\n{audit:?}");
    assert!(report.balanced && report.unexplained == 0, "{report}");
    assert!(audit.is_clean(), "{audit:?}");
    assert!(report.answered * 100 >= report.sent * 99, "{report}");
    assert_eq!(
        accepted_requests(&fleet).await,
        report.sent + warm_up_report.sent,
        "the metrics count other requests than the callers"
    );
    let overrun: u64 = ledgers.iter().map(|ledger| ledger.counts.overrun).sum();
    assert_eq!(overrun, 0, "a cold server had more than one request in flight");
}
