//! A failure domain taken out of service and brought back (invariant I3).

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;

/// Longest time from the operators' change until the last new work in the failure domain.
const OUT_LIMIT: Duration = Duration::from_secs(5);
/// The fence (5 s), and a heartbeat (1 s) that may have been sent just before the cut.
const FENCE_LIMIT: Duration = Duration::from_secs(6);
/// How long callers send before the first fault, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);

async fn fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 8, &[]), ("orders", 4, &[])];
    common::start_fleet(common::layout(4, 4, services)).await
}

fn take_out(fleet: &mut Fleet, domain: &str) -> Instant {
    fleet.documents.out = vec![(domain.to_owned(), "trial of an outage".to_owned())];
    fleet.documents.publish_config().unwrap();
    Instant::now()
}

fn bring_back(fleet: &mut Fleet) -> Instant {
    fleet.documents.out.clear();
    fleet.documents.publish_config().unwrap();
    Instant::now()
}

/// Guards against new work in a failure domain that operators took out, against requests that are
/// lost or refused while it leaves and returns, and against a domain that gets no work once it is
/// back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_leaves_and_returns() {
    let mut fleet = fleet().await;
    let inside = common::server_names(&fleet, |_, domain| domain == "d1");
    let time = Duration::from_secs(11);
    let alerts = common::start_load(&fleet, "alerts", 300.0, time).await;
    let orders = common::start_load(&fleet, "orders", 60.0, time).await;
    sleep(WARM_UP).await;
    let out = take_out(&mut fleet, "d1");
    let last = common::last_request_after(&fleet, &inside, out, OUT_LIMIT).await;
    let settled = common::requests_received(&fleet, &inside).await;
    let quiet = Duration::from_millis(500);
    sleep(quiet).await;
    let later = common::requests_received(&fleet, &inside).await;
    let back = bring_back(&mut fleet);
    let (began, sent) = (alerts.started, alerts.finish().await);
    let returned = common::requests_received(&fleet, &inside).await;
    let leaving = common::answered_fraction(&sent, out - began, back - began);
    let returning = common::answered_fraction(&sent, back - began, time);
    println!("last new work {last:?} after the change; answered {leaving:.4}, {returning:.4}");
    let records: Vec<_> = sent.into_iter().chain(orders.finish().await).collect();
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3", "e4"]).await;
    assert_eq!(later, settled, "new work more than {OUT_LIMIT:?} after the change");
    assert!(returned > later, "the domain got no work after its return");
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(leaving >= 0.99 && returning >= 0.99, "answered {leaving:.4}, {returning:.4}");
    assert_eq!(common::cold_overruns(&fleet), 0);
}

/// Guards against an entry that was paused while the change was made and sends requests that it
/// admitted before, or new ones, by its old intent when it goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_keeps_no_old_intent() {
    let mut fleet = fleet().await;
    let inside = common::server_names(&fleet, |_, domain| domain == "d1");
    // Entry e1 is in d1 and holds the servers there, so the work there is its own.
    let alerts = common::start_load(&fleet, "alerts", 300.0, Duration::from_secs(11)).await;
    sleep(WARM_UP).await;
    fleet.pause("e1").await.unwrap();
    take_out(&mut fleet, "d1");
    // Longer than the fence, so that what e1 knows is too old when it goes on.
    sleep(FENCE_LIMIT).await;
    let before = common::requests_received(&fleet, &inside).await;
    fleet.resume("e1").unwrap();
    let records = alerts.finish().await;
    let after = common::requests_received(&fleet, &inside).await;
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3", "e4"]).await;
    assert_eq!(after, before, "the resumed entry sent new work into the domain");
}

/// Guards against an entry that can reach neither the platform nor its peers and goes on sending by
/// an intent that may have changed, and against one that stays fenced once it hears again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_entry_is_fenced() {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 4, &["--warm"])];
    let mut fleet = common::start_fleet(common::layout(2, 3, services)).await;
    let all = common::server_names(&fleet, |_, _| true);
    let time = Duration::from_secs(11);
    let alerts = common::start_load(&fleet, "alerts", 200.0, time).await;
    sleep(WARM_UP).await;
    fleet.command("platform", "/test/down?how=close").await.unwrap();
    for peer in ["e2", "e3"] {
        fleet.pause(peer).await.unwrap();
    }
    let cut = Instant::now();
    let last = common::last_request_after(&fleet, &all, cut, FENCE_LIMIT).await;
    let before = common::requests_received(&fleet, &all).await;
    sleep(Duration::from_millis(500)).await;
    let after = common::requests_received(&fleet, &all).await;
    let fenced = common::status(&fleet, "e1").await.unwrap().fenced;
    for peer in ["e2", "e3"] {
        fleet.resume(peer).unwrap();
    }
    let records = alerts.finish().await;
    println!("last new work {last:?} after the cut");
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert!(!last.is_zero(), "no work after the cut, so the fence had nothing to stop");
    assert!(fenced, "the isolated entry does not say that it is fenced");
    assert_eq!(after, before, "new work more than {FENCE_LIMIT:?} after the cut");
    assert!(!common::status(&fleet, "e1").await.unwrap().fenced, "the fence stays");
}
