//! Helpers of the tests of direct choice: names, a clock that follows the paused time of the test,
//! a seeded source of random numbers, and test doubles of servers in memory.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "only tests use this module")]

pub mod queues;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;

use jackdawpin_core::direct::config::Config;
use jackdawpin_core::direct::config::Host;
use jackdawpin_core::direct::config::Kind;
use jackdawpin_core::direct::config::Limits;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::config::Service;
use jackdawpin_core::direct::config::WeightedService;
use jackdawpin_core::direct::dispatch::Bounds;
use jackdawpin_core::direct::dispatch::Dispatcher;
use jackdawpin_core::direct::fleet::Fleet;
use jackdawpin_core::direct::fleet::Load;
use jackdawpin_core::direct::fleet::LoadReport;
use jackdawpin_core::direct::fleet::Server;
use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::peers::Peers;
use jackdawpin_core::direct::port::Attempt;
use jackdawpin_core::direct::port::Backend;
use jackdawpin_core::direct::port::Forward;
use jackdawpin_core::direct::port::ForwardEnd;
use jackdawpin_core::direct::port::ForwardReply;
use jackdawpin_core::direct::port::Notice;
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::direct::port::Reply;
use jackdawpin_core::direct::port::Upload;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::direct::retries;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::request::Content;
use jackdawpin_core::time::Instant;

/// Service of all server doubles.
pub const SERVICE: &str = "desk";

/// Time after which a server double breaks a connection.
pub const BREAK_TIME: Duration = Duration::from_millis(5);

/// Time that a server double takes to answer a probe.
pub const PROBE_TIME: Duration = Duration::from_millis(2);

pub fn vm(text: &str) -> name::Vm {
    name::Vm::try_from(text).unwrap()
}

pub fn service(text: &str) -> name::Service {
    name::Service::try_from(text).unwrap()
}

pub fn domain(text: &str) -> name::Domain {
    name::Domain::try_from(text).unwrap()
}

/// The point in time `millis` milliseconds after the clock's origin.
pub fn at(millis: u64) -> Instant {
    Instant::from_nanos(millis * 1_000_000)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The address of server `number`.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Server `number`, named `s` and the number, as the platform lists it.
pub fn server(number: u16, in_domain: &str) -> Server {
    Server {
        name: vm(&format!("s{number}")),
        service: service(SERVICE),
        address: address(number),
        domain: domain(in_domain),
        slots: 3,
        draining: false,
        started_ms: 1,
        sequence: 1,
    }
}

pub fn idle_report() -> LoadReport {
    loaded_report(0, 100)
}

pub fn loaded_report(running: u32, slowdown: u32) -> LoadReport {
    let load = Load { running, waiting: 0, slots: 3, slowdown };
    LoadReport { load: Some(load), cold_for: Duration::ZERO }
}

pub fn cold_report() -> LoadReport {
    LoadReport { cold_for: ms(2_000), ..idle_report() }
}

/// Random numbers from a seed.
pub struct SeededRandom(Mutex<fastrand::Rng>);

impl SeededRandom {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(fastrand::Rng::with_seed(seed)))
    }
}

impl Random for SeededRandom {
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.0.lock().unwrap().u64(..bound) }
    }
}

/// The time of the test's runtime, which advances only while all tasks wait.
#[derive(Debug, Clone, Copy)]
pub struct PausedClock(pub tokio::time::Instant);

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        let elapsed = tokio::time::Instant::now() - self.0;
        // Not zero, so that a time before the start of the test exists.
        at(100_000) + elapsed
    }

    fn wall_millis(&self) -> u64 {
        0
    }

    async fn sleep_until(&self, at: Instant) {
        tokio::time::sleep(at.since(self.now())).await;
    }
}

/// A body that is passed on as it arrives: it has begun once a server double has received it.
#[derive(Debug, Default)]
pub struct UploadDouble(pub AtomicBool);

