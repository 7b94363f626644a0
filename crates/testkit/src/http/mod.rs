//! HTTP/1.1 for the test doubles: an accept loop, a body that can differ from its declared length,
//! and a pool of client connections.
//!
//! The test doubles must be able to violate the protocol intentionally (close a connection without
//! an answer, declare more bytes than they send), so they use hyper directly.

mod body;
mod client;
mod query;
mod serve;

use http::Response;
use http::StatusCode;
use http::header;

pub use self::body::Body;
pub use self::client::Error;
pub use self::client::FullResponse;
pub use self::client::Pool;
pub use self::client::fetch;
pub use self::query::Query;
pub use self::serve::ConnectionStats;
pub use self::serve::Hangup;
pub use self::serve::Limits;
pub use self::serve::RunningServer;
pub use self::serve::serve;

/// Header with the caller's id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the time left for the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header of a server's answer to a request that did not run, with the reason.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header of an entry's answer with the outcome of the request.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header of an entry's answer with the reason of the outcome.
pub const OUTCOME_REASON_HEADER: &str = "x-outcome-reason";
/// Header with a server's load report.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// A response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    response_with_type(status, "text/plain", text.into())
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, json: impl Into<String>) -> Response<Body> {
    response_with_type(status, "application/json", json.into())
}

fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Body> {
    let mut response = Response::new(Body::sized(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}
