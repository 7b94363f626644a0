use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::Permit;
use super::limit::Change;
use super::limit::Limit;
use super::limit::Sample;
use super::limit::Tuning;
use super::limit::Warmth;
use crate::holder::config::Policy;
use crate::name;
use crate::time::Instant;

/// How long a place stays taken after an attempt whose end at the server is not known.
const LINGER: Duration = Duration::from_secs(1);

/// Shortest rest of a claim under which a server that is not warm is given work. A request that
/// starts later would likely be cut off by the end of the claim.
const MIN_CLAIM: Duration = Duration::from_millis(500);

/// Requests beyond the slots of a warm server. One waits at the server while the answer to another
/// is on its way back, so that the slot does not idle for a round trip.
const BEYOND_SLOTS: u32 = 1;

/// Latency assumed for a server whose latency is not known.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);

/// Multiple of the usual latency that a request needs before its deadline. Nine of ten answers come
/// within 2.3 times the mean if latencies are exponentially distributed.
const NEEDED_FACTOR: u32 = 3;

/// Time that a request needs before its deadline at a server that is not warm, and slower than its
/// estimate says.
const COLD_NEEDED: Duration = Duration::from_millis(50);

/// Patience with an idempotent request, as a multiple of the usual latency.
const PATIENCE_FACTOR: u32 = 20;

/// Shortest patience with an idempotent request.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// A server that this entry holds, as the documents in force describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// The server's VM.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The values in force for it.
    pub policy: Policy,
    /// Why it receives no new work, if it is out of service or leaving.
    pub out_reason: Option<Arc<str>>,
}

/// What is known of a held server, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// The server's VM.
    pub vm: name::Vm,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Why it receives no new work, if so.
    pub out_reason: Option<Arc<str>>,
    /// Whether it can bear its full limit.
    pub warmth: Warmth,
    /// Whether a claim on it is confirmed.
    pub claimed: bool,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Requests in flight, those included whose end is not known.
    pub in_flight: u32,
    /// The usual latency; zero if none is known.
    pub latency: Duration,
}

/// A held server and what is known of it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) key: u64,
    pub(super) spec: ServerSpec,
    pub(super) limit: Limit,
    in_flight: u32,
    lingering: SmallVec<[Instant; 4]>,
    claim: Option<Instant>,
    /// Whether the last change reported was that the claim is confirmed.
    confirmed: bool,
}

impl Server {
    pub(super) fn new(key: u64, spec: &ServerSpec) -> Self {
        Self {
            key,
            spec: spec.clone(),
            limit: Limit::new(tuning(&spec.policy)),
            in_flight: 0,
            lingering: SmallVec::new(),
            claim: None,
            confirmed: false,
        }
    }

    /// Takes over a changed description. Returns whether the server may receive work now, if that
    /// has changed. A server that comes back into service counts as cold.
    pub(super) fn update(&mut self, spec: &ServerSpec) -> Option<bool> {
        let (was_out, is_out) = (self.spec.out_reason.is_some(), spec.out_reason.is_some());
        if was_out && !is_out {
            self.restart(spec);
        }
        self.limit.tune(tuning(&spec.policy));
        self.spec = spec.clone();
        (was_out != is_out).then_some(was_out)
    }

    /// Forgets what is known of the server, but not what is in flight.
    pub(super) fn restart(&mut self, spec: &ServerSpec) {
        self.limit = Limit::new(tuning(&spec.policy));
        self.claim = None;
        self.spec = spec.clone();
    }

    /// Takes over what an attempt showed.
    pub(super) fn observe(&mut self, now: Instant, sample: &Sample) -> Option<Change> {
        let change = self.limit.observe(now, sample);
        if self.needs_claim() {
            // A claim that ended while the server was warm must not hide that a new one is needed.
            self.claim = self.claim.filter(|until| now < *until);
        }
        change
    }

    pub(super) fn is_warm(&self) -> bool {
        self.limit.warmth() == Warmth::Warm
    }

