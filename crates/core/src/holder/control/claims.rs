use std::time::Duration;

use futures_util::future::join_all;

use super::Claim;
use super::Control;
use super::Grant;
use crate::holder::event::Event;
use crate::holder::flow::Route;
use crate::holder::intent::Intent;
use crate::holder::lease::Batch;
use crate::holder::lease::Claimant;
use crate::holder::lease::Target;
use crate::holder::port::Coordination;
use crate::holder::port::Ports;
use crate::holder::rank;
use crate::port::Clock;
use crate::time::Instant;

/// Time between two checks for claims that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the answer of a witness, less than the time between two renewals.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);

impl<O: Ports> Control<O> {
    /// Renews claims on held servers that are not warm, every [`CHECK_INTERVAL`] and when a server
    /// begins to need a claim.
    pub(super) async fn run_claims(&self) {
        loop {
            self.renew_claims().await;
            let next = self.clock().now() + CHECK_INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.tables.claim_needed.notified() => {}
            }
        }
    }

    /// Sends the claims and renewals that are due and waits for the answers of the witnesses.
    pub async fn renew_claims(&self) {
        let Some(intent) = self.tables.intent.snapshot() else {
            return;
        };
        let batches = self.begin_round(&intent);
        self.update_claims_in_pools();
        join_all(batches.iter().map(|batch| self.send_batch(&intent, batch))).await;
    }

    /// Answers a claim as a witness: states which servers this entry promises to the claimant.
    pub fn answer_claim(&self, claim: &Claim<'_>) -> Grant {
        let wall_millis = self.clock().wall_millis();
        self.tables.timeline.receive(wall_millis, claim.clock);
        let claimant =
            Claimant { name: claim.claimant, incarnation: claim.incarnation, round: claim.round };
        let mut leases = self.leases.lock();
        let now = self.clock().now();
        let granted = leases.answer_claim(now, claimant, claim.targets, claim.released);
        drop(leases);
        let clock = self.tables.timeline.stamp(wall_millis);
        Grant { witness: self.identity.vm.clone(), clock, granted }
    }

    /// Begins a round of claims on the servers that need one; returns one batch for each witness.
    fn begin_round(&self, intent: &Intent) -> Vec<Batch> {
        let ranking = rank::Ranking::new(&intent.list);
        let routes = self.tables.routes();
        let targets = routes.iter().flat_map(|(service, route)| {
            let target = |server| Target { service: service.clone(), server };
            route.pool().needing_claim().into_iter().map(target)
        });
        let wanted: Vec<_> = targets
            .filter_map(|target| {
                let vm = intent.list.vm(target.server.as_str())?;
                Some((target, ranking.witnesses(vm).into_vec()))
            })
            .collect();
        let now = self.clock().now();
        let mut leases = self.leases.lock();
        leases.begin_round(now, wanted.iter().map(|(target, witnesses)| (target, witnesses)))
    }

    async fn send_batch(&self, intent: &Intent, batch: &Batch) {
        let Some(address) = intent.list.control_address(&batch.witness) else {
            return;
        };
        let claim = Claim {
            claimant: &self.identity.vm,
            incarnation: self.identity.incarnation,
            round: batch.round,
            clock: self.tables.timeline.stamp(self.clock().wall_millis()),
            targets: &batch.claimed,
            released: &batch.released,
        };
        let Some(grant) = self.ports.peer().claim(address, &claim, WITNESS_TIMEOUT).await else {
            return;
        };
        self.tables.timeline.receive(self.clock().wall_millis(), grant.clock);
        self.leases.lock().record_grant(batch, grant.witness.as_str(), &grant.granted);
        self.update_claims_in_pools();
    }

    /// Sets in the pools which claims are valid, and until when.
    fn update_claims_in_pools(&self) {
        let now = self.clock().now();
        let leases = self.leases.lock();
        let claims: Vec<_> = leases
            .claims()
            .targets()
            .map(|target| (target.clone(), leases.valid_until(target, now)))
            .collect();
        drop(leases);
        let routes = self.tables.routes();
        for (target, valid_until) in claims {
            let Some(route) = routes.get(target.service.as_str()) else {
                continue;
            };
            self.set_claim(&route, target, valid_until);
        }
    }

    fn set_claim(&self, route: &Route, target: Target, valid_until: Option<Instant>) {
        let now = self.clock().now();
        match route.pool().set_claim(now, &target.server, valid_until) {
            Some(true) => self.record(Event::Claimed(target.service, target.server)),
            Some(false) => self.record(Event::ClaimLost(target.service, target.server)),
            None => {}
        }
    }
}
