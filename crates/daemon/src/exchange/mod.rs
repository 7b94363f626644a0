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

mod allowance;
mod early_answer;
mod error;
mod idle;
pub mod request;
mod stall;
pub mod upload;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::gauge::Gauge;
use tokio::net::TcpStream;

use self::allowance::Allowance;
use self::early_answer::EarlyAnswerStream;
use self::idle::IdlePool;
use self::idle::Sender;
use self::stall::StallGuard;
use self::upload::RequestBody;
use crate::clock::BootClock;
use crate::listen::BufferBudget;
use crate::listen::body;
use crate::stream::ObservedStream;
use crate::traffic::CountingStream;
use crate::traffic::Traffic;
use jackdawpin_core::port::Clock;
use jackdawpin_core::time::Instant;

pub use self::error::Error;

/// Timeout for opening a connection. The slowest link has a latency of a few milliseconds each way,
/// so this allows for one lost packet while connecting, which is sent again after 1 s, and no more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Extension of an answer: its connection carried earlier exchanges, so that it may be a copy of the
/// answer to one of them.
#[derive(Debug, Clone, Copy)]
pub struct OnReusedConnection;

/// Whether the request of an exchange may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    /// No byte of the request has been sent.
    Unsent,
    /// The request may have been sent, in part or completely.
    MaybeSent,
}

/// Timeouts of an exchange whose answer may be large.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time until the head of the answer.
    pub head: Duration,
    /// Time in which nothing of the answer's body arrives.
    pub stall: Duration,
    /// Time from the head to the end of the body.
    pub body: Duration,
}

/// A complete answer, and when its head arrived.
#[derive(Debug)]
pub struct Received {
    /// The answer.
    pub response: Response<Bytes>,
    /// When its head arrived. What the answer says was true before that.
    pub head_at: Instant,
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
    /// longer correspond. The answer has the extension [`OnReusedConnection`] if the connection was
    /// used before.
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
        let exchange = async {
            let (response, sender) =
                self.send(address, request.map(Into::into), &mut send_state).await?;
            let (parts, body) = response.into_parts();
            // The timeout of the whole exchange covers the body.
            let body = sender.credit(body);
            let body = self.receive(body, max_body_bytes, Duration::MAX).await?;
            if is_reusable(&parts.headers) {
                self.idle.push(address, sender);
            }
            Ok(Response::from_parts(parts, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(timeout_error(send_state)),
        }
    }

    /// Sends a request and returns its complete answer, with at most `max_body_bytes` of body, which
    /// may take long as long as it goes on to arrive.
    ///
    /// # Errors
    ///
    /// As for [`Self::exchange`].
    pub async fn exchange_large(
        &self,
        address: SocketAddr,
        request: Request<impl Into<RequestBody>>,
        timeouts: Timeouts,
        max_body_bytes: usize,
    ) -> Result<Received, Error> {
        let mut send_state = SendState::Unsent;
        let send = self.send(address, request.map(Into::into), &mut send_state);
        let (response, sender) = match tokio::time::timeout(timeouts.head, send).await {
            Ok(result) => result?,
            Err(_) => return Err(timeout_error(send_state)),
        };
        let head_at = BootClock.now();
        let (parts, body) = response.into_parts();
        let body = sender.credit(StallGuard::new(body, timeouts.stall));
        let body = self.receive(body, max_body_bytes, timeouts.body).await?;
        self.idle.push(address, sender);
        Ok(Received { response: Response::from_parts(parts, body), head_at })
    }

    /// Sends a request and returns the answer up to its head, and the connection. If a reused
    /// connection closes before it accepts the request, the request is sent on another one.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        send_state: &mut SendState,
    ) -> Result<(Response<Incoming>, Sender), Error> {
        loop {
            let (mut sender, reused) = self.connection(address).await?;
            *send_state = SendState::MaybeSent;
            match sender.send(request).await {
                Ok(mut response) => {
                    if reused {
                        response.extensions_mut().insert(OnReusedConnection);
                    }
                    return Ok((response, sender));
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
        body: impl Body<Data = Bytes> + Unpin,
        max_body_bytes: usize,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        match body::read(body, max_body_bytes, timeout, &self.budget).await {
            Ok(body) => Ok(body),
            Err(body::Error::Large(limit)) => Err(Error::Large(limit)),
            Err(err) => Err(Error::Answer(err.to_string())),
        }
    }
}

/// The error of an exchange that has timed out.
fn timeout_error(send_state: SendState) -> Error {
    match send_state {
        SendState::Unsent => Error::NotSent("timed out".into()),
        SendState::MaybeSent => Error::Timeout,
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
    let allowance = Allowance::new();
    let stream = ObservedStream::new(CountingStream::new(stream, traffic), allowance.clone());
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(EarlyAnswerStream::new(stream)))
        .await
        .map_err(|err| Error::NotSent(err.to_string()))?;
    let connection = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} ended: {err}");
        }
    });
    Ok(Sender::new(requests, allowance, connection))
}
