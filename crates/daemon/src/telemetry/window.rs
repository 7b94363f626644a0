use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Time after which a new histogram is begun. Two are kept, so percentiles cover half a minute to a
/// minute.
const PERIOD: Duration = Duration::from_secs(30);

/// Significant digits of a latency: 2 give an error below 1% in a few kilobytes.
const DIGITS: u8 = 2;

/// Recent latencies in microseconds.
#[derive(Debug)]
pub(super) struct Window {
    since: Instant,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl Default for Window {
    fn default() -> Self {
        Self { since: Instant::now(), current: histogram(), previous: None }
    }
}

impl Window {
    pub(super) fn record(&mut self, latency: Duration) {
        self.rotate();
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if let Some(current) = &mut self.current {
            current.saturating_record(micros);
        }
    }

    /// Median and 99th percentile.
    pub(super) fn percentiles(&mut self) -> (Duration, Duration) {
        self.rotate();
        let Some(mut all) = self.current.clone() else {
            return Default::default();
        };
        if let Some(previous) = &self.previous {
            // Both have the same bounds, so nothing is lost.
            let _ = all.add(previous);
        }
        let at = |quantile| Duration::from_micros(all.value_at_quantile(quantile));
        (at(0.5), at(0.99))
    }

    fn rotate(&mut self) {
        let age = self.since.elapsed();
        if age < PERIOD {
            return;
        }
        let current = std::mem::replace(&mut self.current, histogram());
        self.previous = if age < PERIOD * 2 { current } else { None };
        self.since = Instant::now();
    }
}

/// `None` cannot happen: the number of digits is valid.
fn histogram() -> Option<Histogram<u32>> {
    // One minute is far above the longest timeout in use; longer latencies count as one minute.
    Histogram::new_with_bounds(1, 60_000_000, DIGITS).ok()
}
