//! Sends attempts and probes to servers over HTTP/1.1.

mod report;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::exchange::Client;
use crate::exchange::Error;
use crate::exchange::request;
use crate::headers;
use jackdawpin_core::holder::pool::LoadReport;
use jackdawpin_core::holder::port;
use jackdawpin_core::holder::port::Reply;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Attempt;

/// Largest answer to a probe in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// Path of a probe.
const PROBE_PATH: &str = "/load";

/// The adapter for servers, with pooled connections.
#[derive(Debug)]
pub struct Upstream<C> {
    client: Arc<Client>,
    clock: C,
}

impl<C: Clock> Upstream<C> {
    /// Creates an adapter that shares the connections of `client`.
    pub fn new(client: Arc<Client>, clock: C) -> Self {
        Self { client, clock }
    }
}

impl<C: Clock> port::Upstream for Upstream<C> {
    async fn send(&self, address: SocketAddr, attempt: Attempt<'_>) -> Reply {
        let remaining = attempt.deadline.since(self.clock.now());
        let Some(request) = build_request(address, &attempt, remaining) else {
            return not_sent();
        };
        let max_body_bytes = usize::try_from(attempt.answer_limit).unwrap_or(usize::MAX);
        let answers_attempt = |fields: &HeaderMap| is_answer_to(&attempt, fields);
        match self
            .client
            .exchange(address, request, remaining, max_body_bytes, answers_attempt)
            .await
        {
            Ok(response) => read_reply(&attempt, response),
            Err(err) => {
                log::debug!("attempt {} at {} failed: {err}", attempt.request.id, address);
                Reply { evidence: evidence(&err), report: None }
            }
        }
    }

    async fn probe(&self, address: SocketAddr, timeout: Duration) -> Option<LoadReport> {
        let request = Request::get(PROBE_PATH)
            .header(http::header::HOST, address.to_string())
            .body(Full::default())
            .ok()?;
        let exchange = self.client.exchange(address, request, timeout, MAX_REPORT_BYTES, |_| true);
        let response = exchange.await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        report::parse(response.body())
    }
}

/// What a failed exchange proves about the request.
pub fn evidence(err: &Error) -> Evidence {
    match err {
        Error::NotSent(_) => Evidence::NotRun(NotRun::NotSent),
        Error::Broken(_) => Evidence::MayHaveRun(UnknownReason::Broken),
        Error::Answer(_) | Error::Large(_) => Evidence::MayHaveRun(UnknownReason::BadAnswer),
        Error::Timeout => Evidence::MayHaveRun(UnknownReason::Timeout),
    }
}

fn not_sent() -> Reply {
    Reply { evidence: Evidence::NotRun(NotRun::NotSent), report: None }
}

/// The HTTP request of an attempt. `None` if its content is not valid HTTP.
fn build_request(
    address: SocketAddr,
    attempt: &Attempt<'_>,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let content = &attempt.request.content;
    let body = Full::new(content.body.clone());
    let mut request = request::from_content(content, body, &headers::RESERVED_FIELDS)?;
    let fields = request.headers_mut();
    fields.insert(http::header::HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let id = HeaderValue::from_str(attempt.request.id.as_str()).ok()?;
    fields.insert(headers::REQUEST_ID, id);
    fields.insert(headers::ATTEMPT, HeaderValue::from(attempt.number));
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    fields.insert(headers::TIMEOUT_MS, HeaderValue::from(millis));
    Some(request)
}

fn read_reply(attempt: &Attempt<'_>, response: Response<Bytes>) -> Reply {
    let fields = response.headers();
    if !is_answer_to(attempt, fields) {
        return Reply { evidence: Evidence::MayHaveRun(UnknownReason::BadAnswer), report: None };
    }
    let report = fields.get(headers::LOAD_REPORT).and_then(report::parse_header);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && fields.contains_key(headers::NOT_RUN)
    {
        return Reply { evidence: Evidence::NotRun(NotRun::Shed), report };
    }
    let answer = Answer {
        status: response.status().as_u16(),
        headers: headers::forwarded(fields),
        body: response.into_body(),
    };
    Reply { evidence: Evidence::Ran(answer), report }
}

/// Whether the answer with these header fields echoes the id and the number of the attempt.
fn is_answer_to(attempt: &Attempt<'_>, fields: &HeaderMap) -> bool {
    let id = headers::text(fields, &headers::REQUEST_ID);
    let number = headers::text(fields, &headers::ATTEMPT).and_then(|text| text.parse().ok());
    id == Some(attempt.request.id.as_str()) && number == Some(attempt.number)
}
