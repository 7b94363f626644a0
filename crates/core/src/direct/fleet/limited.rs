//! A server that names a rate limit.

use std::time::Duration;

use crate::direct::port::NamedLimit;
use crate::direct::rate_limit::RateLimit;
use crate::name;
use crate::time::Instant;

/// Time after the last answer that named a limit for which the limit holds. A server need not name
/// it in each of its answers, such as those of a proxy in front of it.
const LIMIT_VALIDITY: Duration = Duration::from_secs(1);

/// The rate limit of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limited {
    rate: RateLimit,
    named_at: Instant,
}

impl Limited {
    pub(super) fn rate(&self) -> RateLimit {
        self.rate
    }

    /// Whether the server named the limit a short time before `now`.
    pub(super) fn holds(&self, now: Instant) -> bool {
        now.since(self.named_at) <= LIMIT_VALIDITY
    }
}

/// Updates the limit of `server` by an answer that arrived at `now`. An unreadable limit extends
/// the validity of the one before, because the server still names one.
pub(super) fn record(
    limited: &mut Option<Limited>,
    server: &name::Vm,
    named: NamedLimit,
    now: Instant,
) {
    match (named, &mut *limited) {
        (NamedLimit::Limit(rate), Some(known)) => {
            if known.rate != rate {
                log_change(server, "changed", rate);
            }
            known.rate = rate;
            known.named_at = now;
        }
        (NamedLimit::Limit(rate), None) => {
            log_change(server, "named", rate);
            *limited = Some(Limited { rate, named_at: now });
        }
        (NamedLimit::Unreadable, Some(known)) => known.named_at = now,
        (NamedLimit::None, Some(known)) if !known.holds(now) => {
            log_change(server, "ended", known.rate);
            *limited = None;
        }
        (NamedLimit::None | NamedLimit::Unreadable, _) => {}
    }
}

fn log_change(server: &name::Vm, state: &str, rate: RateLimit) {
    log::info!("event=rate_limit server={server} state={state} per_s={}", rate.per_second());
}