impl Upload for UploadDouble {
    fn has_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a server double does with attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with this status after this time.
    Answer(u16, Duration),
    /// Answers that it did not run the request.
    Shed,
    /// Runs the request and breaks the connection.
    BreakConnection,
    /// Crashes after half of this time under requests for this path, and answers all others with 200
    /// after this time.
    CrashOn(&'static str, Duration),
    /// Cannot be reached, not even by probes.
    Unreachable,
    /// Runs the request and never answers.
    NeverAnswer,
}

/// A test double of a server.
#[derive(Debug, Clone)]
pub struct ServerDouble {
    pub behaviour: Behaviour,
    pub report: LoadReport,
    pub healthy: bool,
    pub notice: Notice,
    pub name: name::Vm,
}

/// The server doubles, and what they and the dispatcher did.
#[derive(Debug, Default)]
pub struct DoubleState {
    pub doubles: HashMap<SocketAddr, ServerDouble>,
    /// Request id and server of each attempt that reached a server.
    pub arrivals: Vec<(String, name::Vm)>,
    /// Number of runs by request id.
    pub runs: HashMap<String, u32>,
    pub probes: u32,
    /// The last value that [`Backend::set_max_idle`] got.
    pub max_idle: Option<usize>,
    /// Attempts whose future was dropped before its answer.
    pub dropped: u32,
    /// Servers that crashed, and what they did before.
    pub crashed: HashMap<SocketAddr, Behaviour>,
    /// Attempts that wait for an answer, by server.
    pub busy: HashMap<SocketAddr, u32>,
    /// The ends of forwards to each entry; `NotSent` for all others.
    pub forward_ends: HashMap<Ipv4Addr, ForwardReply>,
    /// The forwards, in their order.
    pub forwards: Vec<ForwardSeen>,
}

/// A request that was passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardSeen {
    pub entry: Ipv4Addr,
    pub id: String,
    pub service: name::Service,
    pub config_version: u64,
    pub max_attempts: u32,
    pub waited: Duration,
    pub time_left: Duration,
}

/// A [`Backend`] over server doubles.
#[derive(Debug, Clone, Default)]
pub struct ServerDoubles(pub Arc<Mutex<DoubleState>>);

impl ServerDoubles {
    /// Adds server `number`, or replaces it.
    pub fn add(&self, number: u16, behaviour: Behaviour, report: LoadReport) {
        let double = ServerDouble {
            behaviour,
            report,
            healthy: true,
            notice: Notice::default(),
            name: vm(&format!("s{number}")),
        };
        self.0.lock().unwrap().doubles.insert(address(number), double);
    }

    /// Number of servers that have crashed.
    pub fn crashed(&self) -> usize {
        self.0.lock().unwrap().crashed.len()
    }

    /// Crashes all servers that are running a request.
    pub fn crash_busy(&self) {
        let mut state = self.0.lock().unwrap();
        let busy: Vec<_> = state.busy.iter().filter(|(_, count)| **count > 0).collect();
        let busy: Vec<_> = busy.into_iter().map(|(address, _)| *address).collect();
        for address in busy {
            state.crash(address);
        }
    }

    /// Crashes all servers, or cuts the links to them: an entry sees no difference.
    pub fn crash_all(&self) {
        let mut state = self.0.lock().unwrap();
        let addresses: Vec<_> = state.doubles.keys().copied().collect();
        for address in addresses {
            state.crash(address);
        }
    }

    /// Restarts all servers that have crashed.
    pub fn restart_all(&self) {
        let mut state = self.0.lock().unwrap();
        for (address, behaviour) in std::mem::take(&mut state.crashed) {
            state.doubles.get_mut(&address).unwrap().behaviour = behaviour;
        }
    }

    /// How often the request `id` has run.
    pub fn runs(&self, id: &str) -> u32 {
        self.0.lock().unwrap().runs.get(id).copied().unwrap_or(0)
    }

