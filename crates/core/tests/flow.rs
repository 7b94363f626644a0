//! Long random runs of the request path against fakes that check every attempt.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod flow_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinHandle;

use self::flow_support::ATTEMPTS;
use self::flow_support::Fake;
use self::flow_support::Server;
use self::flow_support::millis;
use self::flow_support::submission;
use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Override;
use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::event::Event;
use jackdawpin_core::holder::event::Stamp;
use jackdawpin_core::holder::flow::Completion;
use jackdawpin_core::holder::flow::Route;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::Routes;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::intent::PlatformReads;
use jackdawpin_core::holder::intent::ReadinessInput;
use jackdawpin_core::holder::member::Capacity;
use jackdawpin_core::holder::member::Heartbeat;
use jackdawpin_core::holder::member::HeartbeatKind;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::holder::pool::Pool;
use jackdawpin_core::holder::pool::ServerSpec;
use jackdawpin_core::holder::port::Journal;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::port::Clock;
use jackdawpin_core::time::Instant;

const SERVICE: &str = "orders";
const SERVERS: usize = 4;
const BURST: u32 = 10;

/// Drops events.
struct Silent;

impl Journal for Silent {
    fn record(&self, _: Event) {}
}

struct Sent {
    id: String,
    task: JoinHandle<Completion>,
}

struct Run {
    fake: Fake,
    tables: Arc<Tables>,
    router: Arc<Router<Fake>>,
    pool: Arc<Pool>,
    addresses: Vec<SocketAddr>,
    lost: Vec<bool>,
    open: bool,
    claims: bool,
    sent: Vec<Sent>,
    number: usize,
    /// Answered, refused, unknown, abandoned.
    ends: [u64; 4],
}

fn policy() -> Policy {
    Policy {
        queue: 12,
        attempts: ATTEMPTS as u32,
        retry_burst: BURST,
        retry_permille: 100,
        ..Policy::default()
    }
}

fn vm(name: &str, role: Role) -> Vm {
    Vm {
        name: name::Vm::try_from(name).unwrap(),
        role,
        domain: name::Domain::try_from("d1").unwrap(),
        region: name::Region::try_from("r1").unwrap(),
        state: VmState::Live,
    }
}

impl Run {
    fn new(seed: u64, peer: bool) -> Self {
        let fake = Fake::new(seed);
        let service = name::Service::try_from(SERVICE).unwrap();
        let tables = Arc::new(Tables::new(name::Vm::try_from("e1").unwrap(), fake.now()));
        fake.watch(&tables);
        let mut builder = Builder::new(1, policy()).unwrap();
        let paths = vec!["/lookup/".into(), "/find".into()];
        builder.service(service.clone(), Override::default(), paths).unwrap();
        let config = builder.build();
        let route = Route::new(&service, config.service(SERVICE).unwrap(), true, None);
        let pool = route.pool().clone();
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let entry = |name| vm(name, Role::Entry { caller: address, control: address });
        let list = VmList::new(1, vec![entry("e1"), entry("e2")]).unwrap();
        tables.set_routes(Arc::new(Routes::new([(service, Arc::new(route))], &list)));
        if peer {
            tables.peers.update_list(fake.now(), &list);
        }
        let addresses = (0..SERVERS).map(|index| ([127, 0, 0, 1], 1000 + index as u16).into());
        let addresses: Vec<SocketAddr> = addresses.collect();
        for (index, address) in addresses.iter().enumerate() {
            let mut server = Server::new(&format!("s{index}"));
            server.claim = Some(None);
            fake.model().servers.insert(*address, server);
        }
        let router = Arc::new(Router::new(tables.clone(), Arc::new(fake.clone())));
        let (lost, sent) = (vec![false; SERVERS], Vec::new());
        let (open, claims, number, ends) = (true, true, 0, [0; 4]);
        let run =
            Self { fake, tables, router, pool, addresses, lost, open, claims, sent, number, ends };
        run.hold();
        run.tick();
        run
    }

