//! Test doubles for the ports of an entry: paused time, seeded random numbers, and a model of
//! servers and of one peer that checks each attempt against the rules of the request path.
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

/// Wall time at the start, in milliseconds. The clock starts there as well, so that times before
/// the start exist.
pub const EPOCH_MILLIS: u64 = 1_000_000;

/// Largest number of attempts of a request, which is the limit in the policy of the tests.
pub const ATTEMPTS: usize = 3;

/// Time after which a server stops working on an orphaned attempt. It is less than the time for
/// which an entry counts such an attempt as in flight.
const ORPHAN_DETECTION: Duration = Duration::from_millis(900);

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The actual state of a server.
#[derive(Debug, Clone)]
pub struct Server {
    pub vm: name::Vm,
    pub slots: u32,
    pub boot: u64,
    /// Until then the server sheds all requests but one.
    pub cold_until: Instant,
    pub draining: bool,
    /// Largest latency, in milliseconds; the smallest is 1 ms.
    pub max_latency_ms: u64,
    /// Share of attempts with a fault, in percent.
    pub fault_percent: u64,
    /// Set while the test has taken the server out of service.
    pub out: bool,
    /// The end of the claim that the test confirmed, if any; `None` if claims are not checked.
    pub claim: Option<Option<Instant>>,
    /// Requests that the server is running, without orphaned attempts.
    pub running: u32,
    /// Attempts that were sent and have not ended at the entry.
    pub in_flight: u32,
    /// When the server stops working on each orphaned attempt.
    pub orphans: Vec<Instant>,
}

impl Server {
    pub fn new(vm: &str) -> Self {
        Self {
            vm: name::Vm::try_from(vm).unwrap(),
            slots: 3,
            boot: 1,
            cold_until: Instant::default(),
            draining: false,
            max_latency_ms: 8,
            fault_percent: 0,
            out: false,
            claim: None,
            running: 0,
            in_flight: 0,
            orphans: Vec::new(),
        }
    }

    /// Number of orphaned attempts that the server is still working on.
    fn running_orphans(&self, now: Instant) -> u32 {
        self.orphans.iter().filter(|until| now < **until).count() as u32
    }

    fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            in_flight: self.running.saturating_sub(1) + self.running_orphans(now),
            slots: self.slots,
            warm: now >= self.cold_until,
            draining: self.draining,
            boot: self.boot,
        }
    }
}

/// The actual attempts and executions of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestRecord {
    /// Attempts, without those that were refused before dispatch.
    pub attempts: usize,
    /// Attempts that a server began to run.
    pub executions: usize,
    /// Attempts without evidence that they did not run.
    pub unproven: usize,
    /// Whether the entry treats the request as idempotent.
    pub idempotent: bool,
}

/// The state of everything outside the entry.
#[derive(Debug, Default)]
pub struct Model {
    pub servers: BTreeMap<SocketAddr, Server>,
    /// By request id.
    pub requests: HashMap<String, RequestRecord>,
    /// Ids of the requests, in the order in which servers began to run them.
    pub execution_order: Vec<String>,
    /// Descriptions of the broken rules.
    pub violations: Vec<String>,
    /// The documents of the platform, by revision.
    pub configs: BTreeMap<u64, Config>,
    /// The documents of the platform, by version.
    pub lists: BTreeMap<u64, VmList>,
    /// Heartbeat of the peer `e2`; `None` if the peer cannot be reached.
    pub peer_heartbeat: Option<Heartbeat>,
    /// Whether servers run requests and report that they shed them, which breaks the rules.
    pub deny_executions: bool,
    /// Whether the peer reports room but cannot be reached by forwards.
    pub peer_unreachable_with_room: bool,
}

#[derive(Debug)]
struct Shared {
    start: tokio::time::Instant,
    random: Mutex<fastrand::Rng>,
    model: Mutex<Model>,
    /// The tables of the entry under test.
    tables: OnceLock<Arc<Tables>>,
}

/// Test doubles for all ports of an entry.
#[derive(Debug, Clone)]
pub struct Doubles(Arc<Shared>);

