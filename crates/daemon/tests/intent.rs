//! The operators' intent (invariant I9): documents take effect everywhere within seconds and never
//! go back, whatever the platform does.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::platform::CONFIG_KEY;
use jackdawpin_wire::DocumentVersion;

/// Longest time until a change is in effect everywhere.
const EVERYWHERE: Duration = Duration::from_secs(10);
/// How often entries are asked which configuration is in force.
const SAMPLE: Duration = Duration::from_millis(50);
const ENTRIES: [&str; 3] = ["e1", "e2", "e3"];

/// The newest configuration seen per entry, and the check that it only moves forward.
#[derive(Default)]
struct Seen(BTreeMap<String, (u64, DocumentVersion)>);

impl Seen {
    /// Asks the entries that answer and returns the orders in force.
    async fn sample(&mut self, fleet: &Fleet, names: &[&str]) -> Vec<DocumentVersion> {
        let mut orders = Vec::new();
        for name in names {
            let Some(status) = common::status(fleet, name).await else { continue };
            let Some(order) = status.config else { continue };
            orders.push(order);
            let new = (status.incarnation, order);
            if let Some((incarnation, old)) = self.0.insert((*name).to_owned(), new)
                && incarnation == status.incarnation
            {
                let place = |order: DocumentVersion| (order.number, order.digest);
                assert!(place(order) >= place(old), "{name} went back from {old:?} to {order:?}");
            }
        }
        orders
    }

    /// Waits until all entries have the same configuration, with this revision.
    async fn agree(&mut self, fleet: &Fleet, names: &[&str], revision: u64) -> Duration {
        let start = Instant::now();
        loop {
            let orders = self.sample(fleet, names).await;
            let equal = orders.windows(2).all(|pair| pair[0] == pair[1]);
            let all = orders.len() == names.len();
            if all && equal && orders.iter().all(|order| order.number == revision) {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < EVERYWHERE,
                "revision {revision} is not in force: {orders:?}"
            );
            sleep(SAMPLE).await;
        }
    }

    /// Watches the entries for a while.
    async fn watch(&mut self, fleet: &Fleet, names: &[&str], time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.sample(fleet, names).await;
            sleep(SAMPLE).await;
        }
    }
}

async fn fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 4, &["--warm"])];
    common::start_fleet(common::layout(2, 3, services)).await
}

/// Puts a configuration straight into the platform, without the file.
async fn put(fleet: &Fleet, text: &str) {
    let target = format!("/test/kv/{CONFIG_KEY}");
    let limit = Duration::from_secs(5);
    fetch(fleet.platform(), "PUT", &target, text.to_owned(), limit).await.unwrap();
}

/// Guards against a change that is missed because the platform started again with lower indexes,
/// and against an older configuration that comes back with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_starts_again() {
    let mut fleet = fleet().await;
    let mut seen = Seen::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    for _ in 0..3 {
        let revision = fleet.documents.publish_config().unwrap();
        seen.agree(&fleet, &ENTRIES, revision).await;
    }
    fleet.command("platform", "/test/reset").await.unwrap();
    let revision = fleet.documents.publish_config().unwrap();
    let reset = seen.agree(&fleet, &ENTRIES, revision).await;
    fleet.command("platform", "/test/down?how=error").await.unwrap();
    let revision = fleet.documents.publish_config().unwrap();
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(1)).await;
    fleet.command("platform", "/test/up").await.unwrap();
    let down = seen.agree(&fleet, &ENTRIES, revision).await;
    println!("in force everywhere {reset:?} after the reset, {down:?} after the outage");
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
}

/// Guards against an older configuration that a stale platform brings back, on entries that run and
/// on one that starts meanwhile and knows nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_platform() {
    let mut fleet = fleet().await;
    let mut seen = Seen::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    let old = fleet.documents.revision;
    fleet.documents.out = vec![("d2".to_owned(), "trial of an outage".to_owned())];
    let revision = fleet.documents.publish_config().unwrap();
    seen.agree(&fleet, &ENTRIES, revision).await;
    // Index 1 comes before both documents and index 3 before the second configuration.
    fleet.command("platform", "/test/stale?index=3").await.unwrap();
    fleet.kill("e3").unwrap();
    fleet.start_vm("e3").unwrap();
    fleet.ready("e3", EVERYWHERE).await.unwrap();
    let fresh = common::status(&fleet, "e3").await.unwrap().config.unwrap().number;
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(4)).await;
    seen.agree(&fleet, &ENTRIES, revision).await;
    println!("platform at revision {old}, in force {revision}, fresh entry ready with {fresh}");
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
    assert_eq!(fresh, revision, "the fresh entry became ready with an old configuration");
}

/// Guards against a fresh entry that needs the platform, and against entries that stop serving
/// while it is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_is_down() {
    let mut fleet = fleet().await;
    let mut seen = Seen::default();
    let revision = fleet.documents.publish_config().unwrap();
    seen.agree(&fleet, &ENTRIES, revision).await;
    fleet.command("platform", "/test/down?how=close").await.unwrap();
    fleet.kill("e3").unwrap();
    fleet.start_vm("e3").unwrap();
    fleet.ready("e3", EVERYWHERE).await.unwrap();
    seen.agree(&fleet, &ENTRIES, revision).await;
    // Longer than the fence together with the start above: a platform outage alone fences nobody.
    let time = Duration::from_secs(6);
    let load = common::start_load(&fleet, "alerts", 100.0, time).await;
    seen.watch(&fleet, &ENTRIES, time).await;
    let records = load.finish().await;
    common::check_accounting(&fleet, &records, &ENTRIES).await;
    let late = common::answered_fraction(&records, Duration::from_secs(4), time);
    assert!(late >= 0.99, "answered {late:.4} while the platform is down");
}

/// Guards against entries that disagree for ever about two documents of the same revision, or that
/// change back and forth between them, and against a document that is not valid and takes effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn competing_and_invalid_documents() {
    let mut fleet = fleet().await;
    let mut seen = Seen::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    let seed = 21;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut revision = fleet.documents.revision;
    for round in 0..3 {
        revision += 1;
        fleet.documents.revision = revision;
        let mut texts =
            ["first", "second"].map(|who| format!("{}\n# {who}\n", fleet.documents.config()));
        rng.shuffle(&mut texts);
        for text in &texts {
            put(&fleet, text).await;
            let pause = Duration::from_millis(rng.u64(0..300));
            seen.watch(&fleet, &ENTRIES, pause).await;
        }
        let took = seen.agree(&fleet, &ENTRIES, revision).await;
        println!("seed {seed}, round {round}: one document everywhere after {took:?}");
    }
    put(&fleet, &format!("revision = {}\n[defaults]\nslots = 0\n", revision + 1)).await;
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(1)).await;
    seen.agree(&fleet, &ENTRIES, revision).await;
    for name in ENTRIES {
        let refused =
            common::status(&fleet, name).await.unwrap().config_refused.unwrap_or_default();
        assert!(refused.contains("slots"), "{name} does not say what is wrong: {refused:?}");
    }
    fleet.documents.revision = revision + 1;
    let next = fleet.documents.publish_config().unwrap();
    seen.agree(&fleet, &ENTRIES, next).await;
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
}