    fn now(&self) -> Instant {
        self.fake.now()
    }

    fn hold(&self) {
        let model = self.fake.model();
        let held = self.addresses.iter().zip(&self.lost).filter(|(_, lost)| !**lost);
        let spec = |address: &SocketAddr| {
            let server = &model.servers[address];
            ServerSpec {
                vm: server.vm.clone(),
                address: *address,
                domain: name::Domain::try_from("d1").unwrap(),
                policy: policy(),
                out_reason: server.out.then(|| "maintenance".into()),
            }
        };
        let specs: Vec<ServerSpec> = held.map(|(address, _)| spec(address)).collect();
        drop(model);
        self.pool.set_held(self.now(), &specs);
    }

    /// What the control side does at each tick: the gate, claims, heartbeats, the queue.
    fn tick(&self) {
        let now = self.now();
        let read = self.open.then_some(now);
        let platform = PlatformReads { answered_at: read, current_at: read };
        let evidence = ReadinessInput {
            platform_reads: platform,
            has_documents: true,
            ..ReadinessInput::default()
        };
        self.tables.gate.update(now, &evidence, &Silent);
        self.claim(now);
        self.beat(now);
        self.pool.assign_free(now);
    }

    fn claim(&self, now: Instant) {
        for vm in self.pool.needing_claim() {
            let until = self.claims.then_some(now + Duration::from_secs(2));
            let mut model = self.fake.model();
            let server = model.servers.values_mut().find(|server| server.vm == vm).unwrap();
            server.claim = Some(until);
            drop(model);
            self.pool.set_claim(now, &vm, until);
        }
    }

    fn beat(&self, now: Instant) {
        let service = name::Service::try_from(SERVICE).unwrap();
        let lure = self.fake.model().lure;
        let free = if lure { 8 } else { u32::from(self.fake.roll(8) == 0) };
        let beat = Heartbeat {
            incarnation: 1,
            clock: Stamp { millis: now.as_nanos() / 1_000_000, counter: 0 },
            ready: true,
            leaving: false,
            config_version: None,
            list_version: None,
            capacity: vec![Capacity { service, limit: 4, free }],
        };
        let peer = name::Vm::try_from("e2").unwrap();
        self.tables.peers.merge_heartbeat(now, &peer, beat, HeartbeatKind::Request, &Silent);
    }

    fn submit(&mut self) {
        self.number += 1;
        let id = format!("r{}", self.number);
        let idempotent = self.fake.roll(2) == 0;
        let timeout = millis([20, 200, 600][self.fake.roll(3) as usize]);
        let request = submission(&id, SERVICE, idempotent, timeout);
        let router = self.router.clone();
        let task = tokio::spawn(async move { router.serve(request).await });
        self.sent.push(Sent { id, task });
    }

    fn with_server(&self, change: impl FnOnce(&Fake, &mut Server)) {
        let address = self.addresses[self.fake.roll(SERVERS as u64) as usize];
        let mut model = self.fake.model();
        change(&self.fake, model.servers.get_mut(&address).unwrap());
    }

    async fn step(&mut self) {
        match self.fake.roll(100) {
            0..=29 => (0..=self.fake.roll(3)).for_each(|_| self.submit()),
            30..=32 if !self.sent.is_empty() => {
                let index = self.fake.roll(self.sent.len() as u64) as usize;
                self.sent[index].task.abort();
            }
            52 => self.with_server(|fake, server| {
                server.boot += 1;
                server.cold_until = fake.now() + millis(300);
            }),
            53 => self.with_server(|fake, server| server.draining = fake.roll(3) == 0),
            54 => self
                .with_server(|fake, server| server.latency = [8, 8, 8, 65][fake.roll(4) as usize]),
            55 => {
                self.with_server(|fake, server| server.faults = [0, 5, 30][fake.roll(3) as usize])
            }
            56..=57 => {
                self.with_server(|fake, server| server.out = fake.roll(3) == 0);
                self.hold();
            }
            58..=59 => {
                let index = self.fake.roll(SERVERS as u64) as usize;
                self.lost[index] = self.fake.roll(3) == 0;
                self.hold();
            }
            60 => {
                self.open = self.fake.roll(6) > 0;
                self.tick();
            }
            61 => self.claims = self.fake.roll(4) > 0,
            62..=69 => {
                self.tick();
                let now = self.now();
                let idle = self.pool.waiting() == 0 || self.pool.capacity(now).free == 0;
                assert!(idle, "a request waits while a place is free");
            }
            70..=95 => tokio::time::sleep(millis(self.fake.roll(30))).await,
            _ => tokio::task::yield_now().await,
        }
        self.check().await;
    }

