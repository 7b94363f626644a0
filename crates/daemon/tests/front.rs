//! Well-formed and malformed calls to the front end: status, outcome and reason of the responses.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod scripted_server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use self::scripted_server::ScriptedServer;
use self::scripted_server::Step;
use self::scripted_server::Step::Close;
use self::scripted_server::Step::Read;
use self::scripted_server::answer;
use self::scripted_server::exchange;
use self::scripted_server::response;
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

/// Body limit of both services in bytes.
const BODY_LIMIT_BYTES: u64 = 1_024;

/// A journal that drops its events.
struct DiscardingJournal;

impl Journal for DiscardingJournal {
    fn record(&self, _: Event) {}
}

/// An entry with a service `orders`, which has one server, and a service `empty`, which has none.
struct Entry {
    tables: Arc<Tables>,
    address: SocketAddr,
    server: ScriptedServer,
}

impl Entry {
    async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let server = ScriptedServer::start(scripts).await;
        let now = BootClock.now();
        let tables = Arc::new(Tables::new(name::Vm::try_from("e1").unwrap(), now));
        let policy = Policy { body_limit: BODY_LIMIT_BYTES, ..Policy::default() };
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
        entry.make_ready();
        entry
    }

    /// Makes the entry ready: the platform has answered, and the entry has its documents.
    fn make_ready(&self) {
        let now = BootClock.now();
        let platform_reads = PlatformReads { answered_at: Some(now), current_at: Some(now) };
        let input =
            ReadinessInput { platform_reads, has_documents: true, ..ReadinessInput::default() };
        self.tables.gate.update(now, &input, &DiscardingJournal);
    }

    /// Fences the entry: it has no contact with the platform or other entries.
    fn fence(&self) {
        self.tables.gate.update(BootClock.now(), &ReadinessInput::default(), &DiscardingJournal);
    }

    fn totals(&self) -> Totals {
        self.tables.ledger.sum()
    }
}

/// Status, outcome and reason of a response; outcome and reason are empty if they are missing.
fn parse_response(response: &str) -> (u16, &str, &str) {
    let field = |name: &str| response.lines().find_map(|line| line.strip_prefix(name));
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    let outcome = field("x-outcome: ").unwrap_or_default();
    (status, outcome, field("x-outcome-reason: ").unwrap_or_default())
}

/// The bytes of a call with POST.
fn call(path: &str, fields: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    let text = format!("POST {path} HTTP/1.1\r\ncontent-length: {len}\r\n{fields}\r\n{body}");
    // Header values may contain bytes above 127, which the tests write as characters.
    text.chars().map(|c| c as u8).collect()
}

const ORDER_PATH: &str = "/v1/call/orders/order";

/// Guards against malformed calls that are sent to a server or refused with a wrong reason, and
/// against unreadable fields that count as missing.
#[rstest]
#[case::no_path("/v1/call/orders", "", 400, "invalid_request")]
#[case::nothing("/v1/call/", "", 400, "invalid_request")]
#[case::empty_service("/v1/call//order", "", 404, "unknown_service")]
#[case::unknown_service("/v1/call/other/order", "", 404, "unknown_service")]
#[case::service_in_query("/v1/call/orders?a=/order", "", 404, "unknown_service")]
#[case::no_server("/v1/call/empty/order", "", 503, "no_server")]
#[case::empty_id(ORDER_PATH, "x-request-id: \r\n", 400, "invalid_request")]
#[case::id_with_space(ORDER_PATH, "x-request-id: a b\r\n", 400, "invalid_request")]
#[case::id_with_slash(ORDER_PATH, "x-request-id: a/b\r\n", 400, "invalid_request")]
#[case::id_not_ascii(ORDER_PATH, "x-request-id: \u{e9}\r\n", 400, "invalid_request")]
#[case::two_ids(ORDER_PATH, "x-request-id: a\r\nx-request-id: b\r\n", 400, "invalid_request")]
#[case::timeout_zero(ORDER_PATH, "x-request-timeout-ms: 0\r\n", 400, "invalid_request")]
#[case::timeout_negative(ORDER_PATH, "x-request-timeout-ms: -1\r\n", 400, "invalid_request")]
#[case::timeout_fraction(ORDER_PATH, "x-request-timeout-ms: 1.5\r\n", 400, "invalid_request")]
#[case::timeout_huge(
    ORDER_PATH,
    "x-request-timeout-ms: 99999999999999999999\r\n",
    400,
    "invalid_request"
)]
#[case::timeout_not_ascii(ORDER_PATH, "x-request-timeout-ms: \u{e9}\r\n", 400, "invalid_request")]
#[case::idempotent_word(ORDER_PATH, "x-idempotent: yes\r\n", 400, "invalid_request")]
#[case::idempotent_empty(ORDER_PATH, "x-idempotent: \r\n", 400, "invalid_request")]
#[case::idempotent_both(
    ORDER_PATH,
    "x-idempotent: true\r\nx-idempotent: false\r\n",
    400,
    "invalid_request"
)]
#[case::other_path("/v1/other", "", 404, "invalid_request")]
#[case::addresses_by_post("/v1/addresses?service=orders", "", 405, "invalid_request")]
#[tokio::test]
async fn malformed_calls_are_refused(
    #[case] path: &str,
    #[case] fields: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let entry = Entry::start(vec![vec![Read]]).await;
    let response = exchange(entry.address, &call(path, fields, "x")).await;
    assert_eq!(parse_response(&response), (status, "refused", reason), "{response}");
    assert_eq!((entry.server.connections(), entry.totals()), (0, Totals::default()));
}

