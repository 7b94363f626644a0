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
        hello: &HeartbeatMessage,
        timeout: Duration,
    ) -> Option<HeartbeatMessage> {
        let path = wire::path::HEARTBEAT;
        let answer = self.post(address, path, &convert::hello(hello), timeout).await;
        let read = answer.and_then(|bytes| {
            let beat: wire::Heartbeat = wire::decode(&bytes)?;
            Ok(convert::read_hello(&beat)?)
        });
        logged("heartbeat", address, read)
    }

    async fn claim(
        &self,
        address: SocketAddr,
        claim: &Claim<'_>,
        timeout: Duration,
    ) -> Option<Grant> {
        let path = wire::path::LEASE;
        let answer = self.post(address, path, &convert::claim(claim), timeout).await;
        let read = answer.and_then(|bytes| Ok(convert::read_grant(wire::decode(&bytes)?)?));
        logged("claim", address, read)
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
        let read = answer.and_then(|bytes| {
            let document: wire::Document<'_> = wire::decode(&bytes)?;
            Ok(document.bytes.to_vec())
        });
        logged("document", address, read)
    }
}

fn logged<T>(what: &str, address: SocketAddr, result: Result<T, Error>) -> Option<T> {
    result.inspect_err(|err| log::debug!("{what} of {address} failed: {err}")).ok()
}
