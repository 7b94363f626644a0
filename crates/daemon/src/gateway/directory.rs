//! Answers callers that ask for addresses, and the platform's question whether the entry takes
//! requests.

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

use super::Flow;
use super::answer::status;
use super::answer::typed;
use crate::listen::Context;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as wire;

/// How long callers may keep an answer. Some keep it three times as long, which must end before a
/// planned stop does.
pub(super) const TTL: Duration = Duration::from_millis(1_100);

/// Entries of the caller's own failure domain that are enough for it: one may fail unnoticed.
const ENOUGH: usize = 2;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// The service for addresses and readiness.
#[derive(Debug)]
pub(super) struct Directory {
    flow: Arc<Flow>,
    /// Port on which all entries serve callers.
    port: u16,
    ttl: Duration,
}

impl Directory {
    pub(super) fn new(flow: Arc<Flow>, port: u16, max_ttl: Duration) -> Self {
        Self { flow, port, ttl: TTL.min(max_ttl) }
    }

    fn addresses(&self, query: &str) -> Response<Full<Bytes>> {
        let domain = wire::caller_domain(query).unwrap_or_default();
        let now = self.flow.clock().now();
        let mut entries = self.flow.peers.entries_for_callers(&domain, ENOUGH, now);
        fastrand::shuffle(&mut entries);
        entries.truncate(MAX_ADDRESSES);
        if entries.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let addresses = entries.into_iter().map(|ip| SocketAddr::from((ip, self.port))).collect();
        match wire::encode_addresses(addresses, self.ttl) {
            Ok(body) => typed(body, "application/json"),
            Err(err) => {
                log::error!("event=directory error=\"{err}\"");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let ready = self.flow.config().is_some() && !self.flow.peers.is_leaving();
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
            wire::ADDRESSES_PATH => self.addresses(request.uri().query().unwrap_or_default()),
            wire::READINESS_PATH => self.ready(),
            _ => status(StatusCode::NOT_FOUND),
        })
    }
}
