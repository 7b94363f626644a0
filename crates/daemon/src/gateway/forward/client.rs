//! Passes requests on to other entries.

use std::net::Ipv4Addr;
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

use super::fields;
use super::fields::AnswerFields;
use super::fields::Ending;
use super::fields::RequestFields;
use crate::clock::BootClock;
use crate::exchange::Client;
use crate::exchange::Error;
use crate::exchange::request;
use crate::exchange::upload::RequestBody;
use crate::exchange::upload::Upload;
use crate::gateway::backend::MAX_ANSWER_BYTES;
use crate::gateway::backend::failure_cause;
use crate::gateway::notice;
use crate::headers;
use jackdawpin_core::direct::port::Forward;
use jackdawpin_core::direct::port::ForwardEnd;
use jackdawpin_core::direct::port::ForwardReply;
use jackdawpin_core::direct::port::Upload as _;
use jackdawpin_core::direct::port::Verdict;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::port::Clock;
use jackdawpin_platform::http as platform_http;

/// HTTP client of the entries that take requests of this one.
#[derive(Debug)]
pub struct ForwardClient {
    client: Arc<Client>,
    own_ip: Ipv4Addr,
    /// Port for forwarded requests, which is the same on all entries.
    port: u16,
}

impl ForwardClient {
    /// Creates a client of the entry at `own_ip` over `client`.
    pub fn new(client: Arc<Client>, own_ip: Ipv4Addr, port: u16) -> Self {
        Self { client, own_ip, port }
    }

    /// Passes a request on and waits for its answer.
    pub(in crate::gateway) async fn forward(&self, forward: Forward<'_, Upload>) -> ForwardReply {
        let time_left = forward.deadline.since(BootClock.now());
        if time_left.is_zero() {
            return ForwardEnd::NotSent.into();
        }
        let Some(request) = self.request(&forward, time_left) else {
            log::error!("event=forward id={} error=\"request cannot be encoded\"", forward.id);
            return ForwardEnd::NotSent.into();
        };
        let is_reusable = |headers: &HeaderMap| {
            echoes_id(headers, forward.id) && forward.upload.is_none_or(Upload::has_ended)
        };
        let address = SocketAddr::from((forward.entry, self.port));
        match self.client.exchange(address, request, time_left, MAX_ANSWER_BYTES, is_reusable).await
        {
            Ok(response) => reply(&forward, address, response),
            Err(err) => {
                log::debug!(
                    "event=forward id={} entry={} error={err:?}",
                    forward.id,
                    forward.entry
                );
                failure_end(&forward, &err).into()
            }
        }
    }

    /// The request to the other entry; `None` if it cannot be encoded.
    fn request(
        &self,
        forward: &Forward<'_, Upload>,
        time_left: Duration,
    ) -> Option<Request<RequestBody>> {
        let body = match forward.upload {
            Some(upload) => upload.stream().into(),
            None => Full::new(forward.content.body.clone()).into(),
        };
        let mut request = request::from_content(forward.content, body, &fields::ALL)?;
        let headers = request.headers_mut();
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let field = HeaderName::from_static(platform_http::TIME_LEFT);
        headers.insert(field, HeaderValue::from(millis));
        RequestFields::new(forward, self.own_ip).insert_into(headers);
        Some(request)
    }
}

/// What the answer of another entry shows.
fn reply(
    forward: &Forward<'_, Upload>,
    address: SocketAddr,
    response: Response<Bytes>,
) -> ForwardReply {
    if is_refused_by_listener(&response) {
        return ForwardEnd::Refused(Refusal::Full, None).into();
    }
    let fields = match AnswerFields::try_from(response.headers()) {
        Ok(fields) if echoes_id(response.headers(), forward.id) => fields,
        result => {
            log::warn!("event=forward id={} entry={address} answer={result:?}", forward.id);
            return ForwardEnd::MayHaveRun("foreign_answer").into();
        }
    };
    let end = match fields.ending {
        Ending::Refused(refusal, pause) => ForwardEnd::Refused(refusal, pause),
        Ending::Unknown { timed_out: true } => ForwardEnd::MayHaveRun(Verdict::TIMEOUT),
        Ending::Unknown { timed_out: false } => ForwardEnd::MayHaveRun(Verdict::CONNECTION_BROKEN),
        Ending::Answered => {
            let leaving = notice::is_leaving(address, response.headers());
            let leaving = fields.server.filter(|_| leaving);
            let end = ForwardEnd::Answered(answer(response));
            return ForwardReply { end, sends: fields.sends, leaving };
        }
    };
    ForwardReply { end, sends: fields.sends, leaving: None }
}

fn answer(response: Response<Bytes>) -> Answer {
    Answer {
        status: response.status().as_u16(),
        headers: headers::forwarded_except(response.headers(), &fields::ALL),
        body: response.into_body(),
    }
}

/// Whether the other entry's listener had no connection left, which it says before it reads the
/// request.
fn is_refused_by_listener(response: &Response<Bytes>) -> bool {
    let outcome = headers::text(response.headers(), &headers::OUTCOME);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && outcome == Some(headers::OUTCOME_REFUSED)
        && AnswerFields::try_from(response.headers()).is_err()
}

fn echoes_id(headers: &HeaderMap, id: &str) -> bool {
    headers::text(headers, &HeaderName::from_static(platform_http::REQUEST_ID)) == Some(id)
}

/// The end of a forward without a complete answer. A lost answer shows nothing about the request.
fn failure_end(forward: &Forward<'_, Upload>, err: &Error) -> ForwardEnd {
    let body_cut = forward.upload.is_some_and(|upload| upload.error().is_some());
    match failure_cause(err) {
        _ if body_cut => ForwardEnd::MayHaveRun(Verdict::BODY_CUT),
        None if forward.upload.is_some_and(Upload::has_begun) => {
            ForwardEnd::MayHaveRun(Verdict::CONNECTION_BROKEN)
        }
        None => ForwardEnd::NotSent,
        Some(cause) => ForwardEnd::MayHaveRun(cause),
    }
}
