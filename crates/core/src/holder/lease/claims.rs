use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::Batch;
use super::HOLD;
use super::LIFETIME;
use super::RENEWAL;
use super::Target;
use super::batch::Batches;
use crate::holder::member;
use crate::holder::rank;
use crate::name;
use crate::time::Instant;

/// Time without a lease after which a claim pauses. It lets the promises to a failed holder expire
/// and one more round pass.
const PATIENCE: Duration = HOLD.saturating_add(RENEWAL);

/// The promises that an entry has obtained for the servers it holds.
///
/// Two entries that both believe that they hold a server may get some of its promises each, and
/// would keep each other from a quorum for as long as both renew. A claim whose last lease, if any,
/// ended 3 s ago therefore releases what it has and pauses. Entries of a lower rank pause
/// longer, so that one of them finds the witnesses free.
#[derive(Debug, Clone)]
pub struct Claims {
    /// The claimant.
    name: name::Vm,
    /// The latest round.
    round: u64,
    claims: BTreeMap<Target, Claim>,
}

#[derive(Debug, Clone)]
struct Claim {
    /// The first round whose answers count. Promises of earlier rounds were released.
    first: u64,
    /// When the latest round began.
    begun: Instant,
    /// Latest end that a lease had, or when the claim began or resumed. Requests sent under a lease
    /// that a changed list made invalid may run until then.
    leased: Instant,
    /// End of the latest pause.
    resume: Instant,
    witnesses: SmallVec<[Witness; rank::MAX_WITNESSES]>,
}

#[derive(Debug, Clone)]
struct Witness {
    name: name::Vm,
    /// When the latest round began that this witness granted.
    granted: Option<Instant>,
}

/// What to do for a claim in a round.
enum Step {
    /// Nothing yet.
    Skip,
    /// Ask the witnesses.
    Ask,
    /// Release what the witnesses promised.
    Release,
}

impl Claims {
    /// Creates the state of the entry `name`, which has no claims.
    pub fn new(name: name::Vm) -> Self {
        Self { name, round: 0, claims: BTreeMap::new() }
    }

