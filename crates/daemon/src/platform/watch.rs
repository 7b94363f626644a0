//! Keeps one read of a key pending at all times.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Answer;
use super::Backoff;
use super::Document;
use super::Error;
use super::Fetch;
use super::Sink;
use super::http::READ_TIMEOUT;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;

/// Shortest time between the starts of two reads. Without it, a platform that does not hold reads,
/// or a key that changes all the time, would cause reads in a tight loop.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// The ports that a watch uses.
pub struct Watch<'a, F, S, C, R> {
    /// Reads keys.
    pub fetch: &'a F,
    /// Receives the results.
    pub sink: &'a S,
    /// Times reads and waits.
    pub clock: &'a C,
    /// Gives the jitter of the waits after failed reads.
    pub random: &'a R,
}

/// Reads `document` at `key` repeatedly until `stop` is cancelled.
pub async fn watch<F, S, C, R>(
    watch: Watch<'_, F, S, C, R>,
    document: Document,
    key: &str,
    stop: &CancellationToken,
) where
    F: Fetch,
    S: Sink,
    C: Clock,
    R: Random,
{
    // A pending read is cancelled; it has no effect on the platform.
    let _ = stop.run_until_cancelled(watch.run(document, key)).await;
}

impl<F: Fetch, S: Sink, C: Clock, R: Random> Watch<'_, F, S, C, R> {
    async fn run(&self, document: Document, key: &str) {
        let mut index = 0;
        let mut backoff = Backoff::new();
        loop {
            let start = self.clock.now();
            let next = match self.read(key, index, start).await {
                Ok(answer) => {
                    backoff.reset();
                    index = next_index(index, answer.index);
                    self.sink.received(document, &answer.value, start);
                    start + MIN_READ_INTERVAL
                }
                Err(error) => {
                    // The platform answers a read with index 0 at once, which shows early that it
                    // is reachable again.
                    index = 0;
                    self.sink.failed(document, &error, start);
                    self.clock.now() + backoff.wait(self.random)
                }
            };
            self.clock.sleep_until(next).await;
        }
    }

    /// Reads once. An answer that is processed after the time limit counts as a timeout: the VM may
    /// have been suspended since the answer arrived, and the answer must not prove that the
    /// platform is reachable now.
    async fn read(&self, key: &str, index: u64, start: Instant) -> Result<Answer, Error> {
        let answer = tokio::select! {
            answer = self.fetch.fetch(key, index) => answer?,
            () = self.clock.sleep_until(start + READ_TIMEOUT) => {
                return Err(Error::Timeout(READ_TIMEOUT))
            }
        };
        if self.clock.now().since(start) > READ_TIMEOUT {
            return Err(Error::Timeout(READ_TIMEOUT));
        }
        Ok(answer)
    }
}

/// The index for the next read. The API requires that an index lower than the last one is replaced
/// by 0, and that an answered 0 is not used, since the platform does not hold a read with index 0.
fn next_index(last: u64, answered: u64) -> u64 {
    if answered < last { 0 } else { answered.max(1) }
}
