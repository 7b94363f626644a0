//! Reads keys over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::Full;

use super::Answer;
use super::Error;
use super::Fetch;
use super::answer;
use super::answer::MAX_BODY_BYTES;
use crate::exchange::Client;

/// How long the platform holds a read while the key does not change. An entry refuses new work when
/// it has heard neither the platform nor its peers for 5 s, so a wait must be well below that. The
/// cost is 2 keys x 19 entries / 2 s = 19 reads/s of the about 2,000 that the platform answers.
pub const WAIT: Duration = Duration::from_secs(2);

/// Time for an answer beyond the wait. The platform adds up to 1/16 of the wait (125 ms) itself,
/// and answers within milliseconds otherwise.
const GRACE: Duration = Duration::from_secs(1);

/// Time for a read.
pub(super) const LIMIT: Duration = WAIT.saturating_add(GRACE);

/// Header field with the index of an answer.
const INDEX: &str = "x-consul-index";

/// Reads keys over HTTP by IP address.
///
/// It uses the client of the request path: that of volo-http reads `/etc/resolv.conf` when it is
/// built and panics if the file is missing or names no server, which a diskless VM may lack.
#[derive(Debug, Clone)]
pub struct Http {
    client: Arc<Client>,
    address: SocketAddr,
}

impl Http {
    /// Creates a reader of the service at `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn get(&self, key: &str, index: u64) -> Result<Answer, Error> {
        let uri = format!("/v1/kv/{key}?index={index}&wait={}s", WAIT.as_secs());
        let request =
            Request::get(uri).header(HOST, self.address.to_string()).body(Full::<Bytes>::default());
        let response =
            self.client.exchange(self.address, request?, LIMIT, MAX_BODY_BYTES, |_| true).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(Error::Absent),
            other => return Err(Error::Status(other.as_u16())),
        }
        let field = response.headers().get(INDEX).map(|value| value.as_bytes());
        let index = answer::index(field)?;
        Ok(Answer { index, value: answer::value(response.body(), key)? })
    }
}

impl Fetch for Http {
    async fn fetch(&self, key: &str, index: u64) -> Result<Answer, Error> {
        self.get(key, index).await
    }
}
