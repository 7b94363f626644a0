//! A server over HTTP.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::http::ATTEMPT;
use jackdawpin_testkit::http::Error;
use jackdawpin_testkit::http::LOAD;
use jackdawpin_testkit::http::Limits;
use jackdawpin_testkit::http::NOT_RUN;
use jackdawpin_testkit::http::Pool;
use jackdawpin_testkit::http::REQUEST_ID;
use jackdawpin_testkit::http::TIMEOUT;
use jackdawpin_testkit::http::Whole;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::server::Options;
use jackdawpin_testkit::server::Service;
use jackdawpin_testkit::server::Work;

const LIMIT: Duration = Duration::from_secs(5);

async fn start(work_ms: u64, warm: bool) -> std::io::Result<(Service, SocketAddr)> {
    let work = Work::Fixed(Duration::from_millis(work_ms));
    let service = Service::new(Options { warm, work, slots: 1, queue: 1, ..Options::default() });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = service.start(any, Limits::default(), &CancellationToken::new()).await?;
    Ok((service, running.address))
}

async fn call(address: SocketAddr, id: &str, timeout_ms: u64) -> Result<Whole, Error> {
    let request = Request::post("/task")
        .header(REQUEST_ID, id)
        .header(ATTEMPT, 2)
        .header(TIMEOUT, timeout_ms)
        .body(Full::new(Bytes::from_static(b"order")))?;
    Pool::default().send(address, request).await
}

/// Guards against answers that cannot be told from those of another request.
#[tokio::test]
async fn echoes() {
    let (_, address) = start(1, true).await.unwrap();
    let whole = call(address, "a", 1_000).await.unwrap();
    assert_eq!((whole.header(REQUEST_ID), whole.header(ATTEMPT)), (Some("a"), Some("2")));
    assert!(whole.body.starts_with(b"{\"attempt\":2,\"id\":\"a\""), "{:?}", whole.body);
    let load = r#"JSON {"named_metrics":{"in_flight":0,"slots":1,"warm":1,"draining":0,"boot":1}}"#;
    assert_eq!(whole.header(LOAD), Some(load));
    let probe = fetch(address, "GET", "/load", "", LIMIT).await.unwrap();
    assert_eq!(probe.body, load.strip_prefix("JSON ").unwrap());
}

/// Guards against work that goes on after its caller went away, and against a slot that it keeps.
#[tokio::test]
async fn cancels() {
    let (service, address) = start(60_000, true).await.unwrap();
    let given_up =
        tokio::time::timeout(Duration::from_millis(50), call(address, "a", 60_000)).await;
    assert!(given_up.is_err());
    let start = Instant::now();
    while !service.change(|model, _| model.is_idle()) {
        assert!(start.elapsed() < LIMIT, "the slot was not freed");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let counts = service.counts();
    assert_eq!((counts.started, counts.completed, counts.stopped), (1, 0, 1));
}

/// Guards against a deadline that is not kept, and against "not run" about work that had started.
#[tokio::test]
async fn keeps_deadlines() {
    let (service, address) = start(60_000, true).await.unwrap();
    let (ran, waited) = tokio::join!(call(address, "a", 200), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        call(address, "b", 50).await
    });
    let (ran, waited) = (ran.unwrap(), waited.unwrap());
    assert_eq!((ran.status.as_u16(), ran.header(NOT_RUN)), (504, None));
    assert_eq!((waited.status.as_u16(), waited.header(NOT_RUN)), (503, Some("deadline")));
    assert_eq!(
        service.change(|model, _| (model.ledger().runs("a"), model.ledger().runs("b"))),
        (1, 0)
    );
}

/// Guards against load that is taken although there is no room, or refused without proof.
#[tokio::test]
async fn sheds() {
    let (_, address) = start(100, true).await.unwrap();
    let results = tokio::join!(
        call(address, "a", 1_000),
        call(address, "b", 1_000),
        call(address, "c", 1_000)
    );
    let mut seen: Vec<_> = [results.0, results.1, results.2]
        .into_iter()
        .map(|result| result.unwrap())
        .map(|whole| (whole.status.as_u16(), whole.header(NOT_RUN).map(str::to_owned)))
        .collect();
    seen.sort();
    assert_eq!(seen, [(200, None), (200, None), (503, Some("shed".to_owned()))]);
}

/// Guards against a cold server that fails too gently: one request at once too many loses both.
#[tokio::test]
async fn falls_over() {
    let (service, address) = start(200, false).await.unwrap();
    let results = tokio::join!(call(address, "a", 1_000), call(address, "b", 1_000));
    for result in [results.0, results.1] {
        assert!(result.is_err() || result.unwrap().status == 500);
    }
    assert_eq!(service.counts().overrun, 1);
}

/// Guards against faults on purpose that a caller could not notice.
#[rstest]
#[case::cut("/test/cut?ms=60000")]
#[case::silent("/test/silent?ms=100")]
#[tokio::test]
async fn breaks_answers(#[case] fault: &str) {
    let (service, address) = start(1, true).await.unwrap();
    fetch(address, "POST", fault, "", LIMIT).await.unwrap();
    let result = call(address, "a", 1_000).await;
    assert!(matches!(result, Err(Error::Exchange(..))), "{result:?}");
    assert_eq!(service.change(|model, _| model.ledger().runs("a")), 1);
}

/// Guards against a wrong id that is missing from either the header or the body.
#[tokio::test]
async fn answers_for_another() {
    let (_, address) = start(1, true).await.unwrap();
    fetch(address, "POST", "/test/wrong-id?ms=60000", "", LIMIT).await.unwrap();
    let whole = call(address, "a", 1_000).await.unwrap();
    assert_eq!(whole.header(REQUEST_ID), Some("other-a"));
    assert!(String::from_utf8_lossy(&whole.body).contains("\"id\":\"other-a\""));
}

/// Guards against a planned stop that breaks work off or waits for ever.
#[tokio::test]
async fn drains() {
    let (service, address) = start(100, true).await.unwrap();
    let work = tokio::spawn(async move { call(address, "a", 1_000).await });
    while service.counts().started == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (drained, refused) = tokio::join!(tokio::time::timeout(LIMIT, service.drain()), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        call(address, "b", 1_000).await
    });
    assert!(drained.is_ok());
    assert_eq!(refused.unwrap().header(NOT_RUN), Some("draining"));
    assert_eq!(work.await.unwrap().unwrap().status, 200);
}
