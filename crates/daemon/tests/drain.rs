//! A leaving server gets no new work (invariant I7), whether the VM list, its own load report or an
//! exception says that it leaves.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::VmState;

/// Longest time from the announcement until the last new request.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// How long load is sent before the server leaves, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// The server that leaves.
const LEAVING_SERVER: &str = "alerts-2";

/// Where the server is announced to be leaving.
enum Announcement {
    List,
    Report,
    Exception,
}

impl Announcement {
    async fn make(&self, fleet: &mut Fleet) {
        match self {
            Self::List => fleet.set_vm_state(LEAVING_SERVER, VmState::Leaving).unwrap(),
            Self::Report => {
                fleet.post_control(LEAVING_SERVER, "/test/drain").await.unwrap();
            }
            Self::Exception => {
                fleet.documents.extra_toml = format!(
                    "\n[[exception]]\nservice = \"alerts\"\nserver = \"{LEAVING_SERVER}\"\n\
                     out = true\nreason = \"trial of a drain\"\n"
                );
                fleet.documents.publish_config().unwrap();
            }
        }
    }
}

/// Guards against new work for a leaving server, whatever announces it, and against requests that
/// are lost, run twice or remain unanswered because it leaves.
#[rstest]
#[case::list(Announcement::List)]
#[case::report(Announcement::Report)]
#[case::exception(Announcement::Exception)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_new_work(#[case] announcement: Announcement) {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 6, &[])];
    let mut fleet = common::start_fleet(common::layout(3, 3, services)).await;
    let leaving = [LEAVING_SERVER.to_owned()];
    let time = Duration::from_secs(9);
    let load = common::start_load(&fleet, "alerts", 300.0, time).await;
    sleep(WARM_UP).await;
    assert!(common::requests_received(&fleet, &leaving).await > 0, "the server got no work before");
    announcement.make(&mut fleet).await;
    let announced = Instant::now();
    let last_work = common::last_request_after(&fleet, &leaving, announced, DRAIN_LIMIT).await;
    let before = common::requests_received(&fleet, &leaving).await;
    let (load_started, records) = (load.started, load.finish().await);
    let after = common::requests_received(&fleet, &leaving).await;
    let while_draining =
        common::server_counts(&fleet, LEAVING_SERVER).await.unwrap().while_draining;
    println!("last new work {last_work:?} after the announcement; {while_draining} while draining");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert_eq!(after, before, "new work more than {DRAIN_LIMIT:?} after the announcement");
    assert_eq!(report.unexplained, 0, "{report}");
    // Earlier, while all servers are cold, a request may start so late that its deadline passes.
    let report_since = common::report_from(&records, announced - load_started);
    assert_eq!(report_since.unknown, 0, "{report_since}");
    let answered = common::answered_fraction(&records, announced - load_started, time);
    assert!(answered >= 0.99, "answered {answered:.4} while the server leaves\n{report}");
}
