//! Status and metrics of a running entry.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::Layout;
use jackdawpin_testkit::fleet::VmRole;
use jackdawpin_testkit::http::fetch;
use jackdawpin_wire::Status;
use jackdawpin_wire::path;

/// Timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The control address of the entry.
fn control_address(fleet: &Fleet) -> SocketAddr {
    let control = |role: &VmRole| {
        if let VmRole::Entry { control, .. } = role { Some(*control) } else { None }
    };
    fleet.documents.vms.iter().find_map(|vm| control(&vm.role)).unwrap()
}

/// Reads the status until the configuration in force has this revision.
async fn status_with_revision(control: SocketAddr, revision: u64) -> Status {
    loop {
        let response = fetch(control, "GET", path::STATUS, "", TIMEOUT).await.unwrap();
        let status: Status = jackdawpin_wire::decode(&response.body).unwrap();
        if status.config.is_some_and(|version| version.number == revision) {
            return status;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a misspelt failure domain that is not reported to operators, against a status
/// whose size grows with the number of such names, and against reads of the platform that are not
/// counted.
#[tokio::test]
async fn unknown_names_and_reads() {
    let layout = Layout { domain_count: 1, entry_count: 1, ..Layout::default() };
    let mut fleet = Fleet::start(layout).await.unwrap();
    fleet.start_entries(TIMEOUT).await.unwrap();
    let control = control_address(&fleet);
    let first = timeout(TIMEOUT, status_with_revision(control, 1)).await.unwrap();
    assert_eq!(first.unknown, Vec::<String>::new());
    let outages = (1..=40).map(|number| (format!("typo-{number}"), "Power.".to_owned()));
    fleet.documents.out_domains = outages.collect();
    let revision = fleet.documents.publish_config().unwrap();
    let second = timeout(TIMEOUT, status_with_revision(control, revision)).await.unwrap();
    assert_eq!(second.unknown.len(), 33);
    assert_eq!(second.unknown[0], "[[out]]: the VM list has no failure domain typo-1");
    assert_eq!(second.unknown[32], "and 8 more");
    let metrics = fetch(control, "GET", "/metrics", "", TIMEOUT).await.unwrap();
    let text = String::from_utf8(metrics.body.to_vec()).unwrap();
    let reads = text.lines().find_map(|line| line.strip_prefix("jackdawpin_platform_reads_total "));
    assert!(reads.unwrap().parse::<u64>().unwrap() >= 3, "{text}");
}
