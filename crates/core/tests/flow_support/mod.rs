//! Fakes at the ports: paused time, seeded randomness, and a model of servers and peers that checks
//! each attempt against the rules.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "only tests use this module; their inputs are constants")]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;

use jackdawpin_core::holder;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::control::Claim;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::control::Grant;
use jackdawpin_core::holder::control::HeartbeatMessage;
use jackdawpin_core::holder::event::Stamp;
use jackdawpin_core::holder::flow::Submission;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::member::Heartbeat;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::pool::LoadReport;
use jackdawpin_core::holder::pool::Warmth;
use jackdawpin_core::holder::port::ForwardReply;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::holder::port::Reply;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Attempt;
use jackdawpin_core::request::Content;
use jackdawpin_core::request::Id;
use jackdawpin_core::time::Instant;

/// Wall time at the start, and origin of the clock, so that times before the start exist.
pub const EPOCH_MILLIS: u64 = 1_000_000;

/// Attempts that a request may have; the policy of each test says the same.
pub const ATTEMPTS: usize = 3;

/// Time after which a server notices that an attempt was cut off, less than the time for which an
/// entry counts such an attempt.
const CUT: Duration = Duration::from_millis(900);

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A server as it really is.
#[derive(Debug, Clone)]
pub struct Server {
    pub vm: name::Vm,
    pub slots: u32,
    pub boot: u64,
    /// Until then the server bears one request only.
    pub cold_until: Instant,
    pub draining: bool,
    /// Latency in milliseconds is 1 to this.
    pub latency: u64,
    /// Share of attempts that fail in some way, in percent.
    pub faults: u64,
    /// Set by the test when it takes the server out.
    pub out: bool,
    /// The claim that the test confirmed; `None` if claims are not checked.
    pub claim: Option<Option<Instant>>,
    /// Requests that the server runs.
    pub running: u32,
    /// Attempts of this entry without an end.
    pub in_flight: u32,
    /// When the server notices that attempts that were cut off have ended.
    pub cut: Vec<Instant>,
}

impl Server {
    pub fn new(vm: &str) -> Self {
        Self {
            vm: name::Vm::try_from(vm).unwrap(),
            slots: 3,
            boot: 1,
            cold_until: Instant::default(),
            draining: false,
            latency: 8,
            faults: 0,
            out: false,
            claim: None,
            running: 0,
            in_flight: 0,
            cut: Vec::new(),
        }
    }

    /// Attempts that were cut off and that the server still works on.
    fn cut(&self, now: Instant) -> u32 {
        self.cut.iter().filter(|until| now < **until).count() as u32
    }

    fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            in_flight: self.running.saturating_sub(1) + self.cut(now),
            slots: self.slots,
            warm: now >= self.cold_until,
            draining: self.draining,
            boot: self.boot,
        }
    }
}

/// What really happened to a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Runs {
    /// Attempts but those that a peer refused.
    pub attempts: usize,
    /// Attempts that a server began to run.
    pub executed: usize,
    /// Attempts without evidence that they did not run.
    pub unproved: usize,
    /// Whether the request counts as idempotent.
    pub idempotent: bool,
}

#[derive(Debug, Default)]
pub struct Model {
    pub servers: BTreeMap<SocketAddr, Server>,
    pub runs: HashMap<String, Runs>,
    pub executed: Vec<String>,
    pub problems: Vec<String>,
    pub configs: BTreeMap<u64, Config>,
    pub lists: BTreeMap<u64, VmList>,
    /// Whether the peer `e2` is reachable, and what it says.
    pub peer: Option<Heartbeat>,
    /// Servers that run a request and say that they did not, which breaks the rules.
    pub lie: bool,
    /// The peer has room and cannot be reached.
    pub lure: bool,
}

#[derive(Debug)]
struct World {
    start: tokio::time::Instant,
    random: Mutex<fastrand::Rng>,
    model: Mutex<Model>,
    tables: OnceLock<Arc<Tables>>,
}

/// All ports of an entry.
#[derive(Debug, Clone)]
pub struct Fake(Arc<World>);

