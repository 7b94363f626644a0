use std::time::Duration;

use super::Route;
use super::Router;
use crate::holder::pool::Kind;
use crate::holder::pool::Lead;
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

/// Shortest time until the end of a claim with which a request is sent to a server that is not warm.
const MIN_WORK: Duration = Duration::from_millis(100);

/// Gives a place back if the attempt is dropped before its end.
struct Hold<'a, C: Clock> {
    pool: &'a Pool,
    clock: &'a C,
    permit: Option<Permit>,
}

impl<C: Clock> Drop for Hold<'_, C> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.pool.abandon(self.clock.now(), permit);
        }
    }
}

impl<O: Ports> Router<O> {
    /// Sends an attempt to a held server.
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
        if let Some(until) = permit.until() {
            attempt.deadline = attempt.deadline.min(until);
        }
        let address = permit.address();
        let mut hold = Hold { pool, clock: self.clock(), permit: Some(permit) };
        let reply = self.ports.upstream().send(address, attempt).await;
        let end = self.clock().now();
        let sample =
            Sample { kind: kind(&reply.evidence), latency: end.since(now), report: reply.report };
        if let Some(permit) = hold.permit.take()
            && let Some(notice) = pool.finish(end, permit, &sample)
        {
            self.tables.record_server_change(&self.journal(), pool.service(), notice);
        }
        reply.evidence
    }

    /// Sends an attempt to a peer that reported room.
    pub(super) async fn forward(&self, lead: &Lead, attempt: Attempt<'_>) -> Evidence {
        let now = self.clock().now();
        if let Err(refusal) = self.tables.gate.check_dispatch(now) {
            return Evidence::NotRun(NotRun::Refused(refusal));
        }
        let service = &attempt.request.service;
        let forwarded = self.ports.peer().forward(&lead.vm, lead.address, attempt).await;
        if let Some(free) = forwarded.free {
            self.tables.peers.set_free_slots(&lead.vm, service, free);
        }
        forwarded.evidence
    }

    /// Checks again what a pause since the place was taken may have changed.
    fn recheck(
        &self,
        now: Instant,
        pool: &Pool,
        permit: &mut Permit,
        attempt: &Attempt<'_>,
    ) -> Result<(), Refusal> {
        self.tables.gate.check_dispatch(now)?;
        let request = attempt.request;
        // With too little time left the server would likely be cut off in the middle, and the outcome
        // would be unknown. A request that never had much time may use half of it.
        let half = request.deadline.since(request.received) / 2;
        if request.deadline.since(now) < permit.needed.min(half) || now >= request.deadline {
            return Err(Refusal::Deadline);
        }
        if !pool.confirm(now, permit) {
            return Err(Refusal::Full);
        }
        match permit.until() {
            Some(until) if now + MIN_WORK > until => Err(Refusal::Full),
            _ => Ok(()),
        }
    }
}

fn kind(evidence: &Evidence) -> Kind {
    match evidence {
        Evidence::Ran(answer) if answer.is_failure() => Kind::Failed,
        Evidence::Ran(_) => Kind::Answered,
        Evidence::NotRun(NotRun::Shed) => Kind::Shed,
        Evidence::NotRun(_) => Kind::NotSent,
        Evidence::MayHaveRun(UnknownReason::Timeout) => Kind::Timeout,
        Evidence::MayHaveRun(_) => Kind::Broken,
    }
}
