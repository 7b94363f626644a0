//! What the tests of direct choice share: names, a clock that follows the paused time of the test, a
//! source of random numbers with a seed, and servers in memory.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "only tests use this module")]

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use bytes::Bytes;

use jackdawpin_core::direct::config::Config;
use jackdawpin_core::direct::config::Host;
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
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::direct::retries;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::request::Content;
use jackdawpin_core::time::Instant;

pub const SERVICE: &str = "desk";
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

pub fn at(millis: u64) -> Instant {
    Instant::from_nanos(millis * 1_000_000)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The address of the server with this number.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

pub fn server(number: u16, in_domain: &str) -> Server {
    Server {
        name: vm(&format!("s{number}")),
        service: service(SERVICE),
        address: address(number),
        domain: domain(in_domain),
        slots: 3,
        draining: false,
        started_ms: 1,
    }
}

pub fn idle() -> LoadReport {
    loaded(0, 100)
}

pub fn loaded(running: u32, pace: u32) -> LoadReport {
    let load = Load { running, waiting: 0, slots: 3, slowdown: pace };
    LoadReport { load: Some(load), cold_for: Duration::ZERO }
}

pub fn cold() -> LoadReport {
    LoadReport { cold_for: ms(2_000), ..idle() }
}

/// Random numbers from a seed.
pub struct Seeded(Mutex<fastrand::Rng>);

impl Seeded {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(fastrand::Rng::with_seed(seed)))
    }
}

impl Random for Seeded {
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.0.lock().unwrap().u64(..bound) }
    }
}

/// The time of the test's runtime, which stands still while tasks run.
#[derive(Clone, Copy)]
pub struct Paused(pub tokio::time::Instant);

impl Clock for Paused {
    fn now(&self) -> Instant {
        let since = tokio::time::Instant::now() - self.0;
        // Not zero, so that a time before the start of the test exists.
        at(100_000) + since
    }

    fn wall_millis(&self) -> u64 {
        0
    }

    async fn sleep_until(&self, until: Instant) {
        tokio::time::sleep(until.since(self.now())).await;
    }
}

/// What a server in memory does with attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Manner {
    /// Answers with this status after this time.
    Answer(u16, Duration),
    /// Says that it did not run the request.
    Shed,
    /// Runs the request and breaks the connection.
    Break,
    /// Cannot be reached, not even by probes.
    Absent,
    /// Runs the request and never answers.
    Mute,
}

#[derive(Debug, Clone)]
pub struct Double {
    pub manner: Manner,
    pub report: LoadReport,
    pub healthy: bool,
    pub name: name::Vm,
}

/// Servers in memory, and what reached them.
#[derive(Debug, Default)]
pub struct State {
    pub doubles: HashMap<SocketAddr, Double>,
    /// Request, server and time of each arrival.
    pub arrivals: Vec<(String, name::Vm)>,
    /// Runs of each request.
    pub runs: HashMap<String, u32>,
    pub probes: u32,
    /// Unused connections that are kept to each server.
    pub kept: Option<usize>,
    /// Attempts whose future was dropped before its answer.
    pub dropped: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Doubles(pub Arc<Mutex<State>>);

impl Doubles {
    pub fn add(&self, number: u16, manner: Manner, report: LoadReport) {
        let double = Double { manner, report, healthy: true, name: vm(&format!("s{number}")) };
        self.0.lock().unwrap().doubles.insert(address(number), double);
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.0.lock().unwrap().runs.get(id).copied().unwrap_or(0)
    }

    pub fn arrivals(&self) -> Vec<(String, name::Vm)> {
        self.0.lock().unwrap().arrivals.clone()
    }
}

struct Held<'a>(&'a Doubles, bool);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.0.lock().unwrap().dropped += 1;
        }
    }
}

