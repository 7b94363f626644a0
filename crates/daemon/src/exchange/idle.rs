//! Idle connections kept for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::allowance::Allowance;
use super::allowance::CreditedBody;
use super::upload::RequestBody;
use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;

/// Default limit of the idle connections per address. A server has a few slots and accepts about
/// 250 connections from all entries, so one entry keeps a small share of them.
const DEFAULT_MAX_PER_ADDRESS: usize = 16;

/// Time after which an idle connection is no longer reused. It is below the usual idle timeout of
/// servers, so that they rarely close a connection just as a request is sent on it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Number of addresses above which each returned connection triggers a removal of the addresses
/// that have no reusable connection.
const SWEEP_THRESHOLD: usize = 1_024;

/// Sends requests on one connection. Dropping it closes the connection, whatever is under way on it.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<RequestBody>,
    allowance: Allowance,
    _connection: AbortOnDropHandle<()>,
}

impl Sender {
    /// A sender for the connection that the task `connection` drives, with its allowance.
    pub(super) fn new(
        requests: SendRequest<RequestBody>,
        allowance: Allowance,
        connection: JoinHandle<()>,
    ) -> Self {
        Self { requests, allowance, _connection: AbortOnDropHandle::new(connection) }
    }

    /// The body of an answer on this connection, which raises its allowance.
    pub(super) fn credit<B>(&self, body: B) -> CreditedBody<B> {
        CreditedBody::new(body, self.allowance.clone())
    }

    /// Waits until the connection takes a request; false if it is closed.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Sends a request and returns the head of its answer. A failure has the request if none of it
    /// was sent.
    pub(super) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
        self.allowance.begin_head();
        let response = self.requests.try_send_request(request).await?;
        self.allowance.begin_body();
        Ok(response)
    }

    fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
}

/// Idle connections by address, each list with the most recently used last.
#[derive(Debug)]
pub(super) struct IdlePool {
    max_per_address: AtomicUsize,
    connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Default for IdlePool {
    fn default() -> Self {
        let connections = Mutex::new(Rank::Connections, HashMap::new());
        Self { max_per_address: AtomicUsize::new(DEFAULT_MAX_PER_ADDRESS), connections }
    }
}

impl IdlePool {
    /// Limits the connections kept for each address from now on.
    pub(super) fn set_max_per_address(&self, max: usize) {
        self.max_per_address.store(max, Ordering::Relaxed);
    }

    /// Removes and returns the most recently used connection to `address`.
    pub(super) fn pop(&self, address: SocketAddr) -> Option<Sender> {
        let mut connections = self.connections.lock();
        let idle = connections.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if candidate.is_reusable() {
                return Some(candidate.sender);
            }
        }
        connections.remove(&address);
        None
    }

    /// Keeps a connection for reuse unless it is closed or the limit is reached.
    pub(super) fn push(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut connections = self.connections.lock();
        if connections.len() > SWEEP_THRESHOLD {
            connections.retain(|_, idle| idle.iter().any(IdleConnection::is_reusable));
        }
        let idle = connections.entry(address).or_default();
        idle.retain(IdleConnection::is_reusable);
        if idle.len() < self.max_per_address.load(Ordering::Relaxed) {
            idle.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }
}

impl IdleConnection {
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < MAX_IDLE_TIME
    }
}
