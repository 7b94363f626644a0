//! The number of probes per server and minute stays within the policy (invariant I1).

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tokio::time::sleep_until;

use jackdawpin_testkit::fleet::CONTROL_PORT;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::LoopbackAddress;
use jackdawpin_testkit::fleet::Process;
use jackdawpin_testkit::fleet::Program;
use jackdawpin_testkit::fleet::Programs;
use jackdawpin_testkit::fleet::REQUEST_PORT;
use jackdawpin_testkit::http::fetch;

/// Defaults of the configuration that allow 60 probes per server and minute, one per second.
const PROBE_POLICY: &str = "probes_per_minute = 60";
/// Time during which probes are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// How long before the end of the window the counts are read, because reading them takes time.
const READ_LEAD: Duration = Duration::from_millis(300);
/// Number of probes per server in [`WINDOW`] that the policy allows from all entries together.
const MAX_PROBES: u64 = 8;
/// Key of the VM list that only the second holder reads.
const SECOND_VMS_KEY: &str = "other/vms";

/// The layout of a fleet with the probe policy and servers of two services.
fn layout(entries: usize) -> jackdawpin_testkit::fleet::Layout {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 2, &["--warm"]), ("orders", 2, &[])];
    let mut layout = common::layout(2, entries, services);
    layout.defaults_toml = PROBE_POLICY.to_owned();
    layout
}

/// Number of probes that each server has answered.
async fn probe_counts(fleet: &Fleet) -> Vec<(String, u64)> {
    let mut counts = Vec::new();
    for name in common::server_names(fleet, |_, _| true) {
        let count = common::server_counts(fleet, &name).await.unwrap().probes;
        counts.push((name, count));
    }
    counts
}

/// Number of probes that each server answers during [`WINDOW`].
async fn probes_in_window(fleet: &Fleet) -> Vec<(String, u64)> {
    let end = Instant::now() + WINDOW - READ_LEAD;
    let before = probe_counts(fleet).await;
    sleep_until(end.into()).await;
    let after = probe_counts(fleet).await;
    difference(after, before)
}

/// The differences between two samples of counts.
fn difference(after: Vec<(String, u64)>, before: Vec<(String, u64)>) -> Vec<(String, u64)> {
    let pairs = after.into_iter().zip(before);
    pairs.map(|((name, after), (_, before))| (name, after - before)).collect()
}

/// Starts a second entry with a VM list that has no other entry, so that it holds each server as
/// well.
async fn start_second_holder(fleet: &Fleet, loopback: &LoopbackAddress) -> Process {
    let (caller_address, control_address) =
        (loopback.with_port(REQUEST_PORT), loopback.with_port(CONTROL_PORT));
    let list = std::fs::read_to_string(fleet.documents.vm_list_path()).unwrap();
    let (first_caller_address, first_control_address) =
        (fleet.request_address("e1").unwrap(), fleet.control_address("e1").unwrap());
    let replace_address = |text: String, from: SocketAddr, to: SocketAddr| {
        text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
    };
    let list = replace_address(
        replace_address(list, first_caller_address, caller_address),
        first_control_address,
        control_address,
    );
    let target = format!("/test/kv/{SECOND_VMS_KEY}");
    fetch(fleet.platform_address(), "PUT", &target, list, WINDOW).await.unwrap();
    let flags = [
        "--vm=e1".to_owned(),
        "--domain=d1".to_owned(),
        "--region=r1".to_owned(),
        format!("--listen={caller_address}"),
        format!("--control={control_address}"),
        format!("--platform=http://{}", fleet.platform_address()),
        format!("--vms-key={SECOND_VMS_KEY}"),
    ];
    let program = Programs::beside_current_exe().unwrap().path(Program::Daemon).unwrap();
    Process::start("x1", &program, &flags, &fleet.folder().join("x1.log")).unwrap()
}

/// Guards against two entries that both hold a server, because their VM lists differ, and together
/// probe it more often than the policy allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_holders_share_the_budget() {
    let fleet = common::start_fleet(layout(1)).await;
    let loopback = LoopbackAddress::allocate().unwrap();
    let _second = start_second_holder(&fleet, &loopback).await;
    // The probe budgets of both holders start empty and fill within two intervals of 2 s.
    sleep(Duration::from_secs(3)).await;
    let probes = probes_in_window(&fleet).await;
    println!("probes in {WINDOW:?} with two holders: {probes:?}");
    for (name, count) in &probes {
        assert!(*count <= MAX_PROBES, "{name} got {count} probes");
        // One holder alone sends at most half of the probes.
        assert!(*count > MAX_PROBES / 2, "{name} got {count} probes, so it had only one holder");
    }
}

/// Guards against holders that are paused one after the other and together exceed the policy,
/// because each new holder probes at once, and against probes of servers whose answers carry load
/// reports.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changing_holders_stay_within_the_budget() {
    let mut fleet = common::start_fleet(layout(3)).await;
    let load = common::start_load(&fleet, "alerts", 200.0, Duration::from_secs(10)).await;
    sleep(Duration::from_millis(1_500)).await;
    let before = probe_counts(&fleet).await;
    let end = Instant::now() + WINDOW - READ_LEAD;
    for entry in ["e2", "e3"] {
        fleet.suspend(entry).await.unwrap();
        sleep(Duration::from_millis(3_200)).await;
        fleet.resume(entry).unwrap();
    }
    sleep_until(end.into()).await;
    let probes = difference(probe_counts(&fleet).await, before);
    let records = load.finish().await;
    println!("probes in {WINDOW:?}, alerts busy: {probes:?}");
    common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    for (name, count) in &probes {
        assert!(*count <= MAX_PROBES, "{name} got {count} probes");
    }
}

/// Guards against probes of servers whose answers carry load reports all the time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn busy_servers_are_not_probed() {
    let fleet = common::start_fleet(layout(2)).await;
    let load = common::start_load(&fleet, "alerts", 200.0, Duration::from_secs(12)).await;
    sleep(Duration::from_secs(3)).await;
    let probes = probes_in_window(&fleet).await;
    let records = load.finish().await;
    println!("probes in {WINDOW:?}, alerts busy: {probes:?}");
    common::check_accounting(&fleet, &records, &["e1", "e2"]).await;
    for (name, count) in &probes {
        let allowed = if name.starts_with("alerts") { 0 } else { MAX_PROBES };
        assert!(*count <= allowed, "{name} got {count} probes");
    }
}
