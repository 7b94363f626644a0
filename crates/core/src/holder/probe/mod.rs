//! The rate of probes to a held server.
//!
//! Policy limits the probes that all entries together send to a server. While entries disagree
//! about the holder of a server, two of them may probe it, so each uses half of the limit. A new
//! budget starts empty, so that a server is not probed at each change of its holder.
//!
//! Answers carry the same load report as probes, at no cost. A probe is due only when the latest
//! report from either source is too old.

use std::time::Duration;

use crate::port::Random;
use crate::time::Instant;

/// Number of entries that may hold a server at the same time without exceeding the limit.
const MAX_CONCURRENT_HOLDERS: u32 = 2;

/// The period of the limit.
const LIMIT_PERIOD: Duration = Duration::from_secs(60);

/// A token bucket for the probes of one held server. It holds at most one token.
///
/// For limits of at least 2, two holders together stay within the limit in each minute. A limit of
/// 1 allows each holder one probe in two minutes, so two holders may both probe in the same minute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeBudget {
    /// Time between two probes; `None` if no probe is allowed.
    interval: Option<Duration>,
    /// When the next token becomes available.
    next_token_at: Instant,
}

impl ProbeBudget {
    /// Creates an empty budget. The first token becomes available after one interval and a random
    /// part of a second one, so that servers that become held together are not probed together.
    pub fn new(now: Instant, probes_per_minute: u32, random: &impl Random) -> Self {
        let interval = interval(probes_per_minute);
        let full_interval = interval.unwrap_or(LIMIT_PERIOD);
        let offset = random.below(nanos(full_interval));
        Self { interval, next_token_at: now + full_interval + Duration::from_nanos(offset) }
    }

    /// Applies a limit. If it differs from the current one, the budget becomes empty.
    pub fn set_limit(&mut self, now: Instant, probes_per_minute: u32, random: &impl Random) {
        if interval(probes_per_minute) != self.interval {
            *self = Self::new(now, probes_per_minute, random);
        }
    }

    /// When the next probe is due, which needs a token and a latest report that is at least
    /// `max_report_age` old. `None` if no probe is allowed.
    pub fn next_due(
        &self,
        last_report: Option<Instant>,
        max_report_age: Duration,
    ) -> Option<Instant> {
        self.interval?;
        let report_expires_at = last_report.map_or(self.next_token_at, |at| at + max_report_age);
        Some(self.next_token_at.max(report_expires_at))
    }

    /// Whether a probe is due. A token must be taken with [`ProbeBudget::try_take`] before the
    /// probe is sent.
    pub fn is_due(
        &self,
        now: Instant,
        last_report: Option<Instant>,
        max_report_age: Duration,
    ) -> bool {
        self.next_due(last_report, max_report_age).is_some_and(|at| at <= now)
    }

    /// Takes a token for one probe; false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.next_token_at {
            return false;
        }
        self.next_token_at = now + interval;
        true
    }
}

/// Time between two probes of one holder, rounded up.
fn interval(probes_per_minute: u32) -> Option<Duration> {
    let holder_limit = probes_per_minute / MAX_CONCURRENT_HOLDERS;
    let period = match (probes_per_minute, holder_limit) {
        (0, _) => return None,
        (_, 0) => LIMIT_PERIOD * MAX_CONCURRENT_HOLDERS,
        _ => Duration::from_nanos(nanos(LIMIT_PERIOD).div_ceil(holder_limit.into())),
    };
    Some(period)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
