//! Requests through separate processes: callers, entries, servers and the platform on loopback.

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

/// Time for a fleet to become ready.
const READY: Duration = Duration::from_secs(20);

fn layout() -> Layout {
    let service =
        |name: &str, servers| Service { name: name.to_owned(), servers, flags: Vec::new() };
    Layout {
        domains: 4,
        entries: 4,
        services: vec![service("alerts", 8), service("orders", 4)],
        ..Layout::default()
    }
}

async fn load(fleet: &Fleet, service: &str, options: Options) -> Vec<Record> {
    let target = Target::Entries { initial: fleet.entries(), service: service.to_owned() };
    let caller = Caller::new(options, &[target]).await.unwrap();
    caller.run(&CancellationToken::new()).await
}

/// Requests that the entries have accepted, by their metrics.
async fn accepted(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for address in fleet.controls() {
        let whole = fetch(address, "GET", "/metrics", "", READY).await.unwrap();
        let text = String::from_utf8(whole.body.to_vec()).unwrap();
        let values = text
            .lines()
            .filter(|line| line.starts_with("jackdawpin_requests_accepted_total{"))
            .filter_map(|line| line.rsplit(' ').next());
        sum += values.map(|value| value.parse::<u64>().unwrap()).sum::<u64>();
    }
    sum
}

fn options(rate: f64, seconds: u64, idempotent: f64) -> Options {
    Options {
        arrivals: Arrivals::Open(rate),
        duration: Duration::from_secs(seconds),
        idempotent_share: idempotent,
        ..Options::default()
    }
}

/// Guards against requests that are lost, doubled, refused although they ran, or answered with
/// another request's answer, on the whole path with all servers cold at the start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mixed_load_is_accounted_for() {
    let mut fleet = Fleet::start(layout()).await.unwrap();
    fleet.start_entries(READY).await.unwrap();
    // Entries that have just started promise no cold server to anybody for 2.5 s, so that the first
    // requests wait or are refused.
    let warm_up = (
        load(&fleet, "alerts", options(200.0, 5, 0.9)),
        load(&fleet, "orders", options(50.0, 5, 0.0)),
    );
    let (warm_alerts, warm_orders) = tokio::join!(warm_up.0, warm_up.1);
    let warm_up_report = Report::from_records(warm_alerts.iter().chain(&warm_orders));
    println!("warm-up: {warm_up_report}");
    let lookups = load(&fleet, "alerts", options(400.0, 4, 0.9));
    let orders = load(&fleet, "orders", options(100.0, 4, 0.0));
    let (lookups, orders) = tokio::join!(lookups, orders);
    let measured: Vec<Record> = lookups.into_iter().chain(orders).collect();
    let report = Report::from_records(&measured);
    let warm_up = warm_alerts.into_iter().chain(warm_orders);
    let records: Vec<Record> = measured.into_iter().chain(warm_up).collect();
    let ledgers = fetch_ledgers(&fleet.servers(None)).await.unwrap();
    let audit = Audit::compare(&records, &ledgers);
    println!("{report}\n{audit:?}");
    assert!(report.balanced && report.unexplained == 0, "{report}");
    assert!(audit.is_clean(), "{audit:?}");
    assert!(report.answered * 100 >= report.sent * 99, "{report}");
    assert_eq!(accepted(&fleet).await, report.sent + warm_up_report.sent, "the metrics differ");
    let overrun: u64 = ledgers.iter().map(|ledger| ledger.counts.overrun).sum();
    assert_eq!(overrun, 0, "a cold server got more than it can bear");
}
