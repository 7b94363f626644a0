//! The claimant's side of leases.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::Batch;
use super::LEASE_DURATION;
use super::PROMISE_DURATION;
use super::RENEWAL_INTERVAL;
use super::Target;
use super::batch::Batches;
use crate::holder::member;
use crate::holder::rank;
use crate::name;
use crate::time::Instant;

/// Time without a lease after which a claim pauses. It is long enough for the promises to a failed
/// holder to expire and for one more round.
const PAUSE_AFTER: Duration = PROMISE_DURATION.saturating_add(RENEWAL_INTERVAL);

/// The promises that an entry has obtained for the servers it holds.
///
/// Two entries that both consider themselves the holder of a server may each get some of the
/// promises, and neither gets a quorum for as long as both renew. A claim that has had no lease
/// for 3 s therefore releases its promises and pauses. Entries of a lower rank pause longer, so
/// that one of them finds the witnesses without promises to others.
#[derive(Debug, Clone)]
pub struct Claims {
    /// The claimant.
    name: name::Vm,
    /// Number of the latest round.
    round: u64,
    claims: BTreeMap<Target, Claim>,
}

#[derive(Debug, Clone)]
struct Claim {
    /// The first round whose answers count. Promises of earlier rounds were released.
    first_round: u64,
    /// When the latest round of this claim began.
    round_started_at: Instant,
    /// The latest end of any lease so far, or the time when the claim began or its pause ends.
    /// Requests sent under a lease that a changed VM list invalidated may run until then.
    lease_end: Instant,
    /// End of the latest pause; before the first pause, when the claim began.
    paused_until: Instant,
    witnesses: SmallVec<[Witness; rank::MAX_WITNESSES]>,
}

#[derive(Debug, Clone)]
struct Witness {
    name: name::Vm,
    /// When the latest round began in which this witness made a promise, if any.
    granted_at: Option<Instant>,
}

/// What a claim does in a round.
enum Action {
    /// Nothing: the claim is paused, or its renewal is not due.
    Skip,
    /// Ask the witnesses for promises.
    Ask,
    /// Release the promises of the witnesses.
    Release,
}

impl Claims {
    /// Creates the state of the entry `name`, without claims.
    pub fn new(name: name::Vm) -> Self {
        Self { name, round: 0, claims: BTreeMap::new() }
    }

    /// Begins a round: claims or renews `wanted` servers, each given with its witnesses. Returns
    /// one batch per witness.
    ///
    /// A server that was claimed less than [`RENEWAL_INTERVAL`] ago from the same witnesses is left
    /// out, so this may be called at any rate. A claim that is no longer renewed is removed when
    /// its promises have expired.
    pub fn begin_round<'a, W>(
        &mut self,
        now: Instant,
        wanted: impl IntoIterator<Item = (&'a Target, W)>,
    ) -> Vec<Batch>
    where
        W: AsRef<[&'a member::Vm]>,
    {
        self.round += 1;
        self.claims.retain(|_, claim| {
            claim.round_started_at.max(claim.paused_until) + LEASE_DURATION > now
        });
        let mut batches = Batches::new(self.round, now);
        for (target, witnesses) in wanted {
            let witnesses = witnesses.as_ref().iter().map(|vm| &vm.name);
            match self.next_action(now, target, witnesses.clone()) {
                Action::Skip => (),
                Action::Ask => {
                    witnesses.for_each(|vm| batches.for_witness(vm).claimed.push(target.clone()))
                }
                Action::Release => {
                    witnesses.for_each(|vm| batches.for_witness(vm).released.push(target.clone()))
                }
            }
        }
        batches.into_vec()
    }

    /// Records the answer of `witness` to `batch`: for each claimed server, in order, whether it is
    /// promised. Missing answers count as refused. An answer from a VM other than the receiver of
    /// the batch is ignored; it can arrive when an address has been reassigned to another VM.
    ///
    /// A late answer counts from the beginning of its own round, so it never extends a lease beyond
    /// the promise of the witness.
    pub fn record_grant(&mut self, batch: &Batch, witness: &str, granted: &[bool]) {
        if batch.witness.as_str() != witness {
            return;
        }
        let promised = batch.claimed.iter().zip(granted).filter(|(_, granted)| **granted);
        for (target, _) in promised {
            let claim =
                self.claims.get_mut(target).filter(|claim| claim.first_round <= batch.round);
            let Some(claim) = claim else {
                continue;
            };
            let asked = claim.witnesses.iter_mut().find(|asked| asked.name == batch.witness);
            if let Some(asked) = asked {
                asked.granted_at = asked.granted_at.max(Some(batch.started_at));
                claim.update_lease_end();
            }
        }
    }

    /// The end of the lease on `target`, if there is one at `now`: the time until which a quorum of
    /// the witnesses' promises counts.
    ///
    /// The result must not be used after a change of the VM list, and `now` must be read
    /// immediately before the result is used.
    pub fn valid_until(&self, target: &Target, now: Instant) -> Option<Instant> {
        self.claims.get(target)?.quorum_until().filter(|until| *until > now)
    }

    /// The number of witnesses whose promise of `target` counts at `now`, and the number needed.
    pub fn quorum_progress(&self, target: &Target, now: Instant) -> Option<(usize, usize)> {
        let claim = self.claims.get(target)?;
        let counts =
            |witness: &&Witness| witness.granted_at.is_some_and(|at| at + LEASE_DURATION > now);
        let granted = claim.witnesses.iter().filter(counts).count();
        Some((granted, rank::quorum(claim.witnesses.len())))
    }

    /// Gives up the claims on `targets` and returns one batch per witness. The batches need not be
    /// sent again if they are lost, because a promise that is not released expires.
    ///
    /// No request sent under the lease may still be running.
    pub fn release<'a>(
        &mut self,
        now: Instant,
        targets: impl IntoIterator<Item = &'a Target>,
    ) -> Vec<Batch> {
        self.round += 1;
        let mut batches = Batches::new(self.round, now);
        for target in targets {
            let witnesses = self.claims.remove(target).map(|claim| claim.witnesses);
            for witness in witnesses.into_iter().flatten() {
                batches.for_witness(&witness.name).released.push(target.clone());
            }
        }
        batches.into_vec()
    }

