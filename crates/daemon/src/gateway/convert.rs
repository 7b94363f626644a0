//! Converts between the types of the decisions and the messages between entries.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_bytes::ByteBuf;

use jackdawpin_core::direct::feed::Delta;
use jackdawpin_core::direct::feed::Item;
use jackdawpin_core::direct::peers::Row;
use jackdawpin_core::name;
use jackdawpin_wire as wire;

pub(super) fn member(row: &Row) -> wire::Member {
    wire::Member {
        ip: row.ip.to_bits(),
        domain: row.domain.as_str().to_owned(),
        incarnation: row.incarnation,
        beat: row.beat,
        leaving: row.leaving,
    }
}

pub(super) fn row(member: wire::Member) -> Result<Row, name::Error> {
    Ok(Row {
        ip: Ipv4Addr::from_bits(member.ip),
        domain: name::Domain::try_from(member.domain.as_str())?,
        incarnation: member.incarnation,
        beat: member.beat,
        leaving: member.leaving,
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
        age_ms: u64::try_from(delta.age.as_millis()).unwrap_or(u64::MAX),
        items: delta.items.iter().map(item).collect(),
    }
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
        age: Duration::from_millis(delta.age_ms),
        items: delta.items.into_iter().map(item).collect(),
    }
}
