use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use jackdawpin_core::lock::Mutex;
use jackdawpin_core::lock::Rank;

/// Connections kept per address unless the client is told otherwise. A server has a few slots and
/// about 250 connections for all entries, so an entry keeps a small share of them.
const DEFAULT_KEPT: usize = 16;

/// Time after which an unused connection is closed. It is below the usual idle timeout of servers,
/// so that they rarely close a connection just as a request is sent on it.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Connections kept in all, after which expired ones are looked for at each return.
const SWEEP_ABOVE: usize = 1_024;

/// Sends requests on one connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Unused {
    sender: Sender,
    since: Instant,
}

/// Connections without an exchange, the most recently used last.
#[derive(Debug)]
pub(super) struct Idle {
    /// Connections kept per address.
    kept: AtomicUsize,
    hosts: Mutex<HashMap<SocketAddr, Vec<Unused>>>,
}

impl Default for Idle {
    fn default() -> Self {
        let hosts = Mutex::new(Rank::Connections, HashMap::new());
        Self { kept: AtomicUsize::new(DEFAULT_KEPT), hosts }
    }
}

impl Idle {
    pub(super) fn set_max(&self, max: usize) {
        self.kept.store(max, Ordering::Relaxed);
    }

    pub(super) fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut hosts = self.hosts.lock();
        let unused = hosts.get_mut(&address)?;
        while let Some(candidate) = unused.pop() {
            if candidate.usable() {
                return Some(candidate.sender);
            }
        }
        hosts.remove(&address);
        None
    }

    pub(super) fn put(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut hosts = self.hosts.lock();
        if hosts.len() > SWEEP_ABOVE {
            hosts.retain(|_, unused| unused.iter().any(Unused::usable));
        }
        let unused = hosts.entry(address).or_default();
        unused.retain(Unused::usable);
        if unused.len() < self.kept.load(Ordering::Relaxed) {
            unused.push(Unused { sender, since: Instant::now() });
        }
    }
}

impl Unused {
    fn usable(&self) -> bool {
        !self.sender.is_closed() && self.since.elapsed() < MAX_AGE
    }
}
