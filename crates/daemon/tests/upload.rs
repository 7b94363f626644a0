//! Bodies that are passed on as they arrive.
#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use jackdawpin_daemon::exchange::upload::Error;
use jackdawpin_daemon::exchange::upload::Stream;
use jackdawpin_daemon::exchange::upload::Upload;

/// Size of the buffer between the caller and the entry in bytes.
const PIPE_BYTES: usize = 64 << 10;

/// Largest body in bytes.
const LIMIT: usize = 1 << 20;

/// Receives the beginning of a request with `framing`, and returns the streams of two exchanges for
/// its body. The connection ends with the task.
async fn receive(
    framing: &str,
    part: &str,
) -> ((Stream, Stream), DuplexStream, JoinHandle<hyper::Result<()>>) {
    let (mut caller, entry) = tokio::io::duplex(PIPE_BYTES);
    let (streams, mut received) = mpsc::channel(1);
    let service = service_fn(move |request: Request<Incoming>| {
        let streams = streams.clone();
        async move {
            let upload = Upload::new(request.into_body(), LIMIT).unwrap();
            streams.send((upload.stream(), upload.stream())).await.unwrap();
            std::future::pending::<()>().await;
            drop(upload);
            Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
        }
    });
    let connection =
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(entry), service));
    let head = format!("POST / HTTP/1.1\r\nhost: a.example\r\n{framing}\r\n\r\n{part}");
    caller.write_all(head.as_bytes()).await.unwrap();
    (received.recv().await.unwrap(), caller, connection)
}

/// Guards against a body that loses its beginning. A server that refuses an upload before it has read
/// any of it lets the entry try another one, while the first connection still reads the body: what it
/// reads is gone. In a hunt on the users' bench, a server ran such a request with a changed body.
#[tokio::test]
async fn begun_body_is_not_sent_again() {
    let ((mut first, mut second), mut caller, _connection) =
        receive("content-length: 10", "abcde").await;
    assert_eq!(first.frame().await.unwrap().unwrap().into_data().unwrap(), "abcde");
    drop(first);
    caller.write_all(b"fghij").await.unwrap();
    let next = second.frame().await;
    assert!(matches!(next, Some(Err(Error::Taken))), "{next:?}");
}

/// Guards against a body that ends as if it were whole when the caller's connection is dropped in
/// the middle of it, for example at the end of a stop.
#[rstest]
#[case::chunks("transfer-encoding: chunked", "5\r\nabcde\r\n")]
#[case::length("content-length: 100", "abcde")]
#[tokio::test]
async fn connection_dropped_midway(#[case] framing: &str, #[case] part: &str) {
    let ((mut stream, _), _caller, connection) = receive(framing, part).await;
    let first = stream.frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), "abcde");
    connection.abort();
    let next = tokio::time::timeout(Duration::from_secs(2), stream.frame()).await.unwrap();
    assert!(matches!(next, Some(Err(Error::Broken))), "{next:?}");
}
