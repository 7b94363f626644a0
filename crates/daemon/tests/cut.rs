//! Answers that break off in the middle of their body (invariant I4).
//!
//! The test itself takes the place of the servers: it sends the head and a part of the body, waits
//! until both are on their way, and breaks off.

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

/// Time between the part of the body that is sent and the break.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes that the head declares and the body lacks.
const MISSING: usize = 10;
const SERVERS: usize = 2;

/// A body that ends with an error after its first part.
struct Cut {
    part: Option<Bytes>,
    pause: Pin<Box<Sleep>>,
}

impl Body for Cut {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let broken = io::ErrorKind::ConnectionAborted.into();
        self.pause.as_mut().poll(context).map(|()| Some(Err(broken)))
    }
}

/// The first part of an answer that is right as far as it goes.
fn answer(request: &Request<Incoming>, declared: bool) -> Response<Cut> {
    let field = |name: &str| request.headers().get(name).cloned();
    let id = field("x-request-id").unwrap();
    let text = format!("{{\"id\": {:?}}}", id.to_str().unwrap());
    let mut response = Response::builder().header("x-request-id", id);
    if let Some(attempt) = field("x-attempt") {
        response = response.header("x-attempt", attempt);
    }
    if declared {
        response = response.header(CONTENT_LENGTH, text.len() + MISSING);
    }
    let pause = Box::pin(tokio::time::sleep(PAUSE));
    response.body(Cut { part: Some(text.into()), pause }).unwrap()
}

async fn serve(address: SocketAddr, declared: bool) {
    let listener = TcpListener::bind(address).await.unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let handler =
            service_fn(
                move |request| async move { Ok::<_, Infallible>(answer(&request, declared)) },
            );
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), handler));
    }
}

/// Guards against an answer whose body breaks off and reaches a caller as if it were whole, be its
/// length declared or told by chunks.
#[rstest]
#[case::declared(true)]
#[case::chunked(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_bodies_reach_no_caller(#[case] declared: bool) {
    let mut fleet = common::start_fleet(common::layout(2, 2, &[("alerts", SERVERS, &[])])).await;
    for name in common::server_names(&fleet, |_, _| true) {
        fleet.kill(&name).unwrap();
        tokio::spawn(serve(fleet.address(&name).unwrap(), declared));
    }
    let load = common::start_load(&fleet, "alerts", 30.0, Duration::from_secs(5)).await;
    let records = load.finish().await;
    let report = common::check_accounting(&fleet, &records, &["e1", "e2"]).await;
    let answered = records.iter().filter(|record| record.class == Class::Answered).count();
    assert_eq!(answered, 0, "answers without their end reached callers");
    assert_eq!(report.unexplained, 0, "{report}");
    assert!(report.unknown > 0, "no request met a broken body: {report}");
}
