//! The platform's configuration service, as a model and over HTTP.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::http::Error;
use jackdawpin_testkit::http::FullResponse;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::platform::Down;
use jackdawpin_testkit::platform::Model;
use jackdawpin_testkit::platform::Read;
use jackdawpin_testkit::platform::Service;
use jackdawpin_testkit::platform::follow;

const LIMIT: Duration = Duration::from_secs(5);

/// What a read sees: whether it waits, the value and the index.
fn seen(model: &Model, key: &str, known: u64) -> (bool, Option<String>, u64) {
    let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
    match model.read(key, known) {
        Read::Ready(answer) => (false, answer.value.map(text), answer.index),
        Read::Unchanged(answer) => (true, answer.value.map(text), answer.index),
        Read::Down(_) => (false, None, 0),
    }
}

fn value(text: &str) -> Option<String> {
    Some(text.to_owned())
}

/// Guards against reads that wait although there is news, or return at once although there is none.
#[test]
fn blocks_until_changed() {
    let mut model = Model::default();
    let index = model.put("a", "1");
    assert_eq!(seen(&model, "a", 0), (false, value("1"), index));
    assert_eq!(seen(&model, "a", index), (true, value("1"), index));
    model.put("b", "other");
    assert_eq!(seen(&model, "a", index), (true, value("1"), index), "another key changed");
    let next = model.put("a", "2");
    assert_eq!(seen(&model, "a", index), (false, value("2"), next));
    assert_eq!(model.put("a", "2"), next, "an equal value changes nothing");
}

/// Guards against a stale platform that shows newer values, or that stays stale.
#[test]
fn answers_stale() {
    let mut model = Model::default();
    let old = model.put("a", "1");
    let new = model.put("a", "2");
    model.go_stale(Some(old));
    assert_eq!(seen(&model, "a", 0), (false, value("1"), old));
    assert_eq!(seen(&model, "a", new), (true, value("1"), old), "the index is behind the caller's");
    model.put("a", "3");
    assert_eq!(seen(&model, "a", 0), (false, value("1"), old));
    model.recover();
    assert_eq!(seen(&model, "a", old), (false, value("3"), new + 1));
}

/// Guards against a restart that keeps the index, which the published API does not promise.
#[test]
fn resets_the_index() {
    let mut model = Model::default();
    model.put("a", "1");
    let index = model.put("a", "2");
    model.reset();
    assert_eq!(seen(&model, "a", index), (true, value("2"), 1));
    assert_eq!(model.put("a", "3"), 2);
}

async fn start() -> std::io::Result<(Service, SocketAddr)> {
    let service = Service::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = service.start(any, &CancellationToken::new()).await?;
    Ok((service, running.address))
}

async fn get(address: SocketAddr, target: &str) -> Result<FullResponse, Error> {
    fetch(address, "GET", target, "", LIMIT).await
}

/// Guards against answers that differ from the published API.
#[tokio::test]
async fn speaks_the_published_api() {
    let (service, address) = start().await.unwrap();
    let index = service.put("jackdawpin/config", "revision = 1\n");
    let whole = get(address, "/v1/kv/jackdawpin/config").await.unwrap();
    assert_eq!(whole.header("x-consul-index"), Some(index.to_string().as_str()));
    let expected = format!(
        r#"[{{"Key":"jackdawpin/config","Value":"cmV2aXNpb24gPSAxCg==","CreateIndex":{index},"ModifyIndex":{index},"LockIndex":0,"Flags":0}}]"#
    );
    assert_eq!(whole.body, expected);
    assert_eq!(get(address, "/v1/kv/none").await.unwrap().status, 404);
    let put = fetch(address, "PUT", "/v1/kv/jackdawpin/config", "x", LIMIT).await.unwrap();
    assert_eq!(put.status, 405, "the platform is read only");
}

/// Guards against a blocking query that misses the change it waits for, or that ends late or early.
#[tokio::test]
async fn wakes_waiting_calls() {
    let (service, address) = start().await.unwrap();
    let index = service.put("a", "1");
    let target = format!("/v1/kv/a?index={index}&wait=60s");
    let waiting = tokio::spawn(async move { get(address, &target).await });
    while service.counts().waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let next = service.put("a", "2");
    let whole = waiting.await.unwrap().unwrap();
    assert_eq!(whole.header("x-consul-index"), Some(next.to_string().as_str()));
    assert_eq!(service.counts().waiting, 0);

    let start = Instant::now();
    let target = format!("/v1/kv/a?index={next}&wait=100ms");
    let whole = get(address, &target).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
    assert_eq!(whole.header("x-consul-index"), Some(next.to_string().as_str()));
}

/// Guards against an outage that spares calls which wait, as a real one does not.
#[rstest]
#[case::close(Down::Close)]
#[case::error(Down::Error)]
#[tokio::test]
async fn goes_down(#[case] how: Down) {
    let (service, address) = start().await.unwrap();
    let index = service.put("a", "1");
    let target = format!("/v1/kv/a?index={index}&wait=60s");
    let waiting = tokio::spawn(async move { get(address, &target).await });
    while service.counts().waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    service.change(|model| model.go_down(how));
    for result in [waiting.await.unwrap(), get(address, "/v1/kv/a").await] {
        match how {
            Down::Close => assert!(matches!(result, Err(Error::Exchange(..)))),
            Down::Error => assert_eq!(result.unwrap().status, 500),
        }
    }
    fetch(address, "POST", "/test/up", "", LIMIT).await.unwrap();
    assert_eq!(get(address, "/v1/kv/a").await.unwrap().status, 200);
    let counts = service.counts();
    assert_eq!((counts.calls, counts.answered, counts.failed), (3, 1, 2));
}

/// Guards against a delay that is not there.
#[tokio::test]
async fn delays_answers() {
    let (service, address) = start().await.unwrap();
    service.put("a", "1");
    fetch(address, "POST", "/test/delay?ms=50", "", LIMIT).await.unwrap();
    let start = Instant::now();
    get(address, "/v1/kv/a").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(50));
}

/// Guards against a changed file that is not served.
#[tokio::test]
async fn follows_a_file() {
    let file = std::env::temp_dir().join(format!("jackdawpin-follow-{}", std::process::id()));
    std::fs::write(&file, "1").unwrap();
    let (service, address) = start().await.unwrap();
    let followed = file.clone();
    let follower = service.clone();
    tokio::spawn(async move { follow(follower, "a", &followed, &CancellationToken::new()).await });
    let first = get(address, "/v1/kv/a?index=1&wait=5s").await.unwrap();
    assert_eq!(first.header("x-consul-index"), Some("2"));
    std::fs::write(&file, "2").unwrap();
    let second = get(address, "/v1/kv/a?index=2&wait=5s").await.unwrap();
    std::fs::remove_file(&file).unwrap();
    // Base64 of "2".
    assert!(String::from_utf8_lossy(&second.body).contains("\"Mg==\""), "{:?}", second.body);
}
