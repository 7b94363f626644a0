//! Tests of the fleet with the stand-ins, without the daemon.

use std::path::Path;
use std::time::Duration;

use rstest::rstest;

use jackdawpin_testkit::caller::fetch_ledger;
use jackdawpin_testkit::fleet::Error;
use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::LoopbackAddress;
use jackdawpin_testkit::fleet::Program;
use jackdawpin_testkit::fleet::Programs;
use jackdawpin_testkit::fleet::VmState;
use jackdawpin_testkit::http::fetch;

/// Time within which a stand-in must answer or exit.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against two processes that get the same address, and against addresses that are not
/// released when their owner is dropped.
#[test]
fn loopback_addresses_are_distinct_and_released() {
    let first = LoopbackAddress::allocate().unwrap();
    let second = LoopbackAddress::allocate().unwrap();
    assert_ne!(first.with_port(1), second.with_port(1));
    assert!(first.with_port(1).ip().is_loopback());
    for _ in 0..1_000 {
        LoopbackAddress::allocate().unwrap();
    }
}

/// Guards against an error that does not give the command that builds the missing program.
#[rstest]
#[case("t/debug/deps/a", Program::Daemon, "cargo build -p jackdawpin-daemon --bin jackdawpind")]
#[case("t/debug/examples/a", Program::Server, "cargo build -p jackdawpin-testkit --example server")]
#[case(
    "t/release/a",
    Program::Client,
    "cargo build --release -p jackdawpin-client --bin jackdawpin"
)]
fn missing_program_names_its_build_command(
    #[case] executable: &str,
    #[case] program: Program,
    #[case] command: &str,
) {
    let err =
        Programs::beside_executable(Path::new(executable)).unwrap().path(program).unwrap_err();
    assert!(matches!(&err, Error::NotBuilt(_, _, found) if found == command), "{err}");
}

/// Guards against processes that cannot be reached, suspended, restarted or terminated by a test,
/// and against processes and folders that remain after the fleet was dropped.
#[tokio::test]
async fn fleet_controls_its_processes() {
    let mut fleet = Fleet::start(Layout::default()).await.unwrap();
    let folder = fleet.folder().to_owned();
    let platform = fleet.platform_address();
    let config = fetch(platform, "GET", "/v1/kv/jackdawpin/config", "", TIMEOUT).await.unwrap();
    assert_eq!(config.header("x-consul-index"), Some("2"));

    let servers = fleet.vm_names(|vm| vm.name.starts_with("lookup"));
    assert_eq!(servers, ["lookup-1", "lookup-2"]);
    let address = fleet.request_address("lookup-1").unwrap();
    fleet.suspend("lookup-1").await.unwrap();
    let answer = fetch(address, "GET", "/load", "", Duration::from_millis(100)).await;
    assert!(answer.is_err(), "a suspended server answered");
    fleet.resume("lookup-1").unwrap();
    fetch(address, "GET", "/load", "", TIMEOUT).await.unwrap();
    fleet.post_control("lookup-1", "/test/slow?factor=2").await.unwrap();
    assert_eq!(fetch_ledger(address).await.unwrap().counts.name, "lookup-1");

    fetch(address, "POST", "/task", "", TIMEOUT).await.unwrap();
    let ledgers = fleet.ledgers().unwrap();
    assert_eq!((ledgers[0].counts.started, ledgers[1].counts.started), (1, 0));

    fleet.terminate("lookup-1").unwrap();
    assert!(fleet.wait_exit("lookup-1", TIMEOUT).await.unwrap().success());
    fleet.kill("lookup-2").unwrap();
    assert!(matches!(fleet.suspend("lookup-2").await, Err(Error::NotRunning(_))));
    fleet.start_vm("lookup-2").unwrap();
    assert_eq!(
        fleet.ledgers().unwrap()[0],
        ledgers[0],
        "the journal is kept when its process exits"
    );
    fleet.set_vm_state("lookup-1", VmState::Leaving).unwrap();
    let vms = fetch(platform, "GET", "/v1/kv/jackdawpin/vms?index=3&wait=5s", "", TIMEOUT).await;
    assert_eq!(vms.unwrap().header("x-consul-index"), Some("4"));

    drop(fleet);
    assert!(!folder.exists());
    assert!(fetch(platform, "GET", "/test/counts", "", TIMEOUT).await.is_err());
}
