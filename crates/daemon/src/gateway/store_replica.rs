//! Holds what the platform's store says and puts it in force.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
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
const OUTAGE_PROOF_AGE: Duration = Duration::from_millis(2_500);

/// The items of the store, and what they mean for the decisions.
#[derive(Debug)]
pub(super) struct StoreReplica {
    dispatcher: Arc<Dispatcher>,
    replica: Mutex<Replica>,
}

impl StoreReplica {
    pub(super) fn new(dispatcher: Arc<Dispatcher>) -> Self {
        Self { dispatcher, replica: Mutex::new(Rank::Intent, Replica::default()) }
    }

    /// The revision reached; 0 if nothing was read.
    pub(super) fn revision(&self) -> u64 {
        self.replica.lock().revision()
    }

    /// Age of the last proof that the items are up to date.
    pub(super) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().proof_age(now)
    }

    /// Age of the last proof that came from a peer.
    pub(super) fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().peer_proof_age(now)
    }

    pub(super) fn changes_since(&self, from: u64, now: Instant) -> Delta {
        self.replica.lock().changes_since(from, now)
    }

    /// The process stood still, so the last proof is older than it seems.
    pub(super) fn discard_proofs(&self) {
        self.replica.lock().discard_proofs();
    }

    /// Takes in a whole list.
    pub(super) fn replace(&self, at: u64, items: Vec<Item>, proved: Instant, now: Instant) {
        let (changed, outage) = self.update(now, |replica| replica.replace(at, items, proved));
        self.apply_items(&changed, outage, now);
    }

    /// Takes in changes from the store.
    pub(super) fn apply(&self, to: u64, items: Vec<Item>, proved: Instant, now: Instant) {
        let (changed, outage) = self.update(now, |replica| replica.apply(to, items, proved));
        self.apply_items(&changed, outage, now);
    }

    /// Takes in a peer's proof; false if changes are missing here.
    pub(super) fn confirm(&self, to: u64, age: Duration, now: Instant) -> bool {
        self.update(now, |replica| replica.confirm(to, age, now)).0
    }

    /// Takes in what a peer passes on; false if earlier changes are missing.
    pub(super) fn merge(&self, delta: Delta, now: Instant) -> bool {
        match self.update(now, |replica| replica.merge(delta, now)) {
            (MergeResult::Changed(changed), outage) => {
                self.apply_items(&changed, outage, now);
                true
            }
            (MergeResult::Gap, _) => false,
        }
    }

    /// Takes one step with the items and tells the dispatcher how old the last proof is after it. The
    /// second result says whether the store was away before it.
    fn update<T>(&self, now: Instant, update: impl FnOnce(&mut Replica) -> T) -> (T, bool) {
        let (result, outage, age) = {
            let mut replica = self.replica.lock();
            let outage = replica.proof_age(now).is_none_or(|age| age > OUTAGE_PROOF_AGE);
            (update(&mut replica), outage, replica.proof_age(now))
        };
        if let Some(age) = age {
            self.dispatcher.record_proof(now.before(age));
        }
        (result, outage)
    }

    fn apply_items(&self, changed: &[Item], outage: bool, now: Instant) {
        for item in changed {
            match store::decode_item(item) {
                Ok(record) => self.apply_record(record, item.revision, outage, now),
                Err(err) => {
                    log::warn!(
                        "event=store_item key={} revision={} error=\"{err}\"",
                        item.key,
                        item.revision
                    );
                    if let Some(server) = store::server_name(item) {
                        self.dispatcher.fleet.unlist(server, fleet::EXPIRY_GRACE, now);
                    }
                }
            }
        }
    }

    fn apply_record(&self, record: Record<'_>, revision: u64, outage: bool, now: Instant) {
        match record {
            Record::Server(server) => {
                log::debug!(
                    "event=server server={} service={} address={} draining={} revision={revision}",
                    server.name,
                    server.service,
                    server.address,
                    server.draining
                );
                self.dispatcher.fleet.update(server, now);
            }
            Record::ServerRemoved(server) => {
                log::info!("event=server server={server} state=gone revision={revision}");
                let grace =
                    if outage { fleet::EXPIRY_GRACE_AFTER_OUTAGE } else { fleet::EXPIRY_GRACE };
                self.dispatcher.fleet.unlist(server, grace, now);
            }
            Record::Config(config) => {
                let version = config.version;
                let accepted = self.dispatcher.set_config(config);
                log::info!(
                    "event=config version={version:08x} revision={revision} accepted={accepted}"
                );
            }
            Record::DomainOut(domain, out) => {
                log::info!("event=domain domain={domain} out={out} revision={revision}");
                self.dispatcher.fleet.set_domain_out(&domain, out);
            }
            Record::Unrelated => {}
        }
    }
}