/// Guards against ids longer than the limit of 64 characters.
#[rstest]
#[case(64, 200, "answered", "")]
#[case(65, 400, "refused", "invalid_request")]
#[tokio::test]
async fn id_length_is_limited(
    #[case] len: usize,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] reason: &str,
) {
    let id = "i".repeat(len);
    let entry = Entry::start(vec![vec![Read, answer(&id, "1", "", "")]]).await;
    let response =
        exchange(entry.address, &call(ORDER_PATH, &format!("x-request-id: {id}\r\n"), "")).await;
    assert_eq!(parse_response(&response), (status, outcome, reason));
}

/// Guards against bodies beyond the limit, with and without a declared length, and against callers
/// that never send the body they declared.
#[rstest]
#[case::declared("content-length: 1025\r\n\r\n", 0, 413)]
#[case::chunked("transfer-encoding: chunked\r\n\r\n401\r\n", 1_025, 413)]
#[case::missing("content-length: 9\r\n\r\n", 4, 408)]
#[tokio::test]
async fn oversized_and_missing_bodies_are_refused(
    #[case] head: &str,
    #[case] sent: usize,
    #[case] status: u16,
) {
    let entry = Entry::start(vec![vec![Read]]).await;
    let body = "x".repeat(sent);
    let bytes = format!("POST {ORDER_PATH} HTTP/1.1\r\n{head}{body}");
    let response = exchange(entry.address, bytes.as_bytes()).await;
    assert_eq!(parse_response(&response), (status, "refused", "invalid_request"), "{response}");
    assert_eq!((entry.server.connections(), entry.totals()), (0, Totals::default()));
}

/// Guards against connection fields and reserved fields that are forwarded from a caller to a
/// server or from a server to a caller.
#[tokio::test]
async fn connection_and_reserved_fields_are_not_forwarded() {
    let fields_of_answer =
        "connection: x-own\r\nx-own: 1\r\nkeep-alive: 5\r\nx-outcome: refused\r\nx-kept: k\r\n";
    let script = vec![Read, answer("a", "1", fields_of_answer, "done")];
    let entry = Entry::start(vec![script]).await;
    let fields = "connection: x-secret, te\r\nx-secret: 1\r\nte: trailers\r\nkeep-alive: 5\r\n\
        proxy-authorization: p\r\nx-attempt: 9\r\nx-not-run: 1\r\nx-outcome: answered\r\n\
        x-idempotent: false\r\nx-request-id: a\r\nx-kept: k\r\nhost: elsewhere\r\n";
    let response = exchange(entry.address, &call(ORDER_PATH, fields, "four")).await;
    let request = entry.server.wait_for("0 read").await;
    let names = ["connection", "x-secret", "te", "keep-alive", "proxy-authorization", "x-not-run"];
    for name in names.into_iter().chain(["x-outcome", "x-idempotent", "host: elsewhere"]) {
        assert!(!request.contains(&format!("\r\n{name}")), "{name} in {request}");
    }
    assert!(request.contains("\r\nx-kept: k\r\n"), "{request}");
    assert!(request.contains("\r\nx-attempt: 1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nfour"), "{request}");
    assert_eq!(parse_response(&response), (200, "answered", ""));
    assert!(response.contains("\r\nx-kept: k\r\n"), "{response}");
    assert!(response.contains("\r\nx-request-id: a\r\n"), "{response}");
    for name in ["x-own", "keep-alive", "x-attempt"] {
        assert!(!response.contains(&format!("\r\n{name}")), "{name} in {response}");
    }
    assert!(response.ends_with("\r\n\r\ndone"), "{response}");
}

