//! Keeps a read of one key pending.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Answer;
use super::Backoff;
use super::Error;
use super::Fetch;
use super::Key;
use super::Sink;
use super::http::LIMIT;
use jackdawpin_core::port::Clock;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;

/// Shortest time between the starts of two reads. A platform that does not hold reads, or a key
/// that changes all the time, would otherwise be read in a tight loop.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// What a watch works with.
pub struct Watch<'a, F, S, C, R> {
    /// Reads keys.
    pub fetch: &'a F,
    /// Receives the results.
    pub sink: &'a S,
    /// Measures the age of an answer.
    pub clock: &'a C,
    /// Spreads the reads after a failure.
    pub random: &'a R,
}

/// Reads `key`, whose name in the platform is `name`, again and again until `stop` is cancelled.
pub async fn watch<F, S, C, R>(
    watch: Watch<'_, F, S, C, R>,
    key: Key,
    name: &str,
    stop: &CancellationToken,
) where
    F: Fetch,
    S: Sink,
    C: Clock,
    R: Random,
{
    // A read that is pending is given up on a stop: it has no effect on the platform.
    let _ = stop.run_until_cancelled(watch.run(key, name)).await;
}

impl<F: Fetch, S: Sink, C: Clock, R: Random> Watch<'_, F, S, C, R> {
    async fn run(&self, key: Key, name: &str) {
        let mut index = 0;
        let mut backoff = Backoff::new();
        loop {
            let start = self.clock.now();
            let next = match self.read(name, index, start).await {
                Ok(answer) => {
                    backoff.reset();
                    index = next_index(index, answer.index);
                    self.sink.read(key, &answer.value, start);
                    start + MIN_INTERVAL
                }
                Err(error) => {
                    // The next read is answered at once and so shows that the platform is back.
                    index = 0;
                    self.sink.failed(key, &error, start);
                    self.clock.now() + backoff.wait(self.random)
                }
            };
            self.clock.sleep_until(next).await;
        }
    }

    /// Reads once. An answer that is seen too late is refused like a missing one: the VM may have
    /// been suspended since it came, and it must not count as a sign that the platform is heard
    /// now.
    async fn read(&self, name: &str, index: u64, start: Instant) -> Result<Answer, Error> {
        let answer = tokio::select! {
            answer = self.fetch.fetch(name, index) => answer?,
            () = self.clock.sleep_until(start + LIMIT) => return Err(Error::Timeout(LIMIT)),
        };
        if self.clock.now().since(start) > LIMIT {
            return Err(Error::Timeout(LIMIT));
        }
        Ok(answer)
    }
}

/// The index for the next read. The API requires that an index that goes back is replaced by 0, and
/// that 0 is not taken from an answer, since such a read is not held.
fn next_index(last: u64, found: u64) -> u64 {
    if found < last { 0 } else { found.max(1) }
}
