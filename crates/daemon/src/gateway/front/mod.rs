//! Serves the requests of callers: reads a request, has the dispatcher serve it, and returns the
//! answer of a server or a refusal.

mod discard;
mod parts;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use self::discard::discard_upload;
use self::parts::caller_timeout;
use self::parts::content;
use self::parts::header_text;
use self::parts::host;
use self::parts::is_large_head;
use super::Dispatcher;
use super::answer::status;
use super::own_answer::OwnAnswer;
use super::own_answer::Reason;
use super::request_log::RequestLog;
use crate::exchange::upload;
use crate::exchange::upload::Upload;
use crate::headers;
use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::listen::body;
use jackdawpin_core::direct::config::Kind;
use jackdawpin_core::direct::config::Limits;
use jackdawpin_core::direct::config::Route;
use jackdawpin_core::direct::dispatch::Call;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::direct::dispatch::Origin;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Content;
use jackdawpin_core::time::Instant;
use jackdawpin_platform::http as platform_http;

pub(super) use self::discard::discard_rest;

/// Limit on the body of a request before a configuration is in force, in bytes.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request waits for the first configuration. A restarted process has it within
/// tens of milliseconds, which is sooner than a refused caller would retry.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which a caller may retry a request that got no route, such as one at an entry without
/// a configuration.
const UNROUTED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How a request ended at this entry.
#[derive(Debug)]
pub(super) enum End {
    /// The dispatcher served or refused it.
    Completed(Box<Completion>),
    /// The entry refused it before that, so it did not run.
    Refused(Reason),
    /// Its body could not be passed on to the end, and a server may have run it.
    CutUpload(Reason),
}

impl End {
    /// The response to the caller.
    fn into_response(self) -> Response<Full<Bytes>> {
        match self {
            Self::Completed(completion) => completion_response(*completion),
            Self::Refused(Reason::Unrouted(refusal)) => {
                refusal_response(refusal, Some(UNROUTED_RETRY_AFTER))
            }
            Self::Refused(reason) | Self::CutUpload(reason) => status(reason.status()),
        }
    }
}

/// A request whose head has been read.
#[derive(Debug, Clone, Copy)]
struct Received<'a> {
    parts: &'a Parts,
    at: Instant,
    /// The entry that passed it on, if any, and how long the caller had waited then.
    origin: Option<Origin<'a>>,
    waited: Duration,
}

/// The HTTP service for callers.
#[derive(Debug)]
pub(super) struct Front {
    dispatcher: Arc<Dispatcher>,
    /// Limit on the bytes of all bodies held in memory.
    budget: BufferBudget,
    request_log: Arc<RequestLog>,
}

