//! Reads the platform's store and sends its changes to the other entries. An entry that starts
//! reads all items, unless a peer provides them. After that, only store readers read: the first
//! entry by rank, and others that have no recent freshness proof from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use quick_error::quick_error;
use tokio_util::sync::CancellationToken;

use super::Dispatcher;
use super::gossip::Gossip;
use super::metrics::Metrics;
use super::store_replica::StoreReplica;
use crate::clock::BootClock;
use crate::exchange;
use crate::exchange::Client;
use crate::exchange::Timeouts;
use crate::headers;
use jackdawpin_core::direct::replica;
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::direct::replica::FIRST_EPOCH;
use jackdawpin_core::direct::replica::Item;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;
use jackdawpin_platform::store;
use jackdawpin_platform::store::Changes;
use jackdawpin_platform::store::Freshness;
use jackdawpin_platform::store::Page;

/// Timeout for the head of the answer to a watch after the wait for changes. The store usually takes
/// a few milliseconds.
const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Timeout for the head of one page of a list. A slow store may take a good part of a second.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which nothing of an answer's body arrives after which the call has failed.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Timeout for the body of an answer. A configuration of the largest size takes over a second on a
/// link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which an entry without items waits for the store before it asks a peer for them. A slow
/// store takes a few hundred milliseconds.
const FIRST_LIST_TIME: Duration = Duration::from_millis(500);

/// Pause after changes, so that the next answer has several of them.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// Longest time between two checks whether this entry must read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an entry waits for heartbeats of its peers after its start, before it knows
/// whether it is a store reader.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1_200);

/// Time for which an entry that is not a store reader then waits for the first items, if the whole
/// system starts for the first time.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Limit on an answer of the store in bytes. It has up to 500 items with 1 MB in all, as base64 in
/// JSON.
const MAX_ANSWER_BYTES: usize = 4 << 20;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    pub enum Error {
        /// There is no complete answer.
        Exchange(err: exchange::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The answer cannot be decoded.
        Answer(err: jackdawpin_platform::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The pages of a list are from different epochs of the store.
        Epoch(first: u64, later: u64) {
            display("the store was restored between two pages: epochs {} and {}", first, later)
        }
        /// The answer is from an earlier epoch than the replica.
        EarlierEpoch(answer: u64, known: u64) {
            display("the store answered from epoch {}, after epoch {}", answer, known)
        }
        /// The answer has an unexpected status.
        Status(status: StatusCode) {
            display("status {}", status)
        }
        /// The request cannot be built.
        Request(err: http::Error) {
            from()
            source(err)
            display("{}", err)
        }
    }
}

/// An answer of the store.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    epoch: u64,
    body: Bytes,
    /// When the head arrived: the body is not from a later time.
    head_at: Instant,
}

/// Reads the store while this entry is a store reader.
#[derive(Debug)]
pub(super) struct StoreReader {
    dispatcher: Arc<Dispatcher>,
    replica: Arc<StoreReplica>,
    gossip: Arc<Gossip>,
    metrics: Arc<Metrics>,
    client: Arc<Client>,
    /// Address of the store.
    address: SocketAddr,
    started_at: Instant,
    /// Whether this entry reads the store at present.
    reading: bool,
    /// Number of calls that failed since the last success.
    failures: u32,
}

impl StoreReader {
    pub(super) fn new(
        (dispatcher, replica, gossip): (Arc<Dispatcher>, Arc<StoreReplica>, Arc<Gossip>),
        metrics: Arc<Metrics>,
        client: Arc<Client>,
        address: SocketAddr,
    ) -> Self {
        Self {
            dispatcher,
            replica,
            gossip,
            metrics,
            client,
            address,
            started_at: BootClock.now(),
            reading: false,
            failures: 0,
        }
    }

    /// Reads until `cancel`. If the whole system starts for the first time, most entries get the
    /// first items from the store readers; if only this process starts, it gets them from a peer,
    /// or reads them at once.
    pub(super) async fn run(mut self, first_start: bool, cancel: CancellationToken) {
        let reading = async {
            if first_start {
                self.wait_for_first_items().await;
            } else {
                self.gossip.fetch_all(&self.replica, false).await;
            }
            loop {
                self.read_if_needed().await;
            }
        };
        tokio::select! {
            () = cancel.cancelled() => {}
            () = reading => {}
        }
    }

