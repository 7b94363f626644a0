//! Random simulations of the request path against test doubles that check every attempt.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod flow_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinHandle;

use self::flow_support::ATTEMPTS;
use self::flow_support::Doubles;
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
const SERVER_COUNT: usize = 4;
const RETRY_BURST: u32 = 10;

/// Discards all events.
struct NullJournal;

impl Journal for NullJournal {
    fn record(&self, _: Event) {}
}

/// A request that was submitted and whose outcome was not collected yet.
struct PendingRequest {
    id: String,
    task: JoinHandle<Completion>,
}

/// An entry with one service, its test doubles and the requests that were submitted to it.
struct Simulation {
    doubles: Doubles,
    tables: Arc<Tables>,
    router: Arc<Router<Doubles>>,
    pool: Arc<Pool>,
    addresses: Vec<SocketAddr>,
    /// Which servers are held by other entries, in the order of `addresses`.
    not_held: Vec<bool>,
    /// Whether the platform answers; if not, the entry becomes fenced.
    platform_reachable: bool,
    /// Whether witnesses confirm claims.
    grant_claims: bool,
    pending: Vec<PendingRequest>,
    /// Number of requests submitted so far.
    submitted: usize,
    /// Number of requests that were answered, were refused, are unknown and were abandoned.
    end_counts: [u64; 4],
}

