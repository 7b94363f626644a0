//! Gives callers the addresses of entries, and answers the readiness checks of the platform.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Dispatcher;
use super::answer::ok_with_body;
use super::answer::status;
use crate::listen::Context;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as platform_http;

/// Time for which callers may cache an answer. Some use it for three times as long, which must be
/// over before a planned stop ends.
pub(super) const ADDRESS_TTL: Duration = Duration::from_millis(1_100);

/// Entries of its own failure domain that are enough for a caller: it does not notice if one of
/// them fails.
const MIN_DOMAIN_ENTRIES: usize = 2;

/// Limit on the addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// The HTTP service for addresses and readiness checks.
#[derive(Debug)]
pub(super) struct Directory {
    dispatcher: Arc<Dispatcher>,
    /// Port on which all entries serve callers.
    caller_port: u16,
    ttl: Duration,
}

impl Directory {
    pub(super) fn new(dispatcher: Arc<Dispatcher>, caller_port: u16, max_ttl: Duration) -> Self {
        Self { dispatcher, caller_port, ttl: ADDRESS_TTL.min(max_ttl) }
    }

    /// Answers with the addresses of entries, in random order.
    fn addresses(&self, query: &str) -> Response<Full<Bytes>> {
        let domain = platform_http::caller_domain(query).unwrap_or_default();
        let now = self.dispatcher.clock().now();
        let mut entries =
            self.dispatcher.peers.entries_for_callers(&domain, MIN_DOMAIN_ENTRIES, now);
        fastrand::shuffle(&mut entries);
        entries.truncate(MAX_ADDRESSES);
        if entries.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let addresses =
            entries.into_iter().map(|ip| SocketAddr::from((ip, self.caller_port))).collect();
        match platform_http::encode_addresses(addresses, self.ttl) {
            Ok(body) => ok_with_body(body, "application/json"),
            Err(err) => {
                log::error!("event=directory error=\"{err}\"");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Answers with status 200 if the entry accepts requests, otherwise with 503.
    fn readiness(&self) -> Response<Full<Bytes>> {
        let ready = self.dispatcher.config().is_some() && !self.dispatcher.peers.is_leaving();
        status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

impl Service<Context, Request<Incoming>> for Directory {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        Ok(match request.uri().path() {
            platform_http::ADDRESSES_PATH => {
                self.addresses(request.uri().query().unwrap_or_default())
            }
            platform_http::READINESS_PATH => self.readiness(),
            _ => status(StatusCode::NOT_FOUND),
        })
    }
}
