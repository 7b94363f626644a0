//! How long a caller has already waited before its request arrived.
//!
//! Load pattern: under overload, callers whose requests were refused send them again. A request
//! that comes back has used up a part or all of its latency target, but looks like a new one. If it
//! is served as one, it takes the place of a request that could still be answered in time, and both
//! are late.
//!
//! Callers state how long they will still wait, and count it from their first try. Their patience
//! differs, so the times of new requests spread. What nearly all new requests of a route state at
//! least is learned while none are refused; a request with less has waited for the difference or
//! longer.

use std::collections::HashMap;
use std::time::Duration;

/// Fraction of new requests that may state less than what counts as new.
const LOW_QUANTILE: f64 = 0.1;

/// Step of the estimate with each request, as a fraction of the estimate.
const STEP: f64 = 0.02;

/// Largest number of routes whose times are learned.
const MAX_ROUTES: usize = 2_048;

/// The times in seconds that nearly all new requests state at least, by route.
#[derive(Debug, Default)]
pub(super) struct CallerTimeouts {
    least_seconds: HashMap<Box<str>, f64>,
}

impl CallerTimeouts {
    /// How long a caller of `route` that will wait for `timeout` has already waited at least. While
    /// `calm`, nearly all requests are new ones, and the estimate learns from them.
    pub(super) fn waited(&mut self, route: &str, timeout: Duration, calm: bool) -> Duration {
        let seconds = timeout.as_secs_f64();
        let Some(least) = self.least_seconds.get_mut(route) else {
            if calm && self.least_seconds.len() < MAX_ROUTES {
                self.least_seconds.insert(route.into(), seconds);
            }
            return Duration::ZERO;
        };
        let waited = Duration::from_secs_f64((*least - seconds).max(0.0));
        if calm {
            let direction = if seconds < *least { LOW_QUANTILE - 1.0 } else { LOW_QUANTILE };
            *least += *least * STEP * direction;
        }
        waited
    }
}
