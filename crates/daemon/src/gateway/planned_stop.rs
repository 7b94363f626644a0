//! The planned stop of the process.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::Dispatcher;
use super::directory::ADDRESS_TTL;
use super::gossip::Gossip;
use jackdawpin_core::port::Clock;

/// Multiple of the TTL for which callers may use an answer with this entry's address.
const MAX_TTL_MULTIPLE: u32 = 3;

/// Time for the last requests to end after the listener is closed. Requests of the operators'
/// routes wait for less.
const LAST_REQUESTS_TIME: Duration = Duration::from_secs(2);

/// Time before the stop limit at which the process ends, whatever is still in flight. On a small
/// VM, the last log lines and the exit of the process take some time.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time before the end of the process at which the last answer must be ready, so that it is written.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// A planned stop, with what it needs of the entry.
pub(super) struct PlannedStop {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) gossip: Arc<Gossip>,
    /// The listeners for requests, each of which ends when its last request has ended.
    pub(super) listeners: [JoinHandle<()>; 2],
    /// Closes these listeners.
    pub(super) listeners_stop: CancellationToken,
    /// Time within which the stop must end.
    pub(super) limit: Duration,
}

impl PlannedStop {
    /// Announces that this entry leaves, so that callers no longer get its address; serves callers
    /// that still use it until their cached answers expire; then closes the listeners and waits for
    /// the requests in flight. Requests that could outlast the stop are refused as not run.
    pub(super) async fn run(self) {
        self.dispatcher.peers.leave();
        self.gossip.announce_leaving().await;
        let run_time = self.limit.saturating_sub(EXIT_MARGIN);
        let last_answer = run_time.saturating_sub(LAST_ANSWER_MARGIN);
        self.dispatcher.set_stop(self.dispatcher.clock().now() + last_answer);
        let stay =
            (ADDRESS_TTL * MAX_TTL_MULTIPLE).min(run_time.saturating_sub(LAST_REQUESTS_TIME));
        log::info!("event=stop state=leaving stay_ms={}", stay.as_millis());
        tokio::time::sleep(stay).await;
        self.listeners_stop.cancel();
        let [callers, forwards] = self.listeners;
        let ended = async { tokio::try_join!(callers, forwards) };
        match tokio::time::timeout(run_time.saturating_sub(stay), ended).await {
            Ok(Ok(_)) => log::info!("event=stop state=ended"),
            Ok(Err(err)) => log::error!("event=stop state=ended error=\"{err}\""),
            Err(_) => log::warn!("event=stop state=cut reason=\"stop limit\""),
        }
    }
}
