//! Asks other entries for what they know of the platform's store, over HTTP.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http_body_util::Full;
use quick_error::quick_error;

use super::convert;
use crate::clock::Boot;
use crate::exchange;
use crate::exchange::Client;
use jackdawpin_core::direct::feed::Delta;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

/// Largest state of the platform's store that a peer passes on, in bytes.
const MAX_STATE: usize = 8 << 20;

quick_error! {
    /// Why a peer gave no changes.
    #[derive(Debug)]
    pub enum Error {
        /// There is no whole answer.
        Exchange(err: exchange::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The answer cannot be read.
        Answer(err: wire::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The request could not be built.
        Request(err: http::Error) {
            from()
            source(err)
            display("{}", err)
        }
    }
}

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

    /// The changes since revision `since` that `peer` knows; all items if `since` is 0.
    pub(super) async fn changes(
        &self,
        peer: Ipv4Addr,
        since: u64,
        time: Duration,
    ) -> Result<Delta, Error> {
        let address = SocketAddr::from((peer, self.port));
        let path = format!("{}?since={since}", wire::path::FEED);
        let request = Request::get(path).header(http::header::HOST, address.to_string());
        let request = request.body(Full::default())?;
        let sent = Boot.now();
        let response = self.client.exchange(address, request, time, MAX_STATE, |_| true).await?;
        let mut delta = convert::changes(wire::decode(response.body())?);
        // The peer may have answered right after the question.
        delta.age = delta.age.saturating_add(Boot.now().since(sent));
        Ok(delta)
    }
}
