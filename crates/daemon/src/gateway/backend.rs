//! Attempts at servers and probes, over pooled connections.

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

use crate::clock::BootClock;
use crate::exchange::Client;
use crate::exchange::Error;
use crate::exchange::request;
use crate::headers;
use jackdawpin_core::direct::fleet::LoadReport;
use jackdawpin_core::direct::port;
use jackdawpin_core::direct::port::Attempt;
use jackdawpin_core::direct::port::ProbeAnswer;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as wire;

/// Largest answer to a probe in bytes.
const MAX_PROBE: usize = 16 << 10;

/// Largest answer of a server in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Fields of a request that this system sets.
const SET_FIELDS: [&str; 2] = [wire::TIME_LEFT, wire::TARGET_SERVER];

/// The servers, as reached from this entry.
#[derive(Debug)]
pub struct ServerClient {
    client: Arc<Client>,
}

impl ServerClient {
    /// Creates an adapter over `client`.
    pub fn new(client: Arc<Client>) -> Self {
        Self { client }
    }
}

impl port::Backend for ServerClient {
    async fn send(&self, attempt: Attempt<'_>) -> Verdict {
        let left = attempt.deadline.since(BootClock.now());
        if left.is_zero() {
            return Verdict::NotSent;
        }
        let Some(request) = request(&attempt, left) else {
            log::error!("event=attempt id={} error=\"request cannot be encoded\"", attempt.id);
            return Verdict::NotSent;
        };
        let belongs = |map: &HeaderMap| field(map, wire::REQUEST_ID) == Some(attempt.id);
        let address = attempt.address;
        match self.client.exchange(address, request, left, MAX_ANSWER, belongs).await {
            Ok(response) if foreign(&attempt, &response) => Verdict::MayHaveRun("foreign_answer"),
            Ok(response) => verdict(response),
            Err(err) => {
                log::debug!(
                    "event=attempt id={} server={} error={err:?}",
                    attempt.id,
                    attempt.server
                );
                failure(&err)
            }
        }
    }

    fn set_max_idle(&self, most: usize) {
        self.client.set_max_idle(most);
    }

    async fn probe(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Option<ProbeAnswer> {
        let request = Request::get(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::default())
            .ok()?;
        let exchange = self.client.exchange(address, request, timeout, MAX_PROBE, |_| true);
        let response = match exchange.await {
            Ok(response) => response,
            Err(err) => {
                log::debug!("event=probe address={address} error={err:?}");
                return None;
            }
        };
        probe(address, &response)
    }
}

/// What the answer to a probe says. A server that does not say readably who it is or how long it is
/// cold has given no answer: as a warm one it could get more than it bears.
fn probe(address: SocketAddr, response: &Response<Bytes>) -> Option<ProbeAnswer> {
    let map = response.headers();
    let server = match map.get(wire::SERVER_NAME) {
        None => None,
        Some(value) => Some(read(address, wire::SERVER_NAME, value, |text| text.try_into().ok())?),
    };
    let cold_for = match map.get(wire::COLD_FOR) {
        None => Duration::ZERO,
        Some(value) => read(address, wire::COLD_FOR, value, wire::parse_cold_for)?,
    };
    // Without its load, a server is judged by the requests in flight to it from here.
    let load = map
        .get(wire::SERVER_LOAD)
        .and_then(|value| read(address, wire::SERVER_LOAD, value, wire::parse_load));
    let healthy = response.status() == StatusCode::OK;
    Some(ProbeAnswer { server, healthy, report: LoadReport { load, cold_for } })
}

/// Reads a field of an answer to a probe, and logs one that cannot be read.
fn read<T>(
    address: SocketAddr,
    name: &str,
    value: &HeaderValue,
    read: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let result = value.to_str().ok().and_then(read);
    if result.is_none() {
        log::warn!("event=probe address={address} field={name} error=\"cannot read {value:?}\"");
    }
    result
}

fn request(attempt: &Attempt<'_>, left: Duration) -> Option<Request<Full<Bytes>>> {
    let mut request = request::from_content(attempt.content, &SET_FIELDS)?;
    let map = request.headers_mut();
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    map.insert(HeaderName::from_static(wire::TIME_LEFT), HeaderValue::from(millis));
    let target = HeaderValue::from_str(attempt.server.as_str()).ok()?;
    map.insert(HeaderName::from_static(wire::TARGET_SERVER), target);
    Some(request)
}

/// What a whole answer proves.
fn verdict(response: Response<Bytes>) -> Verdict {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if not_run(&response) {
        return Verdict::Shed;
    }
    Verdict::Ran(Answer {
        status: response.status().as_u16(),
        headers: headers::forwarded_except(response.headers(), &[]),
        body: response.into_body(),
    })
}

/// Whether the answer is not to be taken for one to the attempt. A refusal may lack the id.
fn foreign(attempt: &Attempt<'_>, response: &Response<Bytes>) -> bool {
    match field(response.headers(), wire::REQUEST_ID) {
        Some(id) => id != attempt.id,
        None => !not_run(response),
    }
}

fn not_run(response: &Response<Bytes>) -> bool {
    response.headers().contains_key(wire::NOT_RUN)
        || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// What an exchange without a whole answer proves.
fn failure(err: &Error) -> Verdict {
    match err {
        Error::NotSent(_) => Verdict::NotSent,
        Error::Broken(_) => Verdict::MayHaveRun("connection_broken"),
        Error::Answer(_) => Verdict::MayHaveRun("answer_cut"),
        Error::Large(_) => Verdict::MayHaveRun("answer_too_large"),
        Error::Timeout => Verdict::MayHaveRun(Verdict::TIMEOUT),
    }
}

fn field<'a>(map: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers::text(map, &HeaderName::from_static(name))
}
