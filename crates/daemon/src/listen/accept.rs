//! Binds listeners and accepts their connections.

use std::convert::Infallible;
use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Context;
use super::Counters;
use super::Limits;
use super::connection::ConnectionEnd;
use super::connection::serve_connection;
use super::counters::OpenGuard;
use super::refusal::MAX_REFUSALS;
use super::refusal::REFUSAL_TIMEOUT;
use super::refusal::RefusalService;
use crate::traffic::CountingStream;

/// Number of connections that the kernel queues until they are accepted. The kernel caps it at
/// `somaxconn`, 4096 by default.
const BACKLOG: u32 = 4096;

/// Delay after a failed accept. The usual cause is a lack of free file descriptors, which an
/// immediate retry would meet again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a listener to `address`.
///
/// # Errors
///
/// The address does not belong to this VM or is in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted entry must be able to bind while connections of the previous process are in
    // TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves them with `service`, until `stop` is cancelled and all
/// connections have ended.
pub async fn serve<S>(
    listener: TcpListener,
    service: Arc<S>,
    limits: Limits,
    counters: Counters,
    stop: CancellationToken,
) where
    S: Service<Context, Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    let server = Server {
        service,
        limits,
        counters,
        stop,
        connection_permits: Arc::new(Semaphore::new(limits.connections)),
        refusal_permits: Arc::new(Semaphore::new(MAX_REFUSALS)),
        tasks: TaskTracker::new(),
    };
    server.accept_until_stop(&listener).await;
    server.accept_backlog(&listener).await;
    drop(listener);
    server.tasks.close();
    server.tasks.wait().await;
}

struct Server<S> {
    service: Arc<S>,
    limits: Limits,
    counters: Counters,
    stop: CancellationToken,
    /// One permit for each connection that may still be opened.
    connection_permits: Arc<Semaphore>,
    /// One permit for each connection above the limit that may still get a response.
    refusal_permits: Arc<Semaphore>,
    tasks: TaskTracker,
}

impl<S> Server<S>
where
    S: Service<Context, Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    async fn accept_until_stop(&self, listener: &TcpListener) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => self.handle_accepted(accepted).await,
            }
        }
    }

    /// Accepts the connections in the kernel's queue. Closing the listener would reset them,
    /// although their callers may have sent a request.
    async fn accept_backlog(&self, listener: &TcpListener) {
        for _ in 0..self.limits.connections {
            tokio::select! {
                biased;
                accepted = listener.accept() => self.handle_accepted(accepted).await,
                () = ready(()) => return,
            }
        }
    }

    async fn handle_accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, remote)) => self.open(stream, Context { remote }),
            Err(error) => {
                self.counters.accept_failures.inc();
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Serves the connection in a task of its own, or refuses it if all permits are in use.
    fn open(&self, stream: TcpStream, context: Context) {
        // Each response is written at once; Nagle's algorithm would only delay its last segment.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY for {}: {error}", context.remote);
        }
        let stream = CountingStream::new(stream, self.counters.traffic.clone());
        let Ok(permit) = Arc::clone(&self.connection_permits).try_acquire_owned() else {
            self.refuse(stream, context);
            return;
        };
        let open_guard = OpenGuard::new(&self.counters);
        let service = Arc::clone(&self.service);
        let limits = self.limits;
        let counters = self.counters.clone();
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let end = serve_connection(stream, context, &*service, &limits, &stop).await;
            match end {
                ConnectionEnd::Closed => {}
                ConnectionEnd::Malformed => {
                    counters.invalid.inc();
                    counters.malformed.inc();
                }
                ConnectionEnd::LargeHead => {
                    counters.invalid.inc();
                    counters.large_heads.inc();
                }
                ConnectionEnd::Expired => {
                    counters.expired.inc();
                }
            }
            drop(open_guard);
            drop(permit);
        });
    }

    /// Answers the connection's first request with a refusal, or closes the connection if too many
    /// are being refused.
    fn refuse(&self, stream: CountingStream<TcpStream>, context: Context) {
        self.counters.refused.inc();
        let Ok(permit) = Arc::clone(&self.refusal_permits).try_acquire_owned() else {
            return;
        };
        let limits = self.limits;
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            // A caller that does not read the response in time is disconnected without it.
            let _ = timeout(
                REFUSAL_TIMEOUT,
                serve_connection(stream, context, &RefusalService, &limits, &stop),
            )
            .await;
            drop(permit);
        });
    }
}
