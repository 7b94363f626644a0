//! Converts between the types of the decisions and the messages between entries.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_bytes::ByteBuf;

use jackdawpin_core::direct::peers::Member;
use jackdawpin_core::direct::replica::Delta;
use jackdawpin_core::direct::replica::Item;
use jackdawpin_core::name;
use jackdawpin_wire as wire;

pub(super) fn beat(rows: &[Member]) -> wire::Beat {
    let mut domains: Vec<String> = Vec::new();
    let members = rows.iter().map(|row| {
        let name = row.domain.as_str();
        let index = domains.iter().position(|domain| domain == name).unwrap_or_else(|| {
            domains.push(name.to_owned());
            domains.len() - 1
        });
        wire::Member {
            ip: row.ip.to_bits(),
            // A message has far fewer rows than that.
            domain: u16::try_from(index).unwrap_or(u16::MAX),
            incarnation: row.incarnation,
            beat: row.heartbeat,
            leaving: row.leaving,
        }
    });
    let members = members.collect();
    wire::Beat { domains, members }
}

/// The rows of a message; those without a valid failure domain are left out.
pub(super) fn rows(beat: &wire::Beat) -> impl Iterator<Item = Member> {
    beat.members.iter().filter_map(|member| {
        let domain = beat.domains.get(usize::from(member.domain))?;
        Some(Member {
            ip: Ipv4Addr::from_bits(member.ip),
            domain: name::Domain::try_from(domain.as_str()).ok()?,
            incarnation: member.incarnation,
            heartbeat: member.beat,
            leaving: member.leaving,
        })
    })
}

pub(super) fn delta(delta: &Delta) -> wire::Delta {
    let item = |item: &Item| wire::Item {
        key: item.key.as_ref().to_owned(),
        revision: item.revision,
        value: item.value.as_ref().map(|value| ByteBuf::from(value.to_vec())),
    };
    wire::Delta {
        from: delta.from,
        to: delta.to,
        age_ms: millis(delta.proof_age),
        items: delta.items.iter().map(item).collect(),
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Upper bound of the bytes that an item takes in a datagram.
pub(super) fn size(item: &Item) -> usize {
    const FRAMING: usize = 24;
    FRAMING + item.key.len() + item.value.as_ref().map_or(0, Bytes::len)
}

pub(super) fn changes(delta: wire::Delta) -> Delta {
    let item = |item: wire::Item| Item {
        key: Arc::from(item.key),
        revision: item.revision,
        value: item.value.map(|value| Bytes::from(value.into_vec())),
    };
    Delta {
        from: delta.from,
        to: delta.to,
        proof_age: Duration::from_millis(delta.age_ms),
        items: delta.items.into_iter().map(item).collect(),
    }
}