fn policy() -> Policy {
    Policy {
        queue: 12,
        attempts: ATTEMPTS as u32,
        retry_burst: RETRY_BURST,
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

impl Simulation {
    fn new(seed: u64, peer: bool) -> Self {
        let doubles = Doubles::new(seed);
        let service = name::Service::try_from(SERVICE).unwrap();
        let tables = Arc::new(Tables::new(name::Vm::try_from("e1").unwrap(), doubles.now()));
        doubles.set_tables(&tables);
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
            tables.peers.update_list(doubles.now(), &list);
        }
        let addresses = (0..SERVER_COUNT).map(|index| ([127, 0, 0, 1], 1000 + index as u16).into());
        let addresses: Vec<SocketAddr> = addresses.collect();
        for (index, address) in addresses.iter().enumerate() {
            let mut server = Server::new(&format!("s{index}"));
            server.claim = Some(None);
            doubles.model().servers.insert(*address, server);
        }
        let router = Arc::new(Router::new(tables.clone(), Arc::new(doubles.clone())));
        let (not_held, pending) = (vec![false; SERVER_COUNT], Vec::new());
        let (platform_reachable, grant_claims, submitted, end_counts) = (true, true, 0, [0; 4]);
        let simulation = Self {
            doubles,
            tables,
            router,
            pool,
            addresses,
            not_held,
            platform_reachable,
            grant_claims,
            pending,
            submitted,
            end_counts,
        };
        simulation.update_held();
        simulation.tick();
        simulation
    }

    fn now(&self) -> Instant {
        self.doubles.now()
    }

    /// Applies the set of held servers, with those that are out of service.
    fn update_held(&self) {
        let model = self.doubles.model();
        let held = self.addresses.iter().zip(&self.not_held).filter(|(_, not_held)| !**not_held);
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

    /// Does what the control tasks do regularly: updates the gate, renews claims, merges a
    /// heartbeat of the peer, and assigns free permits.
    fn tick(&self) {
        let now = self.now();
        let read_at = self.platform_reachable.then_some(now);
        let platform_reads = PlatformReads { answered_at: read_at, current_at: read_at };
        let input =
            ReadinessInput { platform_reads, has_documents: true, ..ReadinessInput::default() };
        self.tables.gate.update(now, &input, &NullJournal);
        self.update_claims(now);
        self.receive_heartbeat(now);
        self.pool.assign_free(now);
    }

    /// Confirms or ends the claims on all servers that need one.
    fn update_claims(&self, now: Instant) {
        for vm in self.pool.needing_claim() {
            let until = self.grant_claims.then_some(now + Duration::from_secs(2));
            let mut model = self.doubles.model();
            let server = model.servers.values_mut().find(|server| server.vm == vm).unwrap();
            server.claim = Some(until);
            drop(model);
            self.pool.set_claim(now, &vm, until);
        }
    }

    /// Merges a heartbeat of the peer with random free capacity.
    fn receive_heartbeat(&self, now: Instant) {
        let service = name::Service::try_from(SERVICE).unwrap();
        let unreachable = self.doubles.model().peer_unreachable_with_room;
        let free = if unreachable { 8 } else { u32::from(self.doubles.random_below(8) == 0) };
        let heartbeat = Heartbeat {
            incarnation: 1,
            clock: Stamp { millis: now.as_nanos() / 1_000_000, counter: 0 },
            ready: true,
            leaving: false,
            config_version: None,
            list_version: None,
            capacity: vec![Capacity { service, limit: 4, free }],
        };
        let peer = name::Vm::try_from("e2").unwrap();
        self.tables.peers.merge_heartbeat(
            now,
            &peer,
            heartbeat,
            HeartbeatKind::Request,
            &NullJournal,
        );
    }

    /// Submits a random request.
    fn submit(&mut self) {
        self.submitted += 1;
        let id = format!("r{}", self.submitted);
        let idempotent = self.doubles.random_below(2) == 0;
        let timeout = millis([20, 200, 600][self.doubles.random_below(3) as usize]);
        let request = submission(&id, SERVICE, idempotent, timeout);
        let router = self.router.clone();
        let task = tokio::spawn(async move { router.serve(request).await });
        self.pending.push(PendingRequest { id, task });
    }

    fn change_random_server(&self, change: impl FnOnce(&Doubles, &mut Server)) {
        let address = self.addresses[self.doubles.random_below(SERVER_COUNT as u64) as usize];
        let mut model = self.doubles.model();
        change(&self.doubles, model.servers.get_mut(&address).unwrap());
    }

    /// Does one random step and checks the rules.
    async fn step(&mut self) {
        match self.doubles.random_below(100) {
            0..=29 => (0..=self.doubles.random_below(3)).for_each(|_| self.submit()),
            30..=32 if !self.pending.is_empty() => {
                let index = self.doubles.random_below(self.pending.len() as u64) as usize;
                self.pending[index].task.abort();
            }
            52 => self.change_random_server(|doubles, server| {
                server.boot += 1;
                server.cold_until = doubles.now() + millis(300);
            }),
            53 => self.change_random_server(|doubles, server| {
                server.draining = doubles.random_below(3) == 0
            }),
            54 => self.change_random_server(|doubles, server| {
                server.max_latency_ms = [8, 8, 8, 65][doubles.random_below(4) as usize]
            }),
            55 => self.change_random_server(|doubles, server| {
                server.fault_percent = [0, 5, 30][doubles.random_below(3) as usize]
            }),
            56..=57 => {
                self.change_random_server(|doubles, server| {
                    server.out = doubles.random_below(3) == 0
                });
                self.update_held();
            }
            58..=59 => {
                let index = self.doubles.random_below(SERVER_COUNT as u64) as usize;
                self.not_held[index] = self.doubles.random_below(3) == 0;
                self.update_held();
            }
            60 => {
                self.platform_reachable = self.doubles.random_below(6) > 0;
                self.tick();
            }
            61 => self.grant_claims = self.doubles.random_below(4) > 0,
            62..=69 => {
                self.tick();
                let now = self.now();
                let assigned = self.pool.waiting() == 0 || self.pool.capacity(now).free == 0;
                assert!(assigned, "a request waits while a permit is free");
            }
            70..=95 => tokio::time::sleep(millis(self.doubles.random_below(30))).await,
            _ => tokio::task::yield_now().await,
        }
        self.check().await;
    }

    /// Collects the requests that have ended, and checks the rules that hold after each step.
    async fn check(&mut self) {
        let violations = std::mem::take(&mut self.doubles.model().violations);
        assert!(violations.is_empty(), "{violations:#?}");
        for request in std::mem::take(&mut self.pending) {
            if request.task.is_finished() {
                self.record_end(request).await;
            } else {
                self.pending.push(request);
            }
        }
        let totals = self.tables.ledger.totals(SERVICE);
        assert!(totals.balanced(), "{totals:?}");
        assert!(totals.in_flight <= self.pending.len() as u64, "{totals:?}");
        assert_eq!([totals.answered, totals.unknown], [self.end_counts[0], self.end_counts[2]]);
        let model = self.doubles.model();
        let records = model.requests.values();
        let retried: usize = records.map(|record| record.attempts.saturating_sub(1)).sum();
        let earned = u64::from(RETRY_BURST) + totals.accepted / 10;
        assert!(retried as u64 <= earned, "{retried} retries, {earned} earned");
    }

    /// Counts the outcome of a request and checks it against what ran.
    async fn record_end(&mut self, request: PendingRequest) {
        let record = self.doubles.model().requests.get(&request.id).copied().unwrap_or_default();
        let Ok(completion) = request.task.await else {
            self.end_counts[3] += 1;
            return;
        };
        match completion.outcome {
            Outcome::Answered(_) => {
                self.end_counts[0] += 1;
                assert!(record.executions > 0, "{} was answered and did not run", request.id);
            }
            Outcome::Refused(refusal) => {
                self.end_counts[1] += 1;
                let may_have_run = record.executions + record.unproven;
                assert_eq!(
                    may_have_run, 0,
                    "{} was refused as {refusal} and may have run",
                    request.id
                );
            }
            Outcome::Unknown(_) => {
                self.end_counts[2] += 1;
                assert!(record.unproven > 0, "{} is unknown and did not run", request.id);
            }
        }
    }

    /// Repairs all servers, lets all requests end, and checks that every permit was returned.
    async fn settle(&mut self) {
        (self.platform_reachable, self.grant_claims, self.not_held) =
            (true, true, vec![false; SERVER_COUNT]);
        for server in self.doubles.model().servers.values_mut() {
            (server.out, server.draining, server.fault_percent, server.max_latency_ms) =
                (false, false, 0, 8);
        }
        self.update_held();
        // A back-off takes at most 3.2 s, and an orphaned attempt counts as in flight for 1 s.
        for _ in 0..50 {
            self.tick();
            tokio::time::sleep(millis(100)).await;
            self.check().await;
        }
        self.tick();
        assert!(self.pending.is_empty(), "{} requests have no end", self.pending.len());
        assert_eq!(self.tables.ledger.sum().in_flight, 0);
        let capacity = self.pool.capacity(self.now());
        let statuses = self.pool.statuses(self.now());
        assert!(statuses.iter().all(|status| status.in_flight == 0), "{statuses:#?}");
        let running =
            self.doubles.model().servers.values().map(|server| server.in_flight).sum::<u32>();
        let drained = statuses.iter().filter(|status| status.out_reason.is_some()).count();
        assert_eq!((running, capacity.free, statuses.len()), (0, capacity.limit, SERVER_COUNT));
        assert!(capacity.limit as usize >= SERVER_COUNT - drained, "{statuses:#?}");
    }
}

/// Guards against second executions, false refusals, lost or duplicate outcomes, exceeded limits,
/// cold servers used without a claim, leaked permits, stuck requests, too many attempts, and
/// attempts sent while fenced or to servers that were taken out.
#[rstest]
#[tokio::test(start_paused = true)]
async fn random_runs_keep_the_rules(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] peer: bool,
) {
    let mut simulation = Simulation::new(seed, peer);
    for _ in 0..16 {
        for _ in 0..1_500 {
            simulation.step().await;
        }
        simulation.settle().await;
    }
    assert!(simulation.end_counts.iter().all(|count| *count > 20), "{:?}", simulation.end_counts);
}

/// Guards against requests that may run twice because their path is wrongly taken for an idempotent
/// one: it only begins like `/lookup/` or `/find`, or the server resolves it to another path.
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
    let simulation = Simulation::new(1, false);
    let mut request = submission("r1", SERVICE, false, millis(500));
    (request.idempotent, request.content.path) = (None, path.into());
    assert!(matches!(simulation.router.serve(request).await.outcome, Outcome::Answered(_)));
    assert_eq!(simulation.doubles.model().requests["r1"].idempotent, expected);
}