/// Guards against outcomes that are reported to the caller as another one: error answers, requests
/// that the server shed, and requests that may have run.
#[rstest]
#[case::error(vec![Read, bodiless_answer(500, 1, "")], 500, "answered", "")]
#[case::shed(
    (1..=3).flat_map(|number| [Read, bodiless_answer(503, number, "x-not-run: 1\r\n")]).collect(),
    503, "refused", "attempts"
)]
#[case::broken(vec![Read, Close], 502, "unknown", "connection_broken")]
#[case::other_id(vec![Read, answer("b", "1", "", "")], 502, "unknown", "bad_answer")]
#[case::late(vec![Read], 502, "unknown", "timeout")]
#[tokio::test]
async fn outcomes_are_reported(
    #[case] script: Vec<Step>,
    #[case] status: u16,
    #[case] outcome: &str,
    #[case] reason: &str,
) {
    let entry = Entry::start(vec![script]).await;
    let fields = "x-request-id: a\r\nx-request-timeout-ms: 300\r\n";
    let response = exchange(entry.address, &call(ORDER_PATH, fields, "")).await;
    assert_eq!(parse_response(&response), (status, outcome, reason), "{response}");
    let totals = entry.totals();
    assert_eq!((totals.accepted, totals.in_flight), (1, 0), "{totals:?}");
}

/// Writes an answer without a body that echoes the id `a` and the number of an attempt.
fn bodiless_answer(status: u16, number: u32, fields: &str) -> Step {
    response(status, &format!("x-request-id: a\r\nx-attempt: {number}\r\n{fields}"), "")
}

/// Guards against two requests with the same id in flight, against a duplicate that is reported as
/// "not run" while the first request runs, and against an id that stays in use after its caller has
/// disconnected.
#[tokio::test]
async fn id_is_in_use_while_its_request_is_in_flight() {
    let entry = Entry::start(vec![vec![Read], vec![Read, answer("a", "1", "", "")]]).await;
    let request = call(ORDER_PATH, "x-request-id: a\r\n", "");
    let mut first = TcpStream::connect(entry.address).await.unwrap();
    first.write_all(&request).await.unwrap();
    entry.server.wait_for("0 read").await;
    let second = exchange(entry.address, &request).await;
    assert_eq!(parse_response(&second), (409, "unknown", "duplicate_id"));
    drop(first);
    entry.server.wait_for("0 closed by the other end").await;
    // The server may still work on the first request, so its slot stays in use for 1 s.
    let fields = "x-request-id: a\r\nx-request-timeout-ms: 100\r\n";
    let third = exchange(entry.address, &call(ORDER_PATH, fields, "")).await;
    assert_eq!(parse_response(&third), (503, "refused", "deadline"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(parse_response(&exchange(entry.address, &request).await), (200, "answered", ""));
    let totals = entry.totals();
    let ends = (totals.answered, totals.refused, totals.abandoned, totals.in_flight);
    assert_eq!(ends, (1, 1, 1, 0), "{totals:?}");
}

/// Guards against calls that are accepted while the entry is fenced, before its start is complete,
/// or after the planned stop has begun.
#[tokio::test]
async fn fenced_or_leaving_entry_refuses() {
    let entry = Entry::start(vec![vec![Read]]).await;
    let request = call(ORDER_PATH, "", "");
    entry.fence();
    assert_eq!(
        parse_response(&exchange(entry.address, &request).await),
        (503, "refused", "fenced")
    );
    entry.make_ready();
    entry.tables.gate.close();
    assert_eq!(
        parse_response(&exchange(entry.address, &request).await),
        (503, "refused", "leaving")
    );
    let addresses = b"GET /v1/addresses?service=orders HTTP/1.1\r\n\r\n";
    assert_eq!(
        parse_response(&exchange(entry.address, addresses).await),
        (503, "refused", "leaving")
    );
    assert_eq!(entry.server.connections(), 0);
}

/// The adapters of the daemon with default clients.
fn adapters() -> Adapters {
    Adapters::new(Client::default(), Client::default(), Client::default())
}
