//! A whole session of one entry, compared event by event with a stored one.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod flow_support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::flow_support::EPOCH_MILLIS;
use self::flow_support::Fake;
use self::flow_support::Server;
use self::flow_support::millis;
use self::flow_support::submission;
use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::config::Outage;
use jackdawpin_core::holder::config::Override;
use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::config::Reason;
use jackdawpin_core::holder::control::Control;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::control::Identity;
use jackdawpin_core::holder::event::Stamp;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::member::Heartbeat;
use jackdawpin_core::holder::member::Role;
use jackdawpin_core::holder::member::Vm;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::member::VmState;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::port::Clock;

/// Set to replace the stored session by the one of this run.
const UPDATE: &str = "UPDATE_GOLDEN";

const GOLDEN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/session.txt");

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn vm(name: &str, domain: &str, region: &str, role: Role) -> Vm {
    Vm {
        name: name::Vm::try_from(name).unwrap(),
        role,
        domain: name::Domain::try_from(domain).unwrap(),
        region: name::Region::try_from(region).unwrap(),
        state: VmState::Live,
    }
}

/// Two entries, of which `e1` is closer to all servers.
fn list() -> VmList {
    let entry = |port| Role::Entry { caller: address(port), control: address(port + 1) };
    let server = |service, port| Role::Server {
        service: name::Service::try_from(service).unwrap(),
        address: address(port),
    };
    let vms = vec![
        vm("e1", "d1", "r1", entry(10)),
        vm("e2", "d3", "r2", entry(20)),
        vm("s1", "d1", "r1", server("orders", 1001)),
        vm("s2", "d2", "r1", server("orders", 1002)),
        vm("s3", "d2", "r1", server("alerts", 1003)),
    ];
    VmList::new(1, vms).unwrap()
}

fn config(revision: u64, out: Option<&str>) -> Config {
    let mut builder = Builder::new(revision, Policy::default()).unwrap();
    for service in ["orders", "alerts"] {
        let service = name::Service::try_from(service).unwrap();
        builder.service(service, Override::default(), Vec::new()).unwrap();
    }
    if let Some(domain) = out {
        let domain = name::Domain::try_from(domain).unwrap();
        let reason = Reason::try_from("switch replaced").unwrap();
        builder.outage(Outage { domain, reason }).unwrap();
    }
    builder.build()
}

struct Session {
    fake: Fake,
    control: Control<Fake>,
    router: Router<Fake>,
    steps: u64,
    calls: u64,
    /// Revision that the platform serves; `None` if it cannot be reached.
    platform: Option<u64>,
    seen: u64,
    text: String,
}

impl Session {
    fn new(own: &str) -> Self {
        let fake = Fake::new(1);
        let own = name::Vm::try_from(own).unwrap();
        let tables = Arc::new(Tables::new(own.clone(), fake.now()));
        fake.watch(&tables);
        let mut model = fake.model();
        model.lists.insert(1, list());
        for (revision, out) in [(1, None), (2, Some("d2")), (3, None)] {
            model.configs.insert(revision, config(revision, out));
        }
        for (name, port) in [("s1", 1001), ("s2", 1002), ("s3", 1003)] {
            model.servers.insert(address(port), Server::new(name));
        }
        drop(model);
        let identity = Identity {
            vm: own,
            domain: name::Domain::try_from("d1").unwrap(),
            region: name::Region::try_from("r1").unwrap(),
            caller: address(10),
            control: address(11),
            incarnation: 1,
        };
        let ports = Arc::new(fake.clone());
        let router = Router::new(tables.clone(), ports.clone());
        let control = Control::new(identity, Vec::new(), tables, ports);
        let (text, platform) = (String::new(), None);
        Self { fake, control, router, steps: 0, calls: 0, platform, seen: 0, text }
    }

    fn peer(&self, reachable: bool) {
        let beat = Heartbeat {
            incarnation: 1,
            clock: Stamp::default(),
            ready: true,
            leaving: false,
            config_version: None,
            list_version: None,
            capacity: Vec::new(),
        };
        self.fake.model().peer = reachable.then_some(beat);
    }

    fn server(&self, port: u16, change: impl FnOnce(&mut Server)) {
        change(self.fake.model().servers.get_mut(&address(port)).unwrap());
    }

    fn note(&mut self, text: &str) {
        self.events();
        writeln!(self.text, "{:>8}    {text}", self.fake.elapsed().as_millis()).unwrap();
    }

    /// Writes the events since the last call.
    fn events(&mut self) {
        let (missed, records) = self.control.tables().timeline.events_after(self.seen, 256);
        assert_eq!(missed, 0);
        for record in records {
            let (millis, counter) = (record.stamp.millis - EPOCH_MILLIS, record.stamp.counter);
            writeln!(self.text, "{millis:>8}.{counter:<3}{}", record.event).unwrap();
            self.seen = record.number;
        }
    }