    /// Request id and server of each attempt that reached a server.
    pub fn arrivals(&self) -> Vec<(String, name::Vm)> {
        self.0.lock().unwrap().arrivals.clone()
    }
}

impl DoubleState {
    fn crash(&mut self, address: SocketAddr) {
        let double = self.doubles.get_mut(&address).unwrap();
        let before = std::mem::replace(&mut double.behaviour, Behaviour::Unreachable);
        if before != Behaviour::Unreachable {
            self.crashed.insert(address, before);
        }
    }
}

/// Counts an attempt as dropped unless the second field is set before.
struct DropCounter<'a>(&'a ServerDoubles, bool);

impl Drop for DropCounter<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.0.lock().unwrap().dropped += 1;
        }
    }
}

impl ServerDoubles {
    /// Runs a request for `time`, unless its server crashes before, because the request `crashes` it
    /// or for another reason.
    async fn run_or_crash(
        &self,
        attempt: &Attempt<'_, UploadDouble>,
        crashes: bool,
        time: Duration,
    ) -> Verdict {
        let address = attempt.address;
        *self.0.lock().unwrap().busy.entry(address).or_default() += 1;
        tokio::time::sleep(time / 2).await;
        if crashes {
            self.0.lock().unwrap().crash(address);
        }
        tokio::time::sleep(ms(1)).await;
        let has_crashed = || self.0.lock().unwrap().crashed.contains_key(&address);
        if !has_crashed() {
            tokio::time::sleep(time / 2).await;
        }
        *self.0.lock().unwrap().busy.entry(address).or_default() -= 1;
        match has_crashed() {
            true => Verdict::MayHaveRun(Verdict::CONNECTION_BROKEN),
            false => Verdict::Ran(Answer { status: 200, headers: Vec::new(), body: Bytes::new() }),
        }
    }
}

impl Backend for ServerDoubles {
    type Upload = UploadDouble;

    async fn send(&self, attempt: Attempt<'_, UploadDouble>) -> Reply {
        let double = self.0.lock().unwrap().doubles.get(&attempt.address).cloned();
        let Some(double) = double.filter(|double| double.behaviour != Behaviour::Unreachable)
        else {
            return Verdict::NotSent.into();
        };
        if let Some(upload) = attempt.upload {
            upload.0.store(true, Ordering::Relaxed);
        }
        {
            let mut state = self.0.lock().unwrap();
            state.arrivals.push((attempt.id.to_owned(), double.name.clone()));
            if double.name != *attempt.server {
                return Verdict::Misdirected.into();
            }
            if double.behaviour == Behaviour::Shed {
                return Verdict::Shed.into();
            }
            *state.runs.entry(attempt.id.to_owned()).or_default() += 1;
        }
        let mut counter = DropCounter(self, false);
        let verdict = match double.behaviour {
            Behaviour::Answer(status, time) => {
                tokio::time::sleep(time).await;
                Verdict::Ran(Answer { status, headers: Vec::new(), body: Bytes::new() })
            }
            Behaviour::CrashOn(path, time) => {
                self.run_or_crash(&attempt, *attempt.content.path == *path, time).await
            }
            Behaviour::NeverAnswer => {
                let clock = CLOCK.with(|clock| *clock.borrow());
                clock.unwrap().sleep_until(attempt.deadline).await;
                Verdict::MayHaveRun("timeout")
            }
            _ => {
                tokio::time::sleep(BREAK_TIME).await;
                Verdict::MayHaveRun(Verdict::CONNECTION_BROKEN)
            }
        };
        counter.1 = true;
        // A broken connection or a missing answer brings no notice.
        let notice = matches!(verdict, Verdict::Ran(_)).then_some(double.notice);
        Reply { verdict, notice }
    }