    /// Begins a round: claims or renews `wanted` servers, each given with its witnesses. Returns
    /// one batch per witness.
    ///
    /// A server that was claimed less than [`RENEWAL`] ago from the same witnesses is left out, so
    /// this may be called as often as needed. A claim that is no longer renewed is dropped when its
    /// promises have expired.
    pub fn begin_round<'a, W>(
        &mut self,
        now: Instant,
        wanted: impl IntoIterator<Item = (&'a Target, W)>,
    ) -> Vec<Batch>
    where
        W: AsRef<[&'a member::Vm]>,
    {
        self.round += 1;
        self.claims.retain(|_, claim| claim.begun.max(claim.resume) + LIFETIME > now);
        let mut batches = Batches::new(self.round, now);
        for (target, witnesses) in wanted {
            let witnesses = witnesses.as_ref().iter().map(|vm| &vm.name);
            match self.step(now, target, witnesses.clone()) {
                Step::Skip => (),
                Step::Ask => witnesses.for_each(|vm| batches.of(vm).claimed.push(target.clone())),
                Step::Release => {
                    witnesses.for_each(|vm| batches.of(vm).released.push(target.clone()))
                }
            }
        }
        batches.finish()
    }

    /// Records the answer of `witness` to `batch`: for each claimed server, in order, whether it is
    /// promised. Missing answers count as refused. An answer from another VM than the one asked is
    /// ignored; it can arrive when an address has been given to another VM.
    ///
    /// A late answer counts from the beginning of its own round, so it never extends a lease by
    /// more than the witness covers.
    pub fn record_grant(&mut self, batch: &Batch, witness: &str, granted: &[bool]) {
        if batch.witness.as_str() != witness {
            return;
        }
        let promised = batch.claimed.iter().zip(granted).filter(|(_, granted)| **granted);
        for (target, _) in promised {
            let claim = self.claims.get_mut(target).filter(|claim| claim.first <= batch.round);
            let Some(claim) = claim else {
                continue;
            };
            let asked = claim.witnesses.iter_mut().find(|asked| asked.name == batch.witness);
            if let Some(asked) = asked {
                asked.granted = asked.granted.max(Some(batch.begun));
                claim.note_lease();
            }
        }
    }

    /// The end of the lease on `target`, if there is one at `now`: the time until which a quorum of
    /// the witnesses' promises counts.
    ///
    /// The result must not be kept beyond a change of the VM list, and `now` must be read just
    /// before it is used.
    pub fn valid_until(&self, target: &Target, now: Instant) -> Option<Instant> {
        self.claims.get(target)?.until().filter(|until| *until > now)
    }

    /// Witnesses whose promise of `target` counts at `now`, and how many are needed.
    pub fn progress(&self, target: &Target, now: Instant) -> Option<(usize, usize)> {
        let claim = self.claims.get(target)?;
        let counts = |witness: &&Witness| witness.granted.is_some_and(|at| at + LIFETIME > now);
        let granted = claim.witnesses.iter().filter(counts).count();
        Some((granted, rank::quorum(claim.witnesses.len())))
    }

    /// Gives up the claims on `targets` and returns what to send to the witnesses. Sending is worth
    /// an attempt only: a promise that is not released expires.
    ///
    /// Nothing sent under the lease may still be running.
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
                batches.of(&witness.name).released.push(target.clone());
            }
        }
        batches.finish()
    }

    /// The servers claimed.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.claims.keys()
    }

    /// Decides what to do for `target` in this round and notes it.
    fn step<'a>(
        &mut self,
        now: Instant,
        target: &Target,
        witnesses: impl Iterator<Item = &'a name::Vm> + Clone,
    ) -> Step {
        let round = self.round;
        let claim = self.claims.entry(target.clone()).or_insert_with(|| Claim::new(round, now));
        let same = claim.witnesses.iter().map(|witness| &witness.name).eq(witnesses.clone());
        if now < claim.resume || (same && now < claim.begun + RENEWAL) {
            return Step::Skip;
        }
        claim.set_witnesses(witnesses);
        if claim.leased + PATIENCE <= now {
            claim.pause(now, round, &self.name);
            return Step::Release;
        }
        claim.begun = now;
        Step::Ask
    }
}

impl Claim {
    fn new(round: u64, now: Instant) -> Self {
        Self { first: round, begun: now, leased: now, resume: now, witnesses: SmallVec::new() }
    }

    /// The time until which a quorum of promises counts, whether or not it has passed.
    fn until(&self) -> Option<Instant> {
        let mut granted: SmallVec<[Instant; rank::MAX_WITNESSES]> =
            self.witnesses.iter().filter_map(|witness| witness.granted).collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        let needed = rank::quorum(self.witnesses.len());
        granted.get(needed - 1).map(|at| *at + LIFETIME)
    }

    /// Must be called after each change of a witness.
    fn note_lease(&mut self) {
        self.leased = self.leased.max(self.until().unwrap_or_default());
    }

    /// Takes the witnesses of the current list, with what they granted under the one before.
    fn set_witnesses<'a>(&mut self, names: impl Iterator<Item = &'a name::Vm>) {
        let old = std::mem::take(&mut self.witnesses);
        let granted = |name: &name::Vm| old.iter().find(|found| found.name == *name)?.granted;
        self.witnesses =
            names.map(|name| Witness { name: name.clone(), granted: granted(name) }).collect();
        self.note_lease();
    }

    /// Gives up all promises and pauses, the longer the later `name` is among the witnesses.
    fn pause(&mut self, now: Instant, round: u64, name: &name::Vm) {
        let rank = self.witnesses.iter().take_while(|witness| witness.name != *name).count();
        let rounds = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(2);
        self.first = round + 1;
        self.resume = now + RENEWAL.saturating_mul(rounds);
        self.leased = self.resume;
        self.witnesses.iter_mut().for_each(|witness| witness.granted = None);
    }
}
