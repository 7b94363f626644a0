//! Answers other entries that fetch changes of the platform's store, and serves the metrics.

use std::convert::Infallible;
use std::sync::Arc;

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
use super::convert;
use super::metrics::Metrics;
use super::store_replica::StoreReplica;
use crate::listen::Context;
use crate::metrics::CONTENT_TYPE as METRICS_TYPE;
use crate::query;
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::port::Clock;
use jackdawpin_wire as wire;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The HTTP service for entries and monitoring.
#[derive(Debug)]
pub(super) struct Control {
    dispatcher: Arc<Dispatcher>,
    replica: Arc<StoreReplica>,
    metrics: Arc<Metrics>,
}

impl Control {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        replica: Arc<StoreReplica>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { dispatcher, replica, metrics }
    }

    /// Answers a peer that fetches the changes since a position; all items if it gives no valid
    /// one.
    fn changes(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let number = |name| query::value(request.uri(), name).and_then(|text| text.parse().ok());
        let since = Cursor {
            epoch: convert::epoch_from_wire(number("epoch").unwrap_or_default()),
            revision: number("since").unwrap_or_default(),
        };
        let delta = self.replica.changes_since(since, self.dispatcher.clock().now());
        match wire::encode(&convert::delta_to_wire(&delta)) {
            Ok(body) => ok_with_body(body, wire::MEDIA_TYPE),
            Err(err) => {
                log::error!("event=feed error=\"{err}\"");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Answers with the text exposition of the metrics.
    fn metrics(&self) -> Response<Full<Bytes>> {
        match self.metrics.exposition(&self.dispatcher) {
            Ok(text) => ok_with_body(text.into_bytes(), METRICS_TYPE),
            Err(err) => {
                log::error!("event=metrics error=\"{err}\"");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl Service<Context, Request<Incoming>> for Control {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        Ok(match request.uri().path() {
            wire::path::STORE_CHANGES => self.changes(&request),
            METRICS_PATH => self.metrics(),
            _ => status(StatusCode::NOT_FOUND),
        })
    }
}