impl Front {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        budget: BufferBudget,
        request_log: Arc<RequestLog>,
    ) -> Self {
        Self { dispatcher, budget, request_log }
    }

    /// Finds the route of a request. An entry without a configuration waits a short time for one.
    async fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        let route = self.dispatcher.route(host, path);
        if route.as_ref().err() != Some(&Refusal::NotReady) {
            return route;
        }
        // After a timeout, the second call refuses the request as not ready.
        let _ = tokio::time::timeout(CONFIG_TIMEOUT, self.dispatcher.wait_for_config()).await;
        self.dispatcher.route(host, path)
    }

    /// Serves one request, which another entry may have passed on as `origin` says; then its caller
    /// had `waited` before.
    pub(super) async fn serve_parts(
        &self,
        parts: Parts,
        mut body: Incoming,
        origin: Option<Origin<'_>>,
        waited: Duration,
    ) -> End {
        let request = Received { parts: &parts, at: self.dispatcher.clock().now(), origin, waited };
        if let Some(route) = self.upload_route(&parts) {
            return self.serve_upload(&request, body, &route).await;
        }
        let limits = self.limits();
        let limit = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
        // The body is read even for a request that is refused: a connection that is closed with
        // unread bytes is reset, and the caller could lose the answer.
        let body = match body::read(&mut body, limit, BODY_TIMEOUT, &self.budget).await {
            Ok(body) => body,
            Err(err) => {
                discard_rest(&mut body).await;
                return self.refuse(&parts, self.body_reason(err));
            }
        };
        // The limits may have changed while the body arrived.
        let is_over = |limits: Limits| is_large_head(&parts, limits.head_bytes);
        if limits.is_some_and(is_over) && self.limits().is_some_and(is_over) {
            return self.refuse(&parts, Reason::LargeHead);
        }
        let route = match self.route(host(&parts), parts.uri.path()).await {
            Ok(route) => route,
            Err(refusal) => return self.refuse(&parts, Reason::Unrouted(refusal)),
        };
        let content = content(&parts, body);
        End::Completed(Box::new(self.dispatch(&request, &route, &content, None).await))
    }

    /// The limits in force, if there is a configuration.
    fn limits(&self) -> Option<Limits> {
        self.dispatcher.config().map(|config| config.limits)
    }

    /// Whether the configuration may allow more than `limit` bytes in a body: it has been replaced by
    /// one that does, or is not known.
    fn may_allow_body_above(&self, limit: usize) -> bool {
        self.limits().is_none_or(|limits| limits.body_bytes > limit)
    }

    /// The route of a request whose body is passed on as it arrives. `None` for all other requests.
    fn upload_route(&self, parts: &Parts) -> Option<Arc<Route>> {
        let route = self.dispatcher.route(host(parts), parts.uri.path()).ok()?;
        (route.kind == Kind::Upload).then_some(route)
    }

    /// Serves a request whose body is passed on as it arrives.
    async fn serve_upload(&self, request: &Received<'_>, body: Incoming, route: &Route) -> End {
        let parts = request.parts;
        let limits = self.limits();
        if limits.is_some_and(|limits| is_large_head(parts, limits.head_bytes)) {
            return self.refuse_upload(parts, body, Reason::LargeHead).await;
        }
        let limit = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
        let upload = match Upload::new(body, limit) {
            Ok(upload) => upload,
            Err((_, body)) => {
                return self.refuse_upload(parts, body, Reason::LargeBody).await;
            }
        };
        let content = content(parts, Bytes::new());
        let completion = self.dispatch(request, route, &content, Some(&upload)).await;
        let end = match upload.error() {
            // A part of the body was passed on, so that the outcome tells whether it may have run.
            Some(upload::Error::Large(limit)) if self.may_allow_body_above(limit) => {
                End::Completed(Box::new(completion))
            }
            Some(err) if !matches!(completion.outcome, Outcome::Answered(_)) => {
                let reason = Reason::from(err);
                self.request_log.cut_upload(&self.own_answer(parts, reason));
                End::CutUpload(reason)
            }
            _ => End::Completed(Box::new(completion)),
        };
        discard_upload(upload).await;
        end
    }

    /// Refuses an upload before any of it is passed on.
    async fn refuse_upload(&self, parts: &Parts, mut body: Incoming, reason: Reason) -> End {
        discard_rest(&mut body).await;
        self.refuse(parts, reason)
    }

    /// Counts and logs a request that the entry refuses.
    fn refuse(&self, parts: &Parts, reason: Reason) -> End {
        self.request_log.refuse(&self.own_answer(parts, reason));
        End::Refused(reason)
    }

    /// Why a request is refused whose body could not be read.
    fn body_reason(&self, err: body::Error) -> Reason {
        match err {
            body::Error::Large(limit) if self.may_allow_body_above(limit) => {
                Reason::Unrouted(Refusal::NotReady)
            }
            _ => err.into(),
        }
    }

    /// Describes an answer of the entry itself, as it is decided now.
    fn own_answer<'a>(&self, parts: &'a Parts, reason: Reason) -> OwnAnswer<'a> {
        OwnAnswer {
            id: header_text(parts, platform_http::REQUEST_ID).unwrap_or_default(),
            host: host(parts),
            path: parts.uri.path(),
            status: reason.status(),
            reason,
            config_version: self.dispatcher.config().map_or(0, |config| config.version),
            proof_age: self.dispatcher.proof_age(self.dispatcher.clock().now()),
        }
    }

    /// Has the dispatcher serve a request, and logs its end.
    async fn dispatch(
        &self,
        request: &Received<'_>,
        route: &Route,
        content: &Content,
        upload: Option<&Upload>,
    ) -> Completion {
        let Received { parts, at: received, origin, waited } = *request;
        let id = header_text(parts, platform_http::REQUEST_ID).unwrap_or_default();
        let caller_timeout = caller_timeout(parts, id);
        let call = Call { id, route, received, caller_timeout, waited, content, upload, origin };
        let active_request =
            self.request_log.start(id, &route.name, origin.map(|origin| origin.entry));
        let completion = self.dispatcher.serve(call).await;
        let took = self.dispatcher.clock().now().since(received);
        active_request.end(took, &completion);
        completion
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
        let (parts, body) = request.into_parts();
        let mut response =
            self.serve_parts(parts, body, None, Duration::ZERO).await.into_response();
        if self.dispatcher.peers.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        Ok(response)
    }
}

/// The response to a request that was served or refused by the dispatcher.
fn completion_response(completion: Completion) -> Response<Full<Bytes>> {
    match completion.outcome {
        Outcome::Answered(answer) => server_response(answer),
        Outcome::Refused(refusal) => refusal_response(refusal, completion.retry_after),
        Outcome::Unknown(UnknownReason::Timeout) => status(StatusCode::GATEWAY_TIMEOUT),
        Outcome::Unknown(_) => status(StatusCode::BAD_GATEWAY),
    }
}

/// Passes the answer of a server on.
pub(super) fn server_response(answer: Answer) -> Response<Full<Bytes>> {
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

/// The response to a request that did not run; the caller may retry it after `retry_after`.
fn refusal_response(refusal: Refusal, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    if refusal == Refusal::UnknownService {
        return status(StatusCode::NOT_FOUND);
    }
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(|text| HeaderValue::from_str(&text)) {
        response.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    response
}
