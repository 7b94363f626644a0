//! Converts between the types of the core and the messages between entries.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_bytes::ByteBuf;

use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::replica::Cursor;
use jackdawpin_core::direct::replica::Delta;
use jackdawpin_core::direct::replica::FIRST_EPOCH;
use jackdawpin_core::direct::replica::Item;
use jackdawpin_core::name;
use jackdawpin_wire as wire;

/// The heartbeat message with `members`.
pub(super) fn heartbeat_to_wire(members: &[Member]) -> wire::GossipHeartbeat {
    let mut domains: Vec<String> = Vec::new();
    let members = members.iter().map(|member| {
        let name = member.domain.as_str();
        let index = domains.iter().position(|domain| domain == name).unwrap_or_else(|| {
            domains.push(name.to_owned());
            domains.len() - 1
        });
        wire::Member {
            ip: member.ip.to_bits(),
            // A message has far fewer members than `u16::MAX`.
            domain: u16::try_from(index).unwrap_or(u16::MAX),
            incarnation: member.incarnation,
            beat: member.heartbeat,
            leaving: member.leaving,
        }
    });
    let members = members.collect();
    wire::GossipHeartbeat { domains, members }
}

/// The members of a heartbeat message; those without a valid failure domain are left out.
pub(super) fn members_from_wire(heartbeat: &wire::GossipHeartbeat) -> impl Iterator<Item = Member> {
    heartbeat.members.iter().filter_map(|member| {
        let domain = heartbeat.domains.get(usize::from(member.domain))?;
        Some(Member {
            ip: Ipv4Addr::from_bits(member.ip),
            domain: name::Domain::try_from(domain.as_str()).ok()?,
            incarnation: member.incarnation,
            heartbeat: member.beat,
            leaving: member.leaving,
        })
    })
}

/// The message with the changes of `delta`.
pub(super) fn delta_to_wire(delta: &Delta) -> wire::Delta {
    let item = |item: &Item| wire::Item {
        key: item.key.as_ref().to_owned(),
        revision: item.revision,
        value: item.value.as_ref().map(|value| ByteBuf::from(value.to_vec())),
    };
    wire::Delta {
        from: delta.from,
        to: delta.to,
        age_ms: saturating_millis(delta.proof_age),
        items: delta.items.iter().map(item).collect(),
        epoch: epoch_to_wire(delta.epoch),
    }
}

/// The number of an epoch in messages, which leave out the first one.
pub(super) fn epoch_to_wire(epoch: u64) -> u64 {
    if epoch == FIRST_EPOCH { 0 } else { epoch }
}

/// The epoch that a message names.
pub(super) fn epoch_from_wire(epoch: u64) -> u64 {
    if epoch == 0 { FIRST_EPOCH } else { epoch }
}

/// The position that a notice announces.
pub(super) fn notice_cursor(notice: &wire::RevisionNotice) -> Cursor {
    Cursor { epoch: epoch_from_wire(notice.epoch), revision: notice.to }
}

/// Whole milliseconds of `duration`, at most `u64::MAX`.
pub(super) fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Upper bound of the bytes of an encoded item.
pub(super) fn max_encoded_bytes(item: &Item) -> usize {
    const FRAMING_BYTES: usize = 24;
    FRAMING_BYTES + item.key.len() + item.value.as_ref().map_or(0, Bytes::len)
}

/// The changes of a message.
pub(super) fn delta_from_wire(delta: wire::Delta) -> Delta {
    let item = |item: wire::Item| Item {
        key: Arc::from(item.key),
        revision: item.revision,
        value: item.value.map(|value| Bytes::from(value.into_vec())),
    };
    Delta {
        epoch: epoch_from_wire(delta.epoch),
        from: delta.from,
        to: delta.to,
        proof_age: Duration::from_millis(delta.age_ms),
        items: delta.items.into_iter().map(item).collect(),
    }
}
