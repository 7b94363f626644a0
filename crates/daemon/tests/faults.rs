//! Outcomes of requests under faults: no damaged answer reaches a caller, no refused request ran,
//! and no non-idempotent request runs twice (invariants I4, I5 and I6), while answers are truncated
//! or belong to other requests, and servers and entries are killed, paused or fail, under mixed
//! load.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use rstest::rstest;
use tokio::time::sleep;

use jackdawpin_testkit::caller::Class;
use jackdawpin_testkit::fleet::Fleet;

/// How long load is sent before the first fault, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// How long all answers are damaged: longer than the load and its last request (2 s).
const DAMAGE_TIME: Duration = Duration::from_secs(5);
/// Number of entries.
const ENTRIES: usize = 3;
/// Number of servers.
const SERVERS: usize = 6;

/// Starts the fleet.
async fn start_fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", SERVERS, &["--padding=2000"])];
    common::start_fleet(common::layout(3, ENTRIES, services)).await
}

/// Injects a random fault into a random server. Returns what was done.
async fn inject_server_fault(fleet: &mut Fleet, rng: &mut Rng) -> String {
    let server = format!("alerts-{}", rng.usize(1..=SERVERS));
    let faults = ["cut", "wrong-id", "fail", "silent", "slow", "cold", "kill", "pause"];
    let fault = faults[rng.usize(..faults.len())];
    let time = rng.u64(100..600);
    match fault {
        "kill" => {
            fleet.kill(&server).unwrap();
            sleep(Duration::from_millis(time)).await;
            fleet.start_vm(&server).unwrap();
        }
        "pause" => {
            fleet.suspend(&server).await.unwrap();
            sleep(Duration::from_millis(time)).await;
            fleet.resume(&server).unwrap();
        }
        _ => {
            let command = format!("/test/{fault}?ms={time}");
            // A server that is silent or starting may not answer; the test continues with the
            // next fault.
            let _ = fleet.post_control(&server, &command).await;
        }
    }
    format!("{fault} {server} {time} ms")
}

/// Guards against damaged answers that reach a caller, against refusals of requests that ran, and
/// against non-idempotent requests that run twice, while servers have all kinds of faults.
#[rstest]
#[case(31)]
#[case(32)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_servers(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = start_fleet().await;
    let load = common::start_load(&fleet, "alerts", 300.0, WARM_UP + FAULT_TIME).await;
    sleep(WARM_UP).await;
    let end = Instant::now() + FAULT_TIME - Duration::from_secs(1);
    let mut faults = Vec::new();
    while Instant::now() < end {
        faults.push(inject_server_fault(&mut fleet, &mut rng).await);
        sleep(Duration::from_millis(rng.u64(0..200))).await;
    }
    let records = load.finish().await;
    println!("seed {seed}: {faults:?}");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert_eq!(report.unexplained, 0, "seed {seed}: {report}");
    assert!(report.answered > 0, "seed {seed}: {report}");
}

/// Guards against an answer that is truncated or has the id of another request and reaches a
/// caller. All servers have the fault, so that each request is affected.
#[rstest]
#[case::cut("cut")]
#[case::wrong_id("wrong-id")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn damaged_answers_reach_no_caller(#[case] fault: &str) {
    let fleet = start_fleet().await;
    let warm_up_records = common::start_load(&fleet, "alerts", 200.0, WARM_UP).await.finish().await;
    for number in 1..=SERVERS {
        let command = format!("/test/{fault}?ms={}", DAMAGE_TIME.as_millis());
        fleet.post_control(&format!("alerts-{number}"), &command).await.unwrap();
    }
    let time = Duration::from_millis(1_500);
    let records = common::start_load(&fleet, "alerts", 100.0, time).await.finish().await;
    let all: Vec<_> = warm_up_records.iter().chain(&records).cloned().collect();
    let report = common::check_accounting(&fleet, &all, &["e1", "e2", "e3"]).await;
    let answered = records.iter().filter(|record| record.class == Class::Answered).count();
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(report.unknown > 0, "no request got a damaged answer: {report}");
    assert_eq!(answered, 0, "answers reached callers although each one was damaged");
}

/// Guards against requests that run twice, are refused although they ran, or get no outcome, when
/// entries are killed or paused with non-idempotent requests in flight and in their queues.
#[rstest]
#[case(41)]
#[case(42)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_entries(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = start_fleet().await;
    let load = common::start_load(&fleet, "alerts", 600.0, WARM_UP + FAULT_TIME).await;
    sleep(WARM_UP).await;
    let end = Instant::now() + FAULT_TIME - Duration::from_secs(2);
    let mut faults = Vec::new();
    while Instant::now() < end {
        let entry = format!("e{}", rng.usize(1..=ENTRIES));
        let time = Duration::from_millis(rng.u64(300..1_500));
        let kill = rng.bool();
        if kill {
            fleet.kill(&entry).unwrap();
            sleep(time).await;
            fleet.start_vm(&entry).unwrap();
        } else {
            fleet.suspend(&entry).await.unwrap();
            sleep(time).await;
            fleet.resume(&entry).unwrap();
        }
        faults.push(format!("{} {entry} {time:?}", if kill { "kill" } else { "pause" }));
    }
    let records = load.finish().await;
    println!("seed {seed}: {faults:?}");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    // Callers of an entry that is killed or paused see a broken connection, or get no connection or
    // no answer in time.
    for reason in report.reasons.keys().filter(|reason| reason.starts_with("unexplained")) {
        let expected = ["connection_broken", "no_answer", "connect_failed"];
        assert!(
            expected.iter().any(|expected| reason.ends_with(expected)),
            "seed {seed}: {report}"
        );
    }
    assert!(report.answered > 0, "seed {seed}: {report}");
}
