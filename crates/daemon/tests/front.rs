//! Calls at the callers' listener, malformed and well-formed, with exact status, outcome and reason.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod stand;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use self::stand::Act;
use self::stand::Act::Close;
use self::stand::Act::Read;
use self::stand::Stand;
use self::stand::answer;
use self::stand::send;
use self::stand::whole;
use jackdawpin_core::holder::config::Builder;
use jackdawpin_core::holder::config::Override;
use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::event::Event;
use jackdawpin_core::holder::flow::Route;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::Routes;
use jackdawpin_core::holder::flow::Tables;
use jackdawpin_core::holder::intent::PlatformReads;
use jackdawpin_core::holder::intent::ReadinessInput;
use jackdawpin_core::holder::ledger::Totals;
use jackdawpin_core::holder::member::VmList;
use jackdawpin_core::holder::pool::ServerSpec;
use jackdawpin_core::holder::port::Journal;
use jackdawpin_core::name;
use jackdawpin_core::port::Clock;
use jackdawpin_daemon::adapters::Adapters;
use jackdawpin_daemon::clock::BootClock;
use jackdawpin_daemon::exchange::Client;
use jackdawpin_daemon::front::Front;
use jackdawpin_daemon::listen;
use jackdawpin_daemon::listen::BufferBudget;
use jackdawpin_daemon::listen::Counters;
use jackdawpin_daemon::listen::Limits;

const LIMITS: Limits = Limits {
    connections: 16,
    head_bytes: 8192,
    head_timeout: Duration::from_secs(1),
    body_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(5),
};

/// Body limit of both services, in bytes.
const BODY: u64 = 1_024;

struct Silent;

impl Journal for Silent {
    fn record(&self, _: Event) {}
}

/// An entry with a service `orders` of one server, and a service `empty` without any.
struct Entry {
    tables: Arc<Tables>,
    address: SocketAddr,
    server: Stand,
}

impl Entry {
    async fn start(scripts: Vec<Vec<Act>>) -> Self {
        let server = Stand::start(scripts).await;
        let now = BootClock.now();
        let tables = Arc::new(Tables::new(name::Vm::try_from("e1").unwrap(), now));
        let policy = Policy { body_limit: BODY, ..Policy::default() };
        let mut builder = Builder::new(1, policy.clone()).unwrap();
        let [orders, empty] =
            ["orders", "empty"].map(|name| name::Service::try_from(name).unwrap());
        for service in [&orders, &empty] {
            builder.service(service.clone(), Override::default(), Vec::new()).unwrap();
        }
        let config = builder.build();
        let route = |service: &name::Service, eligible| {
            let settings = config.service(service.as_str()).unwrap();
            (service.clone(), Arc::new(Route::new(service, settings, eligible, None)))
        };
        let routes = [route(&orders, true), route(&empty, false)];
        let vm = name::Vm::try_from("s1").unwrap();
        let domain = name::Domain::try_from("d1").unwrap();
        let spec = ServerSpec {
            vm: vm.clone(),
            address: server.address,
            domain,
            policy,
            out_reason: None,
        };
        let pool = routes[0].1.pool();
        pool.set_held(now, &[spec]);
        pool.set_claim(now, &vm, Some(now + Duration::from_secs(60)));
        let list = VmList::new(1, Vec::new()).unwrap();
        tables.set_routes(Arc::new(Routes::new(routes, &list)));
        let router = Arc::new(Router::new(tables.clone(), Arc::new(adapters())));
        let budget = BufferBudget::new(1 << 20, Gauge::default());
        let front = Front::new(router, budget, LIMITS.body_timeout, Arc::default());
        let listener = listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (front, stop) = (Arc::new(front), CancellationToken::new());
        tokio::spawn(listen::serve(listener, front, LIMITS, Counters::default(), stop));
        let entry = Self { tables, address, server };
        entry.open();
        entry
    }

    fn open(&self) {
        let now = BootClock.now();
        let platform = PlatformReads { answered_at: Some(now), current_at: Some(now) };
        let evidence = ReadinessInput {
            platform_reads: platform,
            has_documents: true,
            ..ReadinessInput::default()
        };
        self.tables.gate.update(now, &evidence, &Silent);
    }

    /// The entry loses all contact.
    fn fence(&self) {
        self.tables.gate.update(BootClock.now(), &ReadinessInput::default(), &Silent);
    }

    fn totals(&self) -> Totals {
        self.tables.ledger.sum()
    }
}

/// Status, outcome and reason of a response; the last two are empty if missing.
fn read(response: &str) -> (u16, &str, &str) {
    let field = |name: &str| response.lines().find_map(|line| line.strip_prefix(name));
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    let outcome = field("x-outcome: ").unwrap_or_default();
    (status, outcome, field("x-outcome-reason: ").unwrap_or_default())
}

fn call(path: &str, fields: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    let text = format!("POST {path} HTTP/1.1\r\ncontent-length: {len}\r\n{fields}\r\n{body}");
    // Header values may have bytes above 127; the tests write them as characters.
    text.chars().map(|c| c as u8).collect()
}