/// Guards against a check of executions that cannot fail: servers run requests and report that they
/// shed them.
#[tokio::test(start_paused = true)]
async fn false_reports_of_shed_requests_are_detected() {
    let mut simulation = Simulation::new(1, false);
    simulation.doubles.model().deny_executions = true;
    (0..200).for_each(|_| simulation.submit());
    tokio::time::sleep(millis(700)).await;
    let model = simulation.doubles.model();
    assert!(model.violations.iter().any(|violation| violation.ends_with("ran twice")));
}

/// Guards against retries that exceed the budget when no attempt succeeds.
#[tokio::test(start_paused = true)]
async fn retries_of_failing_attempts_stay_within_the_budget() {
    let mut simulation = Simulation::new(3, true);
    simulation.not_held = vec![true; SERVER_COUNT];
    simulation.update_held();
    simulation.doubles.model().peer_unreachable_with_room = true;
    for _ in 0..500 {
        simulation.submit();
        simulation.tick();
        tokio::time::sleep(millis(25)).await;
        simulation.check().await;
    }
    let attempts = simulation.doubles.model().requests.values().map(|record| record.attempts).max();
    assert!(attempts > Some(1), "no request was retried");
}

/// Guards against requests that overtake earlier ones while all wait for one cold server.
#[rstest]
#[tokio::test(start_paused = true)]
async fn waiting_requests_are_served_in_order(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut simulation = Simulation::new(seed, false);
    simulation.not_held = vec![false, true, true, true];
    simulation.update_held();
    // The back-off of the server ends by time alone, so a later request could get its permit first.
    simulation.doubles.model().servers.get_mut(&simulation.addresses[0]).unwrap().fault_percent =
        100;
    simulation.tick();
    for index in 0..60 {
        let request = submission(&format!("q{index}"), SERVICE, false, Duration::from_secs(5));
        let router = simulation.router.clone();
        tokio::spawn(async move { router.serve(request).await });
        tokio::time::sleep(millis(29)).await;
        simulation
            .doubles
            .model()
            .servers
            .get_mut(&simulation.addresses[0])
            .unwrap()
            .fault_percent = 0;
        if index % 4 == 3 {
            simulation.tick();
        }
    }
    for _ in 0..30 {
        tokio::time::sleep(millis(100)).await;
        simulation.tick();
    }
    let model = simulation.doubles.model();
    let numbers: Vec<u32> =
        model.execution_order.iter().map(|id| id[1..].parse().unwrap()).collect();
    assert!(numbers.len() > 10, "{numbers:?}");
    assert!(numbers.is_sorted(), "{numbers:?}");
}
