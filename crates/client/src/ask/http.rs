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

use super::Ask;
use super::Error;
use super::resolver;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::MAX_MESSAGE_BYTES;
use jackdawpin_wire::Status;
use jackdawpin_wire::TimelinePage;
use jackdawpin_wire::path;

/// Characters of an error text from an entry that are shown.
const MAX_ERROR_TEXT: usize = 200;

/// Asks entries over HTTP.
#[derive(Clone)]
pub struct Http {
    client: Arc<Client>,
    timeout: Duration,
}

impl Http {
    /// Creates the adapter. The timeout is for one question, from the resolution of the host to the
    /// whole answer.
    ///
    /// # Errors
    ///
    /// [`Error::NameServer`] if `/etc/resolv.conf` names no server, [`Error::Http`] if the HTTP
    /// client cannot be built.
    pub fn new(timeout: Duration) -> Result<Self, Error> {
        // The builder sets up a resolver, which is not used here, and panics if there is no server.
        resolver::check(fs::read_to_string(resolver::FILE))?;
        let client = ClientBuilder::new().build().map_err(|error| describe(&error))?;
        Ok(Self { client: Arc::new(client), timeout })
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let exchange = self.exchange(address, path);
        let bytes = tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| Error::Timeout(self.timeout.as_millis()))??;
        Ok(jackdawpin_wire::decode(&bytes)?)
    }

    async fn exchange(&self, address: &str, path: &str) -> Result<Vec<u8>, Error> {
        let target = resolve(address).await?;
        let uri = format!("http://{target}{path}");
        let request = self.client.request(Method::GET, uri);
        let response = request.send().await.map_err(|error| describe(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let bytes = body.map_err(|error| Error::Http(error.to_string()))?.to_bytes();
        if !status.is_success() {
            return Err(Error::Status(status.as_u16(), excerpt(&bytes)));
        }
        Ok(bytes.into())
    }
}

impl Ask for Http {
    async fn status(&self, address: &str) -> Result<Status, Error> {
        self.get(address, path::STATUS).await
    }

    async fn explain(
        &self,
        address: &str,
        service: &str,
        server: &str,
    ) -> Result<Explanation, Error> {
        // Both are valid names, whose characters have no meaning in a query.
        let path = format!("{}?service={service}&server={server}", path::EXPLAIN);
        self.get(address, &path).await
    }

    async fn timeline(&self, address: &str, after: u64) -> Result<TimelinePage, Error> {
        self.get(address, &format!("{}?after={after}", path::TIMELINE)).await
    }
}

/// Resolves the address here: the HTTP client would ask name servers only and not know local host
/// names.
async fn resolve(address: &str) -> Result<SocketAddr, Error> {
    let mut found = tokio::net::lookup_host(address).await.map_err(Error::Resolve)?;
    let none = || std::io::Error::new(std::io::ErrorKind::NotFound, "it has no address");
    found.next().ok_or_else(|| Error::Resolve(none()))
}

/// The innermost cause says what happened; those around it only name steps.
fn describe(error: &ClientError) -> Error {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    Error::Http(cause.to_string())
}

/// The start of an error text, without control characters.
fn excerpt(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    text.trim().chars().filter(|c| !c.is_control()).take(MAX_ERROR_TEXT).collect()
}
