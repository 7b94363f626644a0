//! The accept loop.

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
use super::counters::Open;
use super::drive::End;
use super::drive::drive;
use super::refusal::MAX_REFUSALS;
use super::refusal::REFUSAL_TIME;
use super::refusal::Refuse;
use crate::traffic::Counted;

/// Connections that the kernel holds until they are accepted; it limits this to `somaxconn`, 4096
/// by default.
const BACKLOG: u32 = 4096;

/// Wait after a failed accept. The usual cause is that no file descriptor is free, which a retry at
/// once would find unchanged.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Binds a listener to `address`.
///
/// # Errors
///
/// The address is not of this VM or in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted entry must get its address while connections of the previous process are in
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
        places: Arc::new(Semaphore::new(limits.connections)),
        refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
        tasks: TaskTracker::new(),
    };
    server.accept(&listener).await;
    server.accept_waiting(&listener).await;
    drop(listener);
    server.tasks.close();
    server.tasks.wait().await;
}

struct Server<S> {
    service: Arc<S>,
    limits: Limits,
    counters: Counters,
    stop: CancellationToken,
    /// Free places for connections.
    places: Arc<Semaphore>,
    /// Free places for connections that are refused.
    refusals: Arc<Semaphore>,
    tasks: TaskTracker,
}

impl<S> Server<S>
where
    S: Service<Context, Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>
        + Send
        + Sync
        + 'static,
{
    async fn accept(&self, listener: &TcpListener) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => self.accepted(accepted).await,
            }
        }
    }

    /// Accepts the connections that the kernel already holds. Closing the listener would reset
    /// them, although their callers may have sent a request.
    async fn accept_waiting(&self, listener: &TcpListener) {
        for _ in 0..self.limits.connections {
            tokio::select! {
                biased;
                accepted = listener.accept() => self.accepted(accepted).await,
                () = ready(()) => return,
            }
        }
    }

    async fn accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, remote)) => self.start(stream, Context { remote }),
            Err(error) => {
                self.counters.accept_failures.inc();
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }

    fn start(&self, stream: TcpStream, context: Context) {
        // Responses are written as a whole; waiting for more bytes would only delay them.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY for {}: {error}", context.remote);
        }
        let stream = Counted::new(stream, self.counters.traffic.clone());
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            self.refuse(stream, context);
            return;
        };
        let open = Open::new(&self.counters);
        let service = Arc::clone(&self.service);
        let limits = self.limits;
        let counters = self.counters.clone();
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let end = drive(stream, context, &*service, &limits, &stop).await;
            match end {
                End::Closed => {}
                End::Invalid => {
                    counters.invalid.inc();
                }
                End::Expired => {
                    counters.expired.inc();
                }
            }
            drop(open);
            drop(place);
        });
    }

    fn refuse(&self, stream: Counted<TcpStream>, context: Context) {
        self.counters.refused.inc();
        let Ok(place) = Arc::clone(&self.refusals).try_acquire_owned() else {
            return;
        };
        let limits = self.limits;
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            // Whether the caller read the response in time makes no difference.
            let _ = timeout(REFUSAL_TIME, drive(stream, context, &Refuse, &limits, &stop)).await;
            drop(place);
        });
    }
}
