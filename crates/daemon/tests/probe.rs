//! Answers to probes of the users' platform, on loopback.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod stand;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use self::stand::Act;
use self::stand::Act::Read;
use self::stand::LIMIT;
use self::stand::Stand;
use self::stand::whole;
use jackdawpin_core::direct::port::Backend as _;
use jackdawpin_daemon::exchange::Client;
use jackdawpin_daemon::gateway::ServerClient;
use jackdawpin_platform::http as wire;

/// Guards against a server that gets the work of a warm one because how long it is cold, or who it
/// is, cannot be read.
#[rstest]
#[case::warm("", Some(0))]
#[case::cold("COLD: 1250\r\n", Some(1_250))]
#[case::unreadable("COLD: soon\r\n", None)]
#[case::negative("COLD: -1\r\n", None)]
#[case::not_text("COLD: \u{e9}\r\n", None)]
#[case::no_name("SERVER: \r\n", None)]
#[tokio::test]
async fn unreadable_field_is_no_answer(#[case] fields: &str, #[case] cold_ms: Option<u64>) {
    let fields = fields.replace("COLD", wire::COLD_FOR).replace("SERVER", wire::SERVER_NAME);
    let script: Vec<Act> = vec![Read, whole(200, &fields, "")];
    let stand = Stand::start(vec![script]).await;
    let servers = ServerClient::new(Arc::new(Client::default()));
    let probe = servers.probe(stand.address, "/health", LIMIT).await;
    let cold_for = probe.map(|probe| probe.report.cold_for);
    assert_eq!(cold_for, cold_ms.map(Duration::from_millis));
}

/// Guards against a server that is not used because its load cannot be read; it is judged by the
/// requests in flight to it.
#[tokio::test]
async fn unreadable_load_is_no_load() {
    let fields = format!("{}: busy\r\n", wire::SERVER_LOAD);
    let stand = Stand::start(vec![vec![Read, whole(200, &fields, "")]]).await;
    let servers = ServerClient::new(Arc::new(Client::default()));
    let probe = servers.probe(stand.address, "/health", LIMIT).await.unwrap();
    assert!(probe.healthy);
    assert_eq!(probe.report.load, None);
}