    /// Waits until this entry is a store reader, or has items from one, or a timeout expires.
    async fn wait_for_first_items(&self) {
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        let deadline = self.now() + FIRST_UPDATE_TIMEOUT;
        while self.rank().is_none_or(|rank| rank >= replica::READER_COUNT)
            && self.replica.cursor().is_empty()
            && self.now() < deadline
        {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Reads the store once, or waits if the freshness proofs of peers are recent enough.
    async fn read_if_needed(&mut self) {
        let now = self.now();
        let proof_age = self.replica.proof_age(now);
        let rank = self.rank();
        let peer_proof_age = self.replica.peer_proof_age(now).unwrap_or(now.since(self.started_at));
        let time_left = match proof_age {
            None => Duration::ZERO,
            Some(_) => {
                replica::proof_timeout(rank.unwrap_or(usize::MAX)).saturating_sub(peer_proof_age)
            }
        };
        let needed = time_left.is_zero();
        if needed != self.reading {
            let age_ms = proof_age.map(|age| age.as_millis());
            log::info!("event=reader reads={needed} rank={rank:?} proof_age_ms={age_ms:?}");
            self.reading = needed;
        }
        if !needed {
            tokio::time::sleep(time_left.min(CHECK_INTERVAL)).await;
            return;
        }
        let result = if self.replica.cursor().is_empty() {
            self.read_first_items().await
        } else {
            self.watch().await
        };
        match result {
            Ok(()) => {
                if self.failures > 0 {
                    log::info!("event=store state=regained failures={}", self.failures);
                }
                self.failures = 0;
            }
            Err(err) => self.handle_failure(&err).await,
        }
    }

    /// Logs a failed call and waits before the next one. An entry without items gets them from a peer
    /// meanwhile.
    async fn handle_failure(&mut self, err: &Error) {
        self.metrics.store_failures.inc();
        let age = self.replica.proof_age(self.now()).map(|age| age.as_millis());
        log::warn!("event=store state=failed error=\"{err}\" proof_age_ms={age:?}");
        if self.replica.cursor().is_empty() {
            self.gossip.fetch_all(&self.replica, true).await;
        }
        let half_backoff = replica::backoff(self.failures, self.rank()) / 2;
        self.failures = self.failures.saturating_add(1);
        let max_jitter = u64::try_from(half_backoff.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.dispatcher.random().below(max_jitter));
        tokio::time::sleep(half_backoff + jitter).await;
    }

    /// Reads all items for the first time. If the store takes long, this entry starts with what a peer
    /// has.
    async fn read_first_items(&self) -> Result<(), Error> {
        let mut read = std::pin::pin!(self.read_first_list());
        if let Ok(result) = tokio::time::timeout(FIRST_LIST_TIME, &mut read).await {
            return result;
        }
        self.gossip.fetch_all(&self.replica, true).await;
        read.await
    }

    /// Reads all items for the first time. The list may be out of date, which costs the store less;
    /// the changes since then are read before any item is used.
    async fn read_first_list(&self) -> Result<(), Error> {
        let (items, cursor) = self.request_list(Freshness::Stale).await?;
        if cursor.is_restored() {
            // A peer may have a later configuration than the copy.
            self.gossip.fetch_all(&self.replica, true).await;
            return self.read_list_again().await;
        }
        let sent_at = self.now();
        let Some((changes, _)) = self.request_changes(cursor, Duration::ZERO).await? else {
            return self.read_list_again().await;
        };
        let items = replica::replay(items, changes.items);
        let cursor = Cursor { revision: changes.revision, ..cursor };
        self.replace_items(cursor, items, sent_at).await;
        Ok(())
    }

    /// Reads all items again, because changes are missing.
    async fn read_list_again(&self) -> Result<(), Error> {
        let sent_at = self.now();
        let (items, cursor) = self.request_list(Freshness::Latest).await?;
        let known = self.replica.cursor().epoch;
        if cursor.epoch < known {
            return Err(Error::EarlierEpoch(cursor.epoch, known));
        }
        self.replace_items(cursor, items, sent_at).await;
        Ok(())
    }

    /// Replaces all items by a list that was up to date at `proved_at`, and sends it to the peers.
    async fn replace_items(&self, cursor: Cursor, items: Vec<Item>, proved_at: Instant) {
        let known = self.replica.cursor();
        log::info!(
            "event=store state=listed items={} epoch={} revision={} known_epoch={} \
             known_revision={}",
            items.len(),
            cursor.epoch,
            cursor.revision,
            known.epoch,
            known.revision
        );
        self.replica.replace(cursor, items, proved_at, self.now());
        self.send_update().await;
    }

    /// Requests all items, and returns them with the position after which changes may be missing in
    /// them: the pages are read one after the other, and may be of different age.
    async fn request_list(&self, freshness: Freshness) -> Result<(Vec<Item>, Cursor), Error> {
        let mut items: Vec<Item> = Vec::new();
        let mut oldest: Option<Cursor> = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let path = store::list_path(after.as_deref(), freshness);
            let answer = self.get(&path, LIST_TIMEOUT).await?;
            if answer.status != StatusCode::OK {
                return Err(Error::Status(answer.status));
            }
            let page = Page::decode(&answer.body)?;
            let cursor = Cursor { epoch: answer.epoch, revision: page.revision };
            let earlier = oldest.unwrap_or(cursor);
            if earlier.epoch != cursor.epoch {
                return Err(Error::Epoch(earlier.epoch, cursor.epoch));
            }
            let oldest = oldest.insert(earlier.min(cursor));
            let has_more = page.has_more && !page.items.is_empty();
            items.extend(page.items);
            if !has_more {
                return Ok((items, *oldest));
            }
        }
    }

    /// Waits for changes and applies them. Reads the whole list if the store's history does not
    /// reach back far enough.
    async fn watch(&self) -> Result<(), Error> {
        let after = self.replica.cursor();
        let sent_at = self.now();
        let wait = replica::watch_wait(self.replica.proof_age(sent_at));
        let Some((changes, head_at)) = self.request_changes(after, wait).await? else {
            log::info!(
                "event=store state=changes_unavailable epoch={} revision={}",
                after.epoch,
                after.revision
            );
            if self.wait_for_peer_list(after).await {
                return Ok(());
            }
            return self.read_list_again().await;
        };
        let now = self.now();
        // The call would have timed out by then, so the answer is not from a later time, even if
        // the process was suspended before it read the answer.
        let proved_at = head_at.min(sent_at + wait + WATCH_ANSWER_TIMEOUT);
        let unchanged = changes.items.is_empty();
        let to = Cursor { revision: changes.revision, ..after };
        if !self.replica.apply(to, changes.items, proved_at, now) {
            // A peer has sent a later epoch meanwhile.
            return Ok(());
        }
        self.send_update().await;
        if !unchanged {
            tokio::time::sleep(BATCH_PAUSE).await;
            // Datagrams may be lost, and the next update would be too late for some changes.
            self.send_update().await;
        }
        Ok(())
    }

    /// Waits for a peer that sends a later state than `after`. False if none does in time.
    async fn wait_for_peer_list(&self, after: Cursor) -> bool {
        let deadline = self.now() + replica::peer_list_wait(self.rank());
        while self.replica.cursor() <= after {
            if self.now() >= deadline {
                return false;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        true
    }

    /// Sends the latest changes to the peers, if an entry of this rank does.
    async fn send_update(&self) {
        if replica::sends_updates(self.rank()) {
            self.gossip.send_update(&self.replica).await;
        }
    }

    /// Requests the changes after `after`, and waits for them up to `wait`. Returns them with the time
    /// at which their head arrived; `None` if the store's history no longer has all of them, if they
    /// do not fit into one answer, or if the store has begun another epoch. Then only a list helps:
    /// the same changes would be as large at the next call.
    async fn request_changes(
        &self,
        after: Cursor,
        wait: Duration,
    ) -> Result<Option<(Changes, Instant)>, Error> {
        let path = store::watch_path(after.revision, wait);
        let answer = match self.get(&path, wait + WATCH_ANSWER_TIMEOUT).await {
            Err(Error::Exchange(exchange::Error::Large(limit))) => {
                log::warn!("event=store state=large_changes limit_bytes={limit}");
                return Ok(None);
            }
            answer => answer?,
        };
        if answer.status.as_u16() == store::HISTORY_GONE {
            return Ok(None);
        }
        if answer.status != StatusCode::OK {
            return Err(Error::Status(answer.status));
        }
        if answer.epoch != after.epoch {
            return Ok(None);
        }
        Ok(Some((Changes::decode(&answer.body)?, answer.head_at)))
    }

    /// Sends a GET request to the store. The head of the answer must arrive within `timeout`.
    async fn get(&self, path: &str, timeout: Duration) -> Result<Answer, Error> {
        self.metrics.store_calls.inc();
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::default())?;
        let timeouts = Timeouts { head: timeout, stall: STALL_TIMEOUT, body: BODY_TIMEOUT };
        let received =
            self.client.exchange_large(self.address, request, timeouts, MAX_ANSWER_BYTES).await?;
        let epoch = epoch(received.response.headers());
        Ok(Answer {
            status: received.response.status(),
            epoch,
            body: received.response.into_body(),
            head_at: received.head_at,
        })
    }

    /// The rank of this entry as a store reader, from 0. `None` until it has had time to receive
    /// heartbeats: without live peers, it would have the first rank.
    fn rank(&self) -> Option<usize> {
        let now = self.now();
        if now.since(self.started_at) < PEER_DISCOVERY_TIME {
            return None;
        }
        Some(self.dispatcher.peers.rank(replica::READER_KEY, now))
    }

    fn now(&self) -> Instant {
        self.dispatcher.clock().now()
    }
}

/// The epoch that an answer of the store names; the first one if it names none.
fn epoch(headers: &HeaderMap) -> u64 {
    let Some(text) = headers::text(headers, &HeaderName::from_static(store::EPOCH)) else {
        return FIRST_EPOCH;
    };
    store::parse_epoch(text).unwrap_or_else(|| {
        log::warn!("event=store field={} error=\"cannot read {text:?}\"", store::EPOCH);
        FIRST_EPOCH
    })
}
