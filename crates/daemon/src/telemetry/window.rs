//! Percentiles of recent latencies.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Time after which a new histogram is started. Two histograms are kept, so percentiles cover the
/// last 30 to 60 s.
const ROTATION_PERIOD: Duration = Duration::from_secs(30);

/// Significant decimal digits of a recorded latency: 2 give an error below 1% in a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histograms of recent latencies, in microseconds.
#[derive(Debug)]
pub(super) struct LatencyWindow {
    /// Start of the current histogram.
    started: Instant,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self { started: Instant::now(), current: new_histogram(), previous: None }
    }
}

impl LatencyWindow {
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
        let Some(mut merged) = self.current.clone() else {
            return Default::default();
        };
        if let Some(previous) = &self.previous {
            // The histograms have the same bounds, so adding them does not fail.
            let _ = merged.add(previous);
        }
        let latency = |quantile| Duration::from_micros(merged.value_at_quantile(quantile));
        (latency(0.5), latency(0.99))
    }

    fn rotate(&mut self) {
        let age = self.started.elapsed();
        if age < ROTATION_PERIOD {
            return;
        }
        let current = std::mem::replace(&mut self.current, new_histogram());
        self.previous = if age < ROTATION_PERIOD * 2 { current } else { None };
        self.started = Instant::now();
    }
}

/// An empty histogram. It is never `None`, since its bounds and digits are valid.
fn new_histogram() -> Option<Histogram<u32>> {
    // One minute is far above the longest timeout in use; longer latencies are recorded as one
    // minute.
    Histogram::new_with_bounds(1, 60_000_000, SIGNIFICANT_DIGITS).ok()
}