impl Doubles {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Shared {
            start: tokio::time::Instant::now(),
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
            model: Mutex::default(),
            tables: OnceLock::new(),
        }))
    }

    pub fn set_tables(&self, tables: &Arc<Tables>) {
        self.0.tables.set(tables.clone()).unwrap();
    }

    pub fn model(&self) -> MutexGuard<'_, Model> {
        self.0.model.lock().unwrap()
    }

    /// A random number in `0..bound`.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.0.random.lock().unwrap().u64(0..bound)
    }

    pub fn elapsed(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// Checks an attempt when it is sent, and counts it. `address` is that of the server, or `None`
    /// for a forward to the peer.
    fn check_attempt(&self, address: Option<SocketAddr>, attempt: &Attempt<'_>) {
        let now = self.now();
        let tables = self.0.tables.get().unwrap();
        let request = attempt.request;
        let mut violations = Vec::new();
        let mut check = |holds: bool, what: &str| {
            if !holds {
                violations.push(format!("{now:?} {} to {address:?}: {what}", request.id));
            }
        };
        check(!tables.gate.is_fenced(now), "sent while fenced");
        check(attempt.deadline <= request.deadline, "deadline after the request's");
        check(now < request.deadline, "sent after its deadline");
        let mut model = self.model();
        if let Some(address) = address {
            let routes = tables.routes();
            let statuses = routes.get(request.service.as_str()).unwrap().pool().statuses(now);
            let status = statuses.into_iter().find(|status| status.address == address);
            let server = model.servers.get_mut(&address).unwrap();
            server.in_flight += 1;
            check(!server.out, "sent to a server that is out");
            check(status.is_some(), "sent to a server that is not held");
            if let Some(status) = status {
                let in_flight = server.in_flight + server.running_orphans(now);
                check(in_flight <= status.limit, "more in flight than the limit");
                check(status.in_flight >= server.in_flight, "in flight is not counted");
                let cold = matches!(status.warmth, Warmth::Cold(_));
                check(!cold || in_flight == 1, "two in flight at a cold server");
                if let (Some(claim), true) = (server.claim, status.warmth != Warmth::Warm) {
                    let covered = claim.is_some_and(|until| attempt.deadline <= until);
                    check(covered, "sent to a cold server without a claim on it");
                }
            }
        }
        let record = model.requests.entry(request.id.as_str().to_owned()).or_default();
        check(request.idempotent || record.unproven == 0, "a second attempt may run");
        check(record.attempts < ATTEMPTS, "too many attempts");
        record.idempotent = request.idempotent;
        record.attempts += 1;
        record.unproven += 1;
        model.violations.extend(violations);
    }

    /// Corrects the counts of an attempt that did not run.
    fn record_end(&self, attempt: &Attempt<'_>, evidence: &Evidence) {
        let mut model = self.model();
        let record = model.requests.get_mut(attempt.request.id.as_str()).unwrap();
        if let Evidence::NotRun(proof) = evidence {
            record.unproven -= 1;
            record.attempts -= usize::from(matches!(proof, NotRun::Refused(_)));
        }
    }

    /// Records that a server begins to run the request.
    fn record_execution(&self, attempt: &Attempt<'_>) {
        let mut model = self.model();
        let id = attempt.request.id.as_str().to_owned();
        let record = model.requests.entry(id.clone()).or_default();
        record.executions += 1;
        let twice = record.executions > 1 && !attempt.request.idempotent;
        model.execution_order.push(id.clone());
        if twice {
            model.violations.push(format!("{id} ran twice"));
        }
    }

    /// Sleeps for a random time of less than `max_millis` milliseconds.
    async fn sleep_up_to(&self, max_millis: u64) {
        tokio::time::sleep(millis(self.random_below(max_millis))).await;
    }

    /// Serves an attempt at the server with `address`, possibly with a random fault.
    async fn serve_attempt(&self, address: SocketAddr, attempt: &Attempt<'_>) -> Reply {
        let now = self.now();
        let (shed, fault_percent, max_latency, deny_execution) = {
            let model = self.model();
            let server = &model.servers[&address];
            let capacity = if now < server.cold_until { 1 } else { server.slots + 1 };
            (
                server.running + server.running_orphans(now) >= capacity,
                server.fault_percent,
                server.max_latency_ms,
                model.deny_executions,
            )
        };
        let not_sent = Evidence::NotRun(NotRun::NotSent);
        let fails = self.random_below(100) < fault_percent;
        let fault = self.random_below(5);
        if fails && fault == 0 {
            self.sleep_up_to(3).await;
            return Reply { evidence: not_sent, report: None };
        }
        if shed {
            let report = self.model().servers[&address].report(now);
            let evidence = Evidence::NotRun(NotRun::Shed);
            return Reply { evidence, report: Some(report) };
        }
        self.record_execution(attempt);
        let mut execution = Execution::new(self, address);
        if deny_execution {
            return Reply { evidence: Evidence::NotRun(NotRun::Shed), report: None };
        }
        let status = match fault {
            1 if fails => {
                self.sleep_up_to(5).await;
                return may_have_run(UnknownReason::Broken);
            }
            2 if fails => {
                self.sleep_until(attempt.deadline).await;
                return may_have_run(UnknownReason::Timeout);
            }
            3 if fails => 500,
            _ => 200,
        };
        let done = self.now() + millis(1 + self.random_below(max_latency));
        self.sleep_until(done.min(attempt.deadline)).await;
        if done >= attempt.deadline {
            return may_have_run(UnknownReason::Timeout);
        }
        let report = self.model().servers[&address].report(self.now());
        execution.completed = true;
        let report = (self.random_below(5) > 0).then_some(report);
        Reply { evidence: ran(status), report }
    }
}

