//! Calls: the request, its admission and its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::response::Response;

use super::CALL_PREFIX;
use super::Front;
use super::response;
use crate::headers;
use crate::listen::body;
use jackdawpin_core::holder::flow::Submission;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::request::Content;
use jackdawpin_core::request::Id;

quick_error! {
    /// Why a call is malformed.
    #[derive(Debug)]
    pub enum Error {
        Path {
            display("the path is not {}SERVICE/PATH", CALL_PREFIX)
        }
        Id(err: jackdawpin_core::request::Error) {
            from()
            display("{}: {}", headers::REQUEST_ID, err)
        }
        Field(name: http::HeaderName) {
            display("{} is not one field of visible ASCII", name)
        }
        Timeout {
            display("{} is not a whole number of milliseconds above 0", headers::TIMEOUT_MS)
        }
        Idempotent {
            display("{} is neither \"true\" nor \"false\"", headers::IDEMPOTENT)
        }
    }
}

impl<O: Ports> Front<O> {
    /// Reads, admits and answers a call.
    pub(super) async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let start = Instant::now();
        let (parts, body) = request.into_parts();
        let mut submission = match parse_submission(&parts) {
            Ok(submission) => submission,
            Err(err) => return response::refused(Refusal::Invalid, &err.to_string()),
        };
        let max_body_bytes = match self.router.body_limit(&submission.service) {
            Ok(max_body_bytes) => max_body_bytes,
            Err(refusal) => return self.refuse(&submission, refusal),
        };
        let read = body::read(body, max_body_bytes, self.body_timeout, &self.budget).await;
        submission.content.body = match read {
            Ok(bytes) => bytes,
            Err(body::Error::Budget) => return self.refuse(&submission, Refusal::Memory),
            Err(err) => return response::body_refused(&err),
        };
        let id = submission.id.clone().unwrap_or_else(|| self.router.new_id());
        submission.id = Some(id.clone());
        let service = submission.service.clone();
        let served = self.router.serve(submission).await;
        self.telemetry.record_completion(self.router.tables(), &service, &served, start.elapsed());
        response::outcome(&id, served.outcome)
    }

    /// Counts and answers a call that is refused before it is admitted.
    fn refuse(&self, submission: &Submission, refusal: Refusal) -> Response<Full<Bytes>> {
        self.telemetry.record_refusal(self.router.tables(), &submission.service, refusal);
        response::refused(refusal, response::refusal_message(refusal))
    }
}

/// Reads a call without its body.
fn parse_submission(parts: &http::request::Parts) -> Result<Submission, Error> {
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    let service_and_path = target.strip_prefix(CALL_PREFIX).ok_or(Error::Path)?;
    let (service, _) = service_and_path.split_once('/').ok_or(Error::Path)?;
    let path = &service_and_path[service.len()..];
    let id = single_value(&parts.headers, &headers::REQUEST_ID)?.map(Id::try_from).transpose()?;
    Ok(Submission {
        id,
        service: service.into(),
        timeout: parse_timeout(&parts.headers)?,
        idempotent: parse_idempotent(&parts.headers)?,
        content: Content {
            method: parts.method.as_str().into(),
            path: path.into(),
            headers: headers::forwarded(&parts.headers),
            body: Bytes::new(),
        },
    })
}

fn parse_timeout(fields: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(text) = single_value(fields, &headers::TIMEOUT_MS)? else {
        return Ok(None);
    };
    match text.parse() {
        Err(_) | Ok(0) => Err(Error::Timeout),
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
    }
}

fn parse_idempotent(fields: &HeaderMap) -> Result<Option<bool>, Error> {
    match single_value(fields, &headers::IDEMPOTENT)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Error::Idempotent),
    }
}

/// The value of a field that may occur once. A repeated or unreadable field is an error and does
/// not count as missing: the request would otherwise get another id, timeout or idempotence than
/// its caller meant.
fn single_value<'a>(
    fields: &'a HeaderMap,
    name: &http::HeaderName,
) -> Result<Option<&'a str>, Error> {
    let mut values = fields.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(Error::Field(name.clone())),
        },
        (Some(_), Some(_)) => Err(Error::Field(name.clone())),
    }
}

/// Status code of the response to a refused request.
pub(super) fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::Invalid => StatusCode::BAD_REQUEST,
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
