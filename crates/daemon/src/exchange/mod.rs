//! An HTTP/1.1 client that reports whether a failed request may have been sent.
//!
//! The request path may report a request as "not run" only with proof. This client therefore
//! distinguishes three failures: no connection, a connection that closed before it accepted the
//! request, and a connection that broke afterwards. It uses hyper directly, because volo-http's
//! client does not report these cases, has no timeout for connecting, and resolves names, which
//! entries never need: it reads `/etc/resolv.conf` when it is built and panics if the file names no
//! server.
//!
//! A connection serves one exchange at a time and returns to the pool of idle connections only
//! after a complete answer. A cancelled or timed-out exchange closes its connection.

mod error;
mod idle;
pub mod request;
pub mod upload;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::gauge::Gauge;
use tokio::net::TcpStream;

use self::idle::IdlePool;
use self::idle::Sender;
use self::upload::RequestBody;
use crate::listen::BufferBudget;
use crate::listen::body;
use crate::traffic::CountingStream;
use crate::traffic::Traffic;

pub use self::error::Error;

/// Timeout for opening a connection. The slowest link has a latency of a few milliseconds each way,
/// so this allows for one lost packet while connecting, which is sent again after 1 s, and no more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Whether the request of an exchange may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    /// No byte of the request has been sent.
    Unsent,
    /// The request may have been sent, in part or completely.
    MaybeSent,
}

/// An HTTP client with a pool of idle connections.
#[derive(Debug)]
pub struct Client {
    idle: IdlePool,
    budget: BufferBudget,
    traffic: Traffic,
}

/// Buffer budget of a client that shares no budget, in bytes.
const DEFAULT_BUDGET_BYTES: usize = 64 << 20;

impl Default for Client {
    /// Creates a client with its own buffer budget of 64 MiB and counters that are not exported.
    fn default() -> Self {
        Self::new(BufferBudget::new(DEFAULT_BUDGET_BYTES, Gauge::default()), Traffic::default())
    }
}

impl Client {
    /// Creates a client without connections. The bodies of answers count against `budget`; the
    /// bytes of all connections are counted in `traffic`.
    pub fn new(budget: BufferBudget, traffic: Traffic) -> Self {
        Self { idle: IdlePool::default(), budget, traffic }
    }

    /// Limits the idle connections kept for each address to `max` from now on.
    pub fn set_max_idle(&self, max: usize) {
        self.idle.set_max_per_address(max);
    }

    /// Sends a request and returns its complete answer, with at most `max_body_bytes` of body. The
    /// connection is reused only if `is_reusable` accepts the answer's header fields once it is
    /// complete: an answer to another request means that requests and answers on the connection no
    /// longer correspond.
    ///
    /// # Errors
    ///
    /// There is no complete answer within the limits. [`Error::NotSent`] is returned only if no byte
    /// of the request can have been sent.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<impl Into<RequestBody>>,
        timeout: Duration,
        max_body_bytes: usize,
        is_reusable: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, Error> {
        let mut send_state = SendState::Unsent;
        let request = request.map(Into::into);
        let exchange = self.send(address, request, max_body_bytes, is_reusable, &mut send_state);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) if send_state == SendState::Unsent => Err(Error::NotSent("timed out".into())),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Sends a request. If a reused connection closes before it accepts the request, the request is
    /// sent on another one.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        max_body_bytes: usize,
        is_reusable: impl Fn(&HeaderMap) -> bool,
        send_state: &mut SendState,
    ) -> Result<Response<Bytes>, Error> {
        loop {
            let (mut sender, reused) = self.connection(address).await?;
            *send_state = SendState::MaybeSent;
            match sender.send(request).await {
                Ok(response) => {
                    let response = self.receive(response, max_body_bytes).await?;
                    if is_reusable(response.headers()) {
                        self.idle.push(address, sender);
                    }
                    return Ok(response);
                }
                Err(mut failure) => {
                    // hyper returns the request only if it has not begun to write it.
                    let Some(unsent) = failure.take_message() else {
                        return Err(Error::Broken(failure.into_error().to_string()));
                    };
                    *send_state = SendState::Unsent;
                    if !reused {
                        return Err(Error::NotSent(failure.into_error().to_string()));
                    }
                    request = unsent;
                }
            }
        }
    }

    /// An idle connection if there is one, otherwise a new one, and whether it has been used
    /// before.
    async fn connection(&self, address: SocketAddr) -> Result<(Sender, bool), Error> {
        while let Some(mut sender) = self.idle.pop(address) {
            if sender.is_ready().await {
                return Ok((sender, true));
            }
        }
        Ok((connect(address, self.traffic.clone()).await?, false))
    }

    /// Reads the body of a response.
    async fn receive(
        &self,
        response: Response<Incoming>,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let (parts, body) = response.into_parts();
        // The timeout of the whole exchange covers the body.
        let body = match body::read(body, max_body_bytes, Duration::MAX, &self.budget).await {
            Ok(body) => body,
            Err(body::Error::Large(limit)) => return Err(Error::Large(limit)),
            Err(err) => return Err(Error::Answer(err.to_string())),
        };
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
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(CountingStream::new(stream, traffic)))
        .await
        .map_err(|err| Error::NotSent(err.to_string()))?;
    let connection = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} ended: {err}");
        }
    });
    Ok(Sender::new(requests, connection))
}