fn may_have_run(reason: UnknownReason) -> Reply {
    Reply { evidence: Evidence::MayHaveRun(reason), report: None }
}

fn ran(status: u16) -> Evidence {
    Evidence::Ran(Answer { status, headers: Vec::new(), body: Bytes::new() })
}

/// A request that a server is running. If it is dropped before it has completed, it becomes an
/// orphaned attempt, which the server works on for a while longer.
struct Execution<'a> {
    doubles: &'a Doubles,
    address: SocketAddr,
    completed: bool,
}

impl<'a> Execution<'a> {
    fn new(doubles: &'a Doubles, address: SocketAddr) -> Self {
        doubles.model().servers.get_mut(&address).unwrap().running += 1;
        Self { doubles, address, completed: false }
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let now = self.doubles.now();
        let mut model = self.doubles.model();
        let server = model.servers.get_mut(&self.address).unwrap();
        server.running -= 1;
        if !self.completed {
            server.orphans.push(now + ORPHAN_DETECTION);
        }
    }
}

/// An attempt in flight, which is counted until it is dropped.
struct InFlight<'a> {
    doubles: &'a Doubles,
    address: SocketAddr,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.doubles.model().servers.get_mut(&self.address).unwrap().in_flight -= 1;
    }
}

impl Clock for Doubles {
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

impl port::Random for Doubles {
    fn below(&self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.random_below(bound) }
    }
}

impl holder::port::Upstream for Doubles {
    async fn send(&self, address: SocketAddr, attempt: Attempt<'_>) -> Reply {
        self.check_attempt(Some(address), &attempt);
        // `check_attempt` has counted the attempt.
        let _in_flight = InFlight { doubles: self, address };
        let reply = self.serve_attempt(address, &attempt).await;
        self.record_end(&attempt, &reply.evidence);
        reply
    }

    async fn probe(&self, address: SocketAddr, _: Duration) -> Option<LoadReport> {
        tokio::time::sleep(millis(5)).await;
        Some(self.model().servers.get(&address)?.report(self.now()))
    }
}

impl holder::port::Peer for Doubles {
    async fn forward(&self, _: &name::Vm, _: SocketAddr, attempt: Attempt<'_>) -> ForwardReply {
        self.check_attempt(None, &attempt);
        let unreachable = self.model().peer_unreachable_with_room;
        let choice = if unreachable { 3 } else { self.random_below(10) };
        let evidence = match choice {
            0..=2 => Evidence::NotRun(NotRun::Refused(Refusal::Full)),
            3 => Evidence::NotRun(NotRun::NotSent),
            4 => Evidence::NotRun(NotRun::Shed),
            _ => {
                self.record_execution(&attempt);
                self.sleep_up_to(10).await;
                match choice {
                    5 => Evidence::MayHaveRun(UnknownReason::Broken),
                    6 => {
                        self.sleep_until(attempt.deadline).await;
                        Evidence::MayHaveRun(UnknownReason::Timeout)
                    }
                    _ => ran(200),
                }
            }
        };
        self.record_end(&attempt, &evidence);
        ForwardReply { evidence, free: (choice > 4).then_some(choice as u32 % 3) }
    }

    async fn vacancy(&self, _: SocketAddr, _: &name::Service, _: Instant) -> u32 {
        self.sleep_up_to(40).await;
        self.random_below(3) as u32
    }
}

impl holder::port::Coordination for Doubles {
    async fn heartbeat(
        &self,
        _: SocketAddr,
        hello: &HeartbeatMessage,
        _: Duration,
    ) -> Option<HeartbeatMessage> {
        let mut heartbeat = self.model().peer_heartbeat.clone()?;
        heartbeat.clock =
            Stamp { counter: hello.heartbeat.clock.counter + 1, ..hello.heartbeat.clock };
        (heartbeat.config_version, heartbeat.list_version) =
            (hello.heartbeat.config_version, hello.heartbeat.list_version);
        Some(HeartbeatMessage { from: name::Vm::try_from("e2").unwrap(), heartbeat })
    }

    async fn claim(&self, _: SocketAddr, claim: &Claim<'_>, _: Duration) -> Option<Grant> {
        self.model().peer_heartbeat.as_ref()?;
        let granted = vec![true; claim.targets.len()];
        let clock = Stamp { counter: claim.clock.counter + 1, ..claim.clock };
        Some(Grant { witness: name::Vm::try_from("e2").unwrap(), clock, granted })
    }

    async fn document(&self, _: SocketAddr, _: DocumentKind, _: Duration) -> Option<Vec<u8>> {
        None
    }
}

/// A document consists of its number as text; the model has its contents.
impl holder::port::Parser for Doubles {
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

impl Ports for Doubles {
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

/// A request of a caller, which sets whether it is `idempotent`.
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
