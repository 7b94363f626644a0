//! Tests of the server test double over HTTP.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::http::ATTEMPT_HEADER;
use jackdawpin_testkit::http::Error;
use jackdawpin_testkit::http::FullResponse;
use jackdawpin_testkit::http::LOAD_HEADER;
use jackdawpin_testkit::http::Limits;
use jackdawpin_testkit::http::NOT_RUN_HEADER;
use jackdawpin_testkit::http::Pool;
use jackdawpin_testkit::http::REQUEST_ID_HEADER;
use jackdawpin_testkit::http::TIMEOUT_HEADER;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::server::Adapter;
use jackdawpin_testkit::server::Options;
use jackdawpin_testkit::server::Work;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

async fn start_server(work_ms: u64, warm: bool) -> std::io::Result<(Adapter, SocketAddr)> {
    let work = Work::Fixed(Duration::from_millis(work_ms));
    let adapter = Adapter::new(Options { warm, work, slots: 1, queue: 1, ..Options::default() });
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = adapter.start(any_port, Limits::default(), &CancellationToken::new()).await?;
    Ok((adapter, running.address))
}

async fn call(address: SocketAddr, id: &str, timeout_ms: u64) -> Result<FullResponse, Error> {
    let request = Request::post("/task")
        .header(REQUEST_ID_HEADER, id)
        .header(ATTEMPT_HEADER, 2)
        .header(TIMEOUT_HEADER, timeout_ms)
        .body(Full::new(Bytes::from_static(b"order")))?;
    Pool::default().send(address, request).await
}

/// Guards against answers without the id and the attempt of their request, and against a wrong load
/// report.
#[tokio::test]
async fn answers_echo_id_and_attempt() {
    let (_, address) = start_server(1, true).await.unwrap();
    let response = call(address, "a", 1_000).await.unwrap();
    assert_eq!(
        (response.header(REQUEST_ID_HEADER), response.header(ATTEMPT_HEADER)),
        (Some("a"), Some("2"))
    );
    assert!(response.body.starts_with(b"{\"attempt\":2,\"id\":\"a\""), "{:?}", response.body);
    let report =
        r#"JSON {"named_metrics":{"in_flight":0,"slots":1,"warm":1,"draining":0,"boot":1}}"#;
    assert_eq!(response.header(LOAD_HEADER), Some(report));
    let probe = fetch(address, "GET", "/load", "", TEST_TIMEOUT).await.unwrap();
    assert_eq!(probe.body, report.strip_prefix("JSON ").unwrap());
}

/// Guards against a request that keeps running and holds its slot after its caller has
/// disconnected.
#[tokio::test]
async fn closed_connection_cancels_request() {
    let (adapter, address) = start_server(60_000, true).await.unwrap();
    let abandoned =
        tokio::time::timeout(Duration::from_millis(50), call(address, "a", 60_000)).await;
    assert!(abandoned.is_err());
    let start = Instant::now();
    while !adapter.with_model(|model, _| model.is_idle()) {
        assert!(start.elapsed() < TEST_TIMEOUT, "the slot was not freed");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let counts = adapter.counts();
    assert_eq!((counts.started, counts.completed, counts.stopped), (1, 0, 1));
}

/// Guards against a missed deadline, and against an answer "not run" to a request whose work had
/// started.
#[tokio::test]
async fn answers_at_deadlines() {
    let (adapter, address) = start_server(60_000, true).await.unwrap();
    let (running, waiting) = tokio::join!(call(address, "a", 200), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        call(address, "b", 50).await
    });
    let (running, waiting) = (running.unwrap(), waiting.unwrap());
    assert_eq!((running.status.as_u16(), running.header(NOT_RUN_HEADER)), (504, None));
    assert_eq!((waiting.status.as_u16(), waiting.header(NOT_RUN_HEADER)), (503, Some("deadline")));
    assert_eq!(
        adapter.with_model(|model, _| (model.ledger().runs("a"), model.ledger().runs("b"))),
        (1, 0)
    );
}

/// Guards against a request that is accepted although the queue is full, or shed without the header
/// that proves it did not run.
#[tokio::test]
async fn sheds_when_full() {
    let (_, address) = start_server(100, true).await.unwrap();
    let results = tokio::join!(
        call(address, "a", 1_000),
        call(address, "b", 1_000),
        call(address, "c", 1_000)
    );
    let mut outcomes: Vec<_> = [results.0, results.1, results.2]
        .into_iter()
        .map(|result| result.unwrap())
        .map(|response| {
            (response.status.as_u16(), response.header(NOT_RUN_HEADER).map(str::to_owned))
        })
        .collect();
    outcomes.sort();
    assert_eq!(outcomes, [(200, None), (200, None), (503, Some("shed".to_owned()))]);
}

/// Guards against a cold server that survives a second concurrent request: both must fail.
#[tokio::test]
async fn overrun_fails_both_requests() {
    let (adapter, address) = start_server(200, false).await.unwrap();
    let results = tokio::join!(call(address, "a", 1_000), call(address, "b", 1_000));
    for result in [results.0, results.1] {
        assert!(result.is_err() || result.unwrap().status == 500);
    }
    assert_eq!(adapter.counts().overrun, 1);
}

/// Guards against injected faults that a caller cannot detect.
#[rstest]
#[case::cut("/test/cut?ms=60000")]
#[case::silent("/test/silent?ms=100")]
#[tokio::test]
async fn truncate_and_silent_break_the_exchange(#[case] fault: &str) {
    let (adapter, address) = start_server(1, true).await.unwrap();
    fetch(address, "POST", fault, "", TEST_TIMEOUT).await.unwrap();
    let result = call(address, "a", 1_000).await;
    assert!(matches!(result, Err(Error::Exchange(..))), "{result:?}");
    assert_eq!(adapter.with_model(|model, _| model.ledger().runs("a")), 1);
}

/// Guards against a wrong id that appears only in the header or only in the body.
#[tokio::test]
async fn wrong_id_in_header_and_body() {
    let (_, address) = start_server(1, true).await.unwrap();
    fetch(address, "POST", "/test/wrong-id?ms=60000", "", TEST_TIMEOUT).await.unwrap();
    let response = call(address, "a", 1_000).await.unwrap();
    assert_eq!(response.header(REQUEST_ID_HEADER), Some("other-a"));
    assert!(String::from_utf8_lossy(&response.body).contains("\"id\":\"other-a\""));
}

/// Guards against a drain that cancels running requests or never ends.
#[tokio::test]
async fn drain_completes_running_requests() {
    let (adapter, address) = start_server(100, true).await.unwrap();
    let work = tokio::spawn(async move { call(address, "a", 1_000).await });
    while adapter.counts().started == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (drained, rejected) =
        tokio::join!(tokio::time::timeout(TEST_TIMEOUT, adapter.drain()), async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            call(address, "b", 1_000).await
        });
    assert!(drained.is_ok());
    assert_eq!(rejected.unwrap().header(NOT_RUN_HEADER), Some("draining"));
    assert_eq!(work.await.unwrap().unwrap().status, 200);
}
