//! How often this entry may probe a server it holds.
//!
//! Policy limits the probes of a server from all entries together, but while entries disagree about
//! who holds a server, two of them may probe it. Each therefore uses half of the limit. A new
//! budget starts empty, so that a server that passes from holder to holder is not probed at each
//! change.
//!
//! Responses carry the same report as a probe at no cost. A probe is due only when the last report
//! from either source has aged.

use std::time::Duration;

use crate::port::Random;
use crate::time::Instant;

/// Holders that may probe a server at the same time without exceeding the limit.
const HOLDERS: u32 = 2;

/// The period of the limit.
const MINUTE: Duration = Duration::from_secs(60);

/// A token bucket for the probes of one held server. It saves up at most one token.
///
/// Two holders together stay within the policy's limit in each minute, for limits of at least 2. A
/// limit of 1 allows each holder one probe in two minutes, so two holders may both use a minute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeBudget {
    /// Time between two probes; `None` if no probe is allowed.
    interval: Option<Duration>,
    /// Time from which a token is available.
    ready: Instant,
}

impl ProbeBudget {
    /// Creates an empty budget. The first token arrives after one interval and a random part of a
    /// second one, so that servers that become held together are not probed together.
    pub fn new(now: Instant, probes_per_minute: u32, random: &impl Random) -> Self {
        let interval = interval(probes_per_minute);
        let whole = interval.unwrap_or(MINUTE);
        let spread = random.below(nanos(whole));
        Self { interval, ready: now + whole + Duration::from_nanos(spread) }
    }

    /// Applies a limit. If it differs from the current one, the budget starts again empty.
    pub fn set_limit(&mut self, now: Instant, probes_per_minute: u32, random: &impl Random) {
        if interval(probes_per_minute) != self.interval {
            *self = Self::new(now, probes_per_minute, random);
        }
    }

    /// When the next probe is due: when a token is available and the last report is at least
    /// `fresh` old. `None` if no probe is allowed.
    pub fn next_due(&self, last_report: Option<Instant>, fresh: Duration) -> Option<Instant> {
        self.interval?;
        let aged = last_report.map_or(self.ready, |at| at + fresh);
        Some(self.ready.max(aged))
    }

    /// Whether a probe is due. It must be taken with [`ProbeBudget::try_take`] before it is sent.
    pub fn is_due(&self, now: Instant, last_report: Option<Instant>, fresh: Duration) -> bool {
        self.next_due(last_report, fresh).is_some_and(|at| at <= now)
    }

    /// Takes a token for one probe; false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.ready {
            return false;
        }
        self.ready = now + interval;
        true
    }
}

/// Time between two probes of one holder, rounded up.
fn interval(probes_per_minute: u32) -> Option<Duration> {
    let share = probes_per_minute / HOLDERS;
    let period = match (probes_per_minute, share) {
        (0, _) => return None,
        (_, 0) => MINUTE * HOLDERS,
        _ => Duration::from_nanos(nanos(MINUTE).div_ceil(share.into())),
    };
    Some(period)
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
