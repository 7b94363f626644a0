//! Gossip between entries in UDP datagrams: heartbeats, and [`updates`] with the changes of the
//! platform's store.

mod reach;
mod updates;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use self::updates::PendingNotice;
use super::Dispatcher;
use super::convert;
use super::peer_client::PeerClient;
use super::store_replica::StoreReplica;
use super::suspect_gossip;
use crate::exchange::Client;
use jackdawpin_core::direct::peers::HEARTBEAT_INTERVAL;
use jackdawpin_core::direct::peers::MemberOrder;
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;
use jackdawpin_core::port::Clock;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// Time between two heartbeats above which the process must have been suspended.
const SUSPENDED_AFTER: Duration = Duration::from_millis(1_200);

/// Ports that are the same on all VMs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ports {
    /// UDP port for datagrams between entries.
    pub(super) datagrams: u16,
    /// TCP port of the control listener.
    pub(super) control: u16,
}

/// Sends gossip to the other entries, and handles the gossip that they send.
#[derive(Debug)]
pub(super) struct Gossip {
    dispatcher: Arc<Dispatcher>,
    socket: UdpSocket,
    peer_client: PeerClient,
    /// UDP port of all entries.
    port: u16,
    /// Address of this entry.
    own_ip: Ipv4Addr,
    /// The positions up to which the last two updates went. An update starts from the older one, so
    /// that it also has the changes of the one before, which may be lost.
    sent: Mutex<[Cursor; 2]>,
    /// Whether changes are being fetched.
    fetching: AtomicBool,
    /// Notices to be sent on once the changes that they announce are here.
    pending: Mutex<Vec<PendingNotice>>,
    /// Limits the questions of other entries that are being answered.
    questions: Arc<Semaphore>,
}

impl Gossip {
    /// Binds the UDP socket of this entry, which has the address `own_ip`.
    ///
    /// # Errors
    ///
    /// The port cannot be bound.
    pub(super) async fn bind(
        dispatcher: Arc<Dispatcher>,
        client: Arc<Client>,
        own_ip: Ipv4Addr,
        ports: Ports,
    ) -> io::Result<Self> {
        Ok(Self {
            dispatcher,
            socket: UdpSocket::bind((own_ip, ports.datagrams)).await?,
            peer_client: PeerClient::new(client, ports.control),
            port: ports.datagrams,
            own_ip,
            sent: Mutex::new(Rank::Connections, [Cursor::default(); 2]),
            fetching: AtomicBool::new(false),
            pending: Mutex::new(Rank::Connections, Vec::new()),
            questions: Arc::new(Semaphore::new(reach::MAX_PENDING_QUESTIONS)),
        })
    }

