//! Reads the platform's store: all entries when they start, then only those that are to read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use quick_error::quick_error;
use tokio_util::sync::CancellationToken;

use super::Flow;
use super::exchange::Exchange;
use super::feeder::Feeder;
use super::metrics::Metrics;
use crate::clock::BootClock;
use crate::exchange;
use crate::exchange::Client;
use jackdawpin_core::direct::replica;
use jackdawpin_core::direct::replica::Item;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;
use jackdawpin_platform::store;
use jackdawpin_platform::store::Changes;
use jackdawpin_platform::store::Freshness;
use jackdawpin_platform::store::Page;

/// Time for an answer beyond the wait. The store usually takes a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(450);

/// Time for the answer to a list; a slow store may take a good part of a second.
const LIST_TIME: Duration = Duration::from_secs(2);

/// Pause after changes, so that the next answer takes several together.
const REST: Duration = Duration::from_millis(150);

/// How often an entry that does not read looks whether it should.
const LOOK: Duration = Duration::from_millis(100);

/// How long an entry of a system that starts for the first time waits for its peers, before it
/// decides whether it is one of the readers.
const GATHER: Duration = Duration::from_millis(1_200);

/// How long an entry that is not a reader then waits for what the readers pass on.
const FIRST_PASS: Duration = Duration::from_millis(1_500);

/// Largest answer of the store in bytes: 500 items of 1 MB in all, as base64 and JSON.
const MAX_ANSWER: usize = 4 << 20;

