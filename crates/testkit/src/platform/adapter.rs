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

use super::Answer;
use super::Counts;
use super::Down;
use super::Model;
use super::Read;
use crate::http::Body;
use crate::http::ConnectionStats;
use crate::http::Hangup;
use crate::http::Limits;
use crate::http::Query;
use crate::http::RunningServer;
use crate::http::json;
use crate::http::serve;
use crate::http::text;

/// Wait of a blocking query that names none, as the published API says.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Longest wait, as the published API says.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Header with the index of an answer.
const INDEX: HeaderName = HeaderName::from_static("x-consul-index");

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Pair<'a> {
    key: &'a str,
    value: String,
    create_index: u64,
    modify_index: u64,
    lock_index: u64,
    flags: u64,
}

/// Serves a [`Model`]; clones share it.
#[derive(Debug, Clone)]
pub struct Service {
    model: Arc<Mutex<Model>>,
    // Its value counts changes; waiting calls look at the model again after each.
    changes: watch::Sender<u64>,
}

impl Default for Service {
    fn default() -> Self {
        Self { model: Arc::default(), changes: watch::Sender::new(0) }
    }
}

impl Service {
    /// Listens on `address` and serves until `cancel`.
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
        let service = self.clone();
        let cancel = cancel.clone();
        let task = tokio::spawn(async move {
            let handler = move |request| service.clone().handle(request);
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

    /// Sets a key and returns the index.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        self.change(|model| model.put(key, value))
    }

    /// Counts of calls.
    pub fn counts(&self) -> Counts {
        *self.model.lock().counts()
    }

    /// Changes the model and lets waiting calls look at it again.
    pub fn change<T>(&self, change: impl FnOnce(&mut Model) -> T) -> T {
        let result = change(&mut self.model.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.get(key, &request).await;
        }
        match path.strip_prefix("/test/") {
            Some(command) => Ok(self.control(command, request).await),
            None => Ok(text(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn get(&self, key: &str, request: &Request<Incoming>) -> Result<Response<Body>, Hangup> {
        self.model.lock().count_call();
        if request.method() != Method::GET {
            return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "read only"));
        }
        let query = Query::from_uri(request.uri());
        let known = query.value("index").unwrap_or(0);
        let wait = query.text("wait").and_then(parse_wait).unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let first = self.look(key, known, false);
        let result = match first {
            Some(result) => result,
            None => self.wait(key, known, wait, &mut changes).await,
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

    async fn wait(
        &self,
        key: &str,
        known: u64,
        wait: Duration,
        changes: &mut watch::Receiver<u64>,
    ) -> Result<Response<Body>, Hangup> {
        let waiting = Waiting::new(self);
        let end = tokio::time::Instant::now() + wait;
        loop {
            let ended = tokio::time::timeout_at(end, changes.changed()).await.is_err();
            if let Some(result) = self.look(key, known, ended) {
                drop(waiting);
                return result;
            }
        }
    }

    /// The result of a read if there is one now, or if the wait has ended.
    fn look(&self, key: &str, known: u64, ended: bool) -> Option<Result<Response<Body>, Hangup>> {
        let model = self.model.lock();
        match model.read(key, known) {
            Read::Ready(answer) => Some(Ok(encode(key, &answer))),
            Read::Unchanged(answer) => ended.then(|| Ok(encode(key, &answer))),
            Read::Down(Down::Close) => Some(Err(Hangup::Intentional)),
            Read::Down(Down::Error) => {
                Some(Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "no cluster leader")))
            }
        }
    }

    async fn control(&self, command: &str, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let query = Query::from_uri(&parts.uri);
        if let Some(key) = command.strip_prefix("kv/") {
            return match body.collect().await {
                Ok(body) => text(StatusCode::OK, self.put(key, body.to_bytes()).to_string()),
                Err(_) => text(StatusCode::BAD_REQUEST, "the body was cut"),
            };
        }
        match command {
            "down" if query.text("how") == Some("error") => {
                self.change(|model| model.go_down(Down::Error));
            }
            "down" => self.change(|model| model.go_down(Down::Close)),
            "stale" => self.change(|model| model.go_stale(query.value("index"))),
            "delay" => {
                self.change(|model| model.set_delay(query.millis("ms").unwrap_or_default()));
            }
            "up" => self.change(Model::recover),
            "reset" => self.change(Model::reset),
            "counts" => {
                let counts = serde_json::to_string(&self.counts()).unwrap_or_default();
                return json(StatusCode::OK, counts);
            }
            _ => return text(StatusCode::NOT_FOUND, "no such control"),
        }
        text(StatusCode::OK, "ok")
    }
}

/// Counts a waiting call for as long as it lives, also if its caller goes away.
struct Waiting<'a>(&'a Service);

impl<'a> Waiting<'a> {
    fn new(service: &'a Service) -> Self {
        service.model.lock().count_wait();
        Self(service)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.model.lock().count_wake();
    }
}

fn encode(key: &str, answer: &Answer<'_>) -> Response<Body> {
    let mut response = match answer.value {
        Some(value) => {
            let pair = Pair {
                key,
                value: STANDARD.encode(value),
                create_index: answer.created,
                modify_index: answer.index,
                lock_index: 0,
                flags: 0,
            };
            json(StatusCode::OK, serde_json::to_string(&[pair]).unwrap_or_default())
        }
        None => text(StatusCode::NOT_FOUND, ""),
    };
    response.headers_mut().insert(INDEX, HeaderValue::from(answer.index));
    response
}

/// Reads a duration as the published API writes it: a number and `ms`, `s` or `m`.
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
