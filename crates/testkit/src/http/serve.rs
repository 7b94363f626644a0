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

/// Pause after a failed accept, such as one for lack of file descriptors, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

quick_error! {
    /// Asks to close the connection without an answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Hangup {
        /// The stand-in closes the connection on purpose.
        Intentional { display("connection closed on purpose") }
    }
}

/// What a listener counts.
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

    /// Connections closed at once since the start, because too many were open.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// What a listener allows.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections that may be open at once; more are closed at once.
    pub max_connections: usize,
    /// Time before a new connection is served.
    pub connect_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_connections: 4096, connect_delay: Duration::ZERO }
    }
}

/// A listener that serves in the background.
#[derive(Debug)]
pub struct RunningServer {
    /// Where it listens; the port is its own if 0 was asked for.
    pub address: SocketAddr,
    /// Ends when the last request has been answered after the end of the listener.
    pub task: JoinHandle<()>,
}

/// Serves requests until `cancel`, then closes idle connections and waits for requests in flight.
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
    let places = Arc::new(Semaphore::new(limits.max_connections));
    let tasks = TaskTracker::new();
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            stats.rejected.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        stats.accepted.fetch_add(1, Ordering::Relaxed);
        let handler = handler.clone();
        let cancel = cancel.clone();
        tasks.spawn(async move {
            tokio::time::sleep(limits.connect_delay).await;
            connection(stream, cancel, handler).await;
            drop(place);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn connection<H, F>(stream: TcpStream, cancel: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, Hangup>>,
{
    // Without it, small answers on kept-alive connections wait for delayed acknowledgements. A failure costs latency
    // only.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::pin!(connection);
    // Errors are broken connections, which the other side sees as well.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
