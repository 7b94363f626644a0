//! A cold server has at most one request in flight (invariant I2), while servers start, restart and
//! turn cold, and their holders are paused, killed and restarted.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::http::fetch;

/// Number of entries. Each entry is a witness of claims; with five witnesses, the quorums of two VM
/// lists that differ in two entries still intersect.
const ENTRIES: usize = 5;
/// Number of servers.
const SERVERS: usize = 4;
/// Flags of servers that stay cold for long, so that faults occur while they are cold.
const SLOW_WARM_UP: &[&str] = &["--warm-requests=400", "--warm-ms=60000"];
/// How long a holder is paused, in ms: longer than the time after which peers miss an entry's
/// heartbeats (3 s), and than a lease and its margin (2.5 s), so that another entry holds the
/// server when the paused one resumes.
const PAUSE_MS: std::ops::Range<u64> = 3_200..4_200;
/// Timeout of a request that the audit does not include.
const UNRECORDED_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a killed entry stays down: longer than the time after which its peers miss its
/// heartbeats (3 s).
const DOWNTIME: Duration = Duration::from_millis(3_200);

/// The entry that reports that it holds a server; the first entry if none does.
async fn holder(fleet: &Fleet, server: &str) -> String {
    for number in 1..=ENTRIES {
        let name = format!("e{number}");
        let Some(status) = common::status(fleet, &name).await else { continue };
        let mut held_servers = status.services.iter().flat_map(|service| &service.servers);
        if held_servers.any(|held| held.vm == server) {
            return name;
        }
    }
    "e1".to_owned()
}

/// Kills a process and starts it again after `pause`.
async fn restart(fleet: &mut Fleet, name: &str, pause: Duration) {
    fleet.kill(name).unwrap();
    sleep(pause).await;
    fleet.start_vm(name).unwrap();
}

/// Restarts a server, and pauses or restarts its holder soon after. Returns what was done.
async fn fail_server_and_holder(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let server = format!("alerts-{}", rng.usize(1..=SERVERS));
    let holder = holder(fleet, &server).await;
    restart(fleet, &server, Duration::from_millis(rng.u64(100..400))).await;
    // The holder claims the new process after a moment, so it may fail during the claim.
    sleep(Duration::from_millis(rng.u64(0..400))).await;
    if rng.bool() {
        fleet.suspend(&holder).await.unwrap();
        sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
        fleet.resume(&holder).unwrap();
        format!("{server} restarted, {holder} paused")
    } else {
        restart(fleet, &holder, DOWNTIME).await;
        format!("{server} restarted, {holder} restarted")
    }
}

/// Guards against a second request in flight to a cold server because its holder was paused or
/// killed, lost its lease, or did not detect the restart of the server.
#[rstest::rstest]
#[case(11)]
#[case(12)]
#[case(13)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holders_fail_while_servers_are_cold(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let layout = common::layout(2, ENTRIES, &[("alerts", SERVERS, SLOW_WARM_UP)]);
    let mut fleet = common::start_fleet(layout).await;
    // More than cold servers can serve, so that requests wait for each free slot.
    let load = common::start_load(&fleet, "alerts", 900.0, Duration::from_secs(11)).await;
    sleep(Duration::from_millis(2_500)).await;
    let end = Instant::now() + Duration::from_secs(4);
    let mut faults = Vec::new();
    while Instant::now() < end {
        faults.push(fail_server_and_holder(&mut fleet, &mut rng).await);
    }
    let records = load.finish().await;
    let running = ["e1", "e2", "e3", "e4", "e5"];
    let report = common::check_accounting(&fleet, &records, &running).await;
    assert!(report.answered > 0, "{report}");
    assert_eq!(common::cold_overruns(&fleet), 0, "seed {seed}: {faults:?}");
}

/// Guards against several requests in flight to a server that turned cold without reporting it. Its
/// limit is set to one at the first abnormal answer, so it is overrun at most once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turning_cold_without_warning() {
    let flags: &[&str] = &["--warm-requests=50", "--work-us=20000", "--fixed"];
    let layout = common::layout(2, 3, &[("alerts", SERVERS, flags)]);
    let fleet = common::start_fleet(layout).await;
    let warm_up = Duration::from_secs(4);
    let mut records = common::start_load(&fleet, "alerts", 150.0, warm_up).await.finish().await;
    let before = common::cold_overruns(&fleet);
    // Less load than the limits allow. At the limit, the next request would wait for an answer,
    // which would report that the server is cold, and no request would meet a server that turned
    // cold unnoticed.
    let load = common::start_load(&fleet, "alerts", 250.0, Duration::from_secs(6)).await;
    for number in 1..=SERVERS {
        sleep(Duration::from_millis(1_200)).await;
        fleet.post_control(&format!("alerts-{number}"), "/test/cold").await.unwrap();
    }
    records.extend(load.finish().await);
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    let after = common::cold_overruns(&fleet);
    println!("{after} overruns of {SERVERS} servers that turned cold");
    assert_eq!(before, 0, "servers were overrun before they turned cold");
    assert!(after <= SERVERS as u64, "{after} overruns");
}

/// Guards against a holder that resumes after a pause and sends to a cold server under a claim that
/// expired meanwhile, while another entry holds the server and keeps it busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_holder_sends_nothing() {
    let flags: &[&str] = &["--warm-requests=100000", "--warm-ms=60000", "--fixed"];
    let mut fleet =
        common::start_fleet(common::layout(2, ENTRIES, &[("alerts", SERVERS, flags)])).await;
    // Entries promise no server to a claimant until 2.5 s after their start.
    sleep(Duration::from_millis(2_700)).await;
    let paused = holder(&fleet, "alerts-1").await;
    fleet.suspend(&paused).await.unwrap();
    // Peers miss the heartbeats after 3 s. The pause is shorter than 5 s, after which the entry
    // would be fenced and would refuse the requests regardless of its claims.
    sleep(Duration::from_millis(2_500)).await;
    let load = common::start_load(&fleet, "alerts", 1_200.0, Duration::from_secs(3)).await;
    sleep(Duration::from_millis(1_450)).await;
    // These requests wait in the socket of the paused entry. The audit does not include them.
    let address = fleet.request_address(&paused).unwrap();
    let waiting: Vec<_> = (0..40)
        .map(|_| {
            tokio::spawn(fetch(address, "GET", "/v1/call/alerts/task", "", UNRECORDED_TIMEOUT))
        })
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
