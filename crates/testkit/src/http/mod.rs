//! HTTP/1.1 for the stand-ins: an accept loop, a body that can break its promise, and kept-alive client connections.
//!
//! The stand-ins must be able to misbehave on purpose (close a connection without an answer, declare more bytes than
//! they send), so they use hyper directly.

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
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the number of the attempt.
pub const ATTEMPT: &str = "x-attempt";
/// Header with the time that is left for the request, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";
/// Header that says that a request did not run, and why.
pub const NOT_RUN: &str = "x-not-run";
/// Header of an entry's answer with the outcome of the request.
pub const OUTCOME: &str = "x-outcome";
/// Header of an entry's answer with the reason of the outcome.
pub const OUTCOME_REASON: &str = "x-outcome-reason";
/// Header with a server's load report.
pub const LOAD: &str = "endpoint-load-metrics";

/// A response with a text body.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    respond(status, "text/plain", text.into())
}

/// A response with a JSON body.
pub fn json(status: StatusCode, json: impl Into<String>) -> Response<Body> {
    respond(status, "application/json", json.into())
}

fn respond(status: StatusCode, kind: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::sized(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
