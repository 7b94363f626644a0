//! Updates with the changes of the platform's store: sends them down trees, merges received ones, and
//! fetches changes that did not arrive from a peer over HTTP.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Gossip;
use crate::exchange::Timeouts;
use crate::gateway::convert;
use crate::gateway::store_replica::StoreReplica;
use jackdawpin_core::direct::replica;
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::direct::spread;
use jackdawpin_core::direct::spread::Branch;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// Timeouts for fetching changes from a peer. A configuration of the largest size takes about a
/// second on a link of 10 Mbit/s.
const FETCH_TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_millis(1_000),
    stall: Duration::from_millis(450),
    body: Duration::from_secs(4),
};

/// Time for which a restarted entry waits for the first heartbeat of a peer: several round trips
/// within a region. Without a live peer, the entry starts to serve this much later.
const FIRST_PEER_TIMEOUT: Duration = Duration::from_millis(25);

/// Time between two checks for the first heartbeat of a peer.
const FIRST_PEER_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout for fetching all items from a peer, which fills a slow link for a while.
const FETCH_ALL_TIMEOUT: Duration = Duration::from_millis(250);

/// [`FETCH_ALL_TIMEOUT`] for each part of the exchange.
const FETCH_ALL_TIMEOUTS: Timeouts =
    Timeouts { head: FETCH_ALL_TIMEOUT, stall: FETCH_ALL_TIMEOUT, body: FETCH_ALL_TIMEOUT };

/// Delay before missing changes are fetched from an entry that may lack them itself.
const FETCH_DELAY: Duration = Duration::from_millis(120);

/// Longest random addition to [`FETCH_DELAY`], so that not all entries fetch at once.
const FETCH_JITTER: Duration = Duration::from_millis(150);

/// Limit on the datagrams of one update. More of them would delay the freshness proof, which is in
/// the last one.
const MAX_UPDATE_DATAGRAMS: usize = 6;

/// Limit on the bytes of items in one datagram; the rest of it is for the framing and for
/// [`spread::MAX_TARGETS`] addresses of five bytes.
const MAX_ITEM_BYTES: usize = 1_050;

/// A notice of changes that this entry lacks, and the entries that it is to be sent on to.
#[derive(Debug)]
pub(super) struct PendingNotice {
    ahead: wire::RevisionNotice,
    received: Instant,
    targets: Vec<Ipv4Addr>,
}

impl Gossip {
    /// Sends the latest changes to all live entries.
    pub(in crate::gateway) async fn send_update(&self, replica: &StoreReplica) {
        let now = self.now();
        let cursor = replica.cursor();
        let from = {
            let mut sent = self.sent.lock();
            let from = sent[0];
            *sent = [sent[1], cursor];
            from
        };
        let delta = replica.changes_since(from, now);
        let ahead = wire::RevisionNotice {
            epoch: convert::epoch_to_wire(delta.epoch),
            to: delta.to,
            age_ms: convert::saturating_millis(delta.proof_age),
        };
        let (mut parts, mut complete) = delta.split(MAX_ITEM_BYTES, convert::max_encoded_bytes);
        if parts.len() > MAX_UPDATE_DATAGRAMS {
            (parts, complete) = (Vec::new(), false);
        }
        let mut updates: Vec<wire::StoreUpdate> = parts
            .iter()
            .map(|part| wire::StoreUpdate::Delta(convert::delta_to_wire(part)))
            .collect();
        if !complete {
            // Peers that lack the changes fetch them.
            updates.push(wire::StoreUpdate::Ahead(ahead));
        }
        for update in &updates {
            self.spread(update, now).await;
        }
    }

    /// Sends an update to all live entries, down two trees in each failure domain.
    async fn spread(&self, update: &wire::StoreUpdate, now: Instant) {
        let groups = self.dispatcher.peers.groups(now);
        for _ in 0..spread::TREE_COUNT {
            for group in &groups {
                let entries = group.shuffled(self.dispatcher.random());
                if group.same_domain {
                    self.send_branches(update, spread::branches(&entries)).await;
                } else {
                    self.send_branches(update, spread::remote_branches(&entries)).await;
                }
            }
        }
    }

    /// Sends an update to the first entry of each branch, which sends it on to the others.
    async fn send_branches(
        &self,
        update: &wire::StoreUpdate,
        branches: impl Iterator<Item = Branch<'_>>,
    ) {
        for branch in branches {
            let update = update.clone();
            let message = if branch.rest.is_empty() {
                wire::Datagram::News(update)
            } else {
                let targets = branch.rest.iter().map(|ip| ip.to_bits()).collect();
                wire::Datagram::Relay(wire::RelayedUpdate { update, targets })
            };
            self.send(&message, branch.first).await;
        }
    }

