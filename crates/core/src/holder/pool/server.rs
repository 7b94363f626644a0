//! A held server: its limit, its requests in flight and the claim on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::Permit;
use super::limit::Change;
use super::limit::Limit;
use super::limit::LimitPolicy;
use super::limit::Sample;
use super::limit::Warmth;
use crate::holder::config::Policy;
use crate::name;
use crate::time::Instant;

/// How long an orphaned attempt counts as in flight: one that ended here without an answer while
/// the server may still be working on it.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time left on a claim for a permit to be issued under it. A request that starts later
/// would likely be cut off by the end of the claim.
const MIN_CLAIM_TO_ACQUIRE: Duration = Duration::from_millis(500);

/// Requests in flight at a warm server beyond its slots. One waits at the server while the answer
/// to another is on its way back, so that the slot does not idle for a round trip.
const REQUESTS_BEYOND_SLOTS: u32 = 1;

/// Latency assumed for a server whose latency is not known.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);

/// Time that a request needs before its deadline, as a multiple of the mean latency. Nine of ten
/// answers come within 2.3 times the mean if latencies are exponentially distributed.
const TIME_NEEDED_FACTOR: u32 = 3;

/// Shortest time that a request needs before its deadline at a server that is not warm, which is
/// slower than its mean latency suggests.
const MIN_COLD_TIME_NEEDED: Duration = Duration::from_millis(50);

/// Timeout of an attempt that another one may follow, as a multiple of the mean latency.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 20;

/// Shortest timeout of an attempt that another one may follow.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// A held server as described by the documents in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// The server's VM.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The policy in force for it.
    pub policy: Policy,
    /// Why it receives no new work, if it is out of service or leaving.
    pub out_reason: Option<Arc<str>>,
}

/// The status of a held server, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// The server's VM.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Why it receives no new work, if it is out of service, leaving or draining.
    pub out_reason: Option<Arc<str>>,
    /// How far it has warmed up.
    pub warmth: Warmth,
    /// Whether a claim on it is confirmed.
    pub claimed: bool,
    /// Number of requests that may be in flight.
    pub limit: u32,
    /// Number of requests in flight, including orphaned attempts.
    pub in_flight: u32,
    /// The mean latency; zero before the first answer.
    pub latency: Duration,
}

/// The state of a held server.
#[derive(Debug)]
pub(super) struct Server {
    /// Identifies the server in its permits.
    pub(super) key: u64,
    pub(super) spec: ServerSpec,
    pub(super) limit: Limit,
    /// Permits that were issued and not returned.
    in_flight: u32,
    /// When each orphaned attempt stops counting as in flight.
    orphaned_until: SmallVec<[Instant; 4]>,
    /// Until when the claim on the server is confirmed.
    claim: Option<Instant>,
    /// Whether the last change that [`Server::set_claim`] saw was to a confirmed claim.
    confirmed: bool,
}

impl Server {
    pub(super) fn new(key: u64, spec: &ServerSpec) -> Self {
        Self {
            key,
            spec: spec.clone(),
            limit: Limit::new(limit_policy(&spec.policy)),
            in_flight: 0,
            orphaned_until: SmallVec::new(),
            claim: None,
            confirmed: false,
        }
    }

    /// Applies a changed description. If it takes the server out of service or brings it back,
    /// returns whether the server is in service now. A server that comes back counts as cold.
    pub(super) fn update(&mut self, spec: &ServerSpec) -> Option<bool> {
        let (was_out, is_out) = (self.spec.out_reason.is_some(), spec.out_reason.is_some());
        if was_out && !is_out {
            self.restart(spec);
        }
        self.limit.set_policy(limit_policy(&spec.policy));
        self.spec = spec.clone();
        (was_out != is_out).then_some(was_out)
    }

    /// Resets the state of the server except for its requests in flight.
    pub(super) fn restart(&mut self, spec: &ServerSpec) {
        self.limit = Limit::new(limit_policy(&spec.policy));
        self.claim = None;
        self.spec = spec.clone();
    }

    /// Applies the result of an attempt. Returns the state change that it causes, if any.
    pub(super) fn observe(&mut self, now: Instant, sample: &Sample) -> Option<Change> {
        let change = self.limit.observe(now, sample);
        if self.needs_claim() {
            // A claim that expired while the server was warm must not hide that a new one is
            // needed.
            self.claim = self.claim.filter(|until| now < *until);
        }
        change
    }

    pub(super) fn is_warm(&self) -> bool {
        self.limit.warmth() == Warmth::Warm
    }

    /// Number of permits that can be issued at `now`.
    pub(super) fn free(&self, now: Instant) -> u32 {
        if self.spec.out_reason.is_some() || !self.claim_covers_work(now) {
            return 0;
        }
        self.limit.current(now).saturating_sub(self.total_in_flight(now))
    }

    /// Number of requests that may be in flight at `now`; 0 if the server receives no new work.
    pub(super) fn usable_limit(&self, now: Instant) -> u32 {
        if self.spec.out_reason.is_some() { 0 } else { self.limit.current(now) }
    }

