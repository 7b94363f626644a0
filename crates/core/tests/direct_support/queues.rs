//! Servers with slots and queues that several entries share, with paused time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Semaphore;

use super::BOUNDS;
use super::PROBE_TIME;
use super::PausedClock;
use super::SeededRandom;
use super::UploadDouble;
use super::address;
use super::config;
use super::domain;
use super::member;
use super::ms;
use super::route;
use super::server;
use jackdawpin_core::direct::dispatch::Dispatcher;
use jackdawpin_core::direct::fleet::Fleet;
use jackdawpin_core::direct::fleet::Load;
use jackdawpin_core::direct::fleet::LoadReport;
use jackdawpin_core::direct::fleet::Server;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::port::Attempt;
use jackdawpin_core::direct::port::Backend;
use jackdawpin_core::direct::port::Forward;
use jackdawpin_core::direct::port::ForwardEnd;
use jackdawpin_core::direct::port::ForwardReply;
use jackdawpin_core::direct::port::NamedLimit;
use jackdawpin_core::direct::port::Notice;
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::direct::port::Reply;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::outcome::Answer;

/// Share of the slots above which a server slows down.
const KNEE: f64 = 0.8;

/// Factor on the time of work above [`KNEE`].
const KNEE_FACTOR: f64 = 1.7;

/// Time that a request takes to its server.
const LATENCY: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct QueueServer {
    slots: u32,
    work_time: Duration,
    permits: Semaphore,
    /// Requests that run and wait.
    busy: Mutex<u32>,
    /// What the server says of itself in its answers.
    notice: Mutex<Notice>,
    /// When requests arrived, since the start of the test.
    arrivals: Mutex<Vec<Duration>>,
}

impl QueueServer {
    fn load(&self) -> Load {
        let busy = *self.busy.lock().unwrap();
        let running = busy.min(self.slots);
        Load { running, waiting: busy - running, slots: self.slots, slowdown: 100 }
    }

    /// Runs a request; never returns if there is no room for it.
    async fn run(&self) {
        let admitted = {
            let mut busy = self.busy.lock().unwrap();
            let admitted = *busy < 2 * self.slots;
            *busy += u32::from(admitted);
            admitted
        };
        if !admitted {
            std::future::pending::<()>().await;
        }
        let _leave = Leave(self);
        let _permit = self.permits.acquire().await.unwrap();
        let nearly_full = f64::from(self.load().running) > KNEE * f64::from(self.slots);
        let factor = if nearly_full { KNEE_FACTOR } else { 1.0 };
        tokio::time::sleep(self.work_time.mul_f64(factor)).await;
    }
}

/// Ends a request at a server, also if its caller has gone.
struct Leave<'a>(&'a QueueServer);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        *self.0.busy.lock().unwrap() -= 1;
    }
}

/// The servers; clones share them.
#[derive(Debug, Clone)]
pub struct QueueServers {
    by_address: Arc<HashMap<SocketAddr, QueueServer>>,
    slots: u32,
    clock: PausedClock,
}

impl QueueServers {
    /// `count` servers that work on `slots` requests at a time, for `work_time` each, and queue as
    /// many.
    pub fn new(count: u16, slots: u32, work_time: Duration) -> Self {
        let server = |number| {
            let permits = Semaphore::new(usize::try_from(slots).unwrap());
            let server = QueueServer {
                slots,
                work_time,
                permits,
                busy: Mutex::new(0),
                notice: Mutex::default(),
                arrivals: Mutex::default(),
            };
            (address(number), server)
        };
        let by_address = Arc::new((1..=count).map(server).collect());
        Self { by_address, slots, clock: PausedClock(tokio::time::Instant::now()) }
    }

    /// Makes server `number` name a rate limit from now on.
    pub fn name_limit(&self, number: u16, limit: NamedLimit) {
        let mut notice = self.by_address[&address(number)].notice.lock().unwrap();
        notice.rate_limit = limit;
    }

    /// When requests arrived at server `number`, since the start of the test.
    pub fn arrivals(&self, number: u16) -> Vec<Duration> {
        self.by_address[&address(number)].arrivals.lock().unwrap().clone()
    }

    /// Entry `number` of `entries`, which knows all others and all servers.
    pub fn entry(
        &self,
        number: u8,
        entries: u8,
    ) -> Arc<Dispatcher<Self, PausedClock, SeededRandom>> {
        let now = jackdawpin_core::port::Clock::now(&self.clock);
        let fleet = Fleet::new(domain("a"), member(number, "a").ip);
        for server_number in 1..=u16::try_from(self.by_address.len()).unwrap() {
            fleet.update(Server { slots: self.slots, ..server(server_number, "a") }, now);
        }
        let peers = Peers::new(member(number, "a"), Vec::new());
        for peer in (1..=entries).filter(|peer| *peer != number) {
            let peer = member(peer, "a");
            peers.receive(peer.ip, [peer], now);
        }
        let ports = (self.clone(), self.clock, SeededRandom::new(number.into()));
        let dispatcher = Dispatcher::new((fleet, peers), ports, BOUNDS);
        dispatcher.set_config(config(1, vec![route(true)]));
        Arc::new(dispatcher)
    }
}

impl Backend for QueueServers {
    type Upload = UploadDouble;

    async fn send(&self, attempt: Attempt<'_, UploadDouble>) -> Reply {
        let now = jackdawpin_core::port::Clock::now(&self.clock);
        tokio::time::sleep(LATENCY).await;
        let server = &self.by_address[&attempt.address];
        server.arrivals.lock().unwrap().push(self.clock.0.elapsed());
        let verdict = match tokio::time::timeout(attempt.deadline.since(now), server.run()).await {
            Ok(()) => Verdict::Ran(Answer { status: 200, headers: Vec::new(), body: Bytes::new() }),
            Err(_) => Verdict::MayHaveRun(Verdict::TIMEOUT),
        };
        let notice = *server.notice.lock().unwrap();
        Reply { verdict, notice: Some(notice) }
    }

    async fn forward(&self, _: Forward<'_, UploadDouble>) -> ForwardReply {
        ForwardEnd::NotSent.into()
    }

    fn set_max_idle(&self, _: usize) {}

    async fn probe(&self, address: SocketAddr, _: &str, _: Duration) -> Option<ProbeAnswer> {
        tokio::time::sleep(PROBE_TIME / 2).await;
        let server = &self.by_address[&address];
        let load = server.load();
        let notice = *server.notice.lock().unwrap();
        tokio::time::sleep(ms(1)).await;
        let report = LoadReport { load: Some(load), cold_for: Duration::ZERO };
        Some(ProbeAnswer { server: None, healthy: true, report, notice })
    }
}
