use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Error;
use crate::http::NOT_RUN;
use crate::http::OUTCOME;
use crate::http::OUTCOME_REASON;
use crate::http::REQUEST_ID;
use crate::http::Whole;

/// What a caller knows about its request afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// It ran, and this is its answer.
    Answered,
    /// It did not run.
    Refused,
    /// It may have run, and the entry says so.
    Unknown,
    /// Nothing is known, and nobody says so: a broken connection, no answer, or a wrong one.
    Unexplained,
}

/// A class and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The class.
    pub class: Class,
    /// Why, if it was not simply answered.
    pub reason: String,
    /// Status code of the answer, 0 if there is none.
    pub status: u16,
}

impl Verdict {
    fn new(class: Class, reason: impl Into<String>, status: u16) -> Self {
        Self { class, reason: reason.into(), status }
    }
}

#[derive(Deserialize)]
struct Document {
    id: String,
}

/// Judges the result of a request with this id; `direct` if it went straight to a server.
pub fn classify(result: &Result<Whole, Error>, id: &str, direct: bool) -> Verdict {
    match result {
        Ok(whole) if direct => judge_server(whole, id),
        Ok(whole) => judge_entry(whole, id),
        Err(Error::Connect(..)) => Verdict::new(Class::Unexplained, "connect_failed", 0),
        Err(Error::Exchange(..)) => Verdict::new(Class::Unexplained, "connection_broken", 0),
        Err(Error::Timeout(_)) => Verdict::new(Class::Unexplained, "no_answer", 0),
        Err(Error::Request(_)) => Verdict::new(Class::Unexplained, "invalid_request", 0),
    }
}

fn judge_entry(whole: &Whole, id: &str) -> Verdict {
    let status = whole.status.as_u16();
    let reason = whole.header(OUTCOME_REASON).unwrap_or_default();
    match whole.header(OUTCOME) {
        Some("answered") => judge_answer(whole, id),
        Some("refused") if whole.status == StatusCode::SERVICE_UNAVAILABLE => {
            Verdict::new(Class::Refused, reason, status)
        }
        Some("unknown") if whole.status == StatusCode::BAD_GATEWAY => {
            Verdict::new(Class::Unknown, reason, status)
        }
        Some(outcome) => {
            Verdict::new(Class::Unexplained, format!("{outcome}_with_status_{status}"), status)
        }
        None => Verdict::new(Class::Unexplained, "no_outcome", status),
    }
}

fn judge_server(whole: &Whole, id: &str) -> Verdict {
    match whole.header(NOT_RUN) {
        Some(reason) => Verdict::new(Class::Refused, reason, whole.status.as_u16()),
        None => judge_answer(whole, id),
    }
}

/// Checks that an answer belongs to the request: the id in its body, and that in its header if there is one.
fn judge_answer(whole: &Whole, id: &str) -> Verdict {
    let status = whole.status.as_u16();
    let document: Result<Document, _> = serde_json::from_slice(&whole.body);
    let body_matches = document.is_ok_and(|document| document.id == id);
    let header_matches = whole.header(REQUEST_ID).is_none_or(|echoed| echoed == id);
    if body_matches && header_matches {
        Verdict::new(Class::Answered, "", status)
    } else {
        Verdict::new(Class::Unexplained, "wrong_answer", status)
    }
}
