//! Servers that leave (invariant I7): by the VM list, by their own word, by an exception.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tokio::time::sleep;

use jackdawpin_testkit::fleet::Fleet;
use jackdawpin_testkit::fleet::State;

/// Longest time from the first notice until the last new work.
const LIMIT: Duration = Duration::from_secs(5);
/// How long callers send before the server leaves, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// The server that leaves.
const LEAVING: &str = "alerts-2";

enum Notice {
    List,
    Report,
    Exception,
}

impl Notice {
    async fn give(&self, fleet: &mut Fleet) {
        match self {
            Self::List => fleet.set_state(LEAVING, State::Leaving).unwrap(),
            Self::Report => {
                fleet.command(LEAVING, "/test/drain").await.unwrap();
            }
            Self::Exception => {
                fleet.documents.extra = format!(
                    "\n[[exception]]\nservice = \"alerts\"\nserver = \"{LEAVING}\"\nout = true\n\
                     reason = \"trial of a drain\"\n"
                );
                fleet.documents.publish_config().unwrap();
            }
        }
    }
}

/// Guards against new work for a server that leaves, whoever says so first, and against requests
/// that are lost, doubled or unanswered because it leaves.
#[rstest]
#[case::list(Notice::List)]
#[case::report(Notice::Report)]
#[case::exception(Notice::Exception)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_new_work(#[case] notice: Notice) {
    let services: &[(&str, usize, &[&str])] = &[("alerts", 6, &[])];
    let mut fleet = common::start_fleet(common::layout(3, 3, services)).await;
    let leaving = [LEAVING.to_owned()];
    let time = Duration::from_secs(9);
    let load = common::start_load(&fleet, "alerts", 300.0, time).await;
    sleep(WARM_UP).await;
    assert!(common::requests_received(&fleet, &leaving).await > 0, "the server got no work before");
    notice.give(&mut fleet).await;
    let given = Instant::now();
    let last = common::last_request_after(&fleet, &leaving, given, LIMIT).await;
    let before = common::requests_received(&fleet, &leaving).await;
    let (began, records) = (load.started, load.finish().await);
    let after = common::requests_received(&fleet, &leaving).await;
    let while_draining = common::server_counts(&fleet, LEAVING).await.unwrap().while_draining;
    println!("last new work {last:?} after the notice; {while_draining} while draining");
    let report = common::check_accounting(&fleet, &records, &["e1", "e2", "e3"]).await;
    assert_eq!(after, before, "new work more than {LIMIT:?} after the notice");
    assert_eq!(report.unexplained, 0, "{report}");
    // Before, while all servers are cold, a request may start so late that it meets its deadline.
    let since = common::report_from(&records, given - began);
    assert_eq!(since.unknown, 0, "{since}");
    let good = common::answered_fraction(&records, given - began, time);
    assert!(good >= 0.99, "answered {good:.4} while the server leaves\n{report}");
}