    /// Merges an update and sends it on to `targets`. A notice without changes is sent on only once
    /// the changes are here, because the receivers fetch them from this entry.
    pub(super) async fn merge_update(
        self: &Arc<Self>,
        update: &wire::StoreUpdate,
        from: Ipv4Addr,
        targets: &[Ipv4Addr],
        replica: &Arc<StoreReplica>,
    ) {
        let now = self.now();
        match update {
            wire::StoreUpdate::Delta(delta) => {
                self.send_branches(update, spread::branches(targets)).await;
                if !replica.merge(convert::delta_from_wire(delta.clone()), now) {
                    // The sender may lack the earlier changes as well and be fetching them.
                    let max_jitter = u64::try_from(FETCH_JITTER.as_micros()).unwrap_or(0);
                    let jitter = Duration::from_micros(self.dispatcher.random().below(max_jitter));
                    self.spawn_fetch(from, FETCH_DELAY + jitter, replica);
                }
            }
            wire::StoreUpdate::Ahead(ahead) => {
                let cursor = convert::notice_cursor(ahead);
                if replica.confirm(cursor, Duration::from_millis(ahead.age_ms), now) {
                    self.send_branches(update, spread::branches(targets)).await;
                    return;
                }
                let notice =
                    PendingNotice { ahead: *ahead, received: now, targets: targets.into() };
                self.pending.lock().push(notice);
                self.spawn_fetch(from, Duration::ZERO, replica);
            }
        }
    }

    /// Starts to fetch missing changes from `peer` after `delay`, unless a fetch is under way. Then
    /// sends on the notices that arrived meanwhile.
    fn spawn_fetch(self: &Arc<Self>, peer: Ipv4Addr, delay: Duration, replica: &Arc<StoreReplica>) {
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let (gossip, replica) = (Arc::clone(self), Arc::clone(replica));
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            gossip.fetch_missing(peer, &replica).await;
            gossip.fetching.store(false, Ordering::Release);
            gossip.send_pending(replica.cursor()).await;
        });
    }

    /// Sends on the notices of changes up to `cursor`, which are here now. Later ones are dropped:
    /// the next update announces them again.
    async fn send_pending(&self, cursor: Cursor) {
        let pending = std::mem::take(&mut *self.pending.lock());
        let is_here = |notice: &PendingNotice| convert::notice_cursor(&notice.ahead) <= cursor;
        for notice in pending.into_iter().filter(is_here) {
            let waited = convert::saturating_millis(self.now().since(notice.received));
            let age_ms = notice.ahead.age_ms.saturating_add(waited);
            let update = wire::StoreUpdate::Ahead(wire::RevisionNotice { age_ms, ..notice.ahead });
            self.send_branches(&update, spread::branches(&notice.targets)).await;
        }
    }

    /// Fetches all items from a peer, so that an entry that starts among others need not read them
    /// from the store. Has no effect if no peer answers in time, or if its items may be out of date
    /// while the store has not `store_failed` to answer.
    pub(in crate::gateway) async fn fetch_all(&self, replica: &StoreReplica, store_failed: bool) {
        let Some(peer) = self.first_peer().await else {
            return;
        };
        match self.peer_client.fetch_changes(peer, Cursor::default(), FETCH_ALL_TIMEOUTS).await {
            Ok(delta) => {
                let (epoch, to, age_ms) = (delta.epoch, delta.to, delta.proof_age.as_millis());
                let taken = to > 0
                    && replica::may_start_with(delta.proof_age, store_failed)
                    && replica.merge(delta, self.now());
                log::info!(
                    "event=fetch peer={peer} epoch={epoch} from=0 to={to} age_ms={age_ms} \
                     taken={taken}"
                );
            }
            Err(err) => log::warn!("event=fetch peer={peer} error=\"{err}\""),
        }
    }

    /// Waits for the first peer that sends a heartbeat; `None` after [`FIRST_PEER_TIMEOUT`].
    async fn first_peer(&self) -> Option<Ipv4Addr> {
        let deadline = self.now() + FIRST_PEER_TIMEOUT;
        loop {
            let now = self.now();
            let peer = self.dispatcher.peers.contacted_peer(now, self.dispatcher.random());
            if peer.is_some() || now >= deadline {
                return peer;
            }
            tokio::time::sleep(FIRST_PEER_CHECK_INTERVAL).await;
        }
    }

    /// Fetches the changes that are missing here from `peer`.
    async fn fetch_missing(&self, peer: Ipv4Addr, replica: &StoreReplica) {
        match self.peer_client.fetch_changes(peer, replica.cursor(), FETCH_TIMEOUTS).await {
            Ok(delta) => {
                let (epoch, from, to) = (delta.epoch, delta.from, delta.to);
                let taken = replica.merge(delta, self.now());
                log::info!(
                    "event=fetch peer={peer} epoch={epoch} from={from} to={to} taken={taken}"
                );
            }
            Err(err) => log::warn!("event=fetch peer={peer} error=\"{err}\""),
        }
    }
}