    /// Joins the other entries, then sends heartbeats and handles datagrams until `cancel`.
    pub(super) async fn run(
        self: Arc<Self>,
        replica: Arc<StoreReplica>,
        cancel: CancellationToken,
    ) {
        self.join().await;
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.send_heartbeats(&replica) => {}
            () = self.receive_datagrams(&replica) => {}
            () = self.send_urgent_suspects() => {}
            () = self.ask_for_services() => {}
        }
    }

    /// Sends a heartbeat to the seeds.
    async fn join(&self) {
        let message = self.own_heartbeat(MemberOrder::LatestFirst);
        for seed in self.dispatcher.peers.seeds() {
            self.send(&message, seed).await;
        }
    }

    /// Sends a heartbeat to all live entries at once, which says that this one is leaving.
    pub(super) async fn announce_leaving(&self) {
        let message = self.own_heartbeat(MemberOrder::LatestFirst);
        for ip in self.dispatcher.peers.live_entries(self.now()) {
            self.send(&message, ip).await;
        }
    }

    /// Sends heartbeats at a fixed interval, and notices when the process was suspended.
    async fn send_heartbeats(&self, replica: &StoreReplica) {
        let mut last_run = self.now();
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = self.now();
            if now.since(last_run) > SUSPENDED_AFTER {
                log::warn!("event=stood_still ms={}", now.since(last_run).as_millis());
                self.dispatcher.peers.note_suspension(now);
                replica.discard_proofs();
                self.dispatcher.discard_proof();
            }
            last_run = now;
            let targets = self.dispatcher.peers.next_heartbeat(now, self.dispatcher.random());
            self.send_all(&self.own_heartbeat(MemberOrder::LatestFirst), &targets.latest_first)
                .await;
            if let Some(suspects) = suspect_gossip::message(&self.dispatcher.suspects, now) {
                self.send_all(&suspects, &targets.latest_first).await;
                self.send_all(&suspects, &targets.own_domain_first).await;
            }
            if !targets.own_domain_first.is_empty() {
                self.send_all(
                    &self.own_heartbeat(MemberOrder::OwnDomainFirst),
                    &targets.own_domain_first,
                )
                .await;
            }
        }
    }

    /// Sends changed records of suspect requests to all live entries at once.
    async fn send_urgent_suspects(&self) {
        loop {
            let records = self.dispatcher.suspects.next_urgent().await;
            let now = self.now();
            let entries = self.dispatcher.peers.live_entries(now);
            for message in suspect_gossip::messages(&records, now) {
                self.send_all(&message, &entries).await;
            }
        }
    }

    /// Receives datagrams and handles them.
    async fn receive_datagrams(self: &Arc<Self>, replica: &Arc<StoreReplica>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, SocketAddr::V4(from))) => {
                    match wire::decode::<wire::Datagram>(&buffer[..len]) {
                        Ok(message) => self.handle(message, *from.ip(), replica).await,
                        Err(err) => log::warn!("event=datagram from={from} error=\"{err}\""),
                    }
                }
                Ok((_, from)) => log::warn!("event=datagram from={from} error=\"not IPv4\""),
                // The receiver of an earlier datagram refused it, because its process has ended.
                Err(err) => log::debug!("event=datagram error=\"{err}\""),
            }
        }
    }

    /// Handles a datagram from the entry at `from`.
    async fn handle(
        self: &Arc<Self>,
        message: wire::Datagram,
        from: Ipv4Addr,
        replica: &Arc<StoreReplica>,
    ) {
        let now = self.now();
        match message {
            wire::Datagram::Beat(heartbeat) => {
                if self
                    .dispatcher
                    .peers
                    .receive(from, convert::members_from_wire(&heartbeat), now)
                    .needs_reply
                {
                    self.send(&self.own_heartbeat(MemberOrder::LatestFirst), from).await;
                    if let Some(suspects) = suspect_gossip::message(&self.dispatcher.suspects, now)
                    {
                        self.send(&suspects, from).await;
                    }
                }
            }
            wire::Datagram::Suspects(received) => {
                suspect_gossip::merge(&self.dispatcher.suspects, &received, now);
            }
            wire::Datagram::ReachQuery(services) => self.answer_question(&services, from),
            wire::Datagram::Reach(reach) => self.record_reach(&reach, from),
            wire::Datagram::News(update) => {
                self.merge_update(&update, from, &[], replica).await;
            }
            wire::Datagram::Relay(relayed) => {
                let targets: Vec<Ipv4Addr> =
                    relayed.targets.into_iter().map(Ipv4Addr::from_bits).collect();
                self.merge_update(&relayed.update, from, &targets, replica).await;
            }
        }
    }

    /// A heartbeat of this entry, with members in the order `order`.
    fn own_heartbeat(&self, order: MemberOrder) -> wire::Datagram {
        let members =
            self.dispatcher.peers.heartbeat_members(order, self.now(), self.dispatcher.random());
        wire::Datagram::Beat(convert::heartbeat_to_wire(&members))
    }

    async fn send_all(&self, message: &wire::Datagram, to: &[Ipv4Addr]) {
        for ip in to {
            self.send(message, *ip).await;
        }
    }

    async fn send(&self, message: &wire::Datagram, to: Ipv4Addr) {
        if to == self.own_ip {
            return;
        }
        let bytes = match wire::encode_compact(message) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("event=datagram error=\"{err}\""),
        };
        if let Err(err) = self.socket.send_to(&bytes, (to, self.port)).await {
            log::debug!("event=datagram to={to} error=\"{err}\"");
        }
    }

    fn now(&self) -> Instant {
        self.dispatcher.clock().now()
    }
}
