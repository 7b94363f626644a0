//! Drives one connection until it ends.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context as Task;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use motore::service::Service;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Context;
use super::Limits;
use super::progress::Phase;
use super::progress::Progress;
use super::progress::Watched;
use crate::traffic::Counted;

/// How long an idle connection stays open after a stop begins. A request that its caller sent
/// before it could see the stop arrives within the one-way latency to callers, about 10 ms.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// Either side closed it between two exchanges, or the caller closed it during one.
    Closed,
    /// The bytes received were not a valid request, or its head was too large.
    Invalid,
    /// A time limit passed.
    Expired,
}

type Connection<S> = http1::Connection<TokioIo<Watched<Counted<TcpStream>>>, S>;

/// Serves `stream` until either side closes it, a limit is reached, or `stop` is cancelled and the
/// current exchange has ended.
pub(super) async fn drive<S>(
    stream: Counted<TcpStream>,
    context: Context,
    service: &S,
    limits: &Limits,
    stop: &CancellationToken,
) -> End
where
    S: Service<Context, Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>
        + Sync,
{
    let progress = Arc::new(Progress::new());
    let shared = Arc::clone(&progress);
    let call = service_fn(move |request| {
        let progress = Arc::clone(&shared);
        progress.enter(Phase::Service);
        // hyper keeps room for the future of a request as long as the connection is open. Boxed, it
        // takes memory only while a request is served.
        Box::pin(async move {
            let mut context = context;
            let response = service.call(&mut context, request).await;
            progress.enter(Phase::Response);
            response
        })
    });
    let io = TokioIo::new(Watched::new(stream, Arc::clone(&progress)));
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes)
        .serve_connection(io, call);
    let mut connection = pin!(connection);
    let mut stopped = pin!(stop.cancelled());
    let mut timer = pin!(tokio::time::sleep(limits.idle_timeout));
    let mut state = State { progress: &progress, limits, stop_at: None, closing: false };
    poll_fn(|cx| state.poll(cx, connection.as_mut(), stopped.as_mut(), timer.as_mut())).await
}

/// State of a connection apart from hyper's.
struct State<'a> {
    progress: &'a Progress,
    limits: &'a Limits,
    /// When the connection is closed if it is idle, once a stop has begun.
    stop_at: Option<Instant>,
    /// hyper was told to close the connection after the current exchange.
    closing: bool,
}

impl State<'_> {
    fn poll<S>(
        &mut self,
        cx: &mut Task<'_>,
        mut connection: Pin<&mut Connection<S>>,
        stopped: Pin<&mut impl Future<Output = ()>>,
        mut timer: Pin<&mut Sleep>,
    ) -> Poll<End>
    where
        S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
    {
        if self.stop_at.is_none() && stopped.poll(cx).is_ready() {
            self.stop_at = Some(Instant::now() + STOP_GRACE);
        }
        loop {
            if let Poll::Ready(result) = connection.as_mut().poll(cx) {
                return Poll::Ready(end(result));
            }
            if self.may_close() {
                self.closing = true;
                connection.as_mut().graceful_shutdown();
                continue;
            }
            let Some(deadline) = self.deadline() else {
                return Poll::Pending;
            };
            if deadline <= Instant::now() {
                return Poll::Ready(End::Expired);
            }
            // The timer is moved only to an earlier time, or when it has ended: the usual exchange
            // ends long before its limits and leaves the timer alone.
            if deadline < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Whether hyper can now be told to close the connection after the current exchange. While a
    /// head is received, hyper would close the connection at once, so that waits for the end of the
    /// head.
    fn may_close(&self) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        !self.closing
            && match self.progress.phase() {
                Phase::Idle => stop_at <= Instant::now(),
                Phase::Head => false,
                Phase::Service | Phase::Response => true,
            }
    }

    fn deadline(&self) -> Option<Instant> {
        let deadline = self.progress.deadline(self.limits)?;
        match self.stop_at {
            Some(stop_at) if !self.closing && self.progress.phase() == Phase::Idle => {
                Some(deadline.min(stop_at))
            }
            _ => Some(deadline),
        }
    }
}

fn end(result: Result<(), hyper::Error>) -> End {
    match result {
        Err(error) if error.is_parse() => End::Invalid,
        _ => End::Closed,
    }
}
