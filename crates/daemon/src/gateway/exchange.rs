//! Datagrams between entries: signs of life, and changes of the platform's store.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use super::Flow;
use super::convert;
use super::feeder::Feeder;
use super::feeds::Feeds;
use crate::exchange::Client;
use jackdawpin_core::direct::peers::HEARTBEAT_INTERVAL;
use jackdawpin_core::direct::peers::MemberOrder;
use jackdawpin_core::direct::replica;
use jackdawpin_core::direct::replica::READER_KEY;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// A pause between two beats from which on the process has stood still.
const STOOD_STILL: Duration = Duration::from_millis(1_200);

/// Time for the answer of a peer that is asked for changes.
const FETCH_TIME: Duration = Duration::from_millis(1_000);

/// How long an entry that starts again waits for a sign of life of a peer: several round trips within
/// a region. If no peer lives, the entry serves this much later.
const FIRST_SIGN: Duration = Duration::from_millis(25);

/// Time between two looks for one.
const SIGN_LOOK: Duration = Duration::from_millis(2);

/// Time for the answer of a peer that is asked for all items, which fills a small link for a while.
const FIRST_TIME: Duration = Duration::from_millis(250);

/// Wait before changes are fetched from an entry that may have to fetch them first, and the span over
/// which the questions to it are spread.
const FETCH_WAIT: Duration = Duration::from_millis(120);
const FETCH_SPREAD: Duration = Duration::from_millis(150);

/// Datagrams that changes are split into at most; more of them would hold up the proof.
const MAX_PARTS: usize = 6;

/// Bytes of items in one datagram; the rest is for their framing.
const MAX_ITEMS: usize = 1_250;

/// Ports that are the same on all VMs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ports {
    pub(super) datagrams: u16,
    pub(super) control: u16,
}

/// The exchange with other entries.
#[derive(Debug)]
pub(super) struct Exchange {
    flow: Arc<Flow>,
    socket: UdpSocket,
    feeds: Feeds,
    /// Port of the datagrams.
    port: u16,
    own: Ipv4Addr,
    /// The revisions that the last two messages reached. A message starts from the older one, so
    /// that one that is lost is made up for by the next.
    passed: Mutex<[u64; 2]>,
    /// Whether changes are being fetched.
    fetching: AtomicBool,
}

impl Exchange {
    /// Binds the socket of the entry at `own`.
    ///
    /// # Errors
    ///
    /// The port cannot be bound.
    pub(super) async fn bind(
        flow: Arc<Flow>,
        client: Arc<Client>,
        own: Ipv4Addr,
        ports: Ports,
    ) -> io::Result<Self> {
        Ok(Self {
            flow,
            socket: UdpSocket::bind((own, ports.datagrams)).await?,
            feeds: Feeds::new(client, ports.control),
            port: ports.datagrams,
            own,
            passed: Mutex::new(Rank::Connections, [0; 2]),
            fetching: AtomicBool::new(false),
        })
    }

