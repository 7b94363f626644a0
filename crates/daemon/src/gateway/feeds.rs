//! Asks other entries for what they know of the platform's store, over HTTP.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Uri;

use super::convert;
use crate::clock::BootClock;
use crate::exchange::Client;
use crate::peer;
use crate::peer::Error;
use jackdawpin_core::direct::replica::Delta;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

/// Largest state of the platform's store that a peer passes on, in bytes.
const MAX_STATE: usize = 8 << 20;

/// The other entries, as sources of changes.
#[derive(Debug)]
pub(super) struct Feeds {
    client: Arc<Client>,
    /// Port on which all entries answer.
    port: u16,
}

impl Feeds {
    pub(super) fn new(client: Arc<Client>, port: u16) -> Self {
        Self { client, port }
    }

    /// The changes since revision `since` that `entry` knows; all items if `since` is 0.
    pub(super) async fn changes(
        &self,
        entry: Ipv4Addr,
        since: u64,
        time: Duration,
    ) -> Result<Delta, Error> {
        let address = SocketAddr::from((entry, self.port));
        let path = Uri::try_from(format!("{}?since={since}", wire::path::FEED))?;
        let request = peer::request(Method::GET, path, Bytes::new());
        let sent = BootClock.now();
        let body = peer::call(&self.client, address, request, time, MAX_STATE).await?;
        let mut delta = convert::changes(wire::decode(&body)?);
        // The peer may have answered right after the question.
        delta.proof_age = delta.proof_age.saturating_add(BootClock.now().since(sent));
        Ok(delta)
    }
}
