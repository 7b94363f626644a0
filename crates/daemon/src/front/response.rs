//! Responses to callers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use serde::Serialize;
use volo_http::response::Response;

use super::call::refusal_status;
use crate::headers;
use crate::headers::OUTCOME_REFUSED;
use crate::listen::body;
use jackdawpin_core::holder::flow::Addresses;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::request::Id;

/// Value of [`headers::OUTCOME`] for a request that a server answered.
const OUTCOME_ANSWERED: &str = "answered";

/// Value of [`headers::OUTCOME`] for a request that may have run.
const OUTCOME_UNKNOWN: &str = "unknown";

/// Body of a response without an answer of a server.
#[derive(Serialize)]
struct Failure<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: &'a str,
}

#[derive(Serialize)]
struct Address {
    address: SocketAddr,
    weight: u32,
}

#[derive(Serialize)]
struct AddressList {
    addresses: Vec<Address>,
    ttl_ms: u64,
}

/// The response to an HTTP request that is not a call, such as one for an unknown path.
pub(super) fn invalid(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    failure(status, OUTCOME_REFUSED, "invalid_request", message)
}

/// The response with the addresses that callers may use.
pub(super) fn addresses(addresses: &Addresses) -> Response<Full<Bytes>> {
    let body_entry = |entry: &jackdawpin_core::holder::flow::WeightedAddress| Address {
        address: entry.address,
        weight: entry.weight,
    };
    let body = AddressList {
        addresses: addresses.addresses.iter().map(body_entry).collect(),
        ttl_ms: u64::try_from(addresses.ttl.as_millis()).unwrap_or(u64::MAX),
    };
    json(StatusCode::OK, &body)
}

/// The response to a refused request.
pub(super) fn refused(refusal: Refusal, message: &str) -> Response<Full<Bytes>> {
    failure(refusal_status(refusal), OUTCOME_REFUSED, &refusal.to_string(), message)
}

/// The response to a request whose body could not be read.
pub(super) fn body_refused(err: &body::Error) -> Response<Full<Bytes>> {
    let status = match err {
        body::Error::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
        body::Error::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::BAD_REQUEST,
    };
    failure(status, OUTCOME_REFUSED, "invalid_request", &err.to_string())
}

/// The response to an admitted request.
pub(super) fn outcome(id: &Id, outcome: Outcome) -> Response<Full<Bytes>> {
    let mut response = match outcome {
        Outcome::Answered(answer) => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let forwarded = answer.headers.iter().map(|field| (&*field.name, &field.value[..]));
            headers::extend_except(response.headers_mut(), forwarded, &headers::RESERVED_FIELDS);
            set_outcome(&mut response, OUTCOME_ANSWERED, "");
            response
        }
        Outcome::Refused(refusal) => refused(refusal, refusal_message(refusal)),
        Outcome::Unknown(reason) => failure(
            unknown_status(reason),
            OUTCOME_UNKNOWN,
            &reason.to_string(),
            "the request may have run",
        ),
    };
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}

/// Status code of the response to a request that may have run.
fn unknown_status(reason: UnknownReason) -> StatusCode {
    match reason {
        UnknownReason::Duplicate => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// The message that explains a refusal to people.
pub(super) fn refusal_message(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Fenced => "this entry cannot know the configuration in force; use another one",
        Refusal::Leaving => "this entry is leaving; ask for addresses again",
        Refusal::NotReady => "this entry has no configuration yet; use another one",
        Refusal::UnknownService => "the service is not in the configuration in force",
        Refusal::Invalid => "the request breaks a limit or is malformed",
        Refusal::QueueFull => "too many requests wait for the service",
        Refusal::Suspect => "servers crashed while they ran this request",
        Refusal::RateLimit => "the servers of the service take no more requests at this rate",
        Refusal::Deadline => "no server had room before the deadline",
        Refusal::NoServer => "no server of the service may receive work",
        Refusal::Attempts => "no attempt ran, and no further one is allowed",
        Refusal::Full => "no server of the service has room",
        Refusal::Memory => "this entry holds too many bytes of bodies",
    }
}

fn failure(
    status: StatusCode,
    outcome: &str,
    reason: &str,
    message: &str,
) -> Response<Full<Bytes>> {
    let mut response = json(status, &Failure { outcome, reason, message });
    set_outcome(&mut response, outcome, reason);
    response
}

/// Sets the fields with the outcome and, unless it is empty, its reason.
fn set_outcome(response: &mut Response<Full<Bytes>>, outcome: &str, reason: &str) {
    let fields = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(outcome) {
        fields.insert(headers::OUTCOME, value);
    }
    if let Ok(value) = HeaderValue::from_str(reason)
        && !reason.is_empty()
    {
        fields.insert(headers::OUTCOME_REASON, value);
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
