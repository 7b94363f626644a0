//! Heartbeats, claims and documents: the port [`Coordination`] over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use super::Peer;
use super::convert;
use jackdawpin_core::holder::control::Claim;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::control::Grant;
use jackdawpin_core::holder::control::HeartbeatMessage;
use jackdawpin_core::holder::port::Coordination;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

impl<C: Clock> Coordination for Peer<C> {
    async fn heartbeat(
        &self,
        address: SocketAddr,
        own: &HeartbeatMessage,
        timeout: Duration,
    ) -> Option<HeartbeatMessage> {
        let path = wire::path::HEARTBEAT;
        let answer = self.post(address, path, &convert::heartbeat_to_wire(own), timeout).await;
        let decoded = answer.and_then(|bytes| {
            let heartbeat: wire::Heartbeat = wire::decode(&bytes)?;
            Ok(convert::heartbeat_from_wire(&heartbeat)?)
        });
        log_failure("heartbeat", address, decoded)
    }

    async fn claim(
        &self,
        address: SocketAddr,
        claim: &Claim<'_>,
        timeout: Duration,
    ) -> Option<Grant> {
        let path = wire::path::LEASE;
        let answer = self.post(address, path, &convert::claim_to_wire(claim), timeout).await;
        let decoded = answer.and_then(|bytes| Ok(convert::grant_from_wire(wire::decode(&bytes)?)?));
        log_failure("claim", address, decoded)
    }

    async fn document(
        &self,
        address: SocketAddr,
        kind: DocumentKind,
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let path = match kind {
            DocumentKind::Config => wire::path::CONFIG,
            DocumentKind::List => wire::path::VM_LIST,
        };
        let answer = self.get(address, path, timeout).await;
        let decoded = answer.and_then(|bytes| {
            let document: wire::Document<'_> = wire::decode(&bytes)?;
            Ok(document.bytes.to_vec())
        });
        log_failure("document", address, decoded)
    }
}

/// Logs the error of a failed exchange and drops it.
fn log_failure<T>(message: &str, address: SocketAddr, result: Result<T, Error>) -> Option<T> {
    result.inspect_err(|err| log::debug!("{message} of {address} failed: {err}")).ok()
}
