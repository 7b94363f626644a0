//! Sends attempts and probes to servers over pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use super::forward::ForwardClient;
use super::notice;
use crate::clock::BootClock;
use crate::exchange::Client;
use crate::exchange::Error;
use crate::exchange::OnReusedConnection;
use crate::exchange::request;
use crate::exchange::upload::RequestBody;
use crate::exchange::upload::Upload;
use crate::headers;
use jackdawpin_core::direct::fleet::LoadReport;
use jackdawpin_core::direct::port;
use jackdawpin_core::direct::port::Attempt;
use jackdawpin_core::direct::port::Forward;
use jackdawpin_core::direct::port::ForwardReply;
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::direct::port::Reply;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as platform_http;

/// Limit on the answer to a probe in bytes.
const MAX_PROBE_ANSWER_BYTES: usize = 16 << 10;

/// Limit on the answer to an attempt in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Header fields that the entry sets in each attempt, instead of passing on the caller's.
const REPLACED_FIELDS: [&str; 2] = [platform_http::TIME_LEFT, platform_http::TARGET_SERVER];

/// HTTP client of the servers, and of entries that reach them.
#[derive(Debug)]
pub struct ServerClient {
    client: Arc<Client>,
    entries: ForwardClient,
}

impl ServerClient {
    /// Creates an adapter over `client` that passes requests on through `entries`.
    pub fn new(client: Arc<Client>, entries: ForwardClient) -> Self {
        Self { client, entries }
    }
}

impl port::Backend for ServerClient {
    type Upload = Upload;

    async fn send(&self, attempt: Attempt<'_, Upload>) -> Reply {
        let time_left = attempt.deadline.since(BootClock.now());
        if time_left.is_zero() {
            return Verdict::NotSent.into();
        }
        let Some(request) = attempt_request(&attempt, time_left) else {
            log::error!("event=attempt id={} error=\"request cannot be encoded\"", attempt.id);
            return Verdict::NotSent.into();
        };
        // A connection on which the rest of a body is due cannot carry another request.
        let is_reusable = |headers: &HeaderMap| {
            header_text(headers, platform_http::REQUEST_ID) == Some(attempt.id)
                && attempt.upload.is_none_or(Upload::has_ended)
        };
        let address = attempt.address;
        match self.client.exchange(address, request, time_left, MAX_ANSWER_BYTES, is_reusable).await
        {
            Ok(response) if is_foreign(&attempt, &response) => {
                Verdict::MayHaveRun("foreign_answer").into()
            }
            Ok(response) => {
                let notice = Some(notice::parse(address, &response));
                Reply { verdict: answer_verdict(response), notice }
            }
            Err(err) => {
                log::debug!(
                    "event=attempt id={} server={} error={err:?}",
                    attempt.id,
                    attempt.server
                );
                if attempt.upload.is_some_and(|upload| upload.error().is_some()) {
                    return Verdict::MayHaveRun(Verdict::BODY_CUT).into();
                }
                failure_verdict(&err).into()
            }
        }
    }

    async fn forward(&self, forward: Forward<'_, Upload>) -> ForwardReply {
        self.entries.forward(forward).await
    }

    fn set_max_idle(&self, max_idle: usize) {
        self.client.set_max_idle(max_idle);
    }

    async fn probe(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Option<ProbeAnswer> {
        let request = Request::get(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::<Bytes>::default())
            .ok()?;
        let exchange =
            self.client.exchange(address, request, timeout, MAX_PROBE_ANSWER_BYTES, |_| true);
        let response = match exchange.await {
            Ok(response) => response,
            Err(err) => {
                log::debug!("event=probe address={address} error={err:?}");
                return None;
            }
        };
        parse_probe_answer(address, &response)
    }
}

/// Parses the answer to a probe. An answer with an invalid name or an invalid time for which the
/// server is cold counts as none: a cold server that is taken for a warm one could be overloaded.
fn parse_probe_answer(address: SocketAddr, response: &Response<Bytes>) -> Option<ProbeAnswer> {
    let headers = response.headers();
    let server = match headers.get(platform_http::SERVER_NAME) {
        None => None,
        Some(value) => {
            Some(notice::parse_field(address, platform_http::SERVER_NAME, value, |text| {
                text.try_into().ok()
            })?)
        }
    };
    let cold_for = match headers.get(platform_http::COLD_FOR) {
        None => Duration::ZERO,
        Some(value) => notice::parse_field(
            address,
            platform_http::COLD_FOR,
            value,
            platform_http::parse_cold_for,
        )?,
    };
    // A server without a load is rated by this entry's requests in flight to it.
    let load = headers.get(platform_http::SERVER_LOAD).and_then(|value| {
        notice::parse_field(address, platform_http::SERVER_LOAD, value, platform_http::parse_load)
    });
    let healthy = response.status() == StatusCode::OK;
    let notice = notice::parse(address, response);
    Some(ProbeAnswer { server, healthy, report: LoadReport { load, cold_for }, notice })
}

/// The request of an attempt; `None` if it cannot be encoded.
fn attempt_request(
    attempt: &Attempt<'_, Upload>,
    time_left: Duration,
) -> Option<Request<RequestBody>> {
    let body = match attempt.upload {
        Some(upload) => upload.stream().into(),
        None => Full::new(attempt.content.body.clone()).into(),
    };
    let mut request = request::from_content(attempt.content, body, &REPLACED_FIELDS)?;
    let headers = request.headers_mut();
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HeaderName::from_static(platform_http::TIME_LEFT), HeaderValue::from(millis));
    let target = HeaderValue::from_str(attempt.server.as_str()).ok()?;
    headers.insert(HeaderName::from_static(platform_http::TARGET_SERVER), target);
    Some(request)
}

/// The verdict that follows from a complete answer.
fn answer_verdict(response: Response<Bytes>) -> Verdict {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if has_not_run(&response) {
        return Verdict::Shed;
    }
    Verdict::Ran(Answer {
        status: response.status().as_u16(),
        headers: headers::forwarded_except(response.headers(), &[]),
        body: response.into_body(),
    })
}

/// Whether the answer belongs to another request, or may do so. An answer without an id belongs to the
/// attempt only if it says that the server did not run the request, and is the first one on its
/// connection: a later one may be a copy of the refusal of an earlier request or probe.
fn is_foreign(attempt: &Attempt<'_, Upload>, response: &Response<Bytes>) -> bool {
    match header_text(response.headers(), platform_http::REQUEST_ID) {
        Some(id) => id != attempt.id,
        None => {
            !has_not_run(response) || response.extensions().get::<OnReusedConnection>().is_some()
        }
    }
}

/// Whether the answer says that the server did not run the request.
fn has_not_run(response: &Response<Bytes>) -> bool {
    response.headers().contains_key(platform_http::NOT_RUN)
        || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// The verdict that follows from an exchange without a complete answer.
fn failure_verdict(err: &Error) -> Verdict {
    failure_cause(err).map_or(Verdict::NotSent, Verdict::MayHaveRun)
}

/// Why a request may have run that has no complete answer; `None` if it was not sent.
pub(super) fn failure_cause(err: &Error) -> Option<&'static str> {
    match err {
        Error::NotSent(_) => None,
        Error::Broken(_) => Some(Verdict::CONNECTION_BROKEN),
        Error::Answer(_) => Some(Verdict::ANSWER_CUT),
        Error::Large(_) => Some("answer_too_large"),
        Error::Timeout => Some(Verdict::TIMEOUT),
    }
}

/// The value of the header field `name`, if it is there and is text.
fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers::text(headers, &HeaderName::from_static(name))
}
