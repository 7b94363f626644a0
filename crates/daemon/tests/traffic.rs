//! Counting the bytes of connections.

#![allow(clippy::unwrap_used)]

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use jackdawpin_daemon::traffic::CountingStream;
use jackdawpin_daemon::traffic::Traffic;

/// Guards against bytes that are not counted, counted twice, or counted in the wrong direction.
#[tokio::test]
async fn both_directions_are_counted() {
    let (near, mut far) = tokio::io::duplex(64);
    let traffic = Traffic::default();
    let mut stream = CountingStream::new(near, traffic.clone());
    stream.write_all(b"request").await.unwrap();
    far.write_all(b"ok").await.unwrap();
    let mut bytes = [0; 2];
    stream.read_exact(&mut bytes).await.unwrap();
    assert_eq!((traffic.sent.get(), traffic.received.get()), (7, 2));
}
