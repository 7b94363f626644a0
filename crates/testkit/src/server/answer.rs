use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header;
use http::header::HeaderValue;
use http::request::Parts;
use serde_json::json;

use super::Load;
use crate::http::ATTEMPT;
use crate::http::Body;
use crate::http::LOAD;
use crate::http::NOT_RUN;
use crate::http::REQUEST_ID;
use crate::http::TIMEOUT;
use crate::http::json;

/// Time for a request that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that a cut answer declares but does not have.
const MISSING: usize = 64;

/// What a request says about itself.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The caller's id, empty if it names none.
    pub id: &'a str,
    /// Number of the attempt, 0 if it names none.
    pub attempt: u32,
    /// Time for the request.
    pub timeout: Duration,
}

impl<'a> Call<'a> {
    /// Reads the header of a request.
    pub fn of(parts: &'a Parts) -> Self {
        let field =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let timeout = field(TIMEOUT).and_then(|text| text.parse().ok()).map(Duration::from_millis);
        Self {
            id: field(REQUEST_ID).unwrap_or_default(),
            attempt: field(ATTEMPT).and_then(|text| text.parse().ok()).unwrap_or(0),
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT).min(DEFAULT_TIMEOUT),
        }
    }
}

/// The answer to a request that ran. A cut one declares more bytes than it has.
pub fn whole(call: &Call<'_>, load: Load, padding: usize, cut: bool) -> Response<Body> {
    let mut response = echo(call, load, StatusCode::OK, "done", padding);
    if cut {
        let text = document(call, "done", padding);
        let declared = HeaderValue::from(text.len() + MISSING);
        response.headers_mut().insert(header::CONTENT_LENGTH, declared);
        *response.body_mut() = Body::unsized_(text);
    }
    response
}

/// The answer to a request that did not run.
pub fn not_run(call: &Call<'_>, load: Load, reason: &str) -> Response<Body> {
    let mut response = echo(call, load, StatusCode::SERVICE_UNAVAILABLE, "not run", 0);
    set(&mut response, NOT_RUN, reason);
    response
}

/// The answer to a request that failed and may have run.
pub fn failed(call: &Call<'_>, load: Load, status: StatusCode) -> Response<Body> {
    echo(call, load, status, "failed", 0)
}

fn echo(
    call: &Call<'_>,
    load: Load,
    status: StatusCode,
    result: &str,
    padding: usize,
) -> Response<Body> {
    let mut response = json(status, document(call, result, padding));
    set(&mut response, REQUEST_ID, call.id);
    set(&mut response, ATTEMPT, &call.attempt.to_string());
    set(&mut response, LOAD, &format!("JSON {}", load.to_json()));
    response
}

fn document(call: &Call<'_>, result: &str, padding: usize) -> String {
    let padding = "x".repeat(padding);
    json!({ "id": call.id, "attempt": call.attempt, "result": result, "padding": padding })
        .to_string()
}

fn set(response: &mut Response<Body>, name: &'static str, value: &str) {
    // All values come from a header or are plain ASCII, so the conversion does not fail.
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