quick_error! {
    /// Why a call to the store brought nothing.
    #[derive(Debug)]
    pub enum Error {
        /// There is no whole answer.
        Exchange(err: exchange::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The answer cannot be read.
        Answer(err: jackdawpin_platform::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The store refused the call.
        Status(status: StatusCode) {
            display("status {}", status)
        }
        /// The request could not be built.
        Request(err: http::Error) {
            from()
            source(err)
            display("{}", err)
        }
    }
}

/// Reads the store.
#[derive(Debug)]
pub(super) struct Reader {
    flow: Arc<Flow>,
    feeder: Arc<Feeder>,
    exchange: Arc<Exchange>,
    metrics: Arc<Metrics>,
    client: Arc<Client>,
    address: SocketAddr,
    started: Instant,
    reading: bool,
    /// Calls in a row that failed.
    failures: u32,
}

impl Reader {
    pub(super) fn new(
        (flow, feeder, exchange): (Arc<Flow>, Arc<Feeder>, Arc<Exchange>),
        metrics: Arc<Metrics>,
        client: Arc<Client>,
        address: SocketAddr,
    ) -> Self {
        Self {
            flow,
            feeder,
            exchange,
            metrics,
            client,
            address,
            started: BootClock.now(),
            reading: false,
            failures: 0,
        }
    }

    /// Reads until `cancel`. If the whole system starts, most entries get the first items from the
    /// few that read; if only this process starts, it gets them from a peer, or reads at once.
    pub(super) async fn run(mut self, first_start: bool, cancel: CancellationToken) {
        let work = async {
            if first_start {
                self.gather().await;
            } else {
                self.exchange.fetch_first(&self.feeder).await;
            }
            loop {
                self.step().await;
            }
        };
        tokio::select! {
            () = cancel.cancelled() => {}
            () = work => {}
        }
    }

    async fn gather(&self) {
        tokio::time::sleep(GATHER).await;
        let end = self.now() + FIRST_PASS;
        while self.rank().is_none_or(|rank| rank >= replica::READER_COUNT)
            && self.feeder.at() == 0
            && self.now() < end
        {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn step(&mut self) {
        let now = self.now();
        let age = self.feeder.age(now);
        let rank = self.rank();
        let silence = self.feeder.peer_age(now).unwrap_or(now.since(self.started));
        let left = match age {
            None => Duration::ZERO,
            Some(_) => replica::proof_timeout(rank.unwrap_or(usize::MAX)).saturating_sub(silence),
        };
        let needed = left.is_zero();
        if needed != self.reading {
            let age_ms = age.map(|age| age.as_millis());
            log::info!("event=reader reads={needed} rank={rank:?} proof_age_ms={age_ms:?}");
            self.reading = needed;
        }
        if !needed {
            tokio::time::sleep(left.min(LOOK)).await;
            return;
        }
        let read = if self.feeder.at() == 0 { self.first_list().await } else { self.watch().await };
        match read {
            Ok(()) => {
                if self.failures > 0 {
                    log::info!("event=store state=regained failures={}", self.failures);
                }
                self.failures = 0;
            }
            Err(err) => self.failed(&err).await,
        }
    }

    async fn failed(&mut self, err: &Error) {
        self.metrics.store_failures.inc();
        let age = self.feeder.age(self.now()).map(|age| age.as_millis());
        log::warn!("event=store state=failed error=\"{err}\" proof_age_ms={age:?}");
        let half = replica::backoff(self.failures, self.rank()) / 2;
        self.failures = self.failures.saturating_add(1);
        let span = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.flow.random().below(span));
        tokio::time::sleep(half + jitter).await;
    }

    /// Reads all items for the first time. Most of it may be old, which costs less; the changes since
    /// then are read before anything counts.
    async fn first_list(&self) -> Result<(), Error> {
        let (mut items, at) = self.list(Freshness::Stale).await?;
        let Some(changes) = self.changes(at, Duration::ZERO).await? else {
            return self.list_again().await;
        };
        let changed = |key: &str| changes.items.iter().any(|item| *item.key == *key);
        items.retain(|item| !changed(&item.key));
        items.extend(changes.items.iter().filter(|item| item.value.is_some()).cloned());
        self.replace(changes.revision, items, self.now()).await;
        Ok(())
    }

    /// Reads all items again, because changes are missing.
    async fn list_again(&self) -> Result<(), Error> {
        let sent = self.now();
        let (items, at) = self.list(Freshness::Latest).await?;
        self.replace(at, items, sent).await;
        Ok(())
    }

    async fn replace(&self, at: u64, items: Vec<Item>, proved: Instant) {
        log::info!("event=store state=listed items={} revision={at}", items.len());
        self.feeder.replace(at, items, proved, self.now());
        self.pass_on().await;
    }

    /// All items, and the revision from which on changes may be missing in them: the pages are read
    /// one after the other, and may be of different age.
    async fn list(&self, freshness: Freshness) -> Result<(Vec<Item>, u64), Error> {
        let mut items: Vec<Item> = Vec::new();
        let mut oldest = u64::MAX;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let path = store::list_path(after.as_deref(), freshness);
            let (status, body) = self.get(&path, LIST_TIME).await?;
            if status != StatusCode::OK {
                return Err(Error::Status(status));
            }
            let page = Page::decode(&body)?;
            oldest = oldest.min(page.revision);
            let more = page.has_more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, oldest));
            }
        }
    }

    async fn watch(&self) -> Result<(), Error> {
        let after = self.feeder.at();
        let sent = self.now();
        let wait = replica::watch_wait(self.feeder.age(sent));
        let Some(changes) = self.changes(after, wait).await? else {
            log::info!("event=store state=history_gone revision={after}");
            if self.peer_lists(after).await {
                return Ok(());
            }
            return self.list_again().await;
        };
        let now = self.now();
        // The answer is at most this old, even if this process stood still before it was read.
        let proved = now.min(sent + wait + ANSWER_TIME);
        let quiet = changes.items.is_empty();
        self.feeder.advance(changes.revision, changes.items, proved, now);
        self.pass_on().await;
        if !quiet {
            tokio::time::sleep(REST).await;
            // Datagrams may get lost, and the next proof would come too late for some changes.
            self.pass_on().await;
        }
        Ok(())
    }

    /// Whether a peer has passed on more than `after` in the time that this entry waits for it.
    async fn peer_lists(&self, after: u64) -> bool {
        let end = self.now() + replica::peer_list_wait(self.rank());
        while self.feeder.at() <= after {
            if self.now() >= end {
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
        true
    }

    async fn pass_on(&self) {
        if replica::sends_updates(self.rank()) {
            self.exchange.pass_on(&self.feeder).await;
        }
    }

    /// The changes after a revision; `None` if the store has forgotten some of them.
    async fn changes(&self, after: u64, wait: Duration) -> Result<Option<Changes>, Error> {
        let (status, body) = self.get(&store::watch_path(after, wait), wait + ANSWER_TIME).await?;
        if status.as_u16() == store::HISTORY_GONE {
            return Ok(None);
        }
        if status != StatusCode::OK {
            return Err(Error::Status(status));
        }
        Ok(Some(Changes::decode(&body)?))
    }

    async fn get(&self, path: &str, time: Duration) -> Result<(StatusCode, Bytes), Error> {
        self.metrics.store_calls.inc();
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::default())?;
        let response =
            self.client.exchange(self.address, request, time, MAX_ANSWER, |_| true).await?;
        Ok((response.status(), response.into_body()))
    }

    /// The place of this entry among those that read; `None` until it has had time to hear from its
    /// peers, without which it would take itself for the first.
    fn rank(&self) -> Option<usize> {
        let now = self.now();
        if now.since(self.started) < GATHER {
            return None;
        }
        Some(self.flow.peers.rank(replica::READER_KEY, now))
    }

    fn now(&self) -> Instant {
        self.flow.clock().now()
    }
}
