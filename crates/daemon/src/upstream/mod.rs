//! Sends attempts to servers over HTTP/1.1.

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
const MAX_REPORT: usize = 16 << 10;

/// Path of a probe.
const PROBE_PATH: &str = "/load";

/// Sends attempts over pooled connections.
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
        let left = attempt.deadline.since(self.clock.now());
        let Some(request) = request(address, &attempt, left) else {
            return not_sent();
        };
        let limit = usize::try_from(attempt.answer_limit).unwrap_or(usize::MAX);
        let belongs = |map: &HeaderMap| echoed(&attempt, map);
        match self.client.exchange(address, request, left, limit, belongs).await {
            Ok(response) => reply(&attempt, response),
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
        let exchange = self.client.exchange(address, request, timeout, MAX_REPORT, |_| true);
        let response = exchange.await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        report::parse(response.body())
    }
}

/// What a failed exchange proves.
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

fn request(
    address: SocketAddr,
    attempt: &Attempt<'_>,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = request::from_content(&attempt.request.content, &headers::RESERVED_FIELDS)?;
    let map = request.headers_mut();
    map.insert(http::header::HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let id = HeaderValue::from_str(attempt.request.id.as_str()).ok()?;
    map.insert(headers::REQUEST_ID, id);
    map.insert(headers::ATTEMPT, HeaderValue::from(attempt.number));
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    map.insert(headers::TIMEOUT_MS, HeaderValue::from(millis));
    Some(request)
}

fn reply(attempt: &Attempt<'_>, response: Response<Bytes>) -> Reply {
    let map = response.headers();
    if !echoed(attempt, map) {
        return Reply { evidence: Evidence::MayHaveRun(UnknownReason::BadAnswer), report: None };
    }
    let report = map.get(headers::LOAD_REPORT).and_then(report::parse_header);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && map.contains_key(headers::NOT_RUN) {
        return Reply { evidence: Evidence::NotRun(NotRun::Shed), report };
    }
    let answer = Answer {
        status: response.status().as_u16(),
        headers: headers::forwarded(map),
        body: response.into_body(),
    };
    Reply { evidence: Evidence::Ran(answer), report }
}

/// Whether the answer belongs to the attempt.
fn echoed(attempt: &Attempt<'_>, map: &HeaderMap) -> bool {
    let id = headers::text(map, &headers::REQUEST_ID);
    let number = headers::text(map, &headers::ATTEMPT).and_then(|text| text.parse().ok());
    id == Some(attempt.request.id.as_str()) && number == Some(attempt.number)
}
