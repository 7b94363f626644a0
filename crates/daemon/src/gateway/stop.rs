//! The planned stop.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::Flow;
use super::directory::TTL;
use super::exchange::Exchange;

/// Callers may keep an answer with this entry's address three times as long as it says.
const TTL_FACTOR: u32 = 3;

/// Time for the last requests to end after the listener is closed. The operators' routes keep
/// requests waiting for less.
const LAST_REQUESTS: Duration = Duration::from_secs(2);

/// Time before the stop limit at which the process ends, whatever is still in flight. The last log
/// lines and the end of the process itself take their time on a small VM.
const END_MARGIN: Duration = Duration::from_millis(600);

/// What a planned stop ends.
pub(super) struct Stop {
    pub(super) flow: Arc<Flow>,
    pub(super) exchange: Arc<Exchange>,
    pub(super) callers: JoinHandle<()>,
    pub(super) callers_stop: CancellationToken,
    pub(super) limit: Duration,
}

impl Stop {
    /// Leaves the answers to callers at once, goes on to serve those that still come, and then lets
    /// what is in flight end.
    pub(super) async fn run(self) {
        self.flow.peers.leave();
        self.exchange.say_leaving().await;
        let end = self.limit.saturating_sub(END_MARGIN);
        let stay = (TTL * TTL_FACTOR).min(end.saturating_sub(LAST_REQUESTS));
        log::info!("event=stop state=leaving stay_ms={}", stay.as_millis());
        tokio::time::sleep(stay).await;
        self.callers_stop.cancel();
        match tokio::time::timeout(end.saturating_sub(stay), self.callers).await {
            Ok(Ok(())) => log::info!("event=stop state=ended"),
            Ok(Err(err)) => log::error!("event=stop state=ended error=\"{err}\""),
            Err(_) => log::warn!("event=stop state=cut reason=\"stop limit\""),
        }
    }
}
