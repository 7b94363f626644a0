//! The listener for callers: addresses and calls over plain HTTP.
//!
//! A call is buffered whole before it is admitted, and its answer is buffered whole before it goes
//! out, so a cut answer never looks like a whole one.

mod call;
mod response;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::listen::BufferBudget;
use crate::listen::Context;
use crate::query;
use crate::telemetry::Telemetry;
use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::outcome::Refusal;

/// Path that tells callers which addresses to use; query `service`.
pub const ADDRESSES: &str = "/v1/addresses";

/// Prefix of the path of a call; the name of the service and the server's path follow.
pub const CALL: &str = "/v1/call/";

/// Serves callers.
#[derive(Debug)]
pub struct Front<O> {
    router: Arc<Router<O>>,
    budget: BufferBudget,
    body_timeout: Duration,
    telemetry: Arc<Telemetry>,
}

impl<O: Ports> Front<O> {
    /// Creates the service for the callers' listener. All bodies together take at most `budget`, and
    /// one must arrive within `body_timeout`.
    pub fn new(
        router: Arc<Router<O>>,
        budget: BufferBudget,
        body_timeout: Duration,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        Self { router, budget, body_timeout, telemetry }
    }

    fn addresses(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(service) = query::value(request.uri(), "service") else {
            return response::refused(Refusal::Invalid, "query parameter \"service\" is missing");
        };
        match self.router.addresses(&service) {
            Ok(addresses) => response::addresses(&addresses),
            Err(refusal) => response::refused(refusal, response::explain(refusal)),
        }
    }
}

impl<O: Ports> Service<Context, Request<Incoming>> for Front<O> {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        let path = request.uri().path();
        if path.starts_with(CALL) {
            return Ok(self.serve(request).await);
        }
        if path != ADDRESSES {
            return Ok(response::plain(StatusCode::NOT_FOUND, "no such path"));
        }
        if request.method() != Method::GET {
            return Ok(response::plain(StatusCode::METHOD_NOT_ALLOWED, "use GET"));
        }
        Ok(self.addresses(&request))
    }
}