    /// Sends and receives until `cancel`.
    pub(super) async fn run(self: Arc<Self>, feeder: Arc<Feeder>, cancel: CancellationToken) {
        self.join().await;
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.beat(&feeder) => {}
            () = self.receive(&feeder) => {}
        }
    }

    async fn join(&self) {
        let message = self.own_beat(MemberOrder::LatestFirst);
        for seed in self.flow.peers.seeds() {
            self.send(&message, seed).await;
        }
    }

    /// Tells all live entries at once that this one leaves.
    pub(super) async fn say_leaving(&self) {
        let message = self.own_beat(MemberOrder::LatestFirst);
        for ip in self.flow.peers.live_entries(self.now()) {
            self.send(&message, ip).await;
        }
    }

    /// Passes the latest changes on to all live entries, to those of other failure domains through
    /// a few relays there.
    pub(super) async fn pass_on(&self, feeder: &Feeder) {
        let now = self.now();
        let at = feeder.at();
        let from = {
            let mut passed = self.passed.lock();
            let from = passed[0];
            *passed = [passed[1], at];
            from
        };
        let delta = feeder.since(from.max(1), now);
        let ahead = wire::Ahead { to: delta.to, age_ms: convert::millis(delta.proof_age) };
        let (mut parts, mut whole) = delta.split(MAX_ITEMS, convert::size);
        if parts.len() > MAX_PARTS {
            (parts, whole) = (Vec::new(), false);
        }
        let mut news: Vec<wire::News> =
            parts.iter().map(|part| wire::News::Delta(convert::delta(part))).collect();
        if !whole {
            news.push(wire::News::Ahead(ahead));
        }
        let (near, relays) =
            (self.flow.peers.same_domain(now), self.flow.peers.relays(READER_KEY, now));
        for news in news {
            self.send_all(&wire::Datagram::Relay(news.clone()), &relays).await;
            self.send_all(&wire::Datagram::News(news), &near).await;
        }
    }

    async fn beat(&self, feeder: &Feeder) {
        let mut last = self.now();
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            if now.since(last) > STOOD_STILL {
                log::warn!("event=stood_still ms={}", now.since(last).as_millis());
                self.flow.peers.note_suspension(now);
                feeder.distrust();
            }
            last = now;
            let targets = self.flow.peers.next_heartbeat(now, self.flow.random());
            self.send_all(&self.own_beat(MemberOrder::LatestFirst), &targets.latest_first).await;
            if !targets.own_domain_first.is_empty() {
                self.send_all(
                    &self.own_beat(MemberOrder::OwnDomainFirst),
                    &targets.own_domain_first,
                )
                .await;
            }
        }
    }

    async fn receive(self: &Arc<Self>, feeder: &Arc<Feeder>) {
        let mut buffer = [0; wire::MAX_DATAGRAM + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, SocketAddr::V4(from))) => {
                    match wire::decode::<wire::Datagram>(&buffer[..len]) {
                        Ok(message) => self.take(message, *from.ip(), feeder).await,
                        Err(err) => log::warn!("event=datagram from={from} error=\"{err}\""),
                    }
                }
                Ok((_, from)) => log::warn!("event=datagram from={from} error=\"not IPv4\""),
                // An earlier datagram was refused by its receiver, whose process has ended.
                Err(err) => log::debug!("event=datagram error=\"{err}\""),
            }
        }
    }

    async fn take(self: &Arc<Self>, message: wire::Datagram, from: Ipv4Addr, feeder: &Arc<Feeder>) {
        let now = self.now();
        match message {
            wire::Datagram::Beat(beat) => {
                if self.flow.peers.receive(from, convert::rows(&beat), now).needs_reply {
                    self.send(&self.own_beat(MemberOrder::LatestFirst), from).await;
                }
            }
            wire::Datagram::News(news) => {
                let spread = u64::try_from(FETCH_SPREAD.as_micros()).unwrap_or(0);
                let spread = Duration::from_micros(self.flow.random().below(spread));
                self.take_news(news, from, FETCH_WAIT + spread, feeder);
            }
            wire::Datagram::Relay(news) => {
                let near = self.flow.peers.same_domain(now);
                self.send_all(&wire::Datagram::News(news.clone()), &near).await;
                self.take_news(news, from, Duration::ZERO, feeder);
            }
        }
    }

    /// Takes news in. What is missing here is fetched from the sender after `wait`.
    fn take_news(
        self: &Arc<Self>,
        news: wire::News,
        from: Ipv4Addr,
        wait: Duration,
        feeder: &Arc<Feeder>,
    ) {
        let now = self.now();
        let complete = match news {
            wire::News::Delta(delta) => feeder.take(convert::changes(delta), now),
            wire::News::Ahead(ahead) => {
                feeder.confirm(ahead.to, Duration::from_millis(ahead.age_ms), now)
            }
        };
        if !complete {
            self.spawn_fetch(from, wait, feeder);
        }
    }

    /// Fetches the changes that are missing here and that `peer` has, unless that is under way.
    fn spawn_fetch(self: &Arc<Self>, peer: Ipv4Addr, wait: Duration, feeder: &Arc<Feeder>) {
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let (exchange, feeder) = (Arc::clone(self), Arc::clone(feeder));
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            exchange.fetch(peer, &feeder).await;
            exchange.fetching.store(false, Ordering::Release);
        });
    }

    /// Asks a peer for all items, so that an entry that starts among others need not read them from
    /// the store. Nothing is taken if no peer answers soon, or if what it knows may be out of date.
    pub(super) async fn fetch_first(&self, feeder: &Feeder) {
        let Some(peer) = self.first_peer().await else {
            return;
        };
        match self.feeds.changes(peer, 0, FIRST_TIME).await {
            Ok(delta) => {
                let (to, age_ms) = (delta.to, delta.proof_age.as_millis());
                let taken =
                    to > 0 && replica::is_recent(delta.proof_age) && feeder.take(delta, self.now());
                log::info!("event=fetch peer={peer} from=0 to={to} age_ms={age_ms} taken={taken}");
            }
            Err(err) => log::warn!("event=fetch peer={peer} error=\"{err}\""),
        }
    }

    /// The first peer that shows a sign of life.
    async fn first_peer(&self) -> Option<Ipv4Addr> {
        let end = self.now() + FIRST_SIGN;
        loop {
            let now = self.now();
            let met = self.flow.peers.contacted_peer(now);
            if met.is_some() || now >= end {
                return met;
            }
            tokio::time::sleep(SIGN_LOOK).await;
        }
    }

    async fn fetch(&self, peer: Ipv4Addr, feeder: &Feeder) {
        match self.feeds.changes(peer, feeder.at(), FETCH_TIME).await {
            Ok(delta) => {
                let (from, to) = (delta.from, delta.to);
                let taken = feeder.take(delta, self.now());
                log::info!("event=fetch peer={peer} from={from} to={to} taken={taken}");
            }
            Err(err) => log::warn!("event=fetch peer={peer} error=\"{err}\""),
        }
    }

    fn own_beat(&self, to: MemberOrder) -> wire::Datagram {
        let rows = self.flow.peers.heartbeat_members(to, self.now(), self.flow.random());
        wire::Datagram::Beat(convert::beat(&rows))
    }

    async fn send_all(&self, message: &wire::Datagram, to: &[Ipv4Addr]) {
        for ip in to {
            self.send(message, *ip).await;
        }
    }

    async fn send(&self, message: &wire::Datagram, to: Ipv4Addr) {
        if to == self.own {
            return;
        }
        let bytes = match wire::encode_short(message) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("event=datagram error=\"{err}\""),
        };
        if let Err(err) = self.socket.send_to(&bytes, (to, self.port)).await {
            log::debug!("event=datagram to={to} error=\"{err}\"");
        }
    }

    fn now(&self) -> Instant {
        self.flow.clock().now()
    }
}
