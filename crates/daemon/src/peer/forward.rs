//! Encodes forwarded attempts and reads what became of them.

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

/// Codes of the proofs that an attempt did not run.
const NOT_SENT: &str = "not_sent";
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

const DOUBTS: [UnknownReason; 3] =
    [UnknownReason::Broken, UnknownReason::Timeout, UnknownReason::BadAnswer];

pub(super) fn encode(attempt: &Attempt<'_>, left: Duration) -> Result<Vec<u8>, wire::Error> {
    let request = attempt.request;
    wire::encode(&wire::ForwardRequest {
        id: request.id.as_str(),
        attempt: attempt.number,
        service: request.service.as_str(),
        remaining_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
        idempotent: request.idempotent,
        method: &request.content.method,
        path: &request.content.path,
        headers: fields(&request.content.headers),
        body: &request.content.body,
    })
}

/// What a reply proves. A reply that cannot be read, or that belongs to another attempt, proves
/// nothing, so the request may have run.
pub(super) fn decode(attempt: &Attempt<'_>, bytes: &Bytes) -> ForwardReply {
    let unclear = Evidence::MayHaveRun(UnknownReason::BadAnswer);
    let Ok(reply) = wire::decode::<wire::ForwardReply<'_>>(bytes) else {
        return ForwardReply { evidence: unclear, free: None };
    };
    if reply.id != attempt.request.id.as_str() || reply.attempt != attempt.number {
        return ForwardReply { evidence: unclear, free: None };
    }
    let evidence = match reply.verdict {
        wire::Verdict::Ran { status, headers, body } => Evidence::Ran(Answer {
            status,
            headers: headers.iter().map(|field| owned(bytes, field)).collect(),
            body: bytes.slice_ref(body),
        }),
        wire::Verdict::NotRun(code) => not_run(code).map_or(unclear, Evidence::NotRun),
        wire::Verdict::MayHaveRun(code) => Evidence::MayHaveRun(doubt(code)),
    };
    ForwardReply { evidence, free: Some(reply.free) }
}

/// The verdict that tells a peer what an attempt proves; `code` holds the text it borrows.
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
        Evidence::MayHaveRun(doubt) => {
            *code = doubt.to_string();
            wire::Verdict::MayHaveRun(code)
        }
    }
}

fn fields(headers: &[Header]) -> Vec<wire::Header<'_>> {
    headers.iter().map(|field| wire::Header { name: &field.name, value: &field.value }).collect()
}

fn owned(bytes: &Bytes, field: &wire::Header<'_>) -> Header {
    Header { name: field.name.into(), value: bytes.slice_ref(field.value) }
}

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

fn doubt(code: &str) -> UnknownReason {
    DOUBTS.into_iter().find(|doubt| doubt.to_string() == code).unwrap_or(UnknownReason::BadAnswer)
}
