//! Converts the records of suspect requests to messages between entries and back.

use std::time::Duration;

use serde_bytes::ByteBuf;
use smallvec::SmallVec;

use super::convert::saturating_millis;
use jackdawpin_core::direct::suspects;
use jackdawpin_core::direct::suspects::Fingerprint;
use jackdawpin_core::direct::suspects::Record;
use jackdawpin_core::direct::suspects::ServerProcess;
use jackdawpin_core::direct::suspects::Suspect;
use jackdawpin_core::direct::suspects::Suspects;
use jackdawpin_core::time::Instant;
use jackdawpin_wire as wire;

/// Largest number of records in a datagram; one takes at most 95 bytes.
const MAX_RECORDS: usize = 14;

/// The message with the records that other entries should have; `None` if there are none.
pub(super) fn message(suspects: &Suspects, now: Instant) -> Option<wire::Datagram> {
    if suspects.is_empty() {
        return None;
    }
    let records = suspects.to_share(MAX_RECORDS, now);
    (!records.is_empty()).then(|| to_wire(&records, now))
}

/// Messages with all of `records`.
pub(super) fn messages(records: &[Suspect], now: Instant) -> impl Iterator<Item = wire::Datagram> {
    records.chunks(MAX_RECORDS).map(move |part| to_wire(part, now))
}

/// Merges a received message. Records with an invalid fingerprint are ignored.
pub(super) fn merge(suspects: &Suspects, received: &[wire::Suspect], now: Instant) {
    for suspect in received {
        match <[u8; suspects::FINGERPRINT_LEN]>::try_from(suspect.request.as_slice()) {
            Ok(bytes) => {
                let record = record_from_wire(suspect, now);
                suspects.merge(Fingerprint::from(bytes), &record, now);
            }
            Err(err) => log::warn!("event=datagram field=request error=\"{err}\""),
        }
    }
}

fn to_wire(records: &[Suspect], now: Instant) -> wire::Datagram {
    let age = |at: Instant| saturating_millis(now.since(at));
    let suspect = |(request, record): &Suspect| wire::Suspect {
        request: ByteBuf::from(request.as_bytes().to_vec()),
        crashes: record
            .crashes
            .iter()
            .map(|crash| wire::Crash { process: crash.process.to_bits(), age_ms: age(crash.at) })
            .collect(),
        answered_age_ms: record.answered_at.map(age),
    };
    wire::Datagram::Suspects(records.iter().map(suspect).collect())
}

fn record_from_wire(suspect: &wire::Suspect, now: Instant) -> Record {
    let at = |age_ms: u64| now.before(Duration::from_millis(age_ms));
    let crashes: SmallVec<_> = suspect
        .crashes
        .iter()
        .map(|crash| suspects::Crash {
            process: ServerProcess::from_bits(crash.process),
            at: at(crash.age_ms),
        })
        .collect();
    Record { crashes, answered_at: suspect.answered_age_ms.map(at) }
}