    /// Collects the requests that have ended and checks what must hold after each step.
    async fn check(&mut self) {
        let problems = std::mem::take(&mut self.fake.model().problems);
        assert!(problems.is_empty(), "{problems:#?}");
        for sent in std::mem::take(&mut self.sent) {
            if sent.task.is_finished() {
                self.ended(sent).await;
            } else {
                self.sent.push(sent);
            }
        }
        let totals = self.tables.ledger.totals(SERVICE);
        assert!(totals.balanced(), "{totals:?}");
        assert!(totals.in_flight <= self.sent.len() as u64, "{totals:?}");
        assert_eq!([totals.answered, totals.unknown], [self.ends[0], self.ends[2]]);
        let model = self.fake.model();
        let runs = model.runs.values();
        let retried: usize = runs.map(|runs| runs.attempts.saturating_sub(1)).sum();
        let earned = u64::from(BURST) + totals.accepted / 10;
        assert!(retried as u64 <= earned, "{retried} retries, {earned} earned");
    }

    async fn ended(&mut self, sent: Sent) {
        let runs = self.fake.model().runs.get(&sent.id).copied().unwrap_or_default();
        let Ok(served) = sent.task.await else {
            self.ends[3] += 1;
            return;
        };
        match served.outcome {
            Outcome::Answered(_) => {
                self.ends[0] += 1;
                assert!(runs.executed > 0, "{} was answered and did not run", sent.id);
            }
            Outcome::Refused(refusal) => {
                self.ends[1] += 1;
                let ran = runs.executed + runs.unproved;
                assert_eq!(ran, 0, "{} was refused as {refusal} and may have run", sent.id);
            }
            Outcome::Unknown(_) => {
                self.ends[2] += 1;
                assert!(runs.unproved > 0, "{} is unknown without a doubt", sent.id);
            }
        }
    }

    /// Lets all requests end with sound servers and checks that every place is back.
    async fn settle(&mut self) {
        (self.open, self.claims, self.lost) = (true, true, vec![false; SERVERS]);
        for server in self.fake.model().servers.values_mut() {
            (server.out, server.draining, server.faults, server.latency) = (false, false, 0, 8);
        }
        self.hold();
        // A rest after failures takes 3.2 s at most, lingering 1 s.
        for _ in 0..50 {
            self.tick();
            tokio::time::sleep(millis(100)).await;
            self.check().await;
        }
        self.tick();
        assert!(self.sent.is_empty(), "{} requests have no end", self.sent.len());
        assert_eq!(self.tables.ledger.sum().in_flight, 0);
        let room = self.pool.capacity(self.now());
        let views = self.pool.statuses(self.now());
        assert!(views.iter().all(|view| view.in_flight == 0), "{views:#?}");
        let running =
            self.fake.model().servers.values().map(|server| server.in_flight).sum::<u32>();
        let drained = views.iter().filter(|view| view.out_reason.is_some()).count();
        assert_eq!((running, room.free, views.len()), (0, room.limit, SERVERS));
        assert!(room.limit as usize >= SERVERS - drained, "{views:#?}");
    }
}

