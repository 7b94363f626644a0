//! The cost of measuring servers (invariant I1): probes per server and minute against the policy.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tokio::time::sleep_until;

use jackdawpin_testkit::fleet::CONTROL_PORT;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Loopback;
use jackdawpin_testkit::fleet::PORT;
use jackdawpin_testkit::fleet::Process;
use jackdawpin_testkit::fleet::Program;
use jackdawpin_testkit::fleet::Programs;
use jackdawpin_testkit::http::fetch;

/// Probes per server and minute that the policy allows: one a second.
const POLICY: &str = "probes_per_minute = 60";
/// Time for which probes are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// The counts are read this long before the end of the window, because reading them takes time.
const EARLY: Duration = Duration::from_millis(300);
/// Probes in that time that the policy allows, from all entries together.
const ALLOWED: u64 = 8;
/// Key of the VM list that only the second holder reads.
const OTHER_KEY: &str = "other/vms";

fn layout(entries: usize) -> jackdawpin_testkit::fleet::Layout {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 2, &["--warm"]), ("orders", 2, &[])];
    let mut layout = common::layout(2, entries, services);
    layout.defaults = POLICY.to_owned();
    layout
}

/// Probes that each server answered.
async fn probes(fleet: &Fleet) -> Vec<(String, u64)> {
    let mut all = Vec::new();
    for name in common::server_names(fleet, |_, _| true) {
        let count = common::server_counts(fleet, &name).await.unwrap().probes;
        all.push((name, count));
    }
    all
}

/// Probes per server within [`WINDOW`].
async fn within_window(fleet: &Fleet) -> Vec<(String, u64)> {
    let end = Instant::now() + WINDOW - EARLY;
    let before = probes(fleet).await;
    sleep_until(end.into()).await;
    let after = probes(fleet).await;
    difference(after, before)
}

fn difference(after: Vec<(String, u64)>, before: Vec<(String, u64)>) -> Vec<(String, u64)> {
    let spent = after.into_iter().zip(before);
    spent.map(|((name, after), (_, before))| (name, after - before)).collect()
}

/// Starts an entry whose VM list has no other entry, so that it holds each server as well.
async fn start_second_holder(fleet: &Fleet, own: &Loopback) -> Process {
    let (caller, control) = (own.port(PORT), own.port(CONTROL_PORT));
    let list = std::fs::read_to_string(fleet.documents.vms_file()).unwrap();
    let (first_caller, first) = (fleet.address("e1").unwrap(), fleet.control("e1").unwrap());
    let moved = |text: String, from: SocketAddr, to: SocketAddr| {
        text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
    };
    let list = moved(moved(list, first_caller, caller), first, control);
    let target = format!("/test/kv/{OTHER_KEY}");
    fetch(fleet.platform(), "PUT", &target, list, WINDOW).await.unwrap();
    let flags = [
        "--vm=e1".to_owned(),
        "--domain=d1".to_owned(),
        "--region=r1".to_owned(),
        format!("--listen={caller}"),
        format!("--control={control}"),
        format!("--platform=http://{}", fleet.platform()),
        format!("--vms-key={OTHER_KEY}"),
    ];
    let program = Programs::beside_own().unwrap().path(Program::Daemon).unwrap();
    Process::start("x1", &program, &flags, &fleet.folder().join("x1.log")).unwrap()
}

/// Guards against two entries that both hold a server, because their VM lists differ, and together
/// probe it more often than the policy allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_holders_share_the_budget() {
    let fleet = common::start_fleet(layout(1)).await;
    let own = Loopback::take().unwrap();
    let _second = start_second_holder(&fleet, &own).await;
    // Both budgets start empty and fill within two intervals of 2 s.
    sleep(Duration::from_secs(3)).await;
    let spent = within_window(&fleet).await;
    println!("probes in {WINDOW:?} with two holders: {spent:?}");
    for (name, count) in &spent {
        assert!(*count <= ALLOWED, "{name} got {count} probes");
        // One holder alone sends at most half of the probes.
        assert!(*count > ALLOWED / 2, "{name} got {count} probes, so it had one holder only");
    }
}

/// Guards against holders that are paused one after the other, each new one probing at once, and against probes for servers whose answers carry reports.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changing_holders_stay_within_the_budget() {
    let mut fleet = common::start_fleet(layout(3)).await;
    let load = common::start_load(&fleet, "alerts", 200.0, Duration::from_secs(10)).await;
    sleep(Duration::from_millis(1_500)).await;
    let start = probes(&fleet).await;
    let end = Instant::now() + WINDOW - EARLY;
    for entry in ["e2", "e3"] {
        fleet.pause(entry).await.unwrap();
        sleep(Duration::from_millis(3_200)).await;
        fleet.resume(entry).unwrap();
    }
    sleep_until(end.into()).await;
    let spent = difference(probes(&fleet).await, start);
    let records = load.finish().await;
    println!("probes in {WINDOW:?}, alerts busy: {spent:?}");
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    for (name, count) in &spent {
        assert!(*count <= ALLOWED, "{name} got {count} probes");
    }
}

/// Guards against probes for servers whose answers carry reports all the time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn busy_servers_are_not_probed() {
    let fleet = common::start_fleet(layout(2)).await;
    let load = common::start_load(&fleet, "alerts", 200.0, Duration::from_secs(12)).await;
    sleep(Duration::from_secs(3)).await;
    let spent = within_window(&fleet).await;
    let records = load.finish().await;
    println!("probes in {WINDOW:?}, alerts busy: {spent:?}");
    common::check_accounting(&fleet, &records, &["e1", "e2"]).await;
    for (name, count) in &spent {
        let allowed = if name.starts_with("alerts") { 0 } else { ALLOWED };
        assert!(*count <= allowed, "{name} got {count} probes");
    }
}
