//! Holds what the platform's store says and puts it in force.

use std::sync::Arc;
use std::time::Duration;

use super::Flow;
use jackdawpin_core::direct::fleet;
use jackdawpin_core::direct::replica::Delta;
use jackdawpin_core::direct::replica::Item;
use jackdawpin_core::direct::replica::MergeResult;
use jackdawpin_core::direct::replica::Replica;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::time::Instant;
use jackdawpin_platform::store;
use jackdawpin_platform::store::Record;

/// Age of the last proof from which on entries that ended may have lapsed because the store was
/// away.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// The items of the store, and what they mean for the decisions.
#[derive(Debug)]
pub(super) struct Feeder {
    flow: Arc<Flow>,
    feed: Mutex<Replica>,
}

impl Feeder {
    pub(super) fn new(flow: Arc<Flow>) -> Self {
        Self { flow, feed: Mutex::new(Rank::Intent, Replica::default()) }
    }

    /// The revision reached; 0 if nothing was read.
    pub(super) fn at(&self) -> u64 {
        self.feed.lock().revision()
    }

    /// Age of the last proof that the items are up to date.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.feed.lock().proof_age(now)
    }

    /// Age of the last proof that came from a peer.
    pub(super) fn peer_age(&self, now: Instant) -> Option<Duration> {
        self.feed.lock().peer_proof_age(now)
    }

    pub(super) fn since(&self, from: u64, now: Instant) -> Delta {
        self.feed.lock().changes_since(from, now)
    }

    /// The process stood still, so the last proof is older than it seems.
    pub(super) fn distrust(&self) {
        self.feed.lock().discard_proofs();
    }

    /// Takes in a whole list.
    pub(super) fn replace(&self, at: u64, items: Vec<Item>, proved: Instant, now: Instant) {
        let (changed, outage) = self.step(now, |feed| feed.replace(at, items, proved));
        self.apply(&changed, outage, now);
    }

    /// Takes in changes from the store.
    pub(super) fn advance(&self, to: u64, items: Vec<Item>, proved: Instant, now: Instant) {
        let (changed, outage) = self.step(now, |feed| feed.apply(to, items, proved));
        self.apply(&changed, outage, now);
    }

    /// Takes in a peer's proof; false if changes are missing here.
    pub(super) fn confirm(&self, to: u64, age: Duration, now: Instant) -> bool {
        self.step(now, |feed| feed.confirm(to, age, now)).0
    }

    /// Takes in what a peer passes on; false if earlier changes are missing.
    pub(super) fn take(&self, delta: Delta, now: Instant) -> bool {
        match self.step(now, |feed| feed.merge(delta, now)) {
            (MergeResult::Changed(changed), outage) => {
                self.apply(&changed, outage, now);
                true
            }
            (MergeResult::Gap, _) => false,
        }
    }

    /// Takes one step with the items and tells the flow how old the last proof is after it. The
    /// second result says whether the store was away before it.
    fn step<T>(&self, now: Instant, step: impl FnOnce(&mut Replica) -> T) -> (T, bool) {
        let (result, outage, age) = {
            let mut feed = self.feed.lock();
            let outage = feed.proof_age(now).is_none_or(|age| age > OUTAGE);
            (step(&mut feed), outage, feed.proof_age(now))
        };
        if let Some(age) = age {
            self.flow.record_proof(now.before(age));
        }
        (result, outage)
    }

    fn apply(&self, changed: &[Item], outage: bool, now: Instant) {
        for item in changed {
            match store::decode_item(item) {
                Ok(meaning) => self.put_in_force(meaning, item.revision, outage, now),
                Err(err) => {
                    log::warn!(
                        "event=store_item key={} revision={} error=\"{err}\"",
                        item.key,
                        item.revision
                    );
                    if let Some(server) = store::server_name(item) {
                        self.flow.fleet.unlist(server, fleet::EXPIRY_GRACE, now);
                    }
                }
            }
        }
    }

    fn put_in_force(&self, meaning: Record<'_>, revision: u64, outage: bool, now: Instant) {
        match meaning {
            Record::Server(server) => {
                log::debug!(
                    "event=server server={} service={} address={} draining={} revision={revision}",
                    server.name,
                    server.service,
                    server.address,
                    server.draining
                );
                self.flow.fleet.update(server, now);
            }
            Record::ServerRemoved(server) => {
                log::info!("event=server server={server} state=gone revision={revision}");
                let keep =
                    if outage { fleet::EXPIRY_GRACE_AFTER_OUTAGE } else { fleet::EXPIRY_GRACE };
                self.flow.fleet.unlist(server, keep, now);
            }
            Record::Config(plan) => {
                let version = plan.version;
                let accepted = self.flow.set_config(plan);
                log::info!(
                    "event=config version={version:08x} revision={revision} accepted={accepted}"
                );
            }
            Record::DomainOut(domain, out) => {
                log::info!("event=domain domain={domain} out={out} revision={revision}");
                self.flow.fleet.set_domain_out(&domain, out);
            }
            Record::Unrelated => {}
        }
    }
}
