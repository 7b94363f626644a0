//! Truncated answers of servers are never passed on to callers (invariant I4).
//!
//! The test itself stands in for the servers: it sends the head and a part of the body, waits until
//! both have been sent, and closes the connection.

#![allow(clippy::unwrap_used)]

mod common;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::CONTENT_LENGTH;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Sleep;

use jackdawpin_testkit::caller::Class;

/// Time between the part of the body that is sent and the end of the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Number of bytes that the head declares and the body lacks.
const MISSING_BYTES: usize = 10;
/// Number of servers.
const SERVERS: usize = 2;

/// A body that fails after its first part.
struct TruncatedBody {
    first_part: Option<Bytes>,
    delay: Pin<Box<Sleep>>,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(part) = self.first_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let error = io::ErrorKind::ConnectionAborted.into();
        self.delay.as_mut().poll(context).map(|()| Some(Err(error)))
    }
}

/// An answer with valid header fields and a truncated body. The head declares the length of the
/// body if `declared` is true; otherwise the body is chunked.
fn truncated_answer(request: &Request<Incoming>, declared: bool) -> Response<TruncatedBody> {
    let field = |name: &str| request.headers().get(name).cloned();
    let id = field("x-request-id").unwrap();
    let text = format!("{{\"id\": {:?}}}", id.to_str().unwrap());
    let mut response = Response::builder().header("x-request-id", id);
    if let Some(attempt) = field("x-attempt") {
        response = response.header("x-attempt", attempt);
    }
    if declared {
        response = response.header(CONTENT_LENGTH, text.len() + MISSING_BYTES);
    }
    let delay = Box::pin(tokio::time::sleep(CLOSE_DELAY));
    response.body(TruncatedBody { first_part: Some(text.into()), delay }).unwrap()
}

/// Answers each request to `address` with a truncated answer.
async fn serve(address: SocketAddr, declared: bool) {
    let listener = TcpListener::bind(address).await.unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let handler = service_fn(move |request| async move {
            Ok::<_, Infallible>(truncated_answer(&request, declared))
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), handler));
    }
}

/// Guards against a truncated answer that reaches a caller as if it were complete, whether its
/// length is declared or it is chunked.
#[rstest]
#[case::declared(true)]
#[case::chunked(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_answers_reach_no_caller(#[case] declared: bool) {
    let mut fleet = common::start_fleet(common::layout(2, 2, &[("alerts", SERVERS, &[])])).await;
    for name in common::server_names(&fleet, |_, _| true) {
        fleet.kill(&name).unwrap();
        tokio::spawn(serve(fleet.request_address(&name).unwrap(), declared));
    }
    let load = common::start_load(&fleet, "alerts", 30.0, Duration::from_secs(5)).await;
    let records = load.finish().await;
    let report = common::check_accounting(&fleet, &records, &["e1", "e2"]).await;
    let answered = records.iter().filter(|record| record.class == Class::Answered).count();
    assert_eq!(answered, 0, "truncated answers reached callers");
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(report.unknown > 0, "no request got a truncated answer: {report}");
}
