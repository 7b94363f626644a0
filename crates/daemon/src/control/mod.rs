//! The listener for other entries and for operators.

mod admin;
mod mesh;

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

/// Largest forwarded request: the largest body and its envelope.
const MAX_FORWARD: usize = (64 << 20) + wire::MAX_ENVELOPE_BYTES;

const TEXT: &str = "text/plain; charset=utf-8";

quick_error! {
    /// Why a message of a peer or an operator is not served.
    #[derive(Debug)]
    pub enum Error {
        /// The body was not read.
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
        /// Nothing of that name exists here.
        Missing(what: &'static str) {
            display("{} does not exist here", what)
        }
        /// No such path, or not with this method.
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

/// Serves other entries and operators.
#[derive(Debug)]
pub struct Listener<O> {
    router: Arc<Router<O>>,
    control: Arc<Control<O>>,
    budget: BufferBudget,
    control_budget: BufferBudget,
    body_timeout: Duration,
    telemetry: Arc<Telemetry>,
}

impl<O: Ports> Listener<O> {
    /// Creates the service for the control listener. Forwarded requests together take at most
    /// `budget`, all other messages `control_budget`; each must arrive within `body_timeout`.
    pub fn new(
        router: Arc<Router<O>>,
        control: Arc<Control<O>>,
        budget: BufferBudget,
        control_budget: BufferBudget,
        body_timeout: Duration,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        Self { router, control, budget, control_budget, body_timeout, telemetry }
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
            wire::path::STATUS => message(&self.status()),
            wire::path::EXPLAIN => message(&self.explain(request.uri())?),
            wire::path::TIMELINE => message(&self.timeline(request.uri())?),
            "/metrics" => Ok(self.metrics()),
            "/livez" => Ok(text(StatusCode::OK, "live")),
            "/readyz" => Ok(self.ready()),
            _ => Err(Error::Path),
        }
    }

    async fn post(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Error> {
        let (parts, body) = request.into_parts();
        let (limit, budget) = match parts.uri.path() {
            wire::path::FORWARD => (MAX_FORWARD, &self.budget),
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

    fn ready(&self) -> Response<Full<Bytes>> {
        let gate = &self.router.tables().gate;
        match gate.check_admission(self.router.clock().now()) {
            Ok(()) if gate.is_leaving() => text(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Ok(()) => text(StatusCode::OK, "ready"),
            Err(refusal) => text(StatusCode::SERVICE_UNAVAILABLE, &refusal.to_string()),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let now = self.router.clock().now();
        let probes = |service: &str| self.control.service_probes_sent(service);
        match self.telemetry.text(self.router.tables(), now, probes) {
            Ok(exposition) => {
                let mut response = Response::new(Full::new(Bytes::from(exposition)));
                let kind = HeaderValue::from_static(metrics::CONTENT_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
        }
    }
}

impl<O: Ports> Service<Context, Request<Incoming>> for Listener<O> {
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
            let mut response = text(err.status(), &err.to_string());
            if err.status() == StatusCode::SERVICE_UNAVAILABLE {
                let refused = HeaderValue::from_static(headers::OUTCOME_REFUSED);
                response.headers_mut().insert(headers::OUTCOME, refused);
            }
            response
        }))
    }
}

fn message(message: &impl Serialize) -> Result<Response<Full<Bytes>>, Error> {
    let mut response = Response::new(Full::new(Bytes::from(wire::encode(message)?)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(wire::MEDIA_TYPE));
    Ok(response)
}

fn text(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(TEXT));
    response
}
