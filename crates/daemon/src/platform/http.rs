//! Reads keys over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;

use super::Answer;
use super::Error;
use super::Fetch;
use super::answer;
use super::answer::MAX_BODY_BYTES;

/// How long the platform holds a read while the key does not change. An entry refuses new work when
/// it has heard neither the platform nor its peers for 5 s, so a wait must be well below that. The
/// cost is 2 keys x 19 entries / 2 s = 19 reads/s of the about 2,000 that the platform answers.
pub const WAIT: Duration = Duration::from_secs(2);

/// Header field with the index of an answer.
const INDEX: &str = "x-consul-index";

/// Reads keys over HTTP by IP address.
#[derive(Clone)]
pub struct Http {
    client: Client,
    address: SocketAddr,
}

impl Http {
    /// Creates a reader of the service at `address`.
    ///
    /// # Errors
    ///
    /// The client could not be set up.
    ///
    /// # Panics
    ///
    /// volo-http's builder reads `/etc/resolv.conf` although no name is resolved here, and panics
    /// if the file names no server.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let client = ClientBuilder::new().build()?;
        Ok(Self { client, address })
    }

    async fn get(&self, key: &str, index: u64) -> Result<Answer, Error> {
        let uri = format!("/v1/kv/{key}?index={index}&wait={}s", WAIT.as_secs());
        let request = self.client.get(uri).address(Address::from(self.address));
        let response: Response = request.send().await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(Error::Absent),
            other => return Err(Error::Status(other.as_u16())),
        }
        let field = response.headers().get(INDEX).map(|value| value.as_bytes());
        let index = answer::index(field)?;
        let body = collect(response.into_body()).await?;
        Ok(Answer { index, value: answer::value(&body, key)? })
    }
}

impl Fetch for Http {
    async fn fetch(&self, key: &str, index: u64) -> Result<Answer, Error> {
        self.get(key, index).await
    }
}

async fn collect(body: Body) -> Result<Bytes, Error> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Error::Large(answer::MAX_VALUE_BYTES)),
        Err(_) => Err(Error::Broken),
    }
}
