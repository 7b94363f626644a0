//! Serves one connection and enforces its time limits.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context as TaskContext;
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
use super::progress::ProgressStream;
use crate::traffic::CountingStream;

/// How long an idle connection stays open after a stop begins. A request that a caller sends before
/// it learns of the stop arrives within the one-way latency to callers, about 10 ms.
const IDLE_STOP_GRACE: Duration = Duration::from_millis(100);

/// Limit on the fields of a head. hyper's default of 100 refused proper requests. The parser reserves
/// space for this many: 2,048 took 4 us more per request than the default.
const MAX_HEAD_FIELDS: usize = 1_024;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Either side closed it between two exchanges, or the caller closed it during an exchange.
    Closed,
    /// The bytes received were not a valid request.
    Malformed,
    /// The head of a request was above the limits of the listener.
    LargeHead,
    /// It was closed at a timeout.
    Expired,
}

type Connection<S> = http1::Connection<TokioIo<ProgressStream<CountingStream<TcpStream>>>, S>;

/// Serves `stream` until either side closes it, a timeout passes, or `stop` is cancelled and the
/// current exchange has ended.
pub(super) async fn serve_connection<S>(
    stream: CountingStream<TcpStream>,
    context: Context,
    service: &S,
    limits: &Limits,
    stop: &CancellationToken,
) -> ConnectionEnd
where
    S: Service<Context, Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>
        + Sync,
{
    let progress = Arc::new(Progress::new());
    let service_progress = Arc::clone(&progress);
    let call = service_fn(move |request| {
        let progress = Arc::clone(&service_progress);
        progress.enter(Phase::Service);
        // hyper reserves space for the service's future as long as the connection is open. A boxed
        // future takes memory only while a request is served.
        Box::pin(async move {
            let mut context = context;
            let response = service.call(&mut context, request).await;
            progress.enter(Phase::Response);
            response
        })
    });
    let io = TokioIo::new(ProgressStream::new(stream, Arc::clone(&progress)));
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEAD_FIELDS)
        .serve_connection(io, call);
    let mut connection = pin!(connection);
    let mut stop_begun = pin!(stop.cancelled());
    let mut timer = pin!(tokio::time::sleep(limits.idle_timeout));
    let mut driver = Driver { progress: &progress, limits, close_idle_at: None, closing: false };
    poll_fn(|cx| driver.poll(cx, connection.as_mut(), stop_begun.as_mut(), timer.as_mut())).await
}

/// Polls a connection and decides when it ends.
struct Driver<'a> {
    progress: &'a Progress,
    limits: &'a Limits,
    /// When the connection is closed if it is idle; set when a stop begins.
    close_idle_at: Option<Instant>,
    /// Whether hyper was told to close the connection after the current exchange.
    closing: bool,
}

impl Driver<'_> {
    fn poll<S>(
        &mut self,
        cx: &mut TaskContext<'_>,
        mut connection: Pin<&mut Connection<S>>,
        stop_begun: Pin<&mut impl Future<Output = ()>>,
        mut timer: Pin<&mut Sleep>,
    ) -> Poll<ConnectionEnd>
    where
        S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
    {
        if self.close_idle_at.is_none() && stop_begun.poll(cx).is_ready() {
            self.close_idle_at = Some(Instant::now() + IDLE_STOP_GRACE);
        }
        loop {
            if let Poll::Ready(result) = connection.as_mut().poll(cx) {
                return Poll::Ready(connection_end(result));
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
                return Poll::Ready(ConnectionEnd::Expired);
            }
            // The timer is reset only to an earlier time, or after it has fired: most exchanges end
            // long before their timeouts and need no reset.
            if deadline < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Whether hyper can be told to close the connection after the current exchange. While the head
    /// of a request is being received, hyper would close the connection at once, so the call waits
    /// for the end of the head.
    fn may_close(&self) -> bool {
        let Some(close_idle_at) = self.close_idle_at else {
            return false;
        };
        !self.closing
            && match self.progress.phase() {
                Phase::Idle => close_idle_at <= Instant::now(),
                Phase::Head => false,
                Phase::Service | Phase::Response => true,
            }
    }

    /// When the connection is closed unless it makes progress.
    fn deadline(&self) -> Option<Instant> {
        let deadline = self.progress.deadline(self.limits)?;
        match self.close_idle_at {
            Some(close_idle_at) if !self.closing && self.progress.phase() == Phase::Idle => {
                Some(deadline.min(close_idle_at))
            }
            _ => Some(deadline),
        }
    }
}

fn connection_end(result: Result<(), hyper::Error>) -> ConnectionEnd {
    match result {
        Err(error) if error.is_parse_too_large() => ConnectionEnd::LargeHead,
        Err(error) if error.is_parse() => ConnectionEnd::Malformed,
        _ => ConnectionEnd::Closed,
    }
}