    /// Whether the server may be used only under a claim: it is not warm, or it is draining and
    /// will be restarted.
    pub(super) fn needs_claim(&self) -> bool {
        !self.is_warm() || self.limit.draining()
    }

    /// Whether a permit for a probe can be issued: the server has room, or it is draining and has
    /// nothing in flight.
    pub(super) fn accepts_probe(&self, now: Instant) -> bool {
        let idle = self.limit.draining() && self.total_in_flight(now) == 0;
        self.free(now) > 0
            || (idle && self.claim_covers_work(now) && self.spec.out_reason.is_none())
    }

    /// Whether a permit that was issued earlier may be used at `now`.
    pub(super) fn accepts_permit(&self, now: Instant) -> bool {
        let claimed = !self.needs_claim() || self.claim.is_some_and(|until| now < until);
        self.spec.out_reason.is_none()
            && claimed
            && self.total_in_flight(now) <= self.limit.current(now)
    }

    /// When work sent to the server must have ended, if it may be used only under a claim.
    pub(super) fn work_until(&self) -> Option<Instant> {
        if self.needs_claim() { self.claim } else { None }
    }

    /// Whether the server needs no claim, or its claim lasts long enough to issue a permit.
    fn claim_covers_work(&self, now: Instant) -> bool {
        !self.needs_claim() || self.claim.is_some_and(|until| now + MIN_CLAIM_TO_ACQUIRE <= until)
    }

    /// Number of requests in flight at `now`, including orphaned attempts.
    pub(super) fn total_in_flight(&self, now: Instant) -> u32 {
        let orphans = self.orphaned_until.iter().filter(|until| now < **until).count();
        self.in_flight + u32::try_from(orphans).unwrap_or(u32::MAX)
    }

    pub(super) fn issue_permit(&mut self) -> Permit {
        self.in_flight += 1;
        let latency = self.limit.latency().max(DEFAULT_LATENCY);
        Permit {
            key: self.key,
            vm: self.spec.vm.clone(),
            address: self.spec.address,
            work_until: self.work_until(),
            attempt_timeout: (latency * ATTEMPT_TIMEOUT_FACTOR).max(MIN_ATTEMPT_TIMEOUT),
            time_needed: self.time_needed(latency),
        }
    }

    /// Time that a request needs before its deadline for an answer to be likely.
    fn time_needed(&self, latency: Duration) -> Duration {
        let needed = latency * TIME_NEEDED_FACTOR;
        if self.is_warm() { needed } else { needed.max(MIN_COLD_TIME_NEEDED) }
    }

    pub(super) fn release(&mut self) {
        assert!(self.in_flight > 0, "a permit was returned twice");
        self.in_flight -= 1;
    }

    /// Counts an attempt that the server may still be working on.
    pub(super) fn add_orphaned_attempt(&mut self, now: Instant) {
        self.orphaned_until.retain(|until| now < *until);
        self.orphaned_until.push(now + ORPHAN_TIMEOUT);
    }

    /// Forgets orphaned attempts, because the server reported that it is running nothing.
    pub(super) fn clear_orphaned_attempts(&mut self) {
        self.orphaned_until.clear();
    }

    /// Sets the time until which the claim is confirmed, if any. If this changes whether a server
    /// that needs a claim has a confirmed one, returns whether it has one now.
    pub(super) fn set_claim(&mut self, now: Instant, until: Option<Instant>) -> Option<bool> {
        self.claim = until;
        let confirmed = self.needs_claim() && until.is_some_and(|until| now < until);
        let changed = confirmed != self.confirmed;
        self.confirmed = confirmed;
        // The claim on a server that has become warm expires without a report.
        (changed && self.needs_claim()).then_some(confirmed)
    }

    /// Expected time until one more request would be answered, in nanoseconds.
    pub(super) fn expected_nanos(&self, now: Instant) -> u128 {
        let latency = self.limit.latency().max(DEFAULT_LATENCY);
        u128::from(self.total_in_flight(now) + 1) * latency.as_nanos()
    }

    pub(super) fn status(&self, now: Instant) -> ServerStatus {
        let draining = self.limit.draining().then(|| Arc::from("the server is draining"));
        ServerStatus {
            vm: self.spec.vm.clone(),
            address: self.spec.address,
            domain: self.spec.domain.clone(),
            out_reason: self.spec.out_reason.clone().or(draining),
            warmth: self.limit.warmth(),
            claimed: self.claim.is_some_and(|until| now < until),
            limit: self.usable_limit(now),
            in_flight: self.total_in_flight(now),
            latency: self.limit.latency(),
        }
    }
}

fn limit_policy(policy: &Policy) -> LimitPolicy {
    LimitPolicy {
        full_limit: policy.slots + REQUESTS_BEYOND_SLOTS,
        warm_after: policy.warm_after,
        cold_factor: policy.cold_factor,
    }
}
