use std::net::SocketAddr;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::http::fetch;

/// Factor by which the time of work is multiplied while a server is slow.
const SLOWDOWN_FACTOR: u32 = 8;
/// Shortest time for which a server is slow, in milliseconds.
const MIN_SLOW_MS: u64 = 50;
/// Longest time for which a server is slow, in milliseconds.
const MAX_SLOW_MS: u64 = 400;
/// Time within which a server must accept the command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes servers slow at random times, independently of each other, until it is dropped.
#[derive(Debug)]
pub struct SlowdownInjector {
    cancel: CancellationToken,
}

impl SlowdownInjector {
    /// Starts the injection; the same seed gives the same times. `mean_gap` is the mean time from
    /// the end of one slow period of a server to the start of the next.
    pub fn start(servers: Vec<SocketAddr>, mean_gap: Duration, seed: u64) -> Self {
        let cancel = CancellationToken::new();
        for (server, seed) in servers.into_iter().zip(seed..) {
            let cancel = cancel.clone();
            tokio::spawn(async move {
                cancel.run_until_cancelled(slow_down_repeatedly(server, mean_gap, seed)).await
            });
        }
        Self { cancel }
    }
}

impl Drop for SlowdownInjector {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Makes one server slow again and again, at random times.
async fn slow_down_repeatedly(server: SocketAddr, mean_gap: Duration, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        // Gaps are exponentially distributed, as between independent events.
        tokio::time::sleep(mean_gap.mul_f64(-(1.0 - rng.f64()).ln())).await;
        let ms = rng.u64(MIN_SLOW_MS..=MAX_SLOW_MS);
        let target = format!("/test/slow?factor={SLOWDOWN_FACTOR}&ms={ms}");
        // A server that does not run needs no slowdown, so errors are ignored.
        let _ = fetch(server, "POST", &target, "", COMMAND_TIMEOUT).await;
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
