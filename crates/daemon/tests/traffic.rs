//! Byte counters of connections.

#![allow(clippy::unwrap_used)]

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use jackdawpin_daemon::traffic::CountingStream;
use jackdawpin_daemon::traffic::Traffic;

/// Guards against bytes that are missed, counted twice, or counted in the wrong direction.
#[tokio::test]
async fn received_and_sent_bytes_are_counted() {
    let (local, mut remote) = tokio::io::duplex(64);
    let traffic = Traffic::default();
    let mut stream = CountingStream::new(local, traffic.clone());
    stream.write_all(b"request").await.unwrap();
    remote.write_all(b"ok").await.unwrap();
    let mut bytes = [0; 2];
    stream.read_exact(&mut bytes).await.unwrap();
    assert_eq!((traffic.sent.get(), traffic.received.get()), (7, 2));
}
