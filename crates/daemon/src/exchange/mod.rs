//! One HTTP exchange over a pooled connection, with exact knowledge of whether the request left.
//!
//! The request path needs to say "not run" only where it is proved. This client therefore tells
//! apart: no connection, a connection that closed before it took the request, and a connection that
//! broke after it. It uses hyper directly, because volo-http's client reports neither, has no
//! timeout for connecting, and resolves names, which entries never need: it reads
//! `/etc/resolv.conf` when it is built and panics if the file names no server.
//!
//! A connection serves one exchange at a time and goes back to the pool only after a whole answer.
//! A cancelled or timed-out exchange closes its connection.

mod error;
mod idle;
pub mod request;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::gauge::Gauge;
use tokio::net::TcpStream;

use self::idle::Idle;
use self::idle::Sender;
use crate::listen::BufferBudget;
use crate::listen::body;
use crate::traffic::Counted;
use crate::traffic::Traffic;

pub use self::error::Error;

/// Longest time for a new connection. The slowest link is a few milliseconds each way, so this
/// allows for one lost packet at the start of a connection (1 s) and no more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// How far an exchange has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No byte of the request can have left.
    Unsent,
    /// The request may have left.
    Sent,
}

/// A pool of connections.
#[derive(Debug)]
pub struct Client {
    idle: Idle,
    budget: BufferBudget,
    traffic: Traffic,
}

/// Bytes of bodies that a client of its own may hold at once.
const DEFAULT_BYTES: usize = 64 << 20;

impl Default for Client {
    /// Creates a client with a budget of its own, of 64 MiB, and counters that nobody reads.
    fn default() -> Self {
        Self::new(BufferBudget::new(DEFAULT_BYTES, Gauge::default()), Traffic::default())
    }
}

impl Client {
    /// Creates a client without connections. The bodies of answers count against `budget`, the bytes
    /// of its connections are counted in `traffic`.
    pub fn new(budget: BufferBudget, traffic: Traffic) -> Self {
        Self { idle: Idle::default(), budget, traffic }
    }

    /// Limits the idle connections kept for each address to `max`.
    pub fn set_max_idle(&self, max: usize) {
        self.idle.set_max(max);
    }

    /// Sends a request and returns its whole answer, which has at most `limit` bytes of body. The
    /// connection is used again only if `belongs` finds that the answer is one to this request:
    /// otherwise the other end may be out of step.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] only if no byte of the request can have left.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        limit: usize,
        belongs: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, Error> {
        let mut progress = Progress::Unsent;
        let exchange = self.run(address, request, limit, belongs, &mut progress);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) if progress == Progress::Unsent => Err(Error::NotSent("timed out".into())),
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn run(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: usize,
        belongs: impl Fn(&HeaderMap) -> bool,
        progress: &mut Progress,
    ) -> Result<Response<Bytes>, Error> {
        loop {
            let (mut sender, reused) = self.connection(address).await?;
            *progress = Progress::Sent;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let kept = belongs(response.headers()).then_some(sender);
                    return self.receive(address, kept, response, limit).await;
                }
                Err(mut failure) => {
                    // hyper hands the request back only if it has not begun to write it.
                    let Some(unsent) = failure.take_message() else {
                        return Err(Error::Broken(failure.into_error().to_string()));
                    };
                    *progress = Progress::Unsent;
                    if !reused {
                        return Err(Error::NotSent(failure.into_error().to_string()));
                    }
                    request = unsent;
                }
            }
        }
    }

    /// An open connection, and whether it has been used before.
    async fn connection(&self, address: SocketAddr) -> Result<(Sender, bool), Error> {
        while let Some(mut sender) = self.idle.take(address) {
            if sender.ready().await.is_ok() {
                return Ok((sender, true));
            }
        }
        Ok((connect(address, self.traffic.clone()).await?, false))
    }

    async fn receive(
        &self,
        address: SocketAddr,
        sender: Option<Sender>,
        response: Response<Incoming>,
        limit: usize,
    ) -> Result<Response<Bytes>, Error> {
        let (parts, body) = response.into_parts();
        // The exchange as a whole has a time limit, so the body needs none of its own.
        let body = match body::read(body, limit, Duration::MAX, &self.budget).await {
            Ok(body) => body,
            Err(body::Error::Large(limit)) => return Err(Error::Large(limit)),
            Err(err) => return Err(Error::Answer(err.to_string())),
        };
        if let Some(sender) = sender {
            self.idle.put(address, sender);
        }
        Ok(Response::from_parts(parts, body))
    }
}

async fn connect(address: SocketAddr, traffic: Traffic) -> Result<Sender, Error> {
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(Error::NotSent(err.to_string())),
        Err(_) => return Err(Error::NotSent("connecting timed out".into())),
    };
    let nodelay = stream.set_nodelay(true);
    nodelay.map_err(|err| Error::NotSent(err.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(Counted::new(stream, traffic)))
        .await
        .map_err(|err| Error::NotSent(err.to_string()))?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} ended: {err}");
        }
    });
    Ok(sender)
}
