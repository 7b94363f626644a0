//! Tests of the load generator: its plan, its classification of answers, its report and its audit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::caller::Addresses;
use jackdawpin_testkit::caller::Arrivals;
use jackdawpin_testkit::caller::Audit;
use jackdawpin_testkit::caller::Caller;
use jackdawpin_testkit::caller::Class;
use jackdawpin_testkit::caller::Options;
use jackdawpin_testkit::caller::Plan;
use jackdawpin_testkit::caller::Record;
use jackdawpin_testkit::caller::Report;
use jackdawpin_testkit::caller::ServerLedger;
use jackdawpin_testkit::caller::Target;
use jackdawpin_testkit::caller::classify;
use jackdawpin_testkit::caller::fetch_ledger;
use jackdawpin_testkit::http::Body;
use jackdawpin_testkit::http::FullResponse;
use jackdawpin_testkit::http::Limits;
use jackdawpin_testkit::http::NOT_RUN_HEADER;
use jackdawpin_testkit::http::OUTCOME_HEADER;
use jackdawpin_testkit::http::REQUEST_ID_HEADER;
use jackdawpin_testkit::http::json_response;
use jackdawpin_testkit::http::serve;
use jackdawpin_testkit::server::Adapter as ServerAdapter;
use jackdawpin_testkit::server::Entry;
use jackdawpin_testkit::server::Options as ServerOptions;
use jackdawpin_testkit::server::Work;

/// Guards against a request rate or a share of idempotent requests that differs from the options,
/// and against runs that cannot be repeated.
#[test]
fn plan_keeps_rate_and_mix() {
    let options =
        Options { idempotent_share: 0.25, id_prefix: "p".to_owned(), ..Options::default() };
    let mut plan = Plan::new(&options);
    let arrivals: Vec<Duration> = (0..10_000).map(|_| plan.next_arrival(1_000.0)).collect();
    let seconds = arrivals.last().unwrap().as_secs_f64();
    assert!((9.5..10.5).contains(&seconds), "10,000 arrivals at 1,000/s took {seconds} s");
    assert!(arrivals.is_sorted());
    let requests: Vec<_> = (0..10_000).map_while(|_| plan.next_request()).collect();
    let idempotent = requests.iter().filter(|request| request.idempotent).count();
    assert!((2_300..2_700).contains(&idempotent), "{idempotent} of 10,000 are idempotent");
    assert_eq!(requests[7].id, "p-7");
    let repeated = Plan::new(&options).next_arrival(1_000.0);
    assert_eq!(repeated, arrivals[0]);
}

/// Guards against ignored weights, and against a second attempt at an address that just failed.
#[test]
fn picks_addresses_by_weight() {
    let text = r#"{"addresses":[{"address":"127.0.0.1:1","weight":3},{"address":"127.0.0.1:2","weight":1},
        {"address":"127.0.0.1:3","weight":0}],"ttl_ms":2000}"#;
    let addresses: Addresses = serde_json::from_str(text).unwrap();
    assert_eq!(addresses.ttl(), Duration::from_secs(2));
    let mut rng = fastrand::Rng::with_seed(1);
    let picked: Vec<u16> = (0..4_000)
        .filter_map(|_| addresses.pick(&[], &mut rng))
        .map(|address| address.port())
        .collect();
    let heavier = picked.iter().filter(|port| **port == 1).count();
    assert!((2_800..3_200).contains(&heavier), "{heavier} of 4,000 went to the heavier address");
    assert!(!picked.contains(&3));
    let [one, two, three] = [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    assert_eq!(addresses.pick(&[one], &mut rng), Some(two));
    assert_eq!(
        addresses.pick(&[one, two], &mut rng),
        Some(three),
        "an address of weight 0 is better than none"
    );
}

fn response(
    status: u16,
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
) -> FullResponse {
    let mut headers = HeaderMap::new();
    if let Some((name, value)) = header {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).unwrap_or_default();
    FullResponse { status, headers, body: Bytes::from_static(body.as_bytes()) }
}