/// Guards against second executions, false refusals, lost or doubled outcomes, overrun limits,
/// cold servers used without a claim, leaked places, stuck requests, too many attempts, and work
/// sent while fenced or to servers that were taken out.
#[rstest]
#[tokio::test(start_paused = true)]
async fn random_runs_keep_the_rules(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] peer: bool,
) {
    let mut run = Run::new(seed, peer);
    for _ in 0..16 {
        for _ in 0..1_500 {
            run.step().await;
        }
        run.settle().await;
    }
    assert!(run.ends.iter().all(|count| *count > 20), "{:?}", run.ends);
}

/// Guards against requests that may run twice because of their path: it only begins like one of the
/// idempotent paths `/lookup/` and `/find`, or leads elsewhere at the server.
#[rstest]
#[case("/lookup/part", true)]
#[case("/lookup/part?of=../order", true)]
#[case("/find", true)]
#[case("/find?what=1", true)]
#[case("/find/part", true)]
#[case("/lookup", false)]
#[case("/finder", false)]
#[case("/order?from=/lookup/", false)]
#[case("/lookup/../order", false)]
#[case("/lookup/%2E%2e/order", false)]
#[case("/lookup/..%2forder", false)]
#[case("/lookup/..\\order", false)]
#[tokio::test(start_paused = true)]
async fn paths_mark_idempotent_requests(#[case] path: &str, #[case] expected: bool) {
    let run = Run::new(1, false);
    let mut request = submission("r1", SERVICE, false, millis(500));
    (request.idempotent, request.content.path) = (None, path.into());
    assert!(matches!(run.router.serve(request).await.outcome, Outcome::Answered(_)));
    assert_eq!(run.fake.model().runs["r1"].idempotent, expected);
}

/// Shows that the check of executions can fail: servers run requests and say that they did not.
#[tokio::test(start_paused = true)]
async fn a_server_that_lies_is_noticed() {
    let mut run = Run::new(1, false);
    run.fake.model().lie = true;
    (0..200).for_each(|_| run.submit());
    tokio::time::sleep(millis(700)).await;
    let model = run.fake.model();
    assert!(model.problems.iter().any(|problem| problem.ends_with("ran twice")));
}

/// Guards against retries beyond the budget when no attempt succeeds.
#[tokio::test(start_paused = true)]
async fn failing_attempts_cause_few_retries() {
    let mut run = Run::new(3, true);
    run.lost = vec![true; SERVERS];
    run.hold();
    run.fake.model().lure = true;
    for _ in 0..500 {
        run.submit();
        run.tick();
        tokio::time::sleep(millis(25)).await;
        run.check().await;
    }
    let attempts = run.fake.model().runs.values().map(|runs| runs.attempts).max();
    assert!(attempts > Some(1), "no request was tried again");
}

/// Guards against requests that overtake others: all wait for one cold server.
#[rstest]
#[tokio::test(start_paused = true)]
async fn waiting_requests_are_served_in_order(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut run = Run::new(seed, false);
    run.lost = vec![false, true, true, true];
    run.hold();
    // The server rests, so that time alone frees its place, and a later request could take it.
    run.fake.model().servers.get_mut(&run.addresses[0]).unwrap().faults = 100;
    run.tick();
    for index in 0..60 {
        let request = submission(&format!("q{index}"), SERVICE, false, Duration::from_secs(5));
        let router = run.router.clone();
        tokio::spawn(async move { router.serve(request).await });
        tokio::time::sleep(millis(29)).await;
        run.fake.model().servers.get_mut(&run.addresses[0]).unwrap().faults = 0;
        if index % 4 == 3 {
            run.tick();
        }
    }
    for _ in 0..30 {
        tokio::time::sleep(millis(100)).await;
        run.tick();
    }
    let model = run.fake.model();
    let numbers: Vec<u32> = model.executed.iter().map(|id| id[1..].parse().unwrap()).collect();
    assert!(numbers.len() > 10, "{numbers:?}");
    assert!(numbers.is_sorted(), "{numbers:?}");
}
