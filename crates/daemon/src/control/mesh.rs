use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use volo_http::response::Response;

use super::Error;
use super::Listener;
use super::message;
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

/// Longest wait for a vacancy that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);

type Answer = Result<Response<Full<Bytes>>, Error>;

impl<O: Ports> Listener<O> {
    pub(super) fn heartbeat(&self, bytes: &[u8]) -> Answer {
        let beat: wire::Heartbeat = wire::decode(bytes)?;
        let own = self.control.answer_heartbeat(convert::read_hello(&beat)?);
        message(&convert::hello(&own))
    }

    pub(super) fn lease(&self, bytes: &[u8]) -> Answer {
        let claim: wire::Claim = wire::decode(bytes)?;
        let claimant = name::Vm::try_from(claim.claimant.as_str())?;
        let targets = convert::read_targets(&claim.servers)?;
        let released = convert::read_targets(&claim.released)?;
        let grant = self.control.answer_claim(&Claim {
            claimant: &claimant,
            incarnation: claim.incarnation,
            round: claim.round,
            clock: convert::read_stamp(claim.clock),
            targets: &targets,
            released: &released,
        });
        message(&convert::grant(&grant))
    }

    pub(super) async fn forward(&self, bytes: &Bytes) -> Answer {
        let forward: wire::ForwardRequest<'_> = wire::decode(bytes)?;
        let request = self.request(bytes, &forward)?;
        let (evidence, free) = self.router.serve_forwarded(&request, forward.attempt).await;
        let mut code = String::new();
        message(&wire::ForwardReply {
            id: forward.id,
            attempt: forward.attempt,
            verdict: forward::verdict(&evidence, &mut code),
            free,
        })
    }

    pub(super) async fn vacancy(&self, bytes: &[u8]) -> Answer {
        let watch: wire::VacancyRequest<'_> = wire::decode(bytes)?;
        let route = self.router.tables().routes().get(watch.service);
        let pool = route.as_ref().ok_or(Error::Missing("the service"))?.pool();
        let wait = Duration::from_millis(watch.wait_ms.into()).min(MAX_WAIT);
        let free = match pool.vacancy(self.router.clock().now()) {
            Ok(free) => free,
            Err(notice) => match tokio::time::timeout(wait, notice).await {
                Ok(Ok(free)) => free,
                _ => 0,
            },
        };
        message(&wire::Vacancy { free })
    }

    pub(super) fn document(&self, path: &str) -> Answer {
        let intent = &self.router.tables().intent;
        if path == wire::path::CONFIG {
            return document(intent.config_status().accepted.as_ref());
        }
        document(intent.list_status().accepted.as_ref())
    }

    fn request(&self, bytes: &Bytes, forward: &wire::ForwardRequest<'_>) -> Result<Request, Error> {
        let header = |field: &wire::Header<'_>| Header {
            name: field.name.into(),
            value: bytes.slice_ref(field.value),
        };
        let left = Duration::from_micros(forward.remaining_us);
        let received = self.router.clock().now();
        Ok(Request {
            id: Id::try_from(forward.id)?,
            service: name::Service::try_from(forward.service)?,
            received,
            deadline: received + left,
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

fn document<T>(accepted: Option<&AcceptedDocument<T>>) -> Answer {
    let accepted = accepted.ok_or(Error::Missing("the document"))?;
    message(&wire::Document { order: convert::order(accepted.version), bytes: &accepted.bytes })
}
