//! Outcomes under faults (invariants I4, I5 and I6): answers that are cut or belong to others,
//! servers and entries that are killed, paused or fail, all under mixed load.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use rstest::rstest;
use tokio::time::sleep;

use jackdawpin_testkit::caller::Class;
use jackdawpin_testkit::fleet::Fleet;

/// How long callers send before the first fault, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long faults are injected.
const FAULTS: Duration = Duration::from_secs(6);
/// How long all answers are damaged: longer than the load and the time of its last request (2 s).
const DAMAGE: Duration = Duration::from_secs(5);
const ENTRIES: usize = 3;
const SERVERS: usize = 6;

async fn fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", SERVERS, &["--padding=2000"])];
    common::start_fleet(common::layout(3, ENTRIES, services)).await
}

/// A server misbehaves for a while.
async fn server_fault(fleet: &mut Fleet, rng: &mut Rng) -> String {
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
            fleet.pause(&server).await.unwrap();
            sleep(Duration::from_millis(time)).await;
            fleet.resume(&server).unwrap();
        }
        _ => {
            let command = format!("/test/{fault}?ms={time}");
            // A server that is silent or starts may not answer; the next fault comes anyway.
            let _ = fleet.command(&server, &command).await;
        }
    }
    format!("{fault} {server} {time} ms")
}

/// Guards against answers that are cut or belong to another request and reach a caller, against
/// refusals of requests that ran, and against non-idempotent requests that run twice, while servers
/// fail in all ways.
#[rstest]
#[case(31)]
#[case(32)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_servers(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet().await;
    let load = common::start_load(&fleet, "alerts", 300.0, WARM_UP + FAULTS).await;
    sleep(WARM_UP).await;
    let end = Instant::now() + FAULTS - Duration::from_secs(1);
    let mut faults = Vec::new();
    while Instant::now() < end {
        faults.push(server_fault(&mut fleet, &mut rng).await);
        sleep(Duration::from_millis(rng.u64(0..200))).await;
    }
    let records = load.finish().await;
    println!("seed {seed}: {faults:?}");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert_eq!(report.unexplained, 0, "seed {seed}: {report}");
    assert!(report.answered > 0, "seed {seed}: {report}");
}

/// Guards against an answer that is cut or carries another request's id and reaches a caller, with
/// all servers at fault, so that each request meets one.
#[rstest]
#[case::cut("cut")]
#[case::wrong_id("wrong-id")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_foreign_or_cut_answer(#[case] fault: &str) {
    let fleet = fleet().await;
    let warm = common::start_load(&fleet, "alerts", 200.0, WARM_UP).await.finish().await;
    for number in 1..=SERVERS {
        let command = format!("/test/{fault}?ms={}", DAMAGE.as_millis());
        fleet.command(&format!("alerts-{number}"), &command).await.unwrap();
    }
    let time = Duration::from_millis(1_500);
    let records = common::start_load(&fleet, "alerts", 100.0, time).await.finish().await;
    let all: Vec<_> = warm.iter().chain(&records).cloned().collect();
    let report = common::check_accounting(&fleet, &all, &["e1", "e2", "e3"]).await;
    let answered = records.iter().filter(|record| record.class == Class::Answered).count();
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(report.unknown > 0, "no request met a damaged answer: {report}");
    assert_eq!(answered, 0, "answers reached callers although each one was damaged");
}

/// Guards against requests that run twice, are refused although they ran, or vanish, when entries
/// are killed or paused with non-idempotent requests in flight and in their queues.
#[rstest]
#[case(41)]
#[case(42)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_entries(#[case] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = fleet().await;
    let load = common::start_load(&fleet, "alerts", 600.0, WARM_UP + FAULTS).await;
    sleep(WARM_UP).await;
    let end = Instant::now() + FAULTS - Duration::from_secs(2);
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
            fleet.pause(&entry).await.unwrap();
            sleep(time).await;
            fleet.resume(&entry).unwrap();
        }
        faults.push(format!("{} {entry} {time:?}", if kill { "kill" } else { "pause" }));
    }
    let records = load.finish().await;
    println!("seed {seed}: {faults:?}");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    // Callers of an entry that is killed or paused see a broken connection or none in time.
    for reason in report.reasons.keys().filter(|reason| reason.starts_with("unexplained")) {
        let known = ["connection_broken", "no_answer", "connect_failed"];
        assert!(known.iter().any(|known| reason.ends_with(known)), "seed {seed}: {report}");
    }
    assert!(report.answered > 0, "seed {seed}: {report}");
}
