//! The planned stop on a signal, which each test sends to its own process.

use std::time::Duration;

use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use jackdawpin_daemon::stop::Signals;

/// Guards against a first or further signal that ends the process at once, and against a signal
/// that is ignored.
#[tokio::test]
async fn first_signal_begins_the_stop() {
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
