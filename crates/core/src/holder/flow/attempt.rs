//! Sends one attempt to a server that this entry holds, or to a peer.

use std::time::Duration;

use super::Route;
use super::Router;
use crate::holder::pool::AttemptResult;
use crate::holder::pool::PeerEntry;
use crate::holder::pool::Permit;
use crate::holder::pool::Pool;
use crate::holder::pool::Sample;
use crate::holder::port::Peer;
use crate::holder::port::Ports;
use crate::holder::port::Upstream;
use crate::outcome::Evidence;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::UnknownReason;
use crate::port::Clock;
use crate::request::Attempt;
use crate::time::Instant;

/// Time for which a claim must still be valid when an attempt is sent under it.
const MIN_CLAIM_TIME_LEFT: Duration = Duration::from_millis(100);

/// Returns a permit as abandoned if its attempt is cancelled.
struct PermitGuard<'a, C: Clock> {
    pool: &'a Pool,
    clock: &'a C,
    permit: Option<Permit>,
}

impl<C: Clock> Drop for PermitGuard<'_, C> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.pool.abandon(self.clock.now(), permit);
        }
    }
}

impl<O: Ports> Router<O> {
    /// Sends an attempt to a held server and records its result. Refuses the attempt if the permit
    /// or the request has become invalid.
    pub(super) async fn dispatch(
        &self,
        route: &Route,
        mut permit: Permit,
        mut attempt: Attempt<'_>,
    ) -> Evidence {
        let pool = route.pool();
        let now = self.clock().now();
        if let Err(refusal) = self.recheck(now, pool, &mut permit, &attempt) {
            pool.release(now, permit);
            return Evidence::NotRun(NotRun::Refused(refusal));
        }
        if let Some(until) = permit.work_until() {
            attempt.deadline = attempt.deadline.min(until);
        }
        let address = permit.address();
        let mut guard = PermitGuard { pool, clock: self.clock(), permit: Some(permit) };
        let reply = self.ports.upstream().send(address, attempt).await;
        let end = self.clock().now();
        let sample = Sample {
            result: attempt_result(&reply.evidence),
            latency: end.since(now),
            report: reply.report,
        };
        if let Some(permit) = guard.permit.take()
            && let Some(change) = pool.finish(end, permit, &sample)
        {
            self.tables.record_server_change(&self.journal(), pool.service(), change);
        }
        reply.evidence
    }

    /// Forwards an attempt to a peer that reported free slots.
    pub(super) async fn forward(&self, peer: &PeerEntry, attempt: Attempt<'_>) -> Evidence {
        let now = self.clock().now();
        if let Err(refusal) = self.tables.gate.check_dispatch(now) {
            return Evidence::NotRun(NotRun::Refused(refusal));
        }
        let service = &attempt.request.service;
        let reply = self.ports.peer().forward(&peer.vm, peer.address, attempt).await;
        if let Some(free) = reply.free {
            self.tables.peers.set_free_slots(&peer.vm, service, free);
        }
        reply.evidence
    }

    /// Repeats the checks that may fail now because the process was suspended after the permit was
    /// issued.
    fn recheck(
        &self,
        now: Instant,
        pool: &Pool,
        permit: &mut Permit,
        attempt: &Attempt<'_>,
    ) -> Result<(), Refusal> {
        self.tables.gate.check_dispatch(now)?;
        let request = attempt.request;
        // With too little time left, the attempt would likely be cut off while it runs, and the
        // outcome would be unknown. The time needed is capped at half of the request's timeout, so
        // that requests with short timeouts can be sent.
        let half = request.deadline.since(request.received) / 2;
        if request.deadline.since(now) < permit.time_needed.min(half) || now >= request.deadline {
            return Err(Refusal::Deadline);
        }
        if !pool.recheck(now, permit) {
            return Err(Refusal::Full);
        }
        match permit.work_until() {
            Some(until) if now + MIN_CLAIM_TIME_LEFT > until => Err(Refusal::Full),
            _ => Ok(()),
        }
    }
}

fn attempt_result(evidence: &Evidence) -> AttemptResult {
    match evidence {
        Evidence::Ran(answer) if answer.is_failure() => AttemptResult::Failed,
        Evidence::Ran(_) => AttemptResult::Answered,
        Evidence::NotRun(NotRun::Shed) => AttemptResult::Shed,
        Evidence::NotRun(_) => AttemptResult::NotSent,
        Evidence::MayHaveRun(UnknownReason::Timeout) => AttemptResult::Timeout,
        Evidence::MayHaveRun(_) => AttemptResult::Broken,
    }
}
