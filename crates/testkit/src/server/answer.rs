use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header;
use http::header::HeaderValue;
use http::request::Parts;
use serde_json::json;

use super::LoadReport;
use crate::http::ATTEMPT_HEADER;
use crate::http::Body;
use crate::http::LOAD_HEADER;
use crate::http::NOT_RUN_HEADER;
use crate::http::REQUEST_ID_HEADER;
use crate::http::TIMEOUT_HEADER;
use crate::http::json_response;

/// Longest time for a request, and the time for one that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that a truncated answer declares but does not contain.
const MISSING_BYTES: usize = 64;

/// Fields of a request's header.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo<'a> {
    /// The caller's id of the request, empty if it names none.
    pub id: &'a str,
    /// Number of the attempt, 0 if it names none.
    pub attempt: u32,
    /// Time for the request.
    pub timeout: Duration,
}

impl<'a> RequestInfo<'a> {
    /// Reads the fields from the header of a request.
    pub fn from_headers(parts: &'a Parts) -> Self {
        let field =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let timeout =
            field(TIMEOUT_HEADER).and_then(|text| text.parse().ok()).map(Duration::from_millis);
        Self {
            id: field(REQUEST_ID_HEADER).unwrap_or_default(),
            attempt: field(ATTEMPT_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0),
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT).min(DEFAULT_TIMEOUT),
        }
    }
}

/// The answer to a request that ran. With `truncate` it declares more bytes than it contains.
pub fn completed(
    info: &RequestInfo<'_>,
    report: LoadReport,
    padding: usize,
    truncate: bool,
) -> Response<Body> {
    let mut response = build(info, report, StatusCode::OK, "done", padding);
    if truncate {
        let text = body_json(info, "done", padding);
        let declared = HeaderValue::from(text.len() + MISSING_BYTES);
        response.headers_mut().insert(header::CONTENT_LENGTH, declared);
        *response.body_mut() = Body::of_unknown_size(text);
    }
    response
}

/// The answer to a request that did not run.
pub fn not_run(info: &RequestInfo<'_>, report: LoadReport, reason: &str) -> Response<Body> {
    let mut response = build(info, report, StatusCode::SERVICE_UNAVAILABLE, "not run", 0);
    set_header(&mut response, NOT_RUN_HEADER, reason);
    response
}

/// The answer to a request that failed and may have run.
pub fn failed(info: &RequestInfo<'_>, report: LoadReport, status: StatusCode) -> Response<Body> {
    build(info, report, status, "failed", 0)
}

fn build(
    info: &RequestInfo<'_>,
    report: LoadReport,
    status: StatusCode,
    result: &str,
    padding: usize,
) -> Response<Body> {
    let mut response = json_response(status, body_json(info, result, padding));
    set_header(&mut response, REQUEST_ID_HEADER, info.id);
    set_header(&mut response, ATTEMPT_HEADER, &info.attempt.to_string());
    set_header(&mut response, LOAD_HEADER, &format!("JSON {}", report.to_json()));
    response
}

fn body_json(info: &RequestInfo<'_>, result: &str, padding: usize) -> String {
    let padding = "x".repeat(padding);
    json!({ "id": info.id, "attempt": info.attempt, "result": result, "padding": padding })
        .to_string()
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    // Each value comes from a header or is plain ASCII, so the conversion does not fail.
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
