//! Answers of servers to the probes of the gateway, on loopback.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

mod scripted_server;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use self::scripted_server::ScriptedServer;
use self::scripted_server::Step;
use self::scripted_server::Step::Read;
use self::scripted_server::TIMEOUT;
use self::scripted_server::response;
use jackdawpin_core::direct::port::Backend as _;
use jackdawpin_daemon::exchange::Client;
use jackdawpin_daemon::gateway::ForwardClient;
use jackdawpin_daemon::gateway::ServerClient;
use jackdawpin_platform::http as wire;

/// A client of servers that never passes a request on.
fn server_client() -> ServerClient {
    let client = Arc::new(Client::default());
    let entries = ForwardClient::new(client.clone(), Ipv4Addr::LOCALHOST, 0);
    ServerClient::new(client, entries)
}

/// Guards against a server that is treated as warm because the field with its cold time or its name
/// is invalid.
#[rstest]
#[case::warm("", Some(0))]
#[case::cold("COLD: 1250\r\n", Some(1_250))]
#[case::unreadable("COLD: soon\r\n", None)]
#[case::negative("COLD: -1\r\n", None)]
#[case::not_text("COLD: \u{e9}\r\n", None)]
#[case::no_name("SERVER: \r\n", None)]
#[tokio::test]
async fn invalid_field_fails_the_probe(#[case] fields: &str, #[case] cold_ms: Option<u64>) {
    let fields = fields.replace("COLD", wire::COLD_FOR).replace("SERVER", wire::SERVER_NAME);
    let script: Vec<Step> = vec![Read, response(200, &fields, "")];
    let server = ScriptedServer::start(vec![script]).await;
    let servers = server_client();
    let probe = servers.probe(server.address, "/health", TIMEOUT).await;
    let cold_for = probe.map(|probe| probe.report.cold_for);
    assert_eq!(cold_for, cold_ms.map(Duration::from_millis));
}

/// Guards against a server that is not used because the field with its load is invalid. Such a
/// server is judged by the requests in flight to it.
#[tokio::test]
async fn invalid_load_is_ignored() {
    let fields = format!("{}: busy\r\n", wire::SERVER_LOAD);
    let server = ScriptedServer::start(vec![vec![Read, response(200, &fields, "")]]).await;
    let servers = server_client();
    let probe = servers.probe(server.address, "/health", TIMEOUT).await.unwrap();
    assert!(probe.healthy);
    assert_eq!(probe.report.load, None);
}