impl Backend for Doubles {
    async fn send(&self, attempt: Attempt<'_>) -> Verdict {
        let double = self.0.lock().unwrap().doubles.get(&attempt.address).cloned();
        let Some(double) = double.filter(|double| double.manner != Manner::Absent) else {
            return Verdict::NotSent;
        };
        {
            let mut state = self.0.lock().unwrap();
            state.arrivals.push((attempt.id.to_owned(), double.name.clone()));
            if double.name != *attempt.server {
                return Verdict::Misdirected;
            }
            if double.manner == Manner::Shed {
                return Verdict::Shed;
            }
            *state.runs.entry(attempt.id.to_owned()).or_default() += 1;
        }
        let mut held = Held(self, false);
        let verdict = match double.manner {
            Manner::Answer(status, time) => {
                tokio::time::sleep(time).await;
                Verdict::Ran(Answer { status, headers: Vec::new(), body: Bytes::new() })
            }
            Manner::Mute => {
                let clock = ORIGIN.with(|origin| *origin.borrow());
                clock.unwrap().sleep_until(attempt.deadline).await;
                Verdict::MayHaveRun("timeout")
            }
            _ => Verdict::MayHaveRun("connection_broken"),
        };
        held.1 = true;
        verdict
    }

    fn set_max_idle(&self, most: usize) {
        self.0.lock().unwrap().kept = Some(most);
    }

    async fn probe(&self, address: SocketAddr, _: &str, timeout: Duration) -> Option<ProbeAnswer> {
        self.0.lock().unwrap().probes += 1;
        let double = self.0.lock().unwrap().doubles.get(&address).cloned();
        let Some(double) = double.filter(|double| double.manner != Manner::Absent) else {
            tokio::time::sleep(timeout).await;
            return None;
        };
        tokio::time::sleep(PROBE_TIME).await;
        Some(ProbeAnswer {
            server: Some(double.name),
            healthy: double.healthy,
            report: double.report,
        })
    }
}

thread_local! {
    static ORIGIN: std::cell::RefCell<Option<Paused>> = const { std::cell::RefCell::new(None) };
}

pub const BOUNDS: Bounds = Bounds {
    retry: retries::Limit { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) },
    cold_factor: 1.5,
    cold_slack: 5.0,
    probe_rate: 60.0,
};

pub fn route(idempotent: bool) -> Route {
    Route {
        name: "r".into(),
        prefix: "/r/".into(),
        idempotent,
        timeout: Some(ms(800)),
        latency_target: Some(ms(300)),
        priority: 1,
        max_attempts: 2,
        services: smallvec::smallvec![WeightedService { service: service(SERVICE), weight: 1 }],
        split_position: AtomicU32::new(0),
    }
}

pub fn plan(version: u64, routes: Vec<Route>) -> Config {
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
    }
}

pub fn row(number: u8, in_domain: &str) -> Member {
    Member {
        ip: Ipv4Addr::new(10, 0, 0, number),
        domain: domain(in_domain),
        incarnation: 1,
        heartbeat: 0,
        leaving: false,
    }
}

pub type TestFlow = Dispatcher<Doubles, Paused, Seeded>;

/// An entry in domain `a` with servers in memory, in a runtime whose time is paused.
pub fn flow(doubles: &Doubles, servers: &[Server], seed: u64) -> Arc<TestFlow> {
    let clock = Paused(tokio::time::Instant::now());
    ORIGIN.with(|origin| *origin.borrow_mut() = Some(clock));
    let fleet = Fleet::new(domain("a"), row(1, "a").ip);
    for server in servers {
        fleet.update(server.clone(), clock.now());
    }
    let peers = Peers::new(row(1, "a"), Vec::new());
    let ports = (doubles.clone(), clock, Seeded::new(seed));
    Arc::new(Dispatcher::new((fleet, peers), ports, BOUNDS))
}

pub fn content() -> Content {
    Content { method: "GET".into(), path: "/r/1".into(), headers: Vec::new(), body: Bytes::new() }
}
