//! The planned stop on a signal. The signals go to the test's own process.

use std::time::Duration;

use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use jackdawpin_daemon::stop::Signals;

/// Guards against a signal that ends the process at once, be it the first or a further one, and
/// against one that is not noticed.
#[tokio::test]
async fn first_signal_stops() {
    let stop = CancellationToken::new();
    let task = tokio::spawn(Signals::new().unwrap().run(stop.clone()));
    sleep(Duration::from_millis(20)).await;
    assert!(!stop.is_cancelled());
    kill_process(getpid(), Signal::TERM).unwrap();
    timeout(Duration::from_secs(5), stop.cancelled()).await.unwrap();
    for signal in [Signal::TERM, Signal::INT] {
        kill_process(getpid(), signal).unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    assert!(!task.is_finished());
}
