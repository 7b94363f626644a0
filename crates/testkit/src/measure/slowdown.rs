use std::net::SocketAddr;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::http::fetch;

/// Multiple of the time of work while a server is slow.
const FACTOR: u32 = 8;
/// Shortest and longest time for which a server is slow, in milliseconds.
const MIN_MS: u64 = 50;
const MAX_MS: u64 = 400;
/// Time for a server to take the command.
const LIMIT: Duration = Duration::from_secs(1);

/// Makes servers slow at random times, independently of each other, until it is dropped.
#[derive(Debug)]
pub struct Slowdown {
    stop: CancellationToken,
}

impl Slowdown {
    /// Starts with the same times for the same seed. `gap` is the mean time between two slow times of a server.
    pub fn start(servers: Vec<SocketAddr>, gap: Duration, seed: u64) -> Self {
        let stop = CancellationToken::new();
        for (server, seed) in servers.into_iter().zip(seed..) {
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(disturb(server, gap, seed)).await });
        }
        Self { stop }
    }
}

impl Drop for Slowdown {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn disturb(server: SocketAddr, gap: Duration, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        // Exponentially distributed, as for independent events.
        tokio::time::sleep(gap.mul_f64(-(1.0 - rng.f64()).ln())).await;
        let ms = rng.u64(MIN_MS..=MAX_MS);
        let target = format!("/test/slow?factor={FACTOR}&ms={ms}");
        // A server that is down cannot be slow either.
        let _ = fetch(server, "POST", &target, "", LIMIT).await;
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