const ORDER: &str = "/v1/call/orders/order";

/// Guards against malformed calls that are passed on or answered with a wrong reason, and against
/// fields that cannot be read and count as missing.
#[rstest]
#[case::no_path("/v1/call/orders", "", 400, "invalid_request")]
#[case::nothing("/v1/call/", "", 400, "invalid_request")]
#[case::empty_service("/v1/call//order", "", 404, "unknown_service")]
#[case::unknown_service("/v1/call/other/order", "", 404, "unknown_service")]
#[case::service_in_query("/v1/call/orders?a=/order", "", 404, "unknown_service")]
#[case::no_server("/v1/call/empty/order", "", 503, "no_server")]
#[case::empty_id(ORDER, "x-request-id: \r\n", 400, "invalid_request")]
#[case::id_with_space(ORDER, "x-request-id: a b\r\n", 400, "invalid_request")]
#[case::id_with_slash(ORDER, "x-request-id: a/b\r\n", 400, "invalid_request")]
#[case::id_not_ascii(ORDER, "x-request-id: \u{e9}\r\n", 400, "invalid_request")]
#[case::two_ids(ORDER, "x-request-id: a\r\nx-request-id: b\r\n", 400, "invalid_request")]
#[case::timeout_zero(ORDER, "x-request-timeout-ms: 0\r\n", 400, "invalid_request")]
#[case::timeout_negative(ORDER, "x-request-timeout-ms: -1\r\n", 400, "invalid_request")]
#[case::timeout_fraction(ORDER, "x-request-timeout-ms: 1.5\r\n", 400, "invalid_request")]
#[case::timeout_huge(
    ORDER,
    "x-request-timeout-ms: 99999999999999999999\r\n",
    400,
    "invalid_request"
)]
#[case::timeout_not_ascii(ORDER, "x-request-timeout-ms: \u{e9}\r\n", 400, "invalid_request")]
#[case::idempotent_word(ORDER, "x-idempotent: yes\r\n", 400, "invalid_request")]
#[case::idempotent_empty(ORDER, "x-idempotent: \r\n", 400, "invalid_request")]
#[case::idempotent_both(
    ORDER,
    "x-idempotent: true\r\nx-idempotent: false\r\n",
    400,
    "invalid_request"
)]
#[case::other_path("/v1/other", "", 404, "invalid_request")]
#[case::addresses_by_post("/v1/addresses?service=orders", "", 405, "invalid_request")]
#[tokio::test]
async fn malformed_calls(
    #[case] path: &str,
    #[case] fields: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let entry = Entry::start(vec![vec![Read]]).await;
    let response = send(entry.address, &call(path, fields, "x")).await;
    assert_eq!(read(&response), (status, "refused", reason), "{response}");
    assert_eq!((entry.server.connections(), entry.totals()), (0, Totals::default()));
}

/// Guards against ids beyond the bound.
#[rstest]
#[case(64, 200, "answered", "")]
#[case(65, 400, "refused", "invalid_request")]
#[tokio::test]
async fn long_ids(
    #[case] len: usize,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] reason: &str,
) {
    let id = "i".repeat(len);
    let entry = Entry::start(vec![vec![Read, answer(&id, "1", "", "")]]).await;
    let response = send(entry.address, &call(ORDER, &format!("x-request-id: {id}\r\n"), "")).await;
    assert_eq!(read(&response), (status, outcome, reason));
}

/// Guards against bodies beyond the limit, whether their length is declared or not, and against
/// callers that never send the body they announced.
#[rstest]
#[case::declared("content-length: 1025\r\n\r\n", 0, 413)]
#[case::chunked("transfer-encoding: chunked\r\n\r\n401\r\n", 1_025, 413)]
#[case::missing("content-length: 9\r\n\r\n", 4, 408)]
#[tokio::test]
async fn bad_bodies(#[case] head: &str, #[case] sent: usize, #[case] status: u16) {
    let entry = Entry::start(vec![vec![Read]]).await;
    let body = "x".repeat(sent);
    let bytes = format!("POST {ORDER} HTTP/1.1\r\n{head}{body}");
    let response = send(entry.address, bytes.as_bytes()).await;
    assert_eq!(read(&response), (status, "refused", "invalid_request"), "{response}");
    assert_eq!((entry.server.connections(), entry.totals()), (0, Totals::default()));
}

