//! Serves the requests that other entries pass on.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use motore::service::Service;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fields;
use super::fields::AnswerFields;
use super::fields::Ending;
use super::fields::RequestFields;
use crate::gateway::Dispatcher;
use crate::gateway::answer::status;
use crate::gateway::front::End;
use crate::gateway::front::Front;
use crate::gateway::front::discard_rest;
use crate::gateway::front::server_response;
use crate::gateway::own_answer::Reason;
use crate::listen::Context;
use jackdawpin_core::direct::dispatch::Completion;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as platform_http;

/// The HTTP service for requests of other entries.
#[derive(Debug)]
pub(in crate::gateway) struct ForwardService {
    dispatcher: Arc<Dispatcher>,
    front: Arc<Front>,
}

impl ForwardService {
    /// Creates a service that serves requests as `front` does those of callers.
    pub(in crate::gateway) fn new(dispatcher: Arc<Dispatcher>, front: Arc<Front>) -> Self {
        Self { dispatcher, front }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (mut parts, mut body) = request.into_parts();
        let id = parts.headers.get(platform_http::REQUEST_ID).cloned();
        let mut response = match self.check(&parts) {
            Ok(fields) => {
                for name in fields::ALL {
                    parts.headers.remove(name);
                }
                self.serve_checked(parts, body, &fields).await
            }
            Err(refusal) => {
                discard_rest(&mut body).await;
                refused(refusal)
            }
        };
        if let Some(id) = id {
            response.headers_mut().insert(platform_http::REQUEST_ID, id);
        }
        response
    }

    /// What the sender has decided, if this entry may serve the request.
    fn check(&self, parts: &Parts) -> Result<RequestFields, Refusal> {
        let fields = RequestFields::try_from(&parts.headers).map_err(|err| {
            log::warn!("event=forwarded error=\"{err}\"");
            Refusal::Invalid
        })?;
        let now = self.dispatcher.clock().now();
        if self.dispatcher.peers.is_near(fields.entry, now).is_none() {
            log::warn!("event=forwarded entry={} error=\"not a live entry\"", fields.entry);
            return Err(Refusal::Invalid);
        }
        if self.dispatcher.peers.is_leaving() {
            return Err(Refusal::Leaving);
        }
        // With an older configuration, this entry could treat the request as the sender no longer may.
        let version = self.dispatcher.config().map(|config| config.version);
        if version.is_none_or(|version| version < fields.config_version) {
            return Err(Refusal::NotReady);
        }
        Ok(fields)
    }

    async fn serve_checked(
        &self,
        parts: Parts,
        mut body: Incoming,
        fields: &RequestFields,
    ) -> Response<Full<Bytes>> {
        let Some(_guard) = self.dispatcher.origin_requests.try_start() else {
            discard_rest(&mut body).await;
            return refused(Refusal::Full);
        };
        match self.front.serve_parts(parts, body, Some(fields.origin()), fields.waited).await {
            End::Completed(completion) => completion_response(*completion),
            End::Refused(Reason::Unrouted(refusal)) => refused(refusal),
            End::Refused(Reason::Memory) => refused(Refusal::Memory),
            End::Refused(_) => refused(Refusal::Invalid),
            End::CutUpload(_) => {
                let ending = Ending::Unknown { timed_out: false };
                own_response(AnswerFields { ending, sends: 1, server: None })
            }
        }
    }
}

impl Service<Context, Request<Incoming>> for ForwardService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut Context,
        request: Request<Incoming>,
    ) -> Result<Self::Response, Infallible> {
        let mut response = self.serve(request).await;
        if self.dispatcher.peers.is_leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// The response to a request that the dispatcher served or refused.
fn completion_response(completion: Completion) -> Response<Full<Bytes>> {
    let sends = completion.sends;
    let server = completion.last_pick.map(|pick| pick.server);
    let ending = match completion.outcome {
        Outcome::Answered(mut answer) => {
            answer.headers.retain(|field| !fields::ALL.contains(&&*field.name));
            let mut response = server_response(answer);
            AnswerFields { ending: Ending::Answered, sends, server }
                .insert_into(response.headers_mut());
            return response;
        }
        Outcome::Refused(refusal) => Ending::Refused(refusal, completion.unavailable_for),
        Outcome::Unknown(reason) => Ending::Unknown { timed_out: reason == UnknownReason::Timeout },
    };
    own_response(AnswerFields { ending, sends, server })
}

/// The response to a request that did not run and was sent to no server.
fn refused(refusal: Refusal) -> Response<Full<Bytes>> {
    own_response(AnswerFields { ending: Ending::Refused(refusal, None), sends: 0, server: None })
}

fn own_response(fields: AnswerFields) -> Response<Full<Bytes>> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    fields.insert_into(response.headers_mut());
    response
}
