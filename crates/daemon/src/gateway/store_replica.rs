//! Holds a replica of the platform's store and applies its changes to the dispatcher.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use jackdawpin_core::direct::fleet;
use jackdawpin_core::direct::replica::Cursor;
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

/// Why items have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// They were written or removed, or expired, while the store was available. `proof_age` is the
    /// age of the last freshness proof from before the change was known.
    Change { proof_age: Duration },
    /// They changed while the store may have been unavailable.
    Outage,
    /// The store was restored from an older copy.
    Restoration,
}

impl Cause {
    /// Why items change after the last freshness proof, if the store was not restored.
    fn after_proof(proof_age: Option<Duration>) -> Self {
        match proof_age {
            Some(proof_age) if proof_age <= OUTAGE_PROOF_AGE => Self::Change { proof_age },
            _ => Self::Outage,
        }
    }
}

/// The items of the store, and the dispatcher that they configure.
#[derive(Debug)]
pub(super) struct StoreReplica {
    dispatcher: Arc<Dispatcher>,
    replica: Mutex<Replica>,
}

impl StoreReplica {
    pub(super) fn new(dispatcher: Arc<Dispatcher>) -> Self {
        Self { dispatcher, replica: Mutex::new(Rank::Intent, Replica::new(store::is_later_config)) }
    }

    /// The position of the replica.
    pub(super) fn cursor(&self) -> Cursor {
        self.replica.lock().cursor()
    }

    /// Age of the last freshness proof, if there is one.
    pub(super) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().proof_age(now)
    }

    /// Age of the last freshness proof that came from a peer, if there is one.
    pub(super) fn peer_proof_age(&self, now: Instant) -> Option<Duration> {
        self.replica.lock().peer_proof_age(now)
    }

    /// The changes since `from`, or all items if not all changes are known.
    pub(super) fn changes_since(&self, from: Cursor, now: Instant) -> Delta {
        self.replica.lock().changes_since(from, now)
    }

    /// Discards the freshness proofs after the process was suspended: what arrived meanwhile may be
    /// older than it says.
    pub(super) fn discard_proofs(&self) {
        self.replica.lock().discard_proofs();
    }

    /// Replaces all items by a list, read at `cursor` and later. `proved_at` is when it was up to
    /// date.
    pub(super) fn replace(
        &self,
        cursor: Cursor,
        items: Vec<Item>,
        proved_at: Instant,
        now: Instant,
    ) {
        self.update(now, |replica| replica.replace(cursor, items, proved_at));
    }

    /// Applies changes that the store reports up to `to`. `proved_at` is when they were up to date.
    /// False if they do not follow what is known here.
    pub(super) fn apply(
        &self,
        to: Cursor,
        items: Vec<Item>,
        proved_at: Instant,
        now: Instant,
    ) -> bool {
        self.update(now, |replica| replica.apply(to, items, proved_at))
    }

    /// Merges the changes that a peer sent. False if changes before them are missing here.
    pub(super) fn merge(&self, delta: Delta, now: Instant) -> bool {
        self.update(now, |replica| replica.merge(delta, now))
    }

    /// Merges the proof of a peer, which is `age` old, that the store's position is `to`. False if
    /// changes up to `to` are missing here.
    pub(super) fn confirm(&self, to: Cursor, age: Duration, now: Instant) -> bool {
        let (confirmed, proof_age) = {
            let mut replica = self.replica.lock();
            (replica.confirm(to, age, now), replica.proof_age(now))
        };
        self.record_proof(proof_age, now);
        confirmed
    }

    /// Runs `update` on the replica, applies the items that it changes to the dispatcher, and passes
    /// the last freshness proof on to it. False if earlier changes are missing.
    fn update(&self, now: Instant, update: impl FnOnce(&mut Replica) -> MergeResult) -> bool {
        let (result, cause, before, after, proof_age) = {
            let mut replica = self.replica.lock();
            let cause = Cause::after_proof(replica.proof_age(now));
            let before = replica.cursor();
            let result = update(&mut replica);
            (result, cause, before, replica.cursor(), replica.proof_age(now))
        };
        let merged = match result {
            MergeResult::Changed(items) => {
                self.apply_items(&items, cause, now);
                true
            }
            MergeResult::Restored(items) => {
                log::warn!(
                    "event=store state=restored epoch={} revision={} old_epoch={} \
                     old_revision={} differing_items={}",
                    after.epoch,
                    after.revision,
                    before.epoch,
                    before.revision,
                    items.len()
                );
                self.dispatcher.fleet.restart_settling(now);
                self.apply_items(&items, Cause::Restoration, now);
                true
            }
            MergeResult::Gap => false,
        };
        self.record_proof(proof_age, now);
        merged
    }

    fn record_proof(&self, proof_age: Option<Duration>, now: Instant) {
        if let Some(age) = proof_age {
            self.dispatcher.record_proof(now.before(age));
        }
    }

    /// Applies changed items to the dispatcher. A server with an invalid item counts as not listed.
    fn apply_items(&self, changed: &[Item], cause: Cause, now: Instant) {
        for item in changed {
            match store::decode_item(item) {
                Ok(record) => self.apply_record(record, item.revision, cause, now),
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

    /// Applies one decoded item. After an outage or a restoration of the store, servers without an
    /// item are kept longer.
    fn apply_record(&self, record: Record<'_>, revision: u64, cause: Cause, now: Instant) {
        match record {
            Record::Server(server) => {
                log::debug!(
                    "event=server server={} service={} address={} draining={} revision={revision}",
                    server.name,
                    server.service,
                    server.address,
                    server.draining
                );
                let name = server.name.clone();
                match cause {
                    Cause::Change { .. } => {
                        if self.dispatcher.fleet.update(server, now) {
                            log::info!(
                                "event=server server={name} state=listed revision={revision}"
                            );
                        }
                    }
                    Cause::Outage => {
                        self.dispatcher.fleet.update(server, now);
                    }
                    Cause::Restoration => self.dispatcher.fleet.restore(server, now),
                }
            }
            Record::ServerRemoved(server) => {
                log::info!("event=server server={server} state=gone revision={revision}");
                let grace = match cause {
                    Cause::Change { proof_age } => fleet::expiry_grace(proof_age),
                    Cause::Outage | Cause::Restoration => fleet::EXPIRY_GRACE_AFTER_OUTAGE,
                };
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
                if cause == Cause::Restoration && !out {
                    self.dispatcher.fleet.restore_domain(&domain, now);
                } else {
                    self.dispatcher.fleet.set_domain_out(&domain, out);
                }
            }
            Record::Unrelated => {}
        }
    }
}