    async fn forward(&self, forward: Forward<'_, UploadDouble>) -> ForwardReply {
        let now = CLOCK.with(|clock| *clock.borrow()).unwrap().now();
        let mut state = self.0.lock().unwrap();
        state.forwards.push(ForwardSeen {
            entry: forward.entry,
            id: forward.id.to_owned(),
            service: forward.service.clone(),
            config_version: forward.config_version,
            max_attempts: forward.max_attempts,
            waited: forward.waited,
            time_left: forward.deadline.since(now),
        });
        let end = state.forward_ends.get(&forward.entry).cloned();
        end.unwrap_or_else(|| ForwardEnd::NotSent.into())
    }

    fn set_max_idle(&self, max: usize) {
        self.0.lock().unwrap().max_idle = Some(max);
    }

    async fn probe(&self, address: SocketAddr, _: &str, timeout: Duration) -> Option<ProbeAnswer> {
        self.0.lock().unwrap().probes += 1;
        let double = self.0.lock().unwrap().doubles.get(&address).cloned();
        let Some(double) = double.filter(|double| double.behaviour != Behaviour::Unreachable)
        else {
            tokio::time::sleep(timeout).await;
            return None;
        };
        tokio::time::sleep(PROBE_TIME).await;
        Some(ProbeAnswer {
            server: Some(double.name),
            healthy: double.healthy,
            report: double.report,
            notice: double.notice,
        })
    }
}

thread_local! {
    /// The clock of the test, for [`Behaviour::NeverAnswer`].
    static CLOCK: std::cell::RefCell<Option<PausedClock>> = const { std::cell::RefCell::new(None) };
}

pub const BOUNDS: Bounds = Bounds {
    retry: retries::Limit { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) },
    cold_factor: 1.5,
    cold_slack: 5.0,
    probe_rate: 60.0,
};

/// A route to [`SERVICE`] with a timeout of 800 ms and a latency target of 300 ms.
pub fn route(idempotent: bool) -> Route {
    Route {
        name: "r".into(),
        prefix: "/r/".into(),
        kind: if idempotent { Kind::Idempotent } else { Kind::AtMostOnce },
        timeout: Some(ms(800)),
        latency_target: Some(ms(300)),
        priority: 1,
        max_attempts: 2,
        services: smallvec::smallvec![WeightedService { service: service(SERVICE), weight: 1 }],
        split_position: AtomicU32::new(0),
    }
}

/// A configuration with `routes` for the host `a.example`.
pub fn config(version: u64, routes: Vec<Route>) -> Config {
    let host =
        Host { name: "a.example".into(), routes: routes.into_iter().map(Arc::new).collect() };
    Config {
        version,
        hosts: vec![host],
        services: vec![Service {
            name: service(SERVICE),
            probe_path: "/health".into(),
            connections: 240,
            cold_rate: 7.3,
        }],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
        unknown_kinds: smallvec::SmallVec::new(),
    }
}

/// The entry with the address 10.0.0.`number`.
pub fn member(number: u8, in_domain: &str) -> Member {
    Member {
        ip: Ipv4Addr::new(10, 0, 0, number),
        domain: domain(in_domain),
        incarnation: 1,
        heartbeat: 0,
        leaving: false,
    }
}

pub type TestDispatcher = Dispatcher<ServerDoubles, PausedClock, SeededRandom>;

/// The dispatcher of an entry in domain `a` with server doubles, in a runtime whose time is paused.
pub fn dispatcher(doubles: &ServerDoubles, servers: &[Server], seed: u64) -> Arc<TestDispatcher> {
    let clock = PausedClock(tokio::time::Instant::now());
    CLOCK.with(|current| *current.borrow_mut() = Some(clock));
    let fleet = Fleet::new(domain("a"), member(1, "a").ip);
    for server in servers {
        fleet.update(server.clone(), clock.now());
    }
    let peers = Peers::new(member(1, "a"), Vec::new());
    let ports = (doubles.clone(), clock, SeededRandom::new(seed));
    Arc::new(Dispatcher::new((fleet, peers), ports, BOUNDS))
}

pub fn content() -> Content {
    Content { method: "GET".into(), path: "/r/1".into(), headers: Vec::new(), body: Bytes::new() }
}
