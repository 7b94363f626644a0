//! The operators' intent (invariant I9): documents take effect on all entries within seconds, and
//! no entry returns to an older one, whatever faults the platform has.

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

/// Longest time until a change is in force on all entries.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time between two samples of the configurations in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The entries of the fleet.
const ENTRIES: [&str; 3] = ["e1", "e2", "e3"];

/// The newest configuration seen on each entry, with the incarnation of the entry, to check that
/// the version never decreases.
#[derive(Default)]
struct SeenConfigs(BTreeMap<String, (u64, DocumentVersion)>);

impl SeenConfigs {
    /// Asks the entries for their configurations, checks that none has returned to an older one,
    /// and returns the versions in force on the entries that answer.
    async fn sample(&mut self, fleet: &Fleet, names: &[&str]) -> Vec<DocumentVersion> {
        let mut versions = Vec::new();
        for name in names {
            let Some(status) = common::status(fleet, name).await else { continue };
            let Some(version) = status.config else { continue };
            versions.push(version);
            let new = (status.incarnation, version);
            if let Some((incarnation, old)) = self.0.insert((*name).to_owned(), new)
                && incarnation == status.incarnation
            {
                let key = |version: DocumentVersion| (version.number, version.digest);
                assert!(key(version) >= key(old), "{name} went back from {old:?} to {version:?}");
            }
        }
        versions
    }

    /// Waits until all entries have the same configuration, with this revision. Returns how long it
    /// took.
    async fn wait_until_equal(&mut self, fleet: &Fleet, names: &[&str], revision: u64) -> Duration {
        let start = Instant::now();
        loop {
            let versions = self.sample(fleet, names).await;
            let equal = versions.windows(2).all(|pair| pair[0] == pair[1]);
            let all = versions.len() == names.len();
            if all && equal && versions.iter().all(|version| version.number == revision) {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < CONVERGENCE_LIMIT,
                "revision {revision} is not in force: {versions:?}"
            );
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Samples the entries for `time`.
    async fn watch(&mut self, fleet: &Fleet, names: &[&str], time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.sample(fleet, names).await;
            sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Starts the fleet.
async fn start_fleet() -> Fleet {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 4, &["--warm"])];
    common::start_fleet(common::layout(2, 3, services)).await
}

/// Writes a configuration directly to the platform, without the file that the fleet publishes.
async fn put_config(fleet: &Fleet, text: &str) {
    let target = format!("/test/kv/{CONFIG_KEY}");
    let timeout = Duration::from_secs(5);
    fetch(fleet.platform_address(), "PUT", &target, text.to_owned(), timeout).await.unwrap();
}

/// Guards against a change that is missed because the platform restarted with lower indexes, and
/// against an older configuration that takes effect after the restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_restart() {
    let mut fleet = start_fleet().await;
    let mut seen = SeenConfigs::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    for _ in 0..3 {
        let revision = fleet.documents.publish_config().unwrap();
        seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    }
    fleet.post_control("platform", "/test/reset").await.unwrap();
    let revision = fleet.documents.publish_config().unwrap();
    let after_reset = seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    fleet.post_control("platform", "/test/down?how=error").await.unwrap();
    let revision = fleet.documents.publish_config().unwrap();
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(1)).await;
    fleet.post_control("platform", "/test/up").await.unwrap();
    let after_outage = seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    println!(
        "in force on all entries {after_reset:?} after the reset, {after_outage:?} after the outage"
    );
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
}

/// Guards against an older configuration from a stale platform that takes effect, on running
/// entries and on one that starts meanwhile without any configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_platform() {
    let mut fleet = start_fleet().await;
    let mut seen = SeenConfigs::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    let old = fleet.documents.config_revision;
    fleet.documents.out_domains = vec![("d2".to_owned(), "trial of an outage".to_owned())];
    let revision = fleet.documents.publish_config().unwrap();
    seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    // Index 1 comes before both documents and index 3 before the second configuration.
    fleet.post_control("platform", "/test/stale?index=3").await.unwrap();
    fleet.kill("e3").unwrap();
    fleet.start_vm("e3").unwrap();
    fleet.wait_ready("e3", CONVERGENCE_LIMIT).await.unwrap();
    let started_with = common::status(&fleet, "e3").await.unwrap().config.unwrap().number;
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(4)).await;
    seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    println!(
        "platform at revision {old}, in force {revision}, new entry ready with {started_with}"
    );
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
    assert_eq!(started_with, revision, "the new entry became ready with an old configuration");
}

/// Guards against an entry that cannot start without the platform, and against entries that stop
/// serving while it is unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_outage() {
    let mut fleet = start_fleet().await;
    let mut seen = SeenConfigs::default();
    let revision = fleet.documents.publish_config().unwrap();
    seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    fleet.post_control("platform", "/test/down?how=close").await.unwrap();
    fleet.kill("e3").unwrap();
    fleet.start_vm("e3").unwrap();
    fleet.wait_ready("e3", CONVERGENCE_LIMIT).await.unwrap();
    seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    // Together with the start above longer than the 5 s after which an isolated entry is fenced: an
    // outage of the platform alone must not fence an entry.
    let time = Duration::from_secs(6);
    let load = common::start_load(&fleet, "alerts", 100.0, time).await;
    seen.watch(&fleet, &ENTRIES, time).await;
    let records = load.finish().await;
    common::check_accounting(&fleet, &records, &ENTRIES).await;
    let answered_late = common::answered_fraction(&records, Duration::from_secs(4), time);
    assert!(answered_late >= 0.99, "answered {answered_late:.4} while the platform is down");
}

/// Guards against entries that never agree on one of two documents with the same revision, or that
/// switch back and forth between them, and against an invalid document that takes effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn competing_and_invalid_documents() {
    let mut fleet = start_fleet().await;
    let mut seen = SeenConfigs::default();
    let load = common::start_load(&fleet, "alerts", 100.0, Duration::from_secs(9)).await;
    let seed = 21;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut revision = fleet.documents.config_revision;
    for round in 0..3 {
        revision += 1;
        fleet.documents.config_revision = revision;
        let mut texts = ["first", "second"]
            .map(|label| format!("{}\n# {label}\n", fleet.documents.config_toml()));
        rng.shuffle(&mut texts);
        for text in &texts {
            put_config(&fleet, text).await;
            let pause = Duration::from_millis(rng.u64(0..300));
            seen.watch(&fleet, &ENTRIES, pause).await;
        }
        let took = seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
        println!("seed {seed}, round {round}: one document on all entries after {took:?}");
    }
    put_config(&fleet, &format!("revision = {}\n[defaults]\nslots = 0\n", revision + 1)).await;
    seen.watch(&fleet, &ENTRIES, Duration::from_secs(1)).await;
    seen.wait_until_equal(&fleet, &ENTRIES, revision).await;
    for name in ENTRIES {
        let refusal =
            common::status(&fleet, name).await.unwrap().config_refused.unwrap_or_default();
        assert!(refusal.contains("slots"), "{name} does not report the invalid field: {refusal:?}");
    }
    fleet.documents.config_revision = revision + 1;
    let next = fleet.documents.publish_config().unwrap();
    seen.wait_until_equal(&fleet, &ENTRIES, next).await;
    common::check_accounting(&fleet, &load.finish().await, &ENTRIES).await;
}
