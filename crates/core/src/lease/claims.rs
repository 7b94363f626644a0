use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::LIFETIME;
use super::RENEWAL;
use super::Target;
use crate::member;
use crate::name;
use crate::rank;
use crate::time::Instant;

/// What to send to one witness. It is kept until the answer arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The receiver.
    pub witness: name::Vm,
    /// Number of the round.
    pub round: u64,
    /// A time before the batch is sent; the promises count from here.
    pub begun: Instant,
    /// Servers to claim.
    pub claimed: Vec<Target>,
    /// Servers to release.
    pub released: Vec<Target>,
}

/// The promises that an entry has obtained for the servers it holds.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    /// The latest round.
    round: u64,
    claims: BTreeMap<Target, Claim>,
}

#[derive(Debug, Clone)]
struct Claim {
    /// The round that began the claim. Answers to earlier rounds belong to a claim that was released.
    first: u64,
    /// When the latest round began.
    begun: Instant,
    witnesses: SmallVec<[Witness; rank::MAX_WITNESSES]>,
}

#[derive(Debug, Clone)]
struct Witness {
    name: name::Vm,
    /// When the latest round began that this witness granted.
    granted: Option<Instant>,
}

impl Claims {
    /// Begins a round: claims or renews `wanted` servers, each given with its witnesses. Returns one
    /// batch per witness.
    ///
    /// A server that was claimed less than [`RENEWAL`] ago from the same witnesses is left out, so
    /// this may be called as often as needed. A claim that is no longer renewed is dropped when its
    /// promises have expired.
    pub fn begin<'a, W>(
        &mut self,
        now: Instant,
        wanted: impl IntoIterator<Item = (&'a Target, W)>,
    ) -> Vec<Batch>
    where
        W: AsRef<[&'a member::Vm]>,
    {
        self.round += 1;
        self.claims.retain(|_, claim| claim.begun + LIFETIME > now);
        let mut batches = Batches::new(self.round, now);
        for (target, witnesses) in wanted {
            if self.renew(now, target, witnesses.as_ref()) {
                witnesses
                    .as_ref()
                    .iter()
                    .for_each(|vm| batches.of(&vm.name).claimed.push(target.clone()));
            }
        }
        batches.finish()
    }

    /// Records the answer of `witness` to `batch`: for each claimed server, in order, whether it is
    /// promised. Missing answers count as refused. An answer from another VM than the one asked is
    /// ignored; it can arrive when an address has been given to another VM.
    ///
    /// A late answer counts from the beginning of its own round, so it never extends a lease by more
    /// than the witness covers.
    pub fn granted(&mut self, batch: &Batch, witness: &str, granted: &[bool]) {
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
            }
        }
    }

    /// The end of the lease on `target`, if there is one at `now`: the time until which a quorum of
    /// the witnesses' promises counts.
    ///
    /// The result must not be kept beyond a change of the VM list, and `now` must be read just before
    /// it is used.
    pub fn valid_until(&self, target: &Target, now: Instant) -> Option<Instant> {
        let claim = self.claims.get(target)?;
        let mut granted: SmallVec<[Instant; rank::MAX_WITNESSES]> =
            claim.witnesses.iter().filter_map(|witness| witness.granted).collect();
        granted.sort_unstable_by(|a, b| b.cmp(a));
        let needed = rank::quorum(claim.witnesses.len());
        let until = *granted.get(needed - 1)? + LIFETIME;
        (until > now).then_some(until)
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

    /// Notes that `target` is claimed in this round; false if it is too early for that.
    fn renew(&mut self, now: Instant, target: &Target, witnesses: &[&member::Vm]) -> bool {
        let Some(claim) = self.claims.get_mut(target) else {
            let claim = Claim { first: self.round, begun: now, witnesses: merge(&[], witnesses) };
            self.claims.insert(target.clone(), claim);
            return true;
        };
        let names = claim.witnesses.iter().map(|witness| &witness.name);
        let same = names.eq(witnesses.iter().map(|vm| &vm.name));
        if same && now < claim.begun + RENEWAL {
            return false;
        }
        claim.begun = now;
        claim.witnesses = merge(&claim.witnesses, witnesses);
        true
    }
}

/// The witnesses of a new list, with what they granted under the old one.
fn merge(old: &[Witness], new: &[&member::Vm]) -> SmallVec<[Witness; rank::MAX_WITNESSES]> {
    let granted = |name: &name::Vm| old.iter().find(|found| found.name == *name)?.granted;
    new.iter().map(|vm| Witness { name: vm.name.clone(), granted: granted(&vm.name) }).collect()
}

/// The batches of one round, by witness.
struct Batches {
    round: u64,
    begun: Instant,
    batches: BTreeMap<name::Vm, Batch>,
}

impl Batches {
    fn new(round: u64, begun: Instant) -> Self {
        Self { round, begun, batches: BTreeMap::new() }
    }

    fn of(&mut self, witness: &name::Vm) -> &mut Batch {
        self.batches.entry(witness.clone()).or_insert_with(|| Batch {
            witness: witness.clone(),
            round: self.round,
            begun: self.begun,
            claimed: Vec::new(),
            released: Vec::new(),
        })
    }

    fn finish(self) -> Vec<Batch> {
        self.batches.into_values().collect()
    }
}