    /// The claimed servers.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.claims.keys()
    }

    /// Decides what the claim on `target` does in this round, and updates the claim.
    fn next_action<'a>(
        &mut self,
        now: Instant,
        target: &Target,
        witnesses: impl Iterator<Item = &'a name::Vm> + Clone,
    ) -> Action {
        let round = self.round;
        let claim = self.claims.entry(target.clone()).or_insert_with(|| Claim::new(round, now));
        let same = claim.witnesses.iter().map(|witness| &witness.name).eq(witnesses.clone());
        if now < claim.paused_until || (same && now < claim.round_started_at + RENEWAL_INTERVAL) {
            return Action::Skip;
        }
        claim.set_witnesses(witnesses);
        if claim.lease_end + PAUSE_AFTER <= now {
            claim.pause(now, round, &self.name);
            return Action::Release;
        }
        claim.round_started_at = now;
        Action::Ask
    }
}

impl Claim {
    fn new(round: u64, now: Instant) -> Self {
        Self {
            first_round: round,
            round_started_at: now,
            lease_end: now,
            paused_until: now,
            witnesses: SmallVec::new(),
        }
    }

    /// The time until which a quorum of promises counts, whether or not it has passed.
    fn quorum_until(&self) -> Option<Instant> {
        let mut granted: SmallVec<[Instant; rank::MAX_WITNESSES]> =
            self.witnesses.iter().filter_map(|witness| witness.granted_at).collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        let needed = rank::quorum(self.witnesses.len());
        granted.get(needed - 1).map(|at| *at + LEASE_DURATION)
    }

    /// Extends `lease_end` to the current lease. Must be called after each change of a witness.
    fn update_lease_end(&mut self) {
        self.lease_end = self.lease_end.max(self.quorum_until().unwrap_or_default());
    }

    /// Applies the witnesses of the current VM list. Promises of witnesses that stay are kept.
    fn set_witnesses<'a>(&mut self, names: impl Iterator<Item = &'a name::Vm>) {
        let old = std::mem::take(&mut self.witnesses);
        let granted_at = |name: &name::Vm| old.iter().find(|found| found.name == *name)?.granted_at;
        self.witnesses = names
            .map(|name| Witness { name: name.clone(), granted_at: granted_at(name) })
            .collect();
        self.update_lease_end();
    }

    /// Gives up all promises and pauses. The pause is longer the lower `name` ranks among the
    /// witnesses.
    fn pause(&mut self, now: Instant, round: u64, name: &name::Vm) {
        let rank = self.witnesses.iter().take_while(|witness| witness.name != *name).count();
        let rounds = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(2);
        self.first_round = round + 1;
        self.paused_until = now + RENEWAL_INTERVAL.saturating_mul(rounds);
        self.lease_end = self.paused_until;
        self.witnesses.iter_mut().for_each(|witness| witness.granted_at = None);
    }
}
