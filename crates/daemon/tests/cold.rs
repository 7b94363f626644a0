//! Cold servers (invariant I2): they start, restart and turn cold while their holders are paused,
//! killed and started again.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::http::fetch;

/// Entries: with five witnesses the quorums of lists that differ in two of them still intersect.
const ENTRIES: usize = 5;
const SERVERS: usize = 4;
/// Servers that stay cold for long, so that faults meet cold ones.
const SLOW_TO_WARM: &[&str] = &["--warm-requests=400", "--warm-ms=60000"];
/// Longer than the time after which peers miss an entry's heartbeats (3 s), and than a lease and its
/// margin (2.5 s), so that another entry holds the server when the paused one goes on.
const PAUSES_MS: std::ops::Range<u64> = 3_200..4_200;
/// Longest wait for an answer to a request without a record.
const ANSWER: Duration = Duration::from_secs(3);
/// Longer than the time after which peers miss an entry's heartbeats (3 s).
const DOWN: Duration = Duration::from_millis(3_200);

/// The entry that says that it holds a server; the first one if none does.
async fn holder(fleet: &Fleet, server: &str) -> String {
    for number in 1..=ENTRIES {
        let name = format!("e{number}");
        let Some(status) = common::status(fleet, &name).await else { continue };
        let mut held = status.services.iter().flat_map(|service| &service.servers);
        if held.any(|held| held.vm == server) {
            return name;
        }
    }
    "e1".to_owned()
}

async fn restart(fleet: &mut Fleet, name: &str, pause: Duration) {
    fleet.kill(name).unwrap();
    sleep(pause).await;
    fleet.start_vm(name).unwrap();
}

/// A server starts again, and its holder fails meanwhile.
async fn step(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let server = format!("alerts-{}", rng.usize(1..=SERVERS));
    let entry = holder(fleet, &server).await;
    restart(fleet, &server, Duration::from_millis(rng.u64(100..400))).await;
    // The holder claims the new process after a moment, and fails in the middle of it.
    sleep(Duration::from_millis(rng.u64(0..400))).await;
    if rng.bool() {
        fleet.pause(&entry).await.unwrap();
        sleep(Duration::from_millis(rng.u64(PAUSES_MS))).await;
        fleet.resume(&entry).unwrap();
        format!("{server} restarted, {entry} paused")
    } else {
        restart(fleet, &entry, DOWN).await;
        format!("{server} restarted, {entry} restarted")
    }
}

/// Guards against a second request on a cold server because its holder was paused or killed, lost
/// its lease, or did not notice that the server started again.
#[rstest::rstest]
#[case(11)]
#[case(12)]
#[case(13)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holders_fail_while_servers_are_cold(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let layout = common::layout(2, ENTRIES, &[("alerts", SERVERS, SLOW_TO_WARM)]);
    let mut fleet = common::start_fleet(layout).await;
    // More than cold servers can take, so that requests wait for each free place.
    let load = common::start_load(&fleet, "alerts", 900.0, Duration::from_secs(11)).await;
    sleep(Duration::from_millis(2_500)).await;
    let end = Instant::now() + Duration::from_secs(4);
    let mut steps = Vec::new();
    while Instant::now() < end {
        steps.push(step(&mut fleet, &mut rng).await);
    }
    let records = load.finish().await;
    let running = ["e1", "e2", "e3", "e4", "e5"];
    let report = common::check_accounting(&fleet, &records, &running).await;
    assert!(report.answered > 0, "{report}");
    assert_eq!(common::cold_overruns(&fleet), 0, "seed {seed}: {steps:?}");
}

/// Guards against requests that go on arriving in number at a server that turned cold without a
/// word: its limit falls to one at the first abnormal answer, so it falls over at most once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turning_cold_without_warning() {
    let flags: &[&str] = &["--warm-requests=50", "--work-us=20000", "--fixed"];
    let layout = common::layout(2, 3, &[("alerts", SERVERS, flags)]);
    let fleet = common::start_fleet(layout).await;
    let warm_up = Duration::from_secs(4);
    let mut records = common::start_load(&fleet, "alerts", 150.0, warm_up).await.finish().await;
    let before = common::cold_overruns(&fleet);
    // Less than the limits allow: at the limit the next request waits for an answer, which says that
    // the server is cold, and nothing meets it unprepared.
    let load = common::start_load(&fleet, "alerts", 250.0, Duration::from_secs(6)).await;
    for number in 1..=SERVERS {
        sleep(Duration::from_millis(1_200)).await;
        fleet.command(&format!("alerts-{number}"), "/test/cold").await.unwrap();
    }
    records.extend(load.finish().await);
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    let after = common::cold_overruns(&fleet);
    println!("{after} falls for {SERVERS} servers that turned cold");
    assert_eq!(before, 0, "servers fell over before they turned cold");
    assert!(after <= SERVERS as u64, "{after} falls");
}

/// Guards against a holder that goes on after a pause and sends to a cold server by a claim that
/// ended meanwhile, while another entry holds the server and keeps it busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_holder_sends_nothing() {
    let flags: &[&str] = &["--warm-requests=100000", "--warm-ms=60000", "--fixed"];
    let mut fleet =
        common::start_fleet(common::layout(2, ENTRIES, &[("alerts", SERVERS, flags)])).await;
    // Entries that have just started make no promises.
    sleep(Duration::from_millis(2_700)).await;
    let paused = holder(&fleet, "alerts-1").await;
    fleet.pause(&paused).await.unwrap();
    // Peers miss the heartbeats after 3 s; the pause stays below the fence (5 s), which would refuse
    // the requests whatever the claims say.
    sleep(Duration::from_millis(2_500)).await;
    let load = common::start_load(&fleet, "alerts", 1_200.0, Duration::from_secs(3)).await;
    sleep(Duration::from_millis(1_450)).await;
    // These wait in the paused entry's socket. They have no record, so the audit leaves them out.
    let address = fleet.address(&paused).unwrap();
    let waiting: Vec<_> = (0..40)
        .map(|_| tokio::spawn(fetch(address, "GET", "/v1/call/alerts/task", "", ANSWER)))
        .collect();
    sleep(Duration::from_millis(50)).await;
    let before =
        common::requests_received(&fleet, &common::server_names(&fleet, |_, _| true)).await;
    fleet.resume(&paused).unwrap();
    for request in waiting {
        let _ = request.await.unwrap();
    }
    let records = load.finish().await;
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3", "e4", "e5"]).await;
    assert!(before > 0, "no other entry took over while {paused} was paused");
    assert_eq!(
        common::cold_overruns(&fleet),
        0,
        "{paused} sent to a server that another entry holds"
    );
}
