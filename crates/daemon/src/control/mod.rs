//! The HTTP API for other entries and for operators, served on the control address.
//!
//! Messages between entries ([`peer`]) and answers for operators ([`admin`]) are MessagePack;
//! metrics, liveness and readiness are text. A forwarded request counts against the same buffer
//! budget as callers' requests, all other messages against a budget of their own, so that they are
//! still served when requests have used up theirs.

mod admin;
mod peer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use quick_error::quick_error;
use serde::Serialize;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::headers;
use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::listen::body;
use crate::metrics;
use crate::telemetry::Telemetry;
use jackdawpin_core::holder::control::Control;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

/// Largest forwarded request in bytes: a body of 64 MiB, the most that a configuration can allow,
/// and its envelope.
const MAX_FORWARD_BYTES: usize = (64 << 20) + wire::MAX_ENVELOPE_BYTES;

/// Media type of plain answers.
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

quick_error! {
    /// Why a request of a peer or an operator failed.
    #[derive(Debug)]
    pub enum Error {
        /// The body could not be received.
        Body(err: body::Error) {
            from()
            display("{}", err)
        }
        /// The message could not be encoded or decoded.
        Message(err: wire::Error) {
            from()
            display("{}", err)
        }
        /// A name in the message is not valid.
        Name(err: jackdawpin_core::name::Error) {
            from()
            display("{}", err)
        }
        /// The request id in the message is not valid.
        Id(err: jackdawpin_core::request::Error) {
            from()
            display("{}", err)
        }
        /// A query parameter is missing or not valid.
        Query(name: &'static str) {
            display("query parameter {:?} is missing or not valid", name)
        }
        /// The document, service or server asked for does not exist on this entry.
        Missing(what: &'static str) {
            display("{} does not exist here", what)
        }
        /// The path does not exist, or not with this method.
        Path {
            display("no such path, or not with this method")
        }
    }
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Self::Missing(_) | Self::Path => StatusCode::NOT_FOUND,
            Self::Body(body::Error::Budget) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Answers requests of other entries and operators.
#[derive(Debug)]
pub struct Handler<O> {
    router: Arc<Router<O>>,
    control: Arc<Control<O>>,
    forward_budget: BufferBudget,
    control_budget: BufferBudget,
    body_timeout: Duration,
    telemetry: Arc<Telemetry>,
}

impl<O: Ports> Handler<O> {
    /// Creates the handler of the control listener. The bodies of forwarded requests count against
    /// `forward_budget`, those of all other messages against `control_budget`; each body must
    /// arrive within `body_timeout`.
    pub fn new(
        router: Arc<Router<O>>,
        control: Arc<Control<O>>,
        forward_budget: BufferBudget,
        control_budget: BufferBudget,
        body_timeout: Duration,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        Self { router, control, forward_budget, control_budget, body_timeout, telemetry }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Error> {
        if request.method() == Method::POST {
            return self.post(request).await;
        }
        if request.method() != Method::GET {
            return Err(Error::Path);
        }
        match request.uri().path() {
            wire::path::CONFIG | wire::path::VM_LIST => self.document(request.uri().path()),
            wire::path::STATUS => encoded(&self.status()),
            wire::path::EXPLAIN => encoded(&self.explain(request.uri())?),
            wire::path::TIMELINE => encoded(&self.timeline(request.uri())?),
            "/metrics" => Ok(self.metrics()),
            "/livez" => Ok(text_response(StatusCode::OK, "live")),
            "/readyz" => Ok(self.readiness()),
            _ => Err(Error::Path),
        }
    }

    async fn post(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Error> {
        let (parts, body) = request.into_parts();
        let (limit, budget) = match parts.uri.path() {
            wire::path::FORWARD => (MAX_FORWARD_BYTES, &self.forward_budget),
            _ => (wire::MAX_MESSAGE_BYTES, &self.control_budget),
        };
        let bytes = body::read(body, limit, self.body_timeout, budget).await?;
        match parts.uri.path() {
            wire::path::HEARTBEAT => self.heartbeat(&bytes),
            wire::path::LEASE => self.lease(&bytes),
            wire::path::FORWARD => self.forward(&bytes).await,
            wire::path::VACANCY => self.vacancy(&bytes).await,
            _ => Err(Error::Path),
        }
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let gate = &self.router.tables().gate;
        match gate.check_admission(self.router.clock().now()) {
            Ok(()) if gate.is_leaving() => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            Ok(()) => text_response(StatusCode::OK, "ready"),
            Err(refusal) => text_response(StatusCode::SERVICE_UNAVAILABLE, &refusal.to_string()),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let now = self.router.clock().now();
        let probes = |service: &str| self.control.service_probes_sent(service);
        match self.telemetry.exposition(self.router.tables(), now, probes) {
            Ok(exposition) => {
                let mut response = Response::new(Full::new(Bytes::from(exposition)));
                let media_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, media_type);
                response
            }
            Err(err) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }
}

impl<O: Ports> Service<Context, Request<Incoming>> for Handler<O> {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        let path = request.uri().path().to_owned();
        let answer = self.answer(request).await;
        Ok(answer.unwrap_or_else(|err| {
            log::warn!("{path} from {} not served: {err}", context.remote);
            let mut response = text_response(err.status(), &err.to_string());
            if err.status() == StatusCode::SERVICE_UNAVAILABLE {
                let outcome = HeaderValue::from_static(headers::OUTCOME_REFUSED);
                response.headers_mut().insert(headers::OUTCOME, outcome);
            }
            response
        }))
    }
}

/// A response with `message` as its body.
fn encoded(message: &impl Serialize) -> Result<Response<Full<Bytes>>, Error> {
    let mut response = Response::new(Full::new(Bytes::from(wire::encode(message)?)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(wire::MEDIA_TYPE));
    Ok(response)
}

/// A response with a line of text.
fn text_response(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PLAIN_TEXT));
    response
}
