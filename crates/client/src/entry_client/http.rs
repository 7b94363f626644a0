use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::de::DeserializeOwned;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;

use super::EntryClient;
use super::Error;
use super::resolv_conf;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::MAX_MESSAGE_BYTES;
use jackdawpin_wire::Status;
use jackdawpin_wire::TimelinePage;
use jackdawpin_wire::path;

/// Largest number of characters shown of an error text from an entry.
const MAX_ERROR_TEXT_CHARS: usize = 200;

/// Sends requests to entries over HTTP.
#[derive(Clone)]
pub struct HttpClient {
    client: Arc<Client>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates the adapter. The timeout is for one request, from resolving the host to the complete
    /// answer.
    ///
    /// # Errors
    ///
    /// [`Error::NameServer`] if `/etc/resolv.conf` names no server, [`Error::Http`] if the HTTP
    /// client cannot be built.
    pub fn new(timeout: Duration) -> Result<Self, Error> {
        // The builder sets up a resolver, which is not used here, and panics if there is no name
        // server.
        resolv_conf::check(fs::read_to_string(resolv_conf::PATH))?;
        let client = ClientBuilder::new().build().map_err(|error| http_error(&error))?;
        Ok(Self { client: Arc::new(client), timeout })
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let response = self.fetch(address, path);
        let bytes = tokio::time::timeout(self.timeout, response)
            .await
            .map_err(|_| Error::Timeout(self.timeout.as_millis()))??;
        Ok(jackdawpin_wire::decode(&bytes)?)
    }

    async fn fetch(&self, address: &str, path: &str) -> Result<Vec<u8>, Error> {
        let target = resolve(address).await?;
        let uri = format!("http://{target}{path}");
        let request = self.client.request(Method::GET, uri);
        let response = request.send().await.map_err(|error| http_error(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let bytes = body.map_err(|error| Error::Http(error.to_string()))?.to_bytes();
        if !status.is_success() {
            return Err(Error::Status(status.as_u16(), excerpt(&bytes)));
        }
        Ok(bytes.into())
    }
}

impl EntryClient for HttpClient {
    async fn status(&self, address: &str) -> Result<Status, Error> {
        self.get(address, path::STATUS).await
    }

    async fn explain(
        &self,
        address: &str,
        service: &str,
        server: &str,
    ) -> Result<Explanation, Error> {
        // Both are valid names, whose characters need no escaping in a query.
        let path = format!("{}?service={service}&server={server}", path::EXPLAIN);
        self.get(address, &path).await
    }

    async fn timeline(&self, address: &str, after: u64) -> Result<TimelinePage, Error> {
        self.get(address, &format!("{}?after={after}", path::TIMELINE)).await
    }
}

/// Resolves an address with the system's resolver. The HTTP client would query name servers only
/// and not find local host names.
async fn resolve(address: &str) -> Result<SocketAddr, Error> {
    let mut addresses = tokio::net::lookup_host(address).await.map_err(Error::Resolve)?;
    let no_address = || std::io::Error::new(std::io::ErrorKind::NotFound, "it has no address");
    addresses.next().ok_or_else(|| Error::Resolve(no_address()))
}

/// Converts an error to the text of its innermost cause. The errors around it only name the steps
/// that failed.
fn http_error(error: &ClientError) -> Error {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    Error::Http(cause.to_string())
}

/// The start of an error text, at most [`MAX_ERROR_TEXT_CHARS`] long and without control
/// characters.
fn excerpt(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    text.trim().chars().filter(|c| !c.is_control()).take(MAX_ERROR_TEXT_CHARS).collect()
}