impl Fake {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(World {
            start: tokio::time::Instant::now(),
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
            model: Mutex::default(),
            tables: OnceLock::new(),
        }))
    }

    pub fn watch(&self, tables: &Arc<Tables>) {
        self.0.tables.set(tables.clone()).unwrap();
    }

    pub fn model(&self) -> MutexGuard<'_, Model> {
        self.0.model.lock().unwrap()
    }

    /// A random number in `0..bound`.
    pub fn roll(&self, bound: u64) -> u64 {
        self.0.random.lock().unwrap().u64(0..bound)
    }

    pub fn elapsed(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// Checks an attempt at the moment it is sent, and counts it.
    fn begin(&self, address: Option<SocketAddr>, attempt: &Attempt<'_>) {
        let now = self.now();
        let tables = self.0.tables.get().unwrap();
        let request = attempt.request;
        let mut problems = Vec::new();
        let mut check = |holds: bool, what: &str| {
            if !holds {
                problems.push(format!("{now:?} {} to {address:?}: {what}", request.id));
            }
        };
        check(!tables.gate.is_fenced(now), "sent while fenced");
        check(attempt.deadline <= request.deadline, "deadline after the request's");
        check(now < request.deadline, "sent after its deadline");
        let mut model = self.model();
        if let Some(address) = address {
            let routes = tables.routes();
            let views = routes.get(request.service.as_str()).unwrap().pool().statuses(now);
            let view = views.into_iter().find(|view| view.address == address);
            let server = model.servers.get_mut(&address).unwrap();
            server.in_flight += 1;
            check(!server.out, "sent to a server that is out");
            check(view.is_some(), "sent to a server that is not held");
            if let Some(view) = view {
                let working = server.in_flight + server.cut(now);
                check(working <= view.limit, "more in flight than the limit");
                check(view.in_flight >= server.in_flight, "in flight is not counted");
                let cold = matches!(view.warmth, Warmth::Cold(_));
                check(!cold || working == 1, "two in flight at a cold server");
                if let (Some(claim), true) = (server.claim, view.warmth != Warmth::Warm) {
                    let covered = claim.is_some_and(|until| attempt.deadline <= until);
                    check(covered, "sent to a cold server without a claim on it");
                }
            }
        }
        let runs = model.runs.entry(request.id.as_str().to_owned()).or_default();
        check(request.idempotent || runs.unproved == 0, "a second attempt may run");
        check(runs.attempts < ATTEMPTS, "too many attempts");
        runs.idempotent = request.idempotent;
        runs.attempts += 1;
        runs.unproved += 1;
        model.problems.extend(problems);
    }

    fn end(&self, attempt: &Attempt<'_>, evidence: &Evidence) {
        let mut model = self.model();
        let runs = model.runs.get_mut(attempt.request.id.as_str()).unwrap();
        if let Evidence::NotRun(proof) = evidence {
            runs.unproved -= 1;
            runs.attempts -= usize::from(matches!(proof, NotRun::Refused(_)));
        }
    }

    /// Runs the request at a server, which begins at once.
    fn execute(&self, attempt: &Attempt<'_>) {
        let mut model = self.model();
        let id = attempt.request.id.as_str().to_owned();
        let runs = model.runs.entry(id.clone()).or_default();
        runs.executed += 1;
        let twice = runs.executed > 1 && !attempt.request.idempotent;
        model.executed.push(id.clone());
        if twice {
            model.problems.push(format!("{id} ran twice"));
        }
    }

    async fn pause(&self, most: u64) {
        tokio::time::sleep(millis(self.roll(most))).await;
    }

    async fn answer(&self, address: SocketAddr, attempt: &Attempt<'_>) -> Reply {
        let now = self.now();
        let (shed, faults, latency, lie) = {
            let model = self.model();
            let server = &model.servers[&address];
            let room = if now < server.cold_until { 1 } else { server.slots + 1 };
            (server.running + server.cut(now) >= room, server.faults, server.latency, model.lie)
        };
        let unsent = Evidence::NotRun(NotRun::NotSent);
        let fails = self.roll(100) < faults;
        let fault = self.roll(5);
        if fails && fault == 0 {
            self.pause(3).await;
            return Reply { evidence: unsent, report: None };
        }
        if shed {
            let report = self.model().servers[&address].report(now);
            let evidence = Evidence::NotRun(NotRun::Shed);
            return Reply { evidence, report: Some(report) };
        }
        self.execute(attempt);
        let mut work = Work::new(self, address);
        if lie {
            return Reply { evidence: Evidence::NotRun(NotRun::Shed), report: None };
        }
        let status = match fault {
            1 if fails => {
                self.pause(5).await;
                return broken(UnknownReason::Broken);
            }
            2 if fails => {
                self.sleep_until(attempt.deadline).await;
                return broken(UnknownReason::Timeout);
            }
            3 if fails => 500,
            _ => 200,
        };
        let done = self.now() + millis(1 + self.roll(latency));
        self.sleep_until(done.min(attempt.deadline)).await;
        if done >= attempt.deadline {
            return broken(UnknownReason::Timeout);
        }
        let report = self.model().servers[&address].report(self.now());
        work.done = true;
        let report = (self.roll(5) > 0).then_some(report);
        Reply { evidence: ran(status), report }
    }
}

fn broken(doubt: UnknownReason) -> Reply {
    Reply { evidence: Evidence::MayHaveRun(doubt), report: None }
}

fn ran(status: u16) -> Evidence {
    Evidence::Ran(Answer { status, headers: Vec::new(), body: Bytes::new() })
}

/// A request that a server works on. If it is cut off, the server notices that later.
struct Work<'a> {
    fake: &'a Fake,
    address: SocketAddr,
    done: bool,
}

impl<'a> Work<'a> {
    fn new(fake: &'a Fake, address: SocketAddr) -> Self {
        fake.model().servers.get_mut(&address).unwrap().running += 1;
        Self { fake, address, done: false }
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let now = self.fake.now();
        let mut model = self.fake.model();
        let server = model.servers.get_mut(&self.address).unwrap();
        server.running -= 1;
        if !self.done {
            server.cut.push(now + CUT);
        }
    }
}