/// Guards against fields of one connection, or of this system, that a caller can pass to a server or
/// a server to a caller.
#[tokio::test]
async fn fields_of_one_connection_are_not_passed_on() {
    let own =
        "connection: x-own\r\nx-own: 1\r\nkeep-alive: 5\r\nx-outcome: refused\r\nx-kept: k\r\n";
    let script = vec![Read, answer("a", "1", own, "done")];
    let entry = Entry::start(vec![script]).await;
    let fields = "connection: x-secret, te\r\nx-secret: 1\r\nte: trailers\r\nkeep-alive: 5\r\n\
        proxy-authorization: p\r\nx-attempt: 9\r\nx-not-run: 1\r\nx-outcome: answered\r\n\
        x-idempotent: false\r\nx-request-id: a\r\nx-kept: k\r\nhost: elsewhere\r\n";
    let response = send(entry.address, &call(ORDER, fields, "four")).await;
    let request = entry.server.wait("0 read").await;
    let names = ["connection", "x-secret", "te", "keep-alive", "proxy-authorization", "x-not-run"];
    for name in names.into_iter().chain(["x-outcome", "x-idempotent", "host: elsewhere"]) {
        assert!(!request.contains(&format!("\r\n{name}")), "{name} in {request}");
    }
    assert!(request.contains("\r\nx-kept: k\r\n"), "{request}");
    assert!(request.contains("\r\nx-attempt: 1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nfour"), "{request}");
    assert_eq!(read(&response), (200, "answered", ""));
    assert!(response.contains("\r\nx-kept: k\r\n"), "{response}");
    assert!(response.contains("\r\nx-request-id: a\r\n"), "{response}");
    for name in ["x-own", "keep-alive", "x-attempt"] {
        assert!(!response.contains(&format!("\r\n{name}")), "{name} in {response}");
    }
    assert!(response.ends_with("\r\n\r\ndone"), "{response}");
}

/// Guards against outcomes that reach the caller as something else: error answers, refusals by the
/// server, and requests that may have run.
#[rstest]
#[case::error(vec![Read, ids(500, 1, "")], 500, "answered", "")]
#[case::shed(
    (1..=3).flat_map(|number| [Read, ids(503, number, "x-not-run: 1\r\n")]).collect(),
    503, "refused", "attempts"
)]
#[case::broken(vec![Read, Close], 502, "unknown", "connection_broken")]
#[case::other_id(vec![Read, answer("b", "1", "", "")], 502, "unknown", "bad_answer")]
#[case::late(vec![Read], 502, "unknown", "timeout")]
#[tokio::test]
async fn outcomes(
    #[case] script: Vec<Act>,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] reason: &str,
) {
    let entry = Entry::start(vec![script]).await;
    let fields = "x-request-id: a\r\nx-request-timeout-ms: 300\r\n";
    let response = send(entry.address, &call(ORDER, fields, "")).await;
    assert_eq!(read(&response), (status, outcome, reason), "{response}");
    let totals = entry.totals();
    assert_eq!((totals.accepted, totals.in_flight), (1, 0), "{totals:?}");
}

fn ids(status: u16, number: u32, more: &str) -> Act {
    whole(status, &format!("x-request-id: a\r\nx-attempt: {number}\r\n{more}"), "")
}

/// Guards against two requests with one id at the same time, against calling a request "not run"
/// while the one with its id runs, and against an id that stays taken after its caller has left.
#[tokio::test]
async fn an_id_is_taken_while_its_request_is_in_flight() {
    let entry = Entry::start(vec![vec![Read], vec![Read, answer("a", "1", "", "")]]).await;
    let request = call(ORDER, "x-request-id: a\r\n", "");
    let mut first = TcpStream::connect(entry.address).await.unwrap();
    first.write_all(&request).await.unwrap();
    entry.server.wait("0 read").await;
    let second = send(entry.address, &request).await;
    assert_eq!(read(&second), (409, "unknown", "duplicate_id"));
    drop(first);
    entry.server.wait("0 closed by the other end").await;
    // The server may still work on the first one, so its place stays taken for 1 s.
    let fields = "x-request-id: a\r\nx-request-timeout-ms: 100\r\n";
    let third = send(entry.address, &call(ORDER, fields, "")).await;
    assert_eq!(read(&third), (503, "refused", "deadline"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(read(&send(entry.address, &request).await), (200, "answered", ""));
    let totals = entry.totals();
    let ends = (totals.answered, totals.refused, totals.abandoned, totals.in_flight);
    assert_eq!(ends, (1, 1, 1, 0), "{totals:?}");
}

/// Guards against work taken while fenced, before the start is complete, or after the planned stop.
#[tokio::test]
async fn a_closed_gate_refuses() {
    let entry = Entry::start(vec![vec![Read]]).await;
    let request = call(ORDER, "", "");
    entry.fence();
    assert_eq!(read(&send(entry.address, &request).await), (503, "refused", "fenced"));
    entry.open();
    entry.tables.gate.close();
    assert_eq!(read(&send(entry.address, &request).await), (503, "refused", "leaving"));
    let addresses = b"GET /v1/addresses?service=orders HTTP/1.1\r\n\r\n";
    assert_eq!(read(&send(entry.address, addresses).await), (503, "refused", "leaving"));
    assert_eq!(entry.server.connections(), 0);
}

fn adapters() -> Adapters {
    Adapters::new(Client::default(), Client::default(), Client::default())
}
