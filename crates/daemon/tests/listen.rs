//! The listener: limits, refusals and graceful stop.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use prometheus_client::metrics::gauge::Gauge;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::request::Request;
use volo_http::response::Response;

use jackdawpin_daemon::listen;
use jackdawpin_daemon::listen::BufferBudget;
use jackdawpin_daemon::listen::Context;
use jackdawpin_daemon::listen::Counters;
use jackdawpin_daemon::listen::Limits;

const MAX_BODY: usize = 16 * 1024;
const BUDGET: usize = 20 * 1024;
const LIMITS: Limits = Limits {
    connections: 2,
    head_bytes: 8192,
    head_timeout: Duration::from_millis(300),
    body_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_millis(1500),
};

/// Answers with the length of the body, or with the error; `/wait` waits for a permit of `gate`.
struct Echo {
    gate: Semaphore,
    started: Semaphore,
    dropped: Arc<Semaphore>,
    budget: BufferBudget,
}

/// Adds a permit when dropped.
struct OnDrop(Arc<Semaphore>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

impl Service<Context, Request<Incoming>> for Echo {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Self::Error> {
        let _dropped = OnDrop(Arc::clone(&self.dropped));
        self.started.add_permits(1);
        if request.uri().path() == "/wait" {
            self.gate.acquire().await.unwrap().forget();
        }
        let body = request.into_body();
        let read = listen::body::read(body, MAX_BODY, LIMITS.body_timeout, &self.budget).await;
        let (status, text) = match read {
            Ok(bytes) => (StatusCode::OK, format!("{} held {}", bytes.len(), self.budget.used())),
            Err(error) => (StatusCode::BAD_REQUEST, format!("{error:?}")),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        Ok(response)
    }
}

struct Server {
    address: SocketAddr,
    echo: Arc<Echo>,
    counters: Counters,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    fn start() -> Self {
        let listener = listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let echo = Arc::new(Echo {
            gate: Semaphore::new(0),
            started: Semaphore::new(0),
            dropped: Arc::new(Semaphore::new(0)),
            budget: BufferBudget::new(BUDGET, Gauge::default()),
        });
        let counters = Counters::default();
        let stop = CancellationToken::new();
        let task = tokio::spawn(listen::serve(
            listener,
            Arc::clone(&echo),
            LIMITS,
            counters.clone(),
            stop.clone(),
        ));
        Self { address, echo, counters, stop, task }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends `bytes` on a new connection.
    async fn send(&self, bytes: impl AsRef<[u8]>) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(bytes.as_ref()).await.unwrap();
        stream
    }

    async fn started(&self) {
        self.echo.started.acquire().await.unwrap().forget();
    }
}

/// Everything until the listener closes the connection.
async fn rest(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset ends the connection as well.
    let _ = timeout(Duration::from_secs(2), stream.read_to_end(&mut text)).await.unwrap();
    String::from_utf8(text).unwrap()
}

/// One response, without waiting for the end of the connection.
async fn response(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let len = timeout(Duration::from_secs(2), stream.read(&mut buffer)).await.unwrap().unwrap();
    String::from_utf8(buffer[..len].to_vec()).unwrap()
}

fn post(body_len: usize, sent: usize) -> Vec<u8> {
    let mut bytes = format!("POST / HTTP/1.1\r\ncontent-length: {body_len}\r\n\r\n").into_bytes();
    bytes.extend(std::iter::repeat_n(b'x', sent));
    bytes
}

/// Guards against a head that fills the memory.
#[tokio::test]
async fn oversized_head() {
    let server = Server::start();
    let field = "x".repeat(LIMITS.head_bytes);
    let stream = server.send(format!("GET / HTTP/1.1\r\na: {field}\r\n\r\n")).await;
    assert!(rest(stream).await.starts_with("HTTP/1.1 431"));
    assert_eq!(server.counters.invalid.get(), 1);
}

/// Guards against callers that hold a place with a head that never ends, also on a connection used
/// before.
#[tokio::test]
async fn slow_head() {
    let server = Server::start();
    let mut stream = server.send("GET / HTTP/1.1\r\n\r\n").await;
    assert!(response(&mut stream).await.starts_with("HTTP/1.1 200"));
    sleep(LIMITS.head_timeout * 2).await;
    for byte in "GET / HTTP/1.1\r\n".bytes() {
        if stream.write_all(&[byte]).await.is_err() {
            break;
        }
        sleep(LIMITS.head_timeout / 8).await;
    }
    assert_eq!(rest(stream).await, "");
    assert_eq!(server.counters.expired.get(), 1);
}

/// Guards against idle connections that are closed at the head's limit, or never.
#[tokio::test]
async fn idle_connection() {
    let server = Server::start();
    let mut stream = server.connect().await;
    sleep(LIMITS.head_timeout * 3).await;
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(response(&mut stream).await.starts_with("HTTP/1.1 200"));
    assert_eq!(rest(stream).await, "");
    assert_eq!(server.counters.expired.get(), 1);
    assert_eq!(server.counters.open.get(), 0);
}

/// Guards against bytes that are no request, which would otherwise pass uncounted.
#[tokio::test]
async fn bad_bytes() {
    let server = Server::start();
    let stream = server.send(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n").await;
    assert!(rest(stream).await.starts_with("HTTP/1.1 400"));
    assert_eq!(server.counters.invalid.get(), 1);
}

/// Guards against bodies that are too large, too slow or broken off, and against a budget that is
/// not given back.
#[tokio::test]
async fn bodies() {
    let server = Server::start();
    let cases = [
        (post(3, 3), "3 held 3"),
        (post(MAX_BODY, MAX_BODY), "16384 held 16384"),
        (post(MAX_BODY + 1, 10), "Large(16384)"),
        (post(10, 9), "Timeout(500ms)"),
    ];
    for (request, expected) in cases {
        let mut stream = server.send(request).await;
        let text = response(&mut stream).await;
        assert!(text.ends_with(expected), "{text}");
        drop(stream);
        while server.counters.open.get() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(server.echo.budget.used(), 0);
    }
}

/// Guards against a chunked body without a declared length that passes the limit.
#[tokio::test]
async fn oversized_chunked_body() {
    let server = Server::start();
    let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
    let head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut stream = server.send(format!("{head}{chunk}{chunk}{chunk}0\r\n\r\n")).await;
    assert!(response(&mut stream).await.ends_with("Large(16384)"));
}

/// Guards against many bodies, each within its limit, that together fill the memory.
#[tokio::test]
async fn budget_is_shared() {
    let server = Server::start();
    let first = server.send(post(MAX_BODY, MAX_BODY - 1)).await;
    server.started().await;
    while server.echo.budget.used() < MAX_BODY - 1 {
        sleep(Duration::from_millis(1)).await;
    }
    let mut second = server.send(post(MAX_BODY, MAX_BODY)).await;
    assert!(response(&mut second).await.ends_with("Budget"));
    drop(first);
}

/// Guards against more connections than the limit, and against a place that is not given back.
#[tokio::test]
async fn too_many_connections() {
    let server = Server::start();
    let first = server.connect().await;
    let second = server.connect().await;
    let text = rest(server.send("GET / HTTP/1.1\r\n\r\n").await).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("x-outcome: refused\r\n"), "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert_eq!(server.counters.refused.get(), 1);
    drop((first, second));
    while server.counters.open.get() > 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let mut stream = server.send("GET / HTTP/1.1\r\n\r\n").await;
    assert!(response(&mut stream).await.starts_with("HTTP/1.1 200"));
}

/// Guards against a service that goes on for a caller that is gone.
#[tokio::test]
async fn caller_leaves() {
    let server = Server::start();
    let stream = server.send("GET /wait HTTP/1.1\r\n\r\n").await;
    server.started().await;
    drop(stream);
    let dropped = server.echo.dropped.acquire();
    timeout(Duration::from_secs(2), dropped).await.unwrap().unwrap().forget();
}

/// Guards against a stop that cuts a request in the service, one whose head is being received, or
/// one that is on its way, and against a stop that does not close idle connections.
#[tokio::test]
async fn graceful_stop() {
    let server = Server::start();
    let stream = server.send("GET /wait HTTP/1.1\r\n\r\n").await;
    server.started().await;
    let mut late = server.send("GET /late HTTP/1.1\r\n").await;
    sleep(Duration::from_millis(20)).await;
    server.stop.cancel();
    sleep(Duration::from_millis(20)).await;
    late.write_all(b"\r\n").await.unwrap();
    assert!(rest(late).await.starts_with("HTTP/1.1 200"));
    assert!(TcpStream::connect(server.address).await.is_err());
    // Longer than every limit of a connection.
    sleep(LIMITS.idle_timeout + Duration::from_millis(100)).await;
    assert!(!server.task.is_finished());
    server.echo.gate.add_permits(1);
    let text = rest(stream).await;
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("connection: close"), "{text}");
    timeout(Duration::from_secs(2), server.task).await.unwrap().unwrap();
}

/// Guards against a stop that waits for the idle limit, and against a request on its way that is
/// dropped.
#[tokio::test]
async fn stop_with_idle_connections() {
    let server = Server::start();
    let idle = server.connect().await;
    let mut used = server.connect().await;
    while server.counters.open.get() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    server.stop.cancel();
    used.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(rest(used).await.starts_with("HTTP/1.1 200"));
    assert_eq!(rest(idle).await, "");
    timeout(LIMITS.idle_timeout / 2, server.task).await.unwrap().unwrap();
    assert_eq!(server.counters.expired.get(), 0);
}

/// Guards against a caller that never reads its response and so holds its place, and a stop, for
/// ever.
#[tokio::test]
async fn caller_does_not_read() {
    let server = Server::start();
    let mut stream = server.connect().await;
    // Pipelined requests whose responses fill the buffers of both sockets.
    let requests = b"GET / HTTP/1.1\r\n\r\n".repeat(512);
    let fill = async { while stream.write_all(&requests).await.is_ok() {} };
    timeout(Duration::from_secs(5), fill).await.unwrap();
    assert_eq!(server.counters.expired.get(), 1);
}
