//! Encoding and decoding of messages.

use jackdawpin_wire::Error;
use jackdawpin_wire::Field;
use jackdawpin_wire::Forward;
use jackdawpin_wire::Order;
use jackdawpin_wire::Stamp;
use jackdawpin_wire::decode;
use jackdawpin_wire::encode;

/// Guards against a message that its own encoding cannot be read back from, and against copies of
/// the body.
#[test]
fn round_trip() {
    let forward = Forward {
        id: "a-1",
        attempt: 2,
        service: "alerts",
        remaining_us: 1_500,
        idempotent: true,
        method: "POST",
        path: "/lookup/1?x=y",
        headers: vec![Field { name: "accept", value: b"\xff\x00" }],
        body: &[0; 300],
    };
    let bytes = encode(&forward).expect("the message has an encoding");
    assert_eq!(decode::<Forward<'_>>(&bytes).expect("a message"), forward);
}

/// Guards against a message that is cut short, and against one that is accepted together with bytes
/// of another.
#[test]
fn wrong_length() {
    let order = Order { number: 7, digest: u64::MAX };
    let mut bytes = encode(&order).expect("the message has an encoding");
    for len in 0..bytes.len() {
        let part = bytes.get(..len).unwrap_or_default();
        assert!(matches!(decode::<Order>(part), Err(Error::Decode(_))), "{len} bytes");
    }
    bytes.push(0);
    for byte in 0..=u8::MAX {
        bytes.pop();
        bytes.push(byte);
        assert!(matches!(decode::<Order>(&bytes), Err(Error::Trailing)), "byte {byte:#x} follows");
    }
}

/// Guards against an upgrade in which entries of one version cannot read messages of the other.
#[test]
fn unknown_field() {
    let bytes = encode(&newer_stamp()).expect("the message has an encoding");
    assert_eq!(decode::<Stamp>(&bytes).expect("a message"), Stamp { millis: 5, counter: 6 });
}

fn newer_stamp() -> std::collections::BTreeMap<&'static str, u64> {
    [("millis", 5), ("counter", 6), ("added_later", 7)].into()
}
