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

use super::CALL;
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
            display("the path is not {}SERVICE/PATH", CALL)
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
    pub(super) async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let start = Instant::now();
        let (parts, body) = request.into_parts();
        let mut submission = match submission(&parts) {
            Ok(submission) => submission,
            Err(err) => return response::refused(Refusal::Invalid, &err.to_string()),
        };
        let limit = match self.router.body_limit(&submission.service) {
            Ok(limit) => limit,
            Err(refusal) => return self.turn_away(&submission, refusal),
        };
        let read = body::read(body, limit, self.body_timeout, &self.budget).await;
        submission.content.body = match read {
            Ok(bytes) => bytes,
            Err(body::Error::Budget) => return self.turn_away(&submission, Refusal::Memory),
            Err(err) => return response::body_refused(&err),
        };
        let id = submission.id.clone().unwrap_or_else(|| self.router.new_id());
        submission.id = Some(id.clone());
        let service = submission.service.clone();
        let served = self.router.serve(submission).await;
        self.telemetry.served(self.router.tables(), &service, &served, start.elapsed());
        response::outcome(&id, served.outcome)
    }

    fn turn_away(&self, submission: &Submission, refusal: Refusal) -> Response<Full<Bytes>> {
        self.telemetry.refused(self.router.tables(), &submission.service, refusal);
        response::refused(refusal, response::explain(refusal))
    }
}

fn submission(parts: &http::request::Parts) -> Result<Submission, Error> {
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    let rest = target.strip_prefix(CALL).ok_or(Error::Path)?;
    let (service, _) = rest.split_once('/').ok_or(Error::Path)?;
    let path = &rest[service.len()..];
    let id = single(&parts.headers, &headers::REQUEST_ID)?.map(Id::try_from).transpose()?;
    Ok(Submission {
        id,
        service: service.into(),
        timeout: timeout(&parts.headers)?,
        idempotent: idempotent(&parts.headers)?,
        content: Content {
            method: parts.method.as_str().into(),
            path: path.into(),
            headers: headers::forwarded(&parts.headers),
            body: Bytes::new(),
        },
    })
}

fn timeout(map: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(text) = single(map, &headers::TIMEOUT_MS)? else {
        return Ok(None);
    };
    match text.parse() {
        Err(_) | Ok(0) => Err(Error::Timeout),
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
    }
}

fn idempotent(map: &HeaderMap) -> Result<Option<bool>, Error> {
    match single(map, &headers::IDEMPOTENT)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Error::Idempotent),
    }
}

/// The text of a field that may be there once. A field that cannot be read must not count as
/// missing: the request would get another id, or be treated as something it is not.
fn single<'a>(map: &'a HeaderMap, name: &http::HeaderName) -> Result<Option<&'a str>, Error> {
    let mut values = map.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(Error::Field(name.clone())),
        },
        (Some(_), Some(_)) => Err(Error::Field(name.clone())),
    }
}

/// Status code for a request that did not run.
pub(super) fn status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::Invalid => StatusCode::BAD_REQUEST,
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
