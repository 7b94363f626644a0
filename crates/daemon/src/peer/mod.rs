//! Sends messages to other entries over HTTP with MessagePack bodies.
//!
//! [`Peer`] implements two ports of `jackdawpin-core`: `Peer` for forwarded attempts, and
//! `Coordination` for heartbeats, claims and documents. [`convert`] and [`forward`] translate
//! between messages and the types of `jackdawpin-core`.

pub mod convert;
mod coordination;
pub mod forward;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use quick_error::quick_error;
use serde::Serialize;

use crate::exchange;
use crate::exchange::Client;
use crate::headers;
use crate::upstream;
use jackdawpin_core::holder::port;
use jackdawpin_core::holder::port::ForwardReply;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Attempt;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// Time for the answer to a request for a free slot beyond the wait that the request names.
const VACANCY_ANSWER_GRACE: Duration = Duration::from_millis(200);

quick_error! {
    /// Why a message got no valid answer.
    #[derive(Debug)]
    pub enum Error {
        /// No answer was received completely.
        Exchange(err: exchange::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// A message could not be encoded or decoded.
        Message(err: wire::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The path of the message is not valid.
        Path(err: http::uri::InvalidUri) {
            from()
            source(err)
            display("{}", err)
        }
        /// A name in the answer is not valid.
        Name(err: name::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The peer refused the message for lack of connections or buffers.
        Refused {
            display("the peer has no connections or buffers left")
        }
        /// The peer answered with an error.
        Status(status: StatusCode) {
            display("the peer answered {}", status)
        }
    }
}

/// Sends messages over pooled connections.
#[derive(Debug, Clone)]
pub struct Peer<C> {
    /// Connections for forwarded attempts.
    forward_client: Arc<Client>,
    /// Connections for all other messages.
    control_client: Arc<Client>,
    clock: C,
}

impl<C: Clock> Peer<C> {
    /// Creates an adapter that forwards attempts through `forward_client` and sends all other
    /// messages through `control_client`.
    pub fn new(forward_client: Arc<Client>, control_client: Arc<Client>, clock: C) -> Self {
        Self { forward_client, control_client, clock }
    }

    /// Sends `message` and returns the bytes of the answer.
    ///
    /// # Errors
    ///
    /// The message has no encoding, no complete answer came in time, or the peer answered with an
    /// error.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let body = Bytes::from(wire::encode(message)?);
        let request = build_request(Method::POST, Uri::from_static(path), body);
        send_request(&self.control_client, address, request, timeout, wire::MAX_MESSAGE_BYTES).await
    }

    /// Fetches the message at `path`.
    ///
    /// # Errors
    ///
    /// The message has no encoding, no complete answer came in time, or the peer answered with an
    /// error.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &'static str,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let request = build_request(Method::GET, Uri::from_static(path), Bytes::new());
        send_request(&self.control_client, address, request, timeout, wire::MAX_MESSAGE_BYTES).await
    }
}

/// A request with a MessagePack body.
pub(crate) fn build_request(method: Method, path: Uri, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path;
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(wire::MEDIA_TYPE));
    request
}

/// Sends a request to the entry at `address` and returns the body of an answer with status 200,
/// which has at most `limit` bytes.
pub(crate) async fn send_request(
    client: &Client,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    timeout: Duration,
    limit: usize,
) -> Result<Bytes, Error> {
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    let response = client.exchange(address, request, timeout, limit, |_| true).await?;
    let refused =
        headers::text(response.headers(), &headers::OUTCOME) == Some(headers::OUTCOME_REFUSED);
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::SERVICE_UNAVAILABLE if refused => Err(Error::Refused),
        status => Err(Error::Status(status)),
    }
}

impl<C: Clock> port::Peer for Peer<C> {
    async fn forward(
        &self,
        vm: &name::Vm,
        address: SocketAddr,
        attempt: Attempt<'_>,
    ) -> ForwardReply {
        let time_left = attempt.deadline.since(self.clock.now());
        let reply = |evidence| ForwardReply { evidence, free: None };
        let Ok(body) = forward::encode(&attempt, time_left) else {
            return reply(Evidence::NotRun(NotRun::NotSent));
        };
        let path = wire::path::FORWARD;
        let answer_limit = usize::try_from(attempt.answer_limit).unwrap_or(usize::MAX);
        let limit = answer_limit.saturating_add(wire::MAX_ENVELOPE_BYTES);
        let request = build_request(Method::POST, Uri::from_static(path), body.into());
        match send_request(&self.forward_client, address, request, time_left, limit).await {
            Ok(bytes) => forward::decode(&attempt, &bytes),
            Err(Error::Exchange(err)) => {
                log::debug!("forward of {} to {vm} failed: {err}", attempt.request.id);
                reply(upstream::evidence(&err))
            }
            // A peer gives this answer only before it has decoded the message, for lack of
            // connections or buffers.
            Err(Error::Refused) => reply(Evidence::NotRun(NotRun::Refused(Refusal::Full))),
            Err(err) => {
                log::warn!("forward of {} to {vm} failed: {err}", attempt.request.id);
                reply(Evidence::MayHaveRun(UnknownReason::BadAnswer))
            }
        }
    }

    async fn vacancy(
        &self,
        address: SocketAddr,
        service: &name::Service,
        deadline: Instant,
    ) -> u32 {
        let time_left = deadline.since(self.clock.now());
        let wait_ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
        let message = wire::VacancyRequest { service: service.as_str(), wait_ms };
        let answer = self
            .post(address, wire::path::VACANCY, &message, time_left + VACANCY_ANSWER_GRACE)
            .await;
        let vacancy = answer.and_then(|bytes| Ok(wire::decode::<wire::Vacancy>(&bytes)?));
        vacancy.map_or(0, |vacancy| vacancy.free)
    }
}
