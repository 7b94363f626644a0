//! Fetches changes of the platform's store from other entries, over HTTP.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::header::HOST;

use super::convert;
use crate::clock::BootClock;
use crate::exchange::Client;
use crate::exchange::Timeouts;
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
    /// There is no valid answer within `timeouts`.
    pub(super) async fn fetch_changes(
        &self,
        entry: Ipv4Addr,
        since: Cursor,
        timeouts: Timeouts,
    ) -> Result<Delta, Error> {
        let address = SocketAddr::from((entry, self.port));
        let path = Uri::try_from(format!(
            "{}?since={}&epoch={}",
            wire::path::STORE_CHANGES,
            since.revision,
            since.epoch
        ))?;
        let mut request = peer::build_request(Method::GET, path, Bytes::new());
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let sent_at = BootClock.now();
        let received =
            self.client.exchange_large(address, request, timeouts, MAX_ANSWER_BYTES).await?;
        let response = received.response;
        if response.status() != StatusCode::OK {
            return Err(Error::Status(response.status()));
        }
        let mut delta = convert::delta_from_wire(wire::decode(response.body())?);
        // The peer may have answered as soon as it was asked, so the proof is older by the whole
        // call.
        delta.proof_age = delta.proof_age.saturating_add(BootClock.now().since(sent_at));
        Ok(delta)
    }
}
