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
/// it has reached neither the platform nor its peers for 5 s, so the wait must be well below that.
/// The load is 2 keys x 19 entries / 2 s = 19 reads/s of the about 2,000 that the platform can
/// answer.
pub const READ_WAIT: Duration = Duration::from_secs(2);

/// Time allowed for an answer beyond the wait. The platform adds up to 1/16 of the wait (125 ms)
/// itself, and answers within milliseconds otherwise.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time limit of a read.
pub(super) const READ_TIMEOUT: Duration = READ_WAIT.saturating_add(ANSWER_GRACE);

/// Header field with the index of an answer.
const INDEX_FIELD: &str = "x-consul-index";

/// Reads keys over HTTP by IP address.
///
/// It uses the client of the request path. The client of volo-http reads `/etc/resolv.conf` when it
/// is built, and panics if the file is missing or names no server, as may be the case on a diskless
/// VM.
#[derive(Debug, Clone)]
pub struct HttpFetcher {
    client: Arc<Client>,
    address: SocketAddr,
}

impl HttpFetcher {
    /// Creates a fetcher for the configuration service at `address`.
    pub fn new(client: Arc<Client>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn get(&self, key: &str, index: u64) -> Result<Answer, Error> {
        let uri = format!("/v1/kv/{key}?index={index}&wait={}s", READ_WAIT.as_secs());
        let request =
            Request::get(uri).header(HOST, self.address.to_string()).body(Full::<Bytes>::default());
        let response = self
            .client
            .exchange(self.address, request?, READ_TIMEOUT, MAX_BODY_BYTES, |_| true)
            .await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(Error::NotFound),
            other => return Err(Error::Status(other.as_u16())),
        }
        let field = response.headers().get(INDEX_FIELD).map(|value| value.as_bytes());
        let index = answer::parse_index(field)?;
        Ok(Answer { index, value: answer::parse_value(response.body(), key)? })
    }
}

impl Fetch for HttpFetcher {
    async fn fetch(&self, key: &str, index: u64) -> Result<Answer, Error> {
        self.get(key, index).await
    }
}
