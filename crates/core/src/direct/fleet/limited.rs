//! A server that names a rate limit.

use std::time::Duration;

use smallvec::SmallVec;

use super::Fleet;
use super::ServerNames;
use crate::direct::port::NamedLimit;
use crate::direct::rate_limit::Bucket;
use crate::direct::rate_limit::RateLimit;
use crate::name;
use crate::time::Instant;

/// Time after the last answer that named a limit for which the limit holds. A server need not name
/// it in each of its answers, such as those of a proxy in front of it.
const LIMIT_VALIDITY: Duration = Duration::from_secs(1);

/// Number of values that [`first_tokens`] may have.
const TOKEN_STEPS: u16 = 1_000;

/// The rate limit of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limited {
    rate: RateLimit,
    named_at: Instant,
    pub(super) bucket: Bucket,
}

impl Limited {
    pub(super) fn rate(&self) -> RateLimit {
        self.rate
    }

    /// Whether the server named the limit a short time before `now`.
    pub(super) fn holds(&self, now: Instant) -> bool {
        now.since(self.named_at) <= LIMIT_VALIDITY
    }

    /// How long the server is held back from a request of `priority`.
    pub(super) fn wait(&self, priority: u32, now: Instant) -> Duration {
        let validity = LIMIT_VALIDITY.saturating_sub(now.since(self.named_at));
        self.bucket.wait(priority, now).map_or(validity, |wait| wait.min(validity))
    }
}

/// A server that names a limit.
struct LimitedServer {
    name: name::Vm,
    domain: name::Domain,
    rate: RateLimit,
}

impl Fleet {
    /// Updates this entry's shares of the limits that servers in `considered` name. `share` tells
    /// the requests per second that this entry may send to a server.
    pub fn share_limits(
        &self,
        service: &str,
        considered: &ServerNames,
        now: Instant,
        share: impl Fn(&name::Vm, &name::Domain, RateLimit) -> f64,
    ) {
        // The table is not locked while the shares are computed, since that takes the lock of the
        // entries.
        for server in self.limited_among(service, considered, now) {
            let share = share(&server.name, &server.domain, server.rate);
            let mut table = self.table.lock();
            let state = table.state(service, server.name.as_str());
            if let Some(limited) = state.and_then(|state| state.limited.as_mut()) {
                limited.bucket.set_share(share, now);
            }
        }
    }

    fn limited_among(
        &self,
        service: &str,
        considered: &ServerNames,
        now: Instant,
    ) -> SmallVec<[LimitedServer; 4]> {
        let mut table = self.table.lock();
        let mut limited = SmallVec::new();
        for name in considered {
            let Some(state) = table.state(service, name.as_str()) else {
                continue;
            };
            if let Some(rate) = state.rate_limit(now) {
                let domain = state.server.domain.clone();
                limited.push(LimitedServer { name: name.clone(), domain, rate });
            }
        }
        limited
    }
}

/// Updates the limit of `server` by an answer that arrived at `now`. An unreadable limit extends
/// the validity of the one before, because the server still names one.
pub(super) fn record(
    limited: &mut Option<Limited>,
    server: &name::Vm,
    score: u64,
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
            *limited = Some(Limited {
                rate,
                named_at: now,
                bucket: Bucket::new(first_tokens(score), now),
            });
        }
        (NamedLimit::Unreadable, Some(known)) => known.named_at = now,
        (NamedLimit::None, Some(known)) if !known.holds(now) => {
            log_change(server, "ended", known.rate);
            *limited = None;
        }
        (NamedLimit::None | NamedLimit::Unreadable, _) => {}
    }
}

/// The tokens that this entry starts with, from 0 to 1, by its rendezvous `score` for the server. Only
/// the low digits count: the owners are those with the highest scores.
fn first_tokens(score: u64) -> f64 {
    (score % u64::from(TOKEN_STEPS)) as f64 / f64::from(TOKEN_STEPS)
}

fn log_change(server: &name::Vm, state: &str, rate: RateLimit) {
    log::info!("event=rate_limit server={server} state={state} per_s={}", rate.per_second());
}
