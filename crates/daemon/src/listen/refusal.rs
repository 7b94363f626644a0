//! The service for connections above the limit.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Context;
use crate::headers::OUTCOME;
use crate::headers::OUTCOME_REASON;
use crate::headers::OUTCOME_REFUSED;

/// Number of connections above the limit that get a response at the same time; further ones are
/// closed at once.
pub(super) const MAX_REFUSALS: usize = 64;

/// Longest time a connection above the limit stays open, several round trips to a caller (about 20
/// ms each).
pub(super) const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Reason given to callers.
const REASON: &str = "too_many_connections";

/// Refuses each request and has the connection closed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refuse;

impl Service<Context, Request<Incoming>> for Refuse {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        _: Request<Incoming>,
    ) -> Result<Self::Response, Self::Error> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(OUTCOME_REFUSED));
        headers.insert(OUTCOME_REASON, HeaderValue::from_static(REASON));
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        Ok(response)
    }
}
