//! Encodes forwarded attempts and decodes the replies to them.

use std::time::Duration;

use bytes::Bytes;

use jackdawpin_core::holder::port::ForwardReply;
use jackdawpin_core::outcome::Answer;
use jackdawpin_core::outcome::Evidence;
use jackdawpin_core::outcome::NotRun;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_core::request::Attempt;
use jackdawpin_core::request::Header;
use jackdawpin_wire as wire;

/// Code of an attempt that the peer did not send to a server.
const NOT_SENT: &str = "not_sent";
/// Code of an attempt that the server shed.
const SHED: &str = "shed";

/// Refusals that a peer may give to a forwarded attempt.
const REFUSALS: [Refusal; 9] = [
    Refusal::Fenced,
    Refusal::Leaving,
    Refusal::NotReady,
    Refusal::UnknownService,
    Refusal::Invalid,
    Refusal::Deadline,
    Refusal::NoServer,
    Refusal::Full,
    Refusal::Memory,
];

/// Reasons that a peer may give for an unknown outcome of a forwarded attempt.
const UNKNOWN_REASONS: [UnknownReason; 3] =
    [UnknownReason::Broken, UnknownReason::Timeout, UnknownReason::BadAnswer];

/// The message of an attempt that must end within `time_left`.
///
/// # Errors
///
/// The message has no encoding.
pub(super) fn encode(attempt: &Attempt<'_>, time_left: Duration) -> Result<Vec<u8>, wire::Error> {
    let request = attempt.request;
    wire::encode(&wire::ForwardRequest {
        id: request.id.as_str(),
        attempt: attempt.number,
        service: request.service.as_str(),
        remaining_us: u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX),
        idempotent: request.idempotent,
        method: &request.content.method,
        path: &request.content.path,
        headers: fields(&request.content.headers),
        body: &request.content.body,
    })
}

/// Decodes a reply and what it proves. A reply that cannot be decoded, or that belongs to another
/// attempt, proves nothing, so the request may have run.
pub(super) fn decode(attempt: &Attempt<'_>, bytes: &Bytes) -> ForwardReply {
    let unknown = Evidence::MayHaveRun(UnknownReason::BadAnswer);
    let Ok(reply) = wire::decode::<wire::ForwardReply<'_>>(bytes) else {
        return ForwardReply { evidence: unknown, free: None };
    };
    if reply.id != attempt.request.id.as_str() || reply.attempt != attempt.number {
        return ForwardReply { evidence: unknown, free: None };
    }
    let evidence = match reply.verdict {
        wire::Verdict::Ran { status, headers, body } => Evidence::Ran(Answer {
            status,
            headers: headers.iter().map(|field| header(bytes, field)).collect(),
            body: bytes.slice_ref(body),
        }),
        wire::Verdict::NotRun(code) => not_run(code).map_or(unknown, Evidence::NotRun),
        wire::Verdict::MayHaveRun(code) => Evidence::MayHaveRun(unknown_reason(code)),
    };
    ForwardReply { evidence, free: Some(reply.free) }
}

/// The verdict that reports to a peer what an attempt proves. `code` is the buffer for the code
/// that the verdict borrows.
pub fn verdict<'a>(evidence: &'a Evidence, code: &'a mut String) -> wire::Verdict<'a> {
    match evidence {
        Evidence::Ran(answer) => wire::Verdict::Ran {
            status: answer.status,
            headers: fields(&answer.headers),
            body: &answer.body,
        },
        Evidence::NotRun(proof) => {
            *code = proof.to_string();
            wire::Verdict::NotRun(code)
        }
        Evidence::MayHaveRun(reason) => {
            *code = reason.to_string();
            wire::Verdict::MayHaveRun(code)
        }
    }
}

fn fields(headers: &[Header]) -> Vec<wire::Header<'_>> {
    headers.iter().map(|field| wire::Header { name: &field.name, value: &field.value }).collect()
}

/// A header field whose value shares the memory of the reply.
fn header(bytes: &Bytes, field: &wire::Header<'_>) -> Header {
    Header { name: field.name.into(), value: bytes.slice_ref(field.value) }
}

/// The proof that an attempt did not run; `None` if the code is not known.
fn not_run(code: &str) -> Option<NotRun> {
    match code {
        NOT_SENT => Some(NotRun::NotSent),
        SHED => Some(NotRun::Shed),
        _ => {
            let refusal = REFUSALS.into_iter().find(|refusal| refusal.to_string() == code);
            refusal.map(NotRun::Refused)
        }
    }
}

fn unknown_reason(code: &str) -> UnknownReason {
    UNKNOWN_REASONS
        .into_iter()
        .find(|reason| reason.to_string() == code)
        .unwrap_or(UnknownReason::BadAnswer)
}