    /// Places that can be taken at `now`.
    pub(super) fn free(&self, now: Instant) -> u32 {
        if self.spec.out_reason.is_some() || !self.permitted(now) {
            return 0;
        }
        self.limit.current(now).saturating_sub(self.taken(now))
    }

    /// The limit at `now`; 0 for a server that receives no new work.
    pub(super) fn allowed(&self, now: Instant) -> u32 {
        if self.spec.out_reason.is_some() { 0 } else { self.limit.current(now) }
    }

    /// Whether the server may be used only under a claim. A draining server will start again.
    pub(super) fn needs_claim(&self) -> bool {
        !self.is_warm() || self.limit.draining()
    }

    /// Whether the server can take a probe: it has a free place, or it drains and runs nothing.
    pub(super) fn bears_probe(&self, now: Instant) -> bool {
        let idle = self.limit.draining() && self.taken(now) == 0;
        self.free(now) > 0 || (idle && self.permitted(now) && self.spec.out_reason.is_none())
    }

    /// Whether a place that was taken before may be used now.
    pub(super) fn bears_permit(&self, now: Instant) -> bool {
        let claimed = !self.needs_claim() || self.claim.is_some_and(|until| now < until);
        self.spec.out_reason.is_none() && claimed && self.taken(now) <= self.limit.current(now)
    }

    /// When work given to the server now must have ended, if it is not warm.
    pub(super) fn work_until(&self) -> Option<Instant> {
        if self.needs_claim() { self.claim } else { None }
    }

    fn permitted(&self, now: Instant) -> bool {
        !self.needs_claim() || self.claim.is_some_and(|until| now + MIN_CLAIM <= until)
    }

    pub(super) fn taken(&self, now: Instant) -> u32 {
        let lingering = self.lingering.iter().filter(|until| now < **until).count();
        self.in_flight + u32::try_from(lingering).unwrap_or(u32::MAX)
    }

    pub(super) fn take(&mut self) -> Permit {
        self.in_flight += 1;
        let usual = self.limit.estimate().max(DEFAULT_LATENCY);
        Permit {
            key: self.key,
            vm: self.spec.vm.clone(),
            address: self.spec.address,
            until: self.work_until(),
            patience: (usual * PATIENCE_FACTOR).max(MIN_PATIENCE),
            needed: self.needed(usual),
        }
    }

    /// Time that a request needs here so that its answer is likely to come before its deadline.
    fn needed(&self, usual: Duration) -> Duration {
        let needed = usual * NEEDED_FACTOR;
        if self.is_warm() { needed } else { needed.max(COLD_NEEDED) }
    }

    pub(super) fn release(&mut self) {
        assert!(self.in_flight > 0, "a place was given back twice");
        self.in_flight -= 1;
    }

    /// Keeps a place taken whose attempt may still run at the server.
    pub(super) fn linger(&mut self, now: Instant) {
        self.lingering.retain(|until| now < *until);
        self.lingering.push(now + LINGER);
    }

    /// The server says that it runs nothing, so no earlier attempt runs any more.
    pub(super) fn idle(&mut self) {
        self.lingering.clear();
    }

    /// For a server that needs a claim, returns whether it is confirmed if that has changed.
    pub(super) fn set_claim(&mut self, now: Instant, until: Option<Instant>) -> Option<bool> {
        self.claim = until;
        let confirmed = self.needs_claim() && until.is_some_and(|until| now < until);
        let changed = confirmed != self.confirmed;
        self.confirmed = confirmed;
        // The claim on a server that has become warm just expires.
        (changed && self.needs_claim()).then_some(confirmed)
    }

    /// Expected time until one more request would be answered.
    pub(super) fn score(&self, now: Instant) -> u128 {
        let latency = self.limit.estimate().max(DEFAULT_LATENCY);
        u128::from(self.taken(now) + 1) * latency.as_nanos()
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
            limit: self.allowed(now),
            in_flight: self.taken(now),
            latency: self.limit.estimate(),
        }
    }
}

fn tuning(policy: &Policy) -> Tuning {
    Tuning {
        full: policy.slots + BEYOND_SLOTS,
        warm_after: policy.warm_after,
        cold_factor: policy.cold_factor,
    }
}
