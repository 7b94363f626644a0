//! Encoding and decoding of messages.

use jackdawpin_wire::Delta;
use jackdawpin_wire::DocumentVersion;
use jackdawpin_wire::Error;
use jackdawpin_wire::ForwardRequest;
use jackdawpin_wire::Header;
use jackdawpin_wire::Item;
use jackdawpin_wire::RevisionNotice;
use jackdawpin_wire::Stamp;
use jackdawpin_wire::decode;
use jackdawpin_wire::encode;
use jackdawpin_wire::encode_compact;

/// Guards against a message that cannot be decoded from its own encoding, and against copies of the
/// body.
#[test]
fn round_trip() {
    let forward = ForwardRequest {
        id: "a-1",
        attempt: 2,
        service: "alerts",
        remaining_us: 1_500,
        idempotent: true,
        method: "POST",
        path: "/lookup/1?x=y",
        headers: vec![Header { name: "accept", value: b"\xff\x00" }],
        body: &[0; 300],
    };
    let bytes = encode(&forward).expect("the message has an encoding");
    assert_eq!(decode::<ForwardRequest<'_>>(&bytes).expect("a message"), forward);
}

/// Guards against entries that cannot read each other's updates during an upgrade: entries of an
/// earlier version know no epochs.
#[test]
fn updates_without_epoch() {
    let notice = RevisionNotice { to: 9, age_ms: 20, epoch: 0 };
    let bytes = encode_compact(&notice).expect("the message has an encoding");
    assert_eq!(decode::<(u64, u64)>(&bytes).expect("the fields of the earlier version"), (9, 20));
    assert_eq!(decode::<RevisionNotice>(&bytes).expect("a message"), notice);

    let delta = Delta { from: 3, to: 9, age_ms: 20, items: Vec::new(), epoch: 0 };
    let bytes = encode_compact(&delta).expect("the message has an encoding");
    let fields = decode::<(u64, u64, u64, Vec<Item>)>(&bytes);
    assert_eq!(fields.expect("the fields of the earlier version"), (3, 9, 20, Vec::new()));
    assert_eq!(decode::<Delta>(&bytes).expect("a message"), delta);

    let delta = Delta { epoch: 2, ..delta };
    let bytes = encode_compact(&delta).expect("the message has an encoding");
    assert_eq!(decode::<Delta>(&bytes).expect("a message"), delta);
}

/// Guards against accepting a truncated message, or a message followed by other bytes.
#[test]
fn truncated_and_trailing_bytes() {
    let version = DocumentVersion { number: 7, digest: u64::MAX };
    let mut bytes = encode(&version).expect("the message has an encoding");
    for len in 0..bytes.len() {
        let truncated = bytes.get(..len).unwrap_or_default();
        assert!(
            matches!(decode::<DocumentVersion>(truncated), Err(Error::Decode(_))),
            "{len} bytes"
        );
    }
    bytes.push(0);
    for byte in 0..=u8::MAX {
        bytes.pop();
        bytes.push(byte);
        assert!(
            matches!(decode::<DocumentVersion>(&bytes), Err(Error::Trailing)),
            "byte {byte:#x} follows"
        );
    }
}

/// Guards against entries that cannot decode the messages of a newer version during an upgrade.
#[test]
fn unknown_field_is_ignored() {
    let bytes = encode(&stamp_of_newer_version()).expect("the message has an encoding");
    assert_eq!(decode::<Stamp>(&bytes).expect("a message"), Stamp { millis: 5, counter: 6 });
}

fn stamp_of_newer_version() -> std::collections::BTreeMap<&'static str, u64> {
    [("millis", 5), ("counter", 6), ("added_later", 7)].into()
}
