//! Sends messages to other entries over HTTP with MessagePack bodies.

pub mod convert;
pub mod forward;
mod mesh;

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

/// Time by which a vacancy notice may come later than asked for.
const NOTICE_GRACE: Duration = Duration::from_millis(200);

quick_error! {
    /// Why a message got no usable answer.
    #[derive(Debug)]
    pub enum Error {
        /// The exchange failed.
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
    /// For forwarded attempts.
    client: Arc<Client>,
    /// For all other messages.
    control: Arc<Client>,
    clock: C,
}

impl<C: Clock> Peer<C> {
    /// Creates an adapter that forwards attempts through `client` and sends all other messages through
    /// `control`.
    pub fn new(client: Arc<Client>, control: Arc<Client>, clock: C) -> Self {
        Self { client, control, clock }
    }

    /// Sends `message` and returns the bytes of the answer.
    ///
    /// # Errors
    ///
    /// The exchange failed or the peer answered with an error.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let body = Bytes::from(wire::encode(message)?);
        let request = request(Method::POST, Uri::from_static(path), body);
        call(&self.control, address, request, timeout, wire::MAX_MESSAGE_BYTES).await
    }

    /// Fetches the message at `path`.
    ///
    /// # Errors
    ///
    /// The exchange failed or the peer answered with an error.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &'static str,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let request = request(Method::GET, Uri::from_static(path), Bytes::new());
        call(&self.control, address, request, timeout, wire::MAX_MESSAGE_BYTES).await
    }
}

pub(crate) fn request(method: Method, path: Uri, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path;
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(wire::MEDIA_TYPE));
    request
}

/// Sends a request to the entry at `address` and returns the body of a good answer, which has at most
/// `limit` bytes.
pub(crate) async fn call(
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
        let left = attempt.deadline.since(self.clock.now());
        let evidence = |evidence| ForwardReply { evidence, free: None };
        let Ok(body) = forward::encode(&attempt, left) else {
            return evidence(Evidence::NotRun(NotRun::NotSent));
        };
        let path = wire::path::FORWARD;
        let answer = usize::try_from(attempt.answer_limit).unwrap_or(usize::MAX);
        let limit = answer.saturating_add(wire::MAX_ENVELOPE_BYTES);
        let request = request(Method::POST, Uri::from_static(path), body.into());
        match call(&self.client, address, request, left, limit).await {
            Ok(bytes) => forward::decode(&attempt, &bytes),
            Err(Error::Exchange(err)) => {
                log::debug!("forward of {} to {vm} failed: {err}", attempt.request.id);
                evidence(upstream::evidence(&err))
            }
            // A peer answers this only before it has looked at the message, for lack of connections
            // or buffers.
            Err(Error::Refused) => evidence(Evidence::NotRun(NotRun::Refused(Refusal::Full))),
            Err(err) => {
                log::warn!("forward of {} to {vm} failed: {err}", attempt.request.id);
                evidence(Evidence::MayHaveRun(UnknownReason::BadAnswer))
            }
        }
    }

    async fn vacancy(
        &self,
        address: SocketAddr,
        service: &name::Service,
        deadline: Instant,
    ) -> u32 {
        let left = deadline.since(self.clock.now());
        let wait_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let watch = wire::VacancyRequest { service: service.as_str(), wait_ms };
        let answer = self.post(address, wire::path::VACANCY, &watch, left + NOTICE_GRACE).await;
        let vacancy = answer.and_then(|bytes| Ok(wire::decode::<wire::Vacancy>(&bytes)?));
        vacancy.map_or(0, |vacancy| vacancy.free)
    }
}