/// An attempt without an end.
struct Flight<'a> {
    fake: &'a Fake,
    address: SocketAddr,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.fake.model().servers.get_mut(&self.address).unwrap().in_flight -= 1;
    }
}

impl Clock for Fake {
    fn now(&self) -> Instant {
        Instant::from_nanos(EPOCH_MILLIS * 1_000_000) + self.elapsed()
    }

    fn wall_millis(&self) -> u64 {
        EPOCH_MILLIS + u64::try_from(self.elapsed().as_millis()).unwrap()
    }

    async fn sleep_until(&self, at: Instant) {
        tokio::time::sleep(at.since(self.now())).await;
    }
}

impl port::Random for Fake {
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.roll(bound) }
    }
}

impl holder::port::Upstream for Fake {
    async fn send(&self, address: SocketAddr, attempt: Attempt<'_>) -> Reply {
        self.begin(Some(address), &attempt);
        // `begin` has counted the attempt.
        let _flight = Flight { fake: self, address };
        let reply = self.answer(address, &attempt).await;
        self.end(&attempt, &reply.evidence);
        reply
    }

    async fn probe(&self, address: SocketAddr, _: Duration) -> Option<LoadReport> {
        tokio::time::sleep(millis(5)).await;
        Some(self.model().servers.get(&address)?.report(self.now()))
    }
}

impl holder::port::Peer for Fake {
    async fn forward(&self, _: &name::Vm, _: SocketAddr, attempt: Attempt<'_>) -> ForwardReply {
        self.begin(None, &attempt);
        let lure = self.model().lure;
        let fate = if lure { 3 } else { self.roll(10) };
        let evidence = match fate {
            0..=2 => Evidence::NotRun(NotRun::Refused(Refusal::Full)),
            3 => Evidence::NotRun(NotRun::NotSent),
            4 => Evidence::NotRun(NotRun::Shed),
            _ => {
                self.execute(&attempt);
                self.pause(10).await;
                match fate {
                    5 => Evidence::MayHaveRun(UnknownReason::Broken),
                    6 => {
                        self.sleep_until(attempt.deadline).await;
                        Evidence::MayHaveRun(UnknownReason::Timeout)
                    }
                    _ => ran(200),
                }
            }
        };
        self.end(&attempt, &evidence);
        ForwardReply { evidence, free: (fate > 4).then_some(fate as u32 % 3) }
    }

    async fn vacancy(&self, _: SocketAddr, _: &name::Service, _: Instant) -> u32 {
        self.pause(40).await;
        self.roll(3) as u32
    }
}

impl holder::port::Coordination for Fake {
    async fn heartbeat(
        &self,
        _: SocketAddr,
        hello: &HeartbeatMessage,
        _: Duration,
    ) -> Option<HeartbeatMessage> {
        let mut beat = self.model().peer.clone()?;
        beat.clock = Stamp { counter: hello.heartbeat.clock.counter + 1, ..hello.heartbeat.clock };
        (beat.config_version, beat.list_version) =
            (hello.heartbeat.config_version, hello.heartbeat.list_version);
        Some(HeartbeatMessage { from: name::Vm::try_from("e2").unwrap(), heartbeat: beat })
    }

    async fn claim(&self, _: SocketAddr, claim: &Claim<'_>, _: Duration) -> Option<Grant> {
        self.model().peer.as_ref()?;
        let granted = vec![true; claim.targets.len()];
        let clock = Stamp { counter: claim.clock.counter + 1, ..claim.clock };
        Some(Grant { witness: name::Vm::try_from("e2").unwrap(), clock, granted })
    }

    async fn document(&self, _: SocketAddr, _: DocumentKind, _: Duration) -> Option<Vec<u8>> {
        None
    }
}

/// A document is its number as text; the model has its contents.
impl holder::port::Parser for Fake {
    fn config(&self, bytes: &[u8]) -> Result<Config, String> {
        let number = self.number(DocumentKind::Config, bytes);
        self.model().configs.get(&number).cloned().ok_or_else(|| "no such document".to_owned())
    }

    fn list(&self, bytes: &[u8]) -> Result<VmList, String> {
        let number = self.number(DocumentKind::List, bytes);
        self.model().lists.get(&number).cloned().ok_or_else(|| "no such document".to_owned())
    }

    fn number(&self, _: DocumentKind, bytes: &[u8]) -> u64 {
        std::str::from_utf8(bytes).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Ports for Fake {
    type Clock = Self;
    type Random = Self;
    type Upstream = Self;
    type Peer = Self;
    type Parser = Self;

    fn clock(&self) -> &Self {
        self
    }

    fn random(&self) -> &Self {
        self
    }

    fn upstream(&self) -> &Self {
        self
    }

    fn peer(&self) -> &Self {
        self
    }

    fn parser(&self) -> &Self {
        self
    }
}

/// A request; `idempotent` is marked by the caller.
pub fn submission(id: &str, service: &str, idempotent: bool, timeout: Duration) -> Submission {
    Submission {
        id: Some(Id::try_from(id).unwrap()),
        service: service.into(),
        timeout: Some(timeout),
        idempotent: Some(idempotent),
        content: Content {
            method: "POST".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
    }
}
