//! Holds a replica of the platform's store and applies its changes to the dispatcher.

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

/// Age of the last freshness proof above which the store counts as unavailable. Items of servers
/// that are removed after that may have expired only because the store could not be reached.
const OUTAGE_PROOF_AGE: Duration = Duration::from_millis(2_500);

/// The items of the store, and the dispatcher that they configure.
#[derive(Debug)]
pub(super) struct StoreReplica {
    dispatcher: Arc<Dispatcher>,
    replica: Mutex<Replica>,
}

impl StoreReplica {
    pub(super) fn new(dispatcher: Arc<Dispatcher>) -> Self {
        Self { dispatcher, replica: Mutex::new(Rank::Intent, Replica::default()) }
    }

    /// The revision of the replica; 0 if it is empty.
    pub(super) fn revision(&self) -> u64 {
        self.replica.lock().revision()
    }

    /// Age of the last freshness proof, if there is one.
    pub(super) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().proof_age(now)
    }

    /// Age of the last freshness proof that came from a peer, if there is one.
    pub(super) fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().peer_proof_age(now)
    }

    /// The changes since the revision `from`, or all items if not all changes are known.
    pub(super) fn changes_since(&self, from: u64, now: Instant) -> Delta {
        self.replica.lock().changes_since(from, now)
    }

    /// Discards the freshness proofs after the process was suspended: what arrived meanwhile may be
    /// older than it says.
    pub(super) fn discard_proofs(&self) {
        self.replica.lock().discard_proofs();
    }

    /// Replaces all items by a list, read at `revision` and later. `proved_at` is when it was up to
    /// date.
    pub(super) fn replace(
        &self,
        revision: u64,
        items: Vec<Item>,
        proved_at: Instant,
        now: Instant,
    ) {
        let (changed, outage) =
            self.update(now, |replica| replica.replace(revision, items, proved_at));
        self.apply_items(&changed, outage, now);
    }

    /// Applies changes that the store reports up to the revision `to`. `proved_at` is when they
    /// were up to date.
    pub(super) fn apply(&self, to: u64, items: Vec<Item>, proved_at: Instant, now: Instant) {
        let (changed, outage) = self.update(now, |replica| replica.apply(to, items, proved_at));
        self.apply_items(&changed, outage, now);
    }

    /// Merges the proof of a peer, which is `age` old, that the store's revision is `to`. False if
    /// changes up to `to` are missing here.
    pub(super) fn confirm(&self, to: u64, age: Duration, now: Instant) -> bool {
        self.update(now, |replica| replica.confirm(to, age, now)).0
    }

    /// Merges the changes that a peer sent. False if changes before them are missing here.
    pub(super) fn merge(&self, delta: Delta, now: Instant) -> bool {
        match self.update(now, |replica| replica.merge(delta, now)) {
            (MergeResult::Changed(changed), outage) => {
                self.apply_items(&changed, outage, now);
                true
            }
            (MergeResult::Gap, _) => false,
        }
    }

    /// Runs `update` on the replica, and passes the last freshness proof on to the dispatcher. The
    /// second result says whether the store counted as unavailable before.
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

    /// Applies changed items to the dispatcher. A server with an invalid item counts as not listed.
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

    /// Applies one decoded item. After an outage of the store, servers without an item are kept
    /// longer.
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
                let unknown_kinds = config.unknown_kinds.join(",");
                let accepted = self.dispatcher.set_config(config);
                if accepted && !unknown_kinds.is_empty() {
                    log::warn!(
                        "event=config version={version:08x} unknown_kinds={unknown_kinds} \
                         handled_as=at_most_once"
                    );
                }
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
