use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;

/// Pause after a failed accept, such as one for lack of file descriptors, so that the loop does not
/// busy-wait.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Largest number of header fields in a request; hyper's default of 100 refuses proper requests.
const MAX_HEADER_FIELDS: usize = 4_096;

quick_error! {
    /// Error of a handler that closes the connection without an answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Hangup {
        /// The test double closes the connection intentionally.
        Intentional { display("connection closed intentionally") }
    }
}

/// Counts of a listener's connections.
#[derive(Debug, Default)]
pub struct ConnectionStats {
    accepted: AtomicU64,
    rejected: AtomicU64,
}

impl ConnectionStats {
    /// Connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Connections closed on accept since the start, because too many were open.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// Limits of a listener and its connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest number of open connections; further ones are closed on accept.
    pub max_connections: usize,
    /// Delay between accepting a connection and serving it.
    pub connect_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_connections: 4096, connect_delay: Duration::ZERO }
    }
}

/// A server that runs in the background.
#[derive(Debug)]
pub struct RunningServer {
    /// Address that it listens on, with the assigned port if port 0 was requested.
    pub address: SocketAddr,
    /// Task of the server; it ends after the listener is closed and the last request has been
    /// answered.
    pub task: JoinHandle<()>,
}

/// Serves requests until `cancel` is cancelled, then closes idle connections and waits for requests
/// in flight.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    stats: Arc<ConnectionStats>,
    cancel: &CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Hangup>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let tasks = TaskTracker::new();
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            stats.rejected.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        stats.accepted.fetch_add(1, Ordering::Relaxed);
        let handler = handler.clone();
        let cancel = cancel.clone();
        tasks.spawn(async move {
            tokio::time::sleep(limits.connect_delay).await;
            serve_connection(stream, cancel, handler).await;
            drop(permit);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<H, F>(stream: TcpStream, cancel: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, Hangup>>,
{
    // Without the option, small answers on persistent connections wait for delayed
    // acknowledgements. Only latency suffers, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_headers(MAX_HEADER_FIELDS);
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::pin!(connection);
    // Errors are broken connections, which the client sees as well.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
