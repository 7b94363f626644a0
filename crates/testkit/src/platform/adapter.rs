use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HeaderName;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Counts;
use super::KeyState;
use super::Model;
use super::Outage;
use super::ReadResult;
use crate::http::Body;
use crate::http::ConnectionStats;
use crate::http::Hangup;
use crate::http::Limits;
use crate::http::Query;
use crate::http::RunningServer;
use crate::http::json_response;
use crate::http::serve;
use crate::http::text_response;

/// Longest wait of a blocking query that names none, as the published API specifies.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Upper limit of the wait that a blocking query can name, as the published API specifies.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Header with the index at which the answered key was last modified.
const INDEX_HEADER: HeaderName = HeaderName::from_static("x-consul-index");

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct KeyDocument<'a> {
    key: &'a str,
    value: String,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    flags: u64,
}

/// Serves a [`Model`] over HTTP; clones share the model.
#[derive(Debug, Clone)]
pub struct Adapter {
    model: Arc<Mutex<Model>>,
    // Number of changes of the model; blocked calls read the model again after each change.
    changes: watch::Sender<u64>,
}

impl Default for Adapter {
    fn default() -> Self {
        Self { model: Arc::default(), changes: watch::Sender::new(0) }
    }
}

impl Adapter {
    /// Listens on `address` and serves until `cancel` is cancelled.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn start(
        &self,
        address: SocketAddr,
        cancel: &CancellationToken,
    ) -> io::Result<RunningServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let adapter = self.clone();
        let cancel = cancel.clone();
        let task = tokio::spawn(async move {
            let handler = move |request| adapter.clone().handle(request);
            serve(
                listener,
                Limits::default(),
                Arc::new(ConnectionStats::default()),
                &cancel,
                handler,
            )
            .await;
        });
        Ok(RunningServer { address, task })
    }

    /// Sets a key and returns the store's index.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        self.change(|model| model.put(key, value))
    }

    /// Counts of calls.
    pub fn counts(&self) -> Counts {
        *self.model.lock().counts()
    }

    /// Changes the model and wakes blocked calls, which read it again.
    pub fn change<T>(&self, change: impl FnOnce(&mut Model) -> T) -> T {
        let result = change(&mut self.model.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.read_key(key, &request).await;
        }
        match path.strip_prefix("/test/") {
            Some(command) => Ok(self.control(command, request).await),
            None => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn read_key(
        &self,
        key: &str,
        request: &Request<Incoming>,
    ) -> Result<Response<Body>, Hangup> {
        self.model.lock().count_call();
        if request.method() != Method::GET {
            return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, "read only"));
        }
        let query = Query::from_uri(request.uri());
        let known_index = query.value("index").unwrap_or(0);
        let max_wait =
            query.text("wait").and_then(parse_wait).unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let immediate = self.try_read(key, known_index, false);
        let result = match immediate {
            Some(result) => result,
            None => self.wait_for_change(key, known_index, max_wait, &mut changes).await,
        };
        let delay = self.model.lock().delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.model
            .lock()
            .count_end(matches!(&result, Ok(response) if !response.status().is_server_error()));
        result
    }

    async fn wait_for_change(
        &self,
        key: &str,
        known_index: u64,
        max_wait: Duration,
        changes: &mut watch::Receiver<u64>,
    ) -> Result<Response<Body>, Hangup> {
        let guard = WaitGuard::new(self);
        let end = tokio::time::Instant::now() + max_wait;
        loop {
            let wait_ended = tokio::time::timeout_at(end, changes.changed()).await.is_err();
            if let Some(result) = self.try_read(key, known_index, wait_ended) {
                drop(guard);
                return result;
            }
        }
    }

    /// The answer to a read, or `None` if the call has to wait for a change.
    fn try_read(
        &self,
        key: &str,
        known_index: u64,
        wait_ended: bool,
    ) -> Option<Result<Response<Body>, Hangup>> {
        let model = self.model.lock();
        match model.read(key, known_index) {
            ReadResult::Ready(state) => Some(Ok(encode(key, &state))),
            ReadResult::Unchanged(state) => wait_ended.then(|| Ok(encode(key, &state))),
            ReadResult::Unavailable(Outage::Close) => Some(Err(Hangup::Intentional)),
            ReadResult::Unavailable(Outage::Error) => {
                Some(Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "no cluster leader")))
            }
        }
    }

    async fn control(&self, command: &str, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let query = Query::from_uri(&parts.uri);
        if let Some(key) = command.strip_prefix("kv/") {
            return match body.collect().await {
                Ok(body) => {
                    text_response(StatusCode::OK, self.put(key, body.to_bytes()).to_string())
                }
                Err(_) => text_response(StatusCode::BAD_REQUEST, "incomplete request body"),
            };
        }
        match command {
            "down" if query.text("how") == Some("error") => {
                self.change(|model| model.set_outage(Outage::Error));
            }
            "down" => self.change(|model| model.set_outage(Outage::Close)),
            "stale" => self.change(|model| model.set_stale(query.value("index"))),
            "delay" => {
                self.change(|model| model.set_delay(query.millis("ms").unwrap_or_default()));
            }
            "up" => self.change(Model::clear_faults),
            "reset" => self.change(Model::reset),
            "counts" => {
                let counts = serde_json::to_string(&self.counts()).unwrap_or_default();
                return json_response(StatusCode::OK, counts);
            }
            _ => return text_response(StatusCode::NOT_FOUND, "unknown control command"),
        }
        text_response(StatusCode::OK, "ok")
    }
}

/// Counts a call as blocked until it is dropped, also when its caller disconnects.
struct WaitGuard<'a>(&'a Adapter);

impl<'a> WaitGuard<'a> {
    fn new(adapter: &'a Adapter) -> Self {
        adapter.model.lock().count_wait_start();
        Self(adapter)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.model.lock().count_wait_end();
    }
}

fn encode(key: &str, state: &KeyState<'_>) -> Response<Body> {
    let mut response = match state.value {
        Some(value) => {
            let document = KeyDocument {
                key,
                value: STANDARD.encode(value),
                create_index: state.created_index,
                modify_index: state.modified_index,
                lock_index: 0,
                flags: 0,
            };
            json_response(StatusCode::OK, serde_json::to_string(&[document]).unwrap_or_default())
        }
        None => text_response(StatusCode::NOT_FOUND, ""),
    };
    response.headers_mut().insert(INDEX_HEADER, HeaderValue::from(state.modified_index));
    response
}

/// Parses a duration in the format of the published API: a number and `ms`, `s` or `m`; a number
/// alone is in seconds.
fn parse_wait(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let number: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" | "" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}
