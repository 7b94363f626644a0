//! Answers to messages of other entries.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use volo_http::response::Response;

use super::Error;
use super::Handler;
use super::encoded;
use crate::peer::convert;
use crate::peer::forward;
use jackdawpin_core::holder::control::Claim;
use jackdawpin_core::holder::intent::AcceptedDocument;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::name;
use jackdawpin_core::port::Clock;
use jackdawpin_core::request::Content;
use jackdawpin_core::request::Header;
use jackdawpin_core::request::Id;
use jackdawpin_core::request::Request;
use jackdawpin_wire as wire;

/// Longest time that a peer may wait for a free slot in one request.
const MAX_VACANCY_WAIT: Duration = Duration::from_secs(5);

/// The response to a message.
type Answer = Result<Response<Full<Bytes>>, Error>;

impl<O: Ports> Handler<O> {
    /// Answers a heartbeat with that of this entry.
    pub(super) fn heartbeat(&self, bytes: &[u8]) -> Answer {
        let received: wire::Heartbeat = wire::decode(bytes)?;
        let own = self.control.answer_heartbeat(convert::heartbeat_from_wire(&received)?);
        encoded(&convert::heartbeat_to_wire(&own))
    }

    /// Answers a claim on servers with the promises of this entry.
    pub(super) fn lease(&self, bytes: &[u8]) -> Answer {
        let claim: wire::Claim = wire::decode(bytes)?;
        let claimant = name::Vm::try_from(claim.claimant.as_str())?;
        let targets = convert::targets_from_wire(&claim.servers)?;
        let released = convert::targets_from_wire(&claim.released)?;
        let grant = self.control.answer_claim(&Claim {
            claimant: &claimant,
            incarnation: claim.incarnation,
            round: claim.round,
            clock: convert::stamp_from_wire(claim.clock),
            targets: &targets,
            released: &released,
        });
        encoded(&convert::grant_to_wire(&grant))
    }

    /// Dispatches a forwarded attempt and replies with what it proves.
    pub(super) async fn forward(&self, bytes: &Bytes) -> Answer {
        let forward: wire::ForwardRequest<'_> = wire::decode(bytes)?;
        let request = self.forwarded_request(bytes, &forward)?;
        let (evidence, free) = self.router.serve_forwarded(&request, forward.attempt).await;
        let mut code = String::new();
        encoded(&wire::ForwardReply {
            id: forward.id,
            attempt: forward.attempt,
            verdict: forward::verdict(&evidence, &mut code),
            free,
        })
    }

    /// Waits for a free slot for a service and answers with the number of free slots.
    pub(super) async fn vacancy(&self, bytes: &[u8]) -> Answer {
        let message: wire::VacancyRequest<'_> = wire::decode(bytes)?;
        let route = self.router.tables().routes().get(message.service);
        let pool = route.as_ref().ok_or(Error::Missing("the service"))?.pool();
        let wait = Duration::from_millis(message.wait_ms.into()).min(MAX_VACANCY_WAIT);
        let free = match pool.vacancy(self.router.clock().now()) {
            Ok(free) => free,
            Err(vacancy) => match tokio::time::timeout(wait, vacancy).await {
                Ok(Ok(free)) => free,
                _ => 0,
            },
        };
        encoded(&wire::Vacancy { free })
    }

    /// Answers with the document in force whose path is `path`.
    pub(super) fn document(&self, path: &str) -> Answer {
        let intent = &self.router.tables().intent;
        if path == wire::path::CONFIG {
            return document_response(intent.config_status().accepted.as_ref());
        }
        document_response(intent.list_status().accepted.as_ref())
    }

    /// The request in a forwarded attempt; its body and header values share `bytes`.
    fn forwarded_request(
        &self,
        bytes: &Bytes,
        forward: &wire::ForwardRequest<'_>,
    ) -> Result<Request, Error> {
        let header = |field: &wire::Header<'_>| Header {
            name: field.name.into(),
            value: bytes.slice_ref(field.value),
        };
        let time_left = Duration::from_micros(forward.remaining_us);
        let received = self.router.clock().now();
        Ok(Request {
            id: Id::try_from(forward.id)?,
            service: name::Service::try_from(forward.service)?,
            received,
            deadline: received + time_left,
            idempotent: forward.idempotent,
            content: Content {
                method: forward.method.into(),
                path: forward.path.into(),
                headers: forward.headers.iter().map(header).collect(),
                body: bytes.slice_ref(forward.body),
            },
        })
    }
}

fn document_response<T>(accepted: Option<&AcceptedDocument<T>>) -> Answer {
    let accepted = accepted.ok_or(Error::Missing("the document"))?;
    encoded(&wire::Document {
        order: convert::version_to_wire(accepted.version),
        bytes: &accepted.bytes,
    })
}