/// Guards against a class that hides a fault: each answer that violates the protocol is
/// unexplained.
#[rstest]
#[case::answered(200, Some((OUTCOME_HEADER, "answered")), r#"{"id":"a"}"#, false, Class::Answered)]
#[case::other_id(
    200,
    Some((OUTCOME_HEADER, "answered")),
    r#"{"id":"b"}"#,
    false,
    Class::Unexplained
)]
#[case::not_json(
    200,
    Some((OUTCOME_HEADER, "answered")),
    "{\"id\":\"a\"",
    false,
    Class::Unexplained
)]
#[case::refused(503, Some((OUTCOME_HEADER, "refused")), "", false, Class::Refused)]
#[case::refused_status(502, Some((OUTCOME_HEADER, "refused")), "", false, Class::Unexplained)]
#[case::unknown(502, Some((OUTCOME_HEADER, "unknown")), "", false, Class::Unknown)]
#[case::unknown_status(503, Some((OUTCOME_HEADER, "unknown")), "", false, Class::Unexplained)]
#[case::no_outcome(200, None, r#"{"id":"a"}"#, false, Class::Unexplained)]
#[case::direct(200, None, r#"{"id":"a"}"#, true, Class::Answered)]
#[case::direct_header(
    200,
    Some((REQUEST_ID_HEADER, "b")),
    r#"{"id":"a"}"#,
    true,
    Class::Unexplained
)]
#[case::direct_shed(503, Some((NOT_RUN_HEADER, "shed")), "", true, Class::Refused)]
fn classifies_answers(
    #[case] status: u16,
    #[case] header: Option<(&'static str, &'static str)>,
    #[case] body: &'static str,
    #[case] direct: bool,
    #[case] class: Class,
) {
    let result = Ok(response(status, header, body));
    assert_eq!(classify(&result, "a", direct).class, class);
}

fn record(id: &str, idempotent: bool, class: Class) -> Record {
    Record {
        id: id.to_owned(),
        idempotent,
        target: 0,
        at: Duration::ZERO,
        latency: Duration::from_millis(1),
        late: Duration::ZERO,
        class,
        reason: String::new(),
        status: 200,
        moves: 0,
    }
}

/// Guards against an audit that misses violations or reports allowed runs as violations. The
/// request may run on two servers, so the sum of its runs counts.
#[rstest]
#[case::clean(false, Class::Answered, 1, 0, [0, 0, 0])]
#[case::doubled(false, Class::Answered, 1, 1, [1, 0, 0])]
#[case::doubled_unknown(false, Class::Unknown, 1, 1, [1, 0, 0])]
#[case::repeated(true, Class::Answered, 2, 1, [0, 0, 0])]
#[case::lost(true, Class::Answered, 0, 0, [0, 1, 0])]
#[case::refused(false, Class::Refused, 0, 0, [0, 0, 0])]
#[case::false_refusal(true, Class::Refused, 0, 1, [0, 0, 1])]
#[case::unexplained(false, Class::Unexplained, 1, 0, [0, 0, 0])]
fn audit_finds_violations(
    #[case] idempotent: bool,
    #[case] class: Class,
    #[case] first: u32,
    #[case] second: u32,
    #[case] expected: [u64; 3],
) {
    let ledger = |runs| ServerLedger {
        entries: Vec::from_iter((runs > 0).then(|| Entry {
            id: "a".to_owned(),
            runs,
            ..Entry::default()
        })),
        ..ServerLedger::default()
    };
    let records = [record("a", idempotent, class)];
    let audit = Audit::compare(&records, &[ledger(first), ledger(second)]);
    assert_eq!([audit.doubled, audit.lost, audit.false_refusals], expected);
    assert_eq!(audit.is_clean(), expected == [0, 0, 0]);
}

