//! The watch on the platform's keys.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fs;
use std::future::pending;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::request::Request;
use volo_http::response::Response;

use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;
use jackdawpin_daemon::clock;
use jackdawpin_daemon::listen;
use jackdawpin_daemon::listen::Context;
use jackdawpin_daemon::listen::Counters;
use jackdawpin_daemon::listen::Limits;
use jackdawpin_daemon::platform;
use jackdawpin_daemon::platform::Answer;
use jackdawpin_daemon::platform::Backoff;
use jackdawpin_daemon::platform::Error;
use jackdawpin_daemon::platform::Fetch;
use jackdawpin_daemon::platform::Http;
use jackdawpin_daemon::platform::Key;
use jackdawpin_daemon::platform::MAX_VALUE_BYTES;
use jackdawpin_daemon::platform::Sink;
use jackdawpin_daemon::platform::Watch;

const NAME: &str = "jackdawpin/config";
const LIMITS: Limits = Limits {
    connections: 8,
    head_bytes: 8192,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

/// Status, index and body of an answer.
type Scripted = (u16, Option<u64>, String);

fn body(value: &[u8]) -> String {
    format!(r#"[{{"Key":"{NAME}","Flags":0,"Value":"{}"}}]"#, STANDARD.encode(value))
}

fn good(index: u64) -> Scripted {
    (200, Some(index), body(b"value"))
}

/// Gives the scripted answers in order, the last one again and again, and records the requests.
struct Platform {
    script: Mutex<VecDeque<Scripted>>,
    requests: Mutex<Vec<String>>,
}

impl Service<Context, Request<Incoming>> for Platform {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Self::Error> {
        self.requests.lock().unwrap().push(request.uri().to_string());
        let mut script = self.script.lock().unwrap();
        let (status, index, body) =
            if script.len() > 1 { script.pop_front() } else { script.front().cloned() }.unwrap();
        let mut response = Response::builder().status(status);
        if let Some(index) = index {
            response = response.header("X-Consul-Index", index);
        }
        Ok(response.body(Full::new(Bytes::from(body))).unwrap())
    }
}

/// Passes the results on as text.
struct Results(mpsc::UnboundedSender<String>);

impl Sink for Results {
    fn read(&self, key: Key, value: &[u8], _: Instant) {
        let _ = self.0.send(format!("{key} {}", String::from_utf8_lossy(value)));
    }

    fn failed(&self, key: Key, error: &Error, _: Instant) {
        let _ = self.0.send(format!("{key} failed: {error}"));
    }
}

/// Runs a watch on a scripted platform until there are `count` results; returns them and the
/// requests.
async fn run(
    script: impl IntoIterator<Item = Scripted>,
    count: usize,
) -> (Vec<String>, Vec<String>) {
    let listener = listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let fetch = Http::new(Arc::default(), listener.local_addr().unwrap());
    let script = Mutex::new(script.into_iter().collect());
    let platform = Arc::new(Platform { script, requests: Mutex::default() });
    let stop = CancellationToken::new();
    let serving = Arc::clone(&platform);
    tokio::spawn(listen::serve(listener, serving, LIMITS, Counters::default(), stop.clone()));
    let results = collect(&fetch, &clock::BootClock, count).await;
    stop.cancel();
    let requests = platform.requests.lock().unwrap().clone();
    (results, requests)
}

/// Runs a watch until there are `count` results.
async fn collect(fetch: &impl Fetch, clock: &impl Clock, count: usize) -> Vec<String> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let sink = Results(sender);
    let watch = Watch { fetch, sink: &sink, clock, random: &clock::Random };
    let stop = CancellationToken::new();
    let mut results = Vec::new();
    let take = async {
        while results.len() < count {
            results.push(receiver.recv().await.unwrap());
        }
        stop.cancel();
    };
    let watching = platform::watch(watch, Key::Config, NAME, &stop);
    timeout(Duration::from_secs(10), async { tokio::join!(watching, take) }).await.unwrap();
    results
}

/// Guards against reads that are not held, and against unchanged values that are not passed on.
#[tokio::test]
async fn index_is_named() {
    let (results, requests) = run([good(7), good(7), good(9)], 3).await;
    assert_eq!(results, ["config value"; 3]);
    let expected = ["0", "7", "7"].map(|i| format!("/v1/kv/{NAME}?index={i}&wait=2s"));
    assert_eq!(requests, expected);
}

/// Guards against a watch that names an index the platform no longer knows, or one that is never
/// held.
#[tokio::test]
async fn index_goes_back() {
    let (_, requests) =
        run([good(7), good(3), good(3), (500, None, String::new()), good(0)], 6).await;
    let indices: Vec<&str> =
        requests.iter().map(|uri| uri.split(['=', '&']).nth(1).unwrap()).collect();
    assert_eq!(indices, ["0", "7", "0", "3", "0", "1"]);
}

/// Guards against answers that are taken as values, and against errors that do not say what is
/// wrong.
#[rstest]
#[case((404, Some(1), String::new()), "the key does not exist")]
#[case((429, Some(1), String::new()), "status 429")]
#[case((200, None, body(b"")), "no valid index")]
#[case((200, Some(1), "[]".to_owned()), "expected 1 entry, found 0")]
#[case((200, Some(1), "[{".to_owned()), "not the JSON expected")]
#[case((200, Some(1), body(b"").replace("config", "other")), "expected key")]
#[case((200, Some(1), body(b"aa").replace('=', "!")), "not base64")]
#[case((200, Some(1), body(&vec![0; MAX_VALUE_BYTES + 1])), "more than 1048576 bytes")]
#[case((200, Some(1), body(&vec![0; MAX_VALUE_BYTES * 2])), "more than 1048576 bytes")]
#[tokio::test]
async fn bad_answers(#[case] answer: Scripted, #[case] expected: &str) {
    let (results, _) = run([answer], 1).await;
    assert!(
        results[0].starts_with("config failed") && results[0].contains(expected),
        "{results:?}"
    );
}

/// Guards against a largest value that is refused, and an empty value that is.
#[rstest]
#[case(body(&vec![b'x'; MAX_VALUE_BYTES]), MAX_VALUE_BYTES)]
#[case(body(b"").replace("\"\"", "null"), 0)]
#[tokio::test]
async fn value_sizes(#[case] body: String, #[case] len: usize) {
    let (results, _) = run([(200, Some(1), body)], 1).await;
    assert_eq!(results[0].len(), "config ".len() + len);
}

/// Guards against a tight loop on a platform that answers at once, with an error or without: at
/// most one read per 100 ms, and after the waits of at least 50, 100, 200 and 400 ms at most 4
/// reads.
#[rstest]
#[case(good(1), 6)]
#[case((500, None, String::new()), 4)]
#[tokio::test]
async fn reads_are_spaced(#[case] answer: Scripted, #[case] most: usize) {
    let ended = timeout(Duration::from_millis(550), run([answer], most + 1)).await;
    assert!(ended.is_err(), "{} reads in 550 ms", most + 1);
}

/// Guards against volo-http's client in the daemon: it reads `/etc/resolv.conf` when it is built and
/// panics if the file is missing or names no server, which a diskless VM may lack. No test can take
/// the file away, so the sources are searched.
#[test]
fn no_client_with_a_resolver() {
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut files = 0;
    while let Some(folder) = folders.pop() {
        for item in fs::read_dir(folder).unwrap() {
            let path = item.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            files += 1;
            let text = fs::read_to_string(&path).unwrap();
            assert!(!text.contains("volo_http::client"), "{}", path.display());
        }
    }
    assert!(files > 50, "only {files} files were found");
}

/// Guards against a platform that is not there, which must be a failed read and no more.
#[tokio::test]
async fn refused_connection() {
    let listener = listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let fetch = Http::new(Arc::default(), listener.local_addr().unwrap());
    drop(listener);
    let results = collect(&fetch, &clock::BootClock, 1).await;
    assert!(results[0].starts_with("config failed: request not sent: "), "{results:?}");
}

/// Always the largest or the smallest number.
struct Extreme(bool);

impl Random for Extreme {
    fn below(&self, bound: u64) -> u64 {
        if self.0 { bound - 1 } else { 0 }
    }
}

/// Guards against a backoff that does not grow, has no limit, or does not start over.
#[rstest]
#[case(false, [50, 100, 200, 400, 800, 1600, 2500, 2500])]
#[case(true, [100, 200, 400, 800, 1600, 3200, 5000, 5000])]
fn backoff_doubles(#[case] largest: bool, #[case] expected: [u64; 8]) {
    let mut backoff = Backoff::new();
    for millis in expected {
        assert_eq!(backoff.wait(&Extreme(largest)), Duration::from_millis(millis));
    }
    backoff.reset();
    assert_eq!(backoff.wait(&Extreme(largest)), Duration::from_millis(expected[0]));
}

/// A clock that jumps to the time that is waited for, or by the time it is told.
#[derive(Default)]
struct Jump(Arc<AtomicU64>);

impl Clock for Jump {
    fn wall_millis(&self) -> u64 {
        0
    }

    fn now(&self) -> Instant {
        Instant::from_nanos(self.0.load(SeqCst))
    }

    async fn sleep_until(&self, at: Instant) {
        sleep(Duration::from_millis(1)).await;
        self.0.fetch_max(at.as_nanos(), SeqCst);
    }
}

/// Answers after the clock has advanced by a time, or never.
struct Slow(Arc<AtomicU64>, Option<Duration>);

impl Fetch for Slow {
    async fn fetch(&self, _: &str, _: u64) -> Result<Answer, Error> {
        let Some(time) = self.1 else {
            return pending().await;
        };
        self.0.fetch_add(u64::try_from(time.as_nanos()).unwrap(), SeqCst);
        Ok(Answer { index: 1, value: b"late".to_vec() })
    }
}

/// Guards against a platform that never answers, and against an answer from before a suspension
/// that counts as a sign of the platform now.
#[rstest]
#[case(None, "config failed: no answer within 3000 ms")]
#[case(Some(3001), "config failed: no answer within 3000 ms")]
#[case(Some(2999), "config late")]
#[tokio::test]
async fn late_answers(#[case] millis: Option<u64>, #[case] expected: &str) {
    let clock = Jump::default();
    let fetch = Slow(Arc::clone(&clock.0), millis.map(Duration::from_millis));
    assert_eq!(collect(&fetch, &clock, 2).await, [expected, expected]);
}
