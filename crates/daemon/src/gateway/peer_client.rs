//! Fetches changes of the platform's store from other entries, over HTTP.

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
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::direct::replica::Delta;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

/// Limit on the answer of a peer in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Client of the other entries.
#[derive(Debug)]
pub(super) struct PeerClient {
    client: Arc<Client>,
    /// Port of the control listener, which is the same on all entries.
    port: u16,
}

impl PeerClient {
    pub(super) fn new(client: Arc<Client>, port: u16) -> Self {
        Self { client, port }
    }

    /// Fetches the changes since the position `since` that `entry` has; all items if `since` is empty
    /// or in another epoch, or if it does not have all changes.
    ///
    /// # Errors
    ///
    /// There is no valid answer within `timeout`.
    pub(super) async fn fetch_changes(
        &self,
        entry: Ipv4Addr,
        since: Cursor,
        timeout: Duration,
    ) -> Result<Delta, Error> {
        let address = SocketAddr::from((entry, self.port));
        let path = Uri::try_from(format!(
            "{}?since={}&epoch={}",
            wire::path::STORE_CHANGES,
            since.revision,
            since.epoch
        ))?;
        let request = peer::build_request(Method::GET, path, Bytes::new());
        let sent_at = BootClock.now();
        let body =
            peer::send_request(&self.client, address, request, timeout, MAX_ANSWER_BYTES).await?;
        let mut delta = convert::delta_from_wire(wire::decode(&body)?);
        // The peer may have answered as soon as it was asked, so the proof is older by the whole
        // call.
        delta.proof_age = delta.proof_age.saturating_add(BootClock.now().since(sent_at));
        Ok(delta)
    }
}
