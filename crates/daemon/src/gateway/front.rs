//! Serves callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Flow;
use super::answer::status;
use super::journal::Journal;
use crate::headers;
use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::listen::body;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::dispatch::Call;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Content;
use jackdawpin_platform::http as wire;

/// Largest body of a request before a configuration is in force, in bytes.
const DEFAULT_BODY: usize = 1 << 20;

/// Time for the body of a request to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Time for the rest of a body that is too large.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long a request waits for the first configuration, which a process that starts again has within
/// tens of milliseconds: sooner than a refused caller would be back.
const READY_WAIT: Duration = Duration::from_millis(150);

/// When a caller may come back to an entry that has no configuration yet.
const NOT_READY: Duration = Duration::from_millis(200);

/// The service for callers.
#[derive(Debug)]
pub(super) struct Front {
    flow: Arc<Flow>,
    budget: BufferBudget,
    journal: Arc<Journal>,
}

impl Front {
    pub(super) fn new(flow: Arc<Flow>, budget: BufferBudget, journal: Arc<Journal>) -> Self {
        Self { flow, budget, journal }
    }

    /// The route of a request. An entry that has just started waits for its first configuration.
    async fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        let route = self.flow.route(host, path);
        if route.as_ref().err() != Some(&Refusal::NotReady) {
            return route;
        }
        // If there is none in time, the second look says so.
        let _ = tokio::time::timeout(READY_WAIT, self.flow.wait_for_config()).await;
        self.flow.route(host, path)
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let received = self.flow.clock().now();
        let (parts, mut body) = request.into_parts();
        let limit = self.flow.config().map_or(DEFAULT_BODY, |plan| plan.limits.body_bytes);
        // The body is read even for a request that is refused: a connection that is closed with
        // unread bytes is reset, and the caller could lose the answer.
        let body = match body::read(&mut body, limit, BODY_TIME, &self.budget).await {
            Ok(body) => body,
            Err(err) => {
                drain(&mut body).await;
                return unread(&parts, &err);
            }
        };
        let id = text(&parts, wire::REQUEST_ID).unwrap_or_default();
        if self.flow.config().is_some_and(|plan| head_bytes(&parts) > plan.limits.head_bytes) {
            log::warn!("event=request id={id} outcome=refused reason=\"the head is too large\"");
            return status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        let host = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let route = match self.route(host.unwrap_or_default(), parts.uri.path()).await {
            Ok(route) => route,
            Err(refusal) => {
                self.journal.refused(id, refusal);
                return refused(refusal, Some(NOT_READY));
            }
        };
        let patience = patience(&parts, id);
        let content = content(&parts, body);
        let call =
            Call { id, route: &route, received, caller_timeout: patience, content: &content };
        let entered = self.journal.enter(id, &route.name);
        let ended = self.flow.serve(call).await;
        let took = self.flow.clock().now().since(received);
        entered.end(took, &ended);
        answer(ended)
    }
}

impl Service<Context, Request<Incoming>> for Front {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        let mut response = self.serve(request).await;
        if self.flow.peers.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        Ok(response)
    }
}

/// Reads the rest of a body that is not used, for a while.
async fn drain(body: &mut Incoming) {
    let rest = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
    // A caller that sends for longer loses the answer.
    let _ = tokio::time::timeout(DRAIN_TIME, rest).await;
}

fn unread(parts: &Parts, err: &body::Error) -> Response<Full<Bytes>> {
    let id = text(parts, wire::REQUEST_ID).unwrap_or_default();
    log::warn!("event=request id={id} outcome=refused reason=\"{err}\"");
    status(match err {
        body::Error::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
        body::Error::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
        body::Error::Budget => StatusCode::SERVICE_UNAVAILABLE,
        body::Error::Broken => StatusCode::BAD_REQUEST,
    })
}

fn text<'a>(parts: &'a Parts, name: &'static str) -> Option<&'a str> {
    headers::text(&parts.headers, &HeaderName::from_static(name))
}

/// How long the caller waits, if it says so readably.
fn patience(parts: &Parts, id: &str) -> Option<Duration> {
    let value = parts.headers.get(wire::TIME_LEFT)?;
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    if millis.is_none() {
        log::warn!(
            "event=request id={id} field={} error=\"cannot read {value:?}\"",
            wire::TIME_LEFT
        );
    }
    millis.map(Duration::from_millis)
}

/// Bytes of the request line and the header fields, as they are sent.
fn head_bytes(parts: &Parts) -> usize {
    const PER_FIELD: usize = ": \r\n".len();
    let target = parts.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let line = parts.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields = parts.headers.iter();
    line + fields.map(|(name, value)| name.as_str().len() + value.len() + PER_FIELD).sum::<usize>()
}

fn content(parts: &Parts, body: Bytes) -> Content {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Content {
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: headers::forwarded_except(&parts.headers, &[]),
        body,
    }
}

fn answer(ended: Completion) -> Response<Full<Bytes>> {
    match ended.outcome {
        Outcome::Answered(answer) => passed(answer),
        Outcome::Refused(refusal) => refused(refusal, ended.retry_after),
        Outcome::Unknown(UnknownReason::Timeout) => status(StatusCode::GATEWAY_TIMEOUT),
        Outcome::Unknown(_) => status(StatusCode::BAD_GATEWAY),
    }
}

fn passed(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    match StatusCode::from_u16(answer.status) {
        Ok(status) => *response.status_mut() = status,
        Err(err) => {
            log::error!("event=answer status={} error=\"{err}\"", answer.status);
            return status(StatusCode::BAD_GATEWAY);
        }
    }
    let fields = answer.headers.iter().map(|field| (&*field.name, &field.value[..]));
    headers::extend_except(response.headers_mut(), fields, &[]);
    response
}

/// The answer to a request that did not run.
fn refused(refusal: Refusal, come_back: Option<Duration>) -> Response<Full<Bytes>> {
    if refusal == Refusal::UnknownService {
        return status(StatusCode::NOT_FOUND);
    }
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = come_back.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(|text| HeaderValue::from_str(&text)) {
        response.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    response
}
