//! Tests of the test double of the platform's configuration service, as a model and over HTTP.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::http::Error;
use jackdawpin_testkit::http::FullResponse;
use jackdawpin_testkit::http::fetch;
use jackdawpin_testkit::platform::Adapter;
use jackdawpin_testkit::platform::Model;
use jackdawpin_testkit::platform::Outage;
use jackdawpin_testkit::platform::ReadResult;
use jackdawpin_testkit::platform::watch_file;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a key and returns whether the read blocks, the value and the index.
fn read(model: &Model, key: &str, known_index: u64) -> (bool, Option<String>, u64) {
    let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
    match model.read(key, known_index) {
        ReadResult::Ready(state) => (false, state.value.map(text), state.modified_index),
        ReadResult::Unchanged(state) => (true, state.value.map(text), state.modified_index),
        ReadResult::Unavailable(_) => (false, None, 0),
    }
}

fn value(text: &str) -> Option<String> {
    Some(text.to_owned())
}

/// Guards against reads that block although the key has changed, or return immediately although it
/// has not.
#[test]
fn read_blocks_until_key_changes() {
    let mut model = Model::default();
    let index = model.put("a", "1");
    assert_eq!(read(&model, "a", 0), (false, value("1"), index));
    assert_eq!(read(&model, "a", index), (true, value("1"), index));
    model.put("b", "other");
    assert_eq!(read(&model, "a", index), (true, value("1"), index), "another key changed");
    let next = model.put("a", "2");
    assert_eq!(read(&model, "a", index), (false, value("2"), next));
    assert_eq!(model.put("a", "2"), next, "an equal value changes nothing");
}

/// Guards against a stale platform that answers newer values, or that stays stale after the fault.
#[test]
fn stale_model_keeps_old_state() {
    let mut model = Model::default();
    let old = model.put("a", "1");
    let new = model.put("a", "2");
    model.set_stale(Some(old));
    assert_eq!(read(&model, "a", 0), (false, value("1"), old));
    assert_eq!(read(&model, "a", new), (true, value("1"), old), "the index is behind the caller's");
    model.put("a", "3");
    assert_eq!(read(&model, "a", 0), (false, value("1"), old));
    model.clear_faults();
    assert_eq!(read(&model, "a", old), (false, value("3"), new + 1));
}

/// Guards against a restart that keeps the index, which the published API does not guarantee.
#[test]
fn reset_restarts_index() {
    let mut model = Model::default();
    model.put("a", "1");
    let index = model.put("a", "2");
    model.reset();
    assert_eq!(read(&model, "a", index), (true, value("2"), 1));
    assert_eq!(model.put("a", "3"), 2);
}

async fn start_platform() -> std::io::Result<(Adapter, SocketAddr)> {
    let adapter = Adapter::default();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = adapter.start(any_port, &CancellationToken::new()).await?;
    Ok((adapter, running.address))
}

async fn get(address: SocketAddr, target: &str) -> Result<FullResponse, Error> {
    fetch(address, "GET", target, "", CALL_TIMEOUT).await
}

/// Guards against answers that differ from the published API.
#[tokio::test]
async fn answers_match_published_api() {
    let (adapter, address) = start_platform().await.unwrap();
    let index = adapter.put("jackdawpin/config", "revision = 1\n");
    let response = get(address, "/v1/kv/jackdawpin/config").await.unwrap();
    assert_eq!(response.header("x-consul-index"), Some(index.to_string().as_str()));
    let expected = format!(
        r#"[{{"Key":"jackdawpin/config","Value":"cmV2aXNpb24gPSAxCg==","CreateIndex":{index},"ModifyIndex":{index},"LockIndex":0,"Flags":0}}]"#
    );
    assert_eq!(response.body, expected);
    assert_eq!(get(address, "/v1/kv/none").await.unwrap().status, 404);
    let put = fetch(address, "PUT", "/v1/kv/jackdawpin/config", "x", CALL_TIMEOUT).await.unwrap();
    assert_eq!(put.status, 405, "the platform is read only");
}

/// Guards against a blocking query that misses the change that it waits for, or that ends too early
/// or too late.
#[tokio::test]
async fn change_wakes_blocked_call() {
    let (adapter, address) = start_platform().await.unwrap();
    let index = adapter.put("a", "1");
    let target = format!("/v1/kv/a?index={index}&wait=60s");
    let blocked = tokio::spawn(async move { get(address, &target).await });
    while adapter.counts().waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let next = adapter.put("a", "2");
    let response = blocked.await.unwrap().unwrap();
    assert_eq!(response.header("x-consul-index"), Some(next.to_string().as_str()));
    assert_eq!(adapter.counts().waiting, 0);

    let start = Instant::now();
    let target = format!("/v1/kv/a?index={next}&wait=100ms");
    let response = get(address, &target).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
    assert_eq!(response.header("x-consul-index"), Some(next.to_string().as_str()));
}

/// Guards against an outage that doesn't fail blocked calls, as a real one does.
#[rstest]
#[case::close(Outage::Close)]
#[case::error(Outage::Error)]
#[tokio::test]
async fn outage_fails_all_calls(#[case] outage: Outage) {
    let (adapter, address) = start_platform().await.unwrap();
    let index = adapter.put("a", "1");
    let target = format!("/v1/kv/a?index={index}&wait=60s");
    let blocked = tokio::spawn(async move { get(address, &target).await });
    while adapter.counts().waiting == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    adapter.change(|model| model.set_outage(outage));
    for result in [blocked.await.unwrap(), get(address, "/v1/kv/a").await] {
        match outage {
            Outage::Close => assert!(matches!(result, Err(Error::Exchange(..)))),
            Outage::Error => assert_eq!(result.unwrap().status, 500),
        }
    }
    fetch(address, "POST", "/test/up", "", CALL_TIMEOUT).await.unwrap();
    assert_eq!(get(address, "/v1/kv/a").await.unwrap().status, 200);
    let counts = adapter.counts();
    assert_eq!((counts.calls, counts.answered, counts.failed), (3, 1, 2));
}

/// Guards against answers without the delay that was set.
#[tokio::test]
async fn delay_applies_to_answers() {
    let (adapter, address) = start_platform().await.unwrap();
    adapter.put("a", "1");
    fetch(address, "POST", "/test/delay?ms=50", "", CALL_TIMEOUT).await.unwrap();
    let start = Instant::now();
    get(address, "/v1/kv/a").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(50));
}

/// Guards against a changed file whose new content is not served.
#[tokio::test]
async fn watch_file_updates_key() {
    let path = std::env::temp_dir().join(format!("jackdawpin-follow-{}", std::process::id()));
    std::fs::write(&path, "1").unwrap();
    let (adapter, address) = start_platform().await.unwrap();
    let watched = path.clone();
    let watcher = adapter.clone();
    tokio::spawn(
        async move { watch_file(watcher, "a", &watched, &CancellationToken::new()).await },
    );
    let first = get(address, "/v1/kv/a?index=1&wait=5s").await.unwrap();
    assert_eq!(first.header("x-consul-index"), Some("2"));
    std::fs::write(&path, "2").unwrap();
    let second = get(address, "/v1/kv/a?index=2&wait=5s").await.unwrap();
    std::fs::remove_file(&path).unwrap();
    // Base64 of "2".
    assert!(String::from_utf8_lossy(&second.body).contains("\"Mg==\""), "{:?}", second.body);
}
