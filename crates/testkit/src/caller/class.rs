use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Error;
use crate::http::FullResponse;
use crate::http::NOT_RUN_HEADER;
use crate::http::OUTCOME_HEADER;
use crate::http::OUTCOME_REASON_HEADER;
use crate::http::REQUEST_ID_HEADER;

/// What a caller knows about its request after the request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// It ran and was answered.
    Answered,
    /// It did not run.
    Refused,
    /// It may have run, and the entry says so.
    Unknown,
    /// Nothing is known and no entry reported so: the connection broke, or the answer is missing or
    /// wrong.
    Unexplained,
}

/// The class of a request, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Classification {
    /// The class.
    pub class: Class,
    /// Reason, empty if it was answered.
    pub reason: String,
    /// Status code of the answer, 0 without one.
    pub status: u16,
}

impl Classification {
    fn new(class: Class, reason: impl Into<String>, status: u16) -> Self {
        Self { class, reason: reason.into(), status }
    }
}

#[derive(Deserialize)]
struct AnswerBody {
    id: String,
}

/// Classifies the result of the request with this id; `direct` says that it was sent to a server
/// without an entry.
pub fn classify(result: &Result<FullResponse, Error>, id: &str, direct: bool) -> Classification {
    match result {
        Ok(response) if direct => classify_server_response(response, id),
        Ok(response) => classify_entry_response(response, id),
        Err(Error::Connect(..)) => Classification::new(Class::Unexplained, "connect_failed", 0),
        Err(Error::Exchange(..)) => Classification::new(Class::Unexplained, "connection_broken", 0),
        Err(Error::Timeout(_)) => Classification::new(Class::Unexplained, "no_answer", 0),
        Err(Error::Request(_)) => Classification::new(Class::Unexplained, "invalid_request", 0),
    }
}

fn classify_entry_response(response: &FullResponse, id: &str) -> Classification {
    let status = response.status.as_u16();
    let reason = response.header(OUTCOME_REASON_HEADER).unwrap_or_default();
    match response.header(OUTCOME_HEADER) {
        Some("answered") => classify_answer(response, id),
        Some("refused") if response.status == StatusCode::SERVICE_UNAVAILABLE => {
            Classification::new(Class::Refused, reason, status)
        }
        Some("unknown") if response.status == StatusCode::BAD_GATEWAY => {
            Classification::new(Class::Unknown, reason, status)
        }
        Some(outcome) => Classification::new(
            Class::Unexplained,
            format!("{outcome}_with_status_{status}"),
            status,
        ),
        None => Classification::new(Class::Unexplained, "no_outcome", status),
    }
}

fn classify_server_response(response: &FullResponse, id: &str) -> Classification {
    match response.header(NOT_RUN_HEADER) {
        Some(reason) => Classification::new(Class::Refused, reason, response.status.as_u16()),
        None => classify_answer(response, id),
    }
}

/// Classifies as answered if the id in the body is the request's, and so is that in the header if
/// there is one.
fn classify_answer(response: &FullResponse, id: &str) -> Classification {
    let status = response.status.as_u16();
    let parsed: Result<AnswerBody, _> = serde_json::from_slice(&response.body);
    let body_matches = parsed.is_ok_and(|body| body.id == id);
    let header_matches = response.header(REQUEST_ID_HEADER).is_none_or(|echoed| echoed == id);
    if body_matches && header_matches {
        Classification::new(Class::Answered, "", status)
    } else {
        Classification::new(Class::Unexplained, "wrong_answer", status)
    }
}