/// Guards against latencies of requests without an answer in the report, and against wrong
/// percentiles.
#[test]
fn report_counts_and_percentiles() {
    let mut records: Vec<Record> = (1..=1_000)
        .map(|millis| Record {
            latency: Duration::from_millis(millis),
            ..record("a", true, Class::Answered)
        })
        .collect();
    let long = Duration::from_secs(60);
    records.push(Record { latency: long, ..record("b", true, Class::Refused) });
    let report = Report::from_records(&records);
    assert_eq!((report.sent, report.answered, report.refused), (1_001, 1_000, 1));
    assert!(report.balanced);
    let is_near = |us: u64, millis: u64| us.abs_diff(millis * 1_000) <= millis * 10;
    let latency = report.latency;
    assert!(
        is_near(latency.p50_us, 500)
            && is_near(latency.p99_us, 990)
            && is_near(latency.max_us, 1_000)
    );
}

/// Guards against records that disagree with the ledger of a correct server.
#[rstest]
#[case::open(Arrivals::Open(400.0))]
#[case::closed(Arrivals::Closed(3))]
#[tokio::test]
async fn records_agree_with_ledger(#[case] arrivals: Arrivals) {
    let work = Work::Exponential(Duration::from_millis(2));
    let adapter =
        ServerAdapter::new(ServerOptions { warm: true, work, ..ServerOptions::default() });
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let running =
        adapter.start(any_port, Limits::default(), &CancellationToken::new()).await.unwrap();
    let time = Duration::from_millis(500);
    let options = Options { arrivals, duration: time, max_requests: 150, ..Options::default() };
    let targets = [Target::Servers(vec![running.address])];
    let caller = Caller::new(options, &targets).await.unwrap();
    let records = caller.run(&CancellationToken::new()).await;
    let report = Report::from_records(&records);
    assert!(report.sent > 50 && report.balanced, "{report}");
    assert_eq!(report.sent, report.answered + report.refused, "{report}");
    let ledger = fetch_ledger(running.address).await.unwrap();
    assert_eq!(ledger.counts.completed, report.answered);
    let audit = Audit::compare(&records, &[ledger]);
    assert!(audit.is_clean(), "{audit}");
}

/// Answers as an entry does: an address lookup with its own address and one without a listener,
/// another request with the outcome `answered`.
fn answer_as_entry(
    own: SocketAddr,
    lookups: &AtomicU64,
    request: &Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/v1/addresses" {
        lookups.fetch_add(1, Ordering::Relaxed);
        let closed = SocketAddr::from(([127, 0, 0, 1], 1));
        let list = format!(
            r#"{{"addresses":[{{"address":"{own}","weight":1}},{{"address":"{closed}","weight":1}}],"ttl_ms":200}}"#
        );
        return json_response(StatusCode::OK, list);
    }
    let id = request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    let mut response = json_response(StatusCode::OK, format!(r#"{{"id":"{id}"}}"#));
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("answered"));
    response
}

/// Guards against a caller that looks up addresses more often than their time to live requires, or
/// that counts a request as failed although it was never sent.
#[tokio::test]
async fn sends_through_entries() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = listener.local_addr().unwrap();
    let lookups = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&lookups);
    tokio::spawn(async move {
        let handler = move |request: Request<Incoming>| {
            let response = answer_as_entry(own, &count, &request);
            async move { Ok(response) }
        };
        let cancel = CancellationToken::new();
        serve(listener, Limits::default(), Arc::default(), &cancel, handler).await;
    });
    let time = Duration::from_millis(500);
    let options = Options { arrivals: Arrivals::Open(200.0), duration: time, ..Options::default() };
    let target = Target::Entries { initial: vec![own], service: "lookup".to_owned() };
    let records =
        Caller::new(options, &[target]).await.unwrap().run(&CancellationToken::new()).await;
    let report = Report::from_records(&records);
    assert!(report.sent > 50 && report.answered == report.sent, "{report}");
    assert!(report.moves > 0, "no request tried the address without a listener");
    assert!((2..=4).contains(&lookups.load(Ordering::Relaxed)), "{lookups:?} address lookups");
}