    /// Runs the control side, each part at its interval.
    async fn pass(&mut self, time: u64) {
        for _ in 0..time / 100 {
            let next = self.fake.now() + millis(100);
            if let Some(revision) = self.platform.filter(|_| self.steps.is_multiple_of(5)) {
                let now = self.fake.now();
                self.control.handle_platform_document(
                    DocumentKind::Config,
                    revision.to_string().as_bytes(),
                    now,
                );
                self.control.handle_platform_document(DocumentKind::List, b"1", now);
            }
            if self.steps.is_multiple_of(10) {
                self.control.exchange_heartbeats().await;
            }
            self.steps += 1;
            self.control.tick();
            self.control.renew_claims().await;
            self.control.send_probes().await;
            self.events();
            self.fake.sleep_until(next).await;
        }
    }

    /// Sends requests one after the other and notes how many ended how.
    async fn load(&mut self, service: &str, number: u64) {
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..number {
            self.calls += 1;
            let id = format!("r{}", self.calls);
            let request = submission(&id, service, false, Duration::from_millis(500));
            let end = match self.router.serve(request).await.outcome {
                Outcome::Answered(answer) => format!("answered {}", answer.status),
                Outcome::Refused(refusal) => format!("refused as {refusal}"),
                Outcome::Unknown(doubt) => format!("unknown, {doubt}"),
            };
            *ends.entry(end).or_default() += 1;
        }
        self.note(&format!("{number} requests to {service}: {ends:?}"));
    }

    fn room(&mut self, service: &str) {
        let route = self.control.tables().routes().get(service).unwrap();
        let room = route.pool().capacity(self.fake.now());
        let addresses = self.router.addresses(service).map(|addresses| addresses.addresses);
        let addresses = addresses.map(|addresses| {
            let weigh = |address: &jackdawpin_core::holder::flow::WeightedAddress| {
                format!("{} weight {}", address.address, address.weight)
            };
            addresses.iter().map(weigh).collect::<Vec<_>>()
        });
        let (limit, free) = (room.limit, room.free);
        self.note(&format!("{service}: limit {limit}, free {free}, callers use {addresses:?}"));
    }
}

async fn session() -> String {
    let mut session = Session::new("e1");
    session.note("== start");
    session.load("orders", 1).await;
    session.peer(true);
    session.platform = Some(1);
    session.pass(3_000).await;
    session.room("orders");
    session.note("== warm-up");
    for _ in 0..4 {
        session.load("orders", 20).await;
        session.pass(100).await;
    }
    session.load("alerts", 40).await;
    session.pass(500).await;
    session.room("orders");
    session.note("== s2 starts again, cold for 1 s");
    let cold_until = session.fake.now() + millis(1_000);
    session.server(1002, |server| (server.boot, server.cold_until) = (2, cold_until));
    session.load("orders", 20).await;
    session.pass(1_500).await;
    session.load("orders", 80).await;
    session.pass(200).await;
    session.note("== s2 drains and starts again");
    session.server(1002, |server| server.draining = true);
    session.load("orders", 20).await;
    session.room("orders");
    session.pass(1_000).await;
    session.server(1002, |server| (server.draining, server.boot) = (false, 3));
    session.pass(6_000).await;
    session.load("orders", 80).await;
    session.pass(200).await;
    session.note("== d2 is taken out");
    session.platform = Some(2);
    session.pass(1_000).await;
    session.room("orders");
    session.load("orders", 20).await;
    session.load("alerts", 1).await;
    session.note("== the platform serves the configuration from before");
    session.platform = Some(1);
    session.pass(1_000).await;
    session.note("== d2 comes back");
    session.platform = Some(3);
    session.pass(1_000).await;
    session.load("orders", 80).await;
    session.load("alerts", 40).await;
    session.pass(1_000).await;
    session.room("orders");
    session.note("== the platform is gone");
    session.platform = None;
    session.pass(8_000).await;
    session.load("orders", 1).await;
    session.note("== e2 is gone, too");
    session.peer(false);
    session.pass(6_000).await;
    session.load("orders", 1).await;
    session.note("== both are back");
    session.peer(true);
    session.platform = Some(3);
    session.pass(2_000).await;
    session.load("orders", 20).await;
    session.note("== planned stop");
    session.control.leave();
    session.room("orders");
    session.load("orders", 1).await;
    session.pass(300).await;
    session.room("orders");
    session.control.tables().gate.close();
    session.load("orders", 1).await;
    let totals = session.control.tables().ledger.sum();
    session.note(&format!("{totals:?}"));
    assert_eq!(session.fake.model().problems, Vec::<String>::new());
    session.text
}

/// Guards against unnoticed changes of what operators see and callers get in the course of a
/// session, and against an order of events that differs from run to run.
#[tokio::test(start_paused = true)]
async fn a_session_gives_the_stored_events() {
    let text = session().await;
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(GOLDEN, &text).unwrap();
    }
    let stored = std::fs::read_to_string(GOLDEN).unwrap();
    let differs = text.lines().zip(stored.lines()).find(|(found, stored)| found != stored);
    assert_eq!(differs, None, "the session differs; all of it:\n{text}");
    assert_eq!(text.lines().count(), stored.lines().count(), "{text}");
}

/// Guards against an entry that holds all servers for a moment, because it looks for the others
/// before it knows them.
#[tokio::test(start_paused = true)]
async fn the_first_list_gives_no_servers_of_other_entries() {
    let mut session = Session::new("e2");
    session.platform = Some(1);
    session.pass(500).await;
    assert!(session.text.contains("VM list 1 in force"), "{}", session.text);
    assert!(!session.text.contains("holds server"), "{}", session.text);
}
