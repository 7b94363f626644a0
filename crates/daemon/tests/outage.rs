//! A failure domain that operators take out of service gets no new work until they bring it back
//! (invariant I3).

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;

/// Longest time from the operators' change until the last new work in the failure domain.
const OUT_LIMIT: Duration = Duration::from_secs(5);
/// Longest time from the isolation of an entry until its last new work: the time after which it is
/// fenced (5 s), and the age of a heartbeat (1 s) that may have arrived just before the isolation.
const FENCE_LIMIT: Duration = Duration::from_secs(6);
/// How long load is sent before the first fault, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);

/// Starts the fleet.
async fn start_fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 8, &[]), ("orders", 4, &[])];
    common::start_fleet(common::layout(4, 4, services)).await
}

/// Takes a failure domain out of service. Returns when the change was published.
fn take_out(fleet: &mut Fleet, domain: &str) -> Instant {
    fleet.documents.out_domains = vec![(domain.to_owned(), "trial of an outage".to_owned())];
    fleet.documents.publish_config().unwrap();
    Instant::now()
}

/// Brings all failure domains back into service. Returns when the change was published.
fn bring_back(fleet: &mut Fleet) -> Instant {
    fleet.documents.out_domains.clear();
    fleet.documents.publish_config().unwrap();
    Instant::now()
}

/// Guards against new work in a failure domain that operators took out of service, against requests
/// that are lost or refused while it leaves and returns, and against a domain that gets no work
/// after its return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_leaves_and_returns() {
    let mut fleet = start_fleet().await;
    let domain_servers = common::server_names(&fleet, |_, domain| domain == "d1");
    let time = Duration::from_secs(11);
    let alerts = common::start_load(&fleet, "alerts", 300.0, time).await;
    let orders = common::start_load(&fleet, "orders", 60.0, time).await;
    sleep(WARM_UP).await;
    let taken_out = take_out(&mut fleet, "d1");
    let last_work = common::last_request_after(&fleet, &domain_servers, taken_out, OUT_LIMIT).await;
    let received_at_limit = common::requests_received(&fleet, &domain_servers).await;
    let observation_time = Duration::from_millis(500);
    sleep(observation_time).await;
    let received_later = common::requests_received(&fleet, &domain_servers).await;
    let brought_back = bring_back(&mut fleet);
    let (load_started, alerts_records) = (alerts.started, alerts.finish().await);
    let received_at_end = common::requests_received(&fleet, &domain_servers).await;
    let answered_while_out = common::answered_fraction(
        &alerts_records,
        taken_out - load_started,
        brought_back - load_started,
    );
    let answered_after =
        common::answered_fraction(&alerts_records, brought_back - load_started, time);
    println!(
        "last new work {last_work:?} after the change; \
         answered {answered_while_out:.4}, {answered_after:.4}"
    );
    let records: Vec<_> = alerts_records.into_iter().chain(orders.finish().await).collect();
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3", "e4"]).await;
    assert_eq!(
        received_later, received_at_limit,
        "new work more than {OUT_LIMIT:?} after the change"
    );
    assert!(received_at_end > received_later, "the domain got no work after its return");
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(
        answered_while_out >= 0.99 && answered_after >= 0.99,
        "answered {answered_while_out:.4}, {answered_after:.4}"
    );
    assert_eq!(common::cold_overruns(&fleet), 0);
}

/// Guards against an entry that was paused during the change and, when it resumes, sends requests
/// under its old intent, whether it admitted them before the pause or after.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_entry_does_not_use_old_intent() {
    let mut fleet = start_fleet().await;
    let domain_servers = common::server_names(&fleet, |_, domain| domain == "d1");
    // Entry e1 is in d1 and holds the servers of d1, so it dispatches all requests to them.
    let alerts = common::start_load(&fleet, "alerts", 300.0, Duration::from_secs(11)).await;
    sleep(WARM_UP).await;
    fleet.suspend("e1").await.unwrap();
    take_out(&mut fleet, "d1");
    // Longer than the 5 s after which e1 is fenced, so that its intent is too old when it resumes.
    sleep(FENCE_LIMIT).await;
    let before = common::requests_received(&fleet, &domain_servers).await;
    fleet.resume("e1").unwrap();
    let records = alerts.finish().await;
    let after = common::requests_received(&fleet, &domain_servers).await;
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3", "e4"]).await;
    assert_eq!(after, before, "the resumed entry sent new work into the domain");
}

/// Guards against an entry that can reach neither the platform nor its peers and continues to send
/// under an intent that may have changed, and against an entry that stays fenced after it has
/// reached them again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_entry_is_fenced() {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 4, &["--warm"])];
    let mut fleet = common::start_fleet(common::layout(2, 3, services)).await;
    let all_servers = common::server_names(&fleet, |_, _| true);
    let time = Duration::from_secs(11);
    let alerts = common::start_load(&fleet, "alerts", 200.0, time).await;
    sleep(WARM_UP).await;
    fleet.post_control("platform", "/test/down?how=close").await.unwrap();
    for peer in ["e2", "e3"] {
        fleet.suspend(peer).await.unwrap();
    }
    let isolated = Instant::now();
    let last_work = common::last_request_after(&fleet, &all_servers, isolated, FENCE_LIMIT).await;
    let before = common::requests_received(&fleet, &all_servers).await;
    sleep(Duration::from_millis(500)).await;
    let after = common::requests_received(&fleet, &all_servers).await;
    let is_fenced = common::status(&fleet, "e1").await.unwrap().fenced;
    for peer in ["e2", "e3"] {
        fleet.resume(peer).unwrap();
    }
    let records = alerts.finish().await;
    println!("last new work {last_work:?} after the isolation");
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert!(!last_work.is_zero(), "no work after the isolation, so the fence had nothing to stop");
    assert!(is_fenced, "the isolated entry does not report that it is fenced");
    assert_eq!(after, before, "new work more than {FENCE_LIMIT:?} after the isolation");
    assert!(!common::status(&fleet, "e1").await.unwrap().fenced, "the entry stays fenced");
}
